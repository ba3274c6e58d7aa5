"""What a fleet is made of, as a file tells it: tiers, servers, traffic, clients, network, faults.

Owns the shape of the file, its checks and its defaults. It plays nothing. Defaults are round figures in the
range of published work, so that a file names only what it is about: works of tens to hundreds of
milliseconds with a coefficient of variation of one to two (Dean and Barroso, "The Tail at Scale", 2013;
Harchol-Balter 1999), 0.25 ms inside a zone and 1 ms between zones (Verma et al., "Large-scale cluster
management at Google with Borg", 2015, for zones and their fabric), cold starts of seconds (Mirrokni et al.
and later work on warm-up speak of 10 s to minutes), and a list that is some seconds late.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

Seconds = Annotated[float, Field(ge=0.0, allow_inf_nan=False)]
Some = Annotated[float, Field(gt=0.0, allow_inf_nan=False)]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
Count = Annotated[int, Field(ge=1, le=100_000)]
Name = Annotated[str, Field(min_length=1, max_length=200)]
Law = Literal["none", "exponential", "lognormal", "pareto", "bimodal"]


class PlanError(Exception):
    """A file that is no use: `lines`, one for each thing that is wrong."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


class Table(BaseModel):
    """A table of the file: keys that it does not know are wrong."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Model(Table):
    """Servers that are alike."""

    name: Name
    share: Some = 1.0  # of the tier's servers, beside the other models' shares
    cores: Annotated[int, Field(ge=1, le=1024)] = 2
    speed: Some = 1.0  # of each core, in multiples of the core that works are measured on
    speed_cv: Seconds = 0.0  # between servers of the model


class Collapse(Table):
    """A server that holds too much for too long turns slower, until it was mostly idle for a while.

    The shape of metastable failures: Bronson et al., "Metastable Failures in Distributed Systems", 2021.
    """

    above: Some = 6.0  # held beyond the cores, in roots of the cores, in the mean over `span`
    span: Some = 2.0
    slower: Some = 2.5
    below: Share = 0.3  # of the cores busy, for `rest`, ends it
    rest: Some = 3.0
    longest: Some = 25.0


class Reports(Table):
    """What answers tell of their server's load."""

    every: Some = 0.2
    noise: Seconds = 0.1


class Tier(Table):
    """Servers that do the same; each of all tiers but the last has a node of its own for its calls."""

    name: Name
    servers: Count
    models: Annotated[list[Model], Field(min_length=1)] = [Model(name="one")]
    work: Some = 1.0  # of a request's work, for each call
    calls: Some = 1.0  # that a request of the tier above makes, in the mean
    discipline: Literal["sharing", "in_turn"] = "sharing"
    slots: Count = 32  # requests in work for each core
    queue: Annotated[int, Field(ge=0, le=1_000_000)] = 200  # that wait for a slot, for each core
    thrash: Seconds = 0.0  # what a doubling of requests in work beyond `thrash_at` a core costs
    thrash_at: Some = 16.0
    connection_cost: Seconds = 0.001  # of work for each new connection
    most_connections: Count = 1000  # for each core
    cold_share: Share = 0.4
    cold_time: Seconds = 8.0
    cancel: Literal["all", "waiting", "none"] = "all"  # what a cancel stops
    error_rate: Share = 0.0
    collapse: Collapse | None = None
    reports: Reports | None = None


class Kind(Table):
    """A request class."""

    name: Name
    share: Some = 1.0
    work: Some = 0.1  # mean, on a core of speed 1, over one call of each tier
    law: Law = "lognormal"
    cv: Seconds = 1.5
    relay_noise: Seconds = 0.2  # by which two attempts of a request differ
    effect: Literal["pure", "receipted", "effectful"] = "pure"
    target_time: Some = 1.0
    hard_stop: Some = 3.0
    utility: Some = 1.0
    late_utility: Seconds = 0.0
    repeat_window: Seconds = 10.0
    group: Literal["all", "zone", "cell"] = "all"

    @model_validator(mode="after")
    def _ordered(self) -> Kind:
        if self.target_time > self.hard_stop:
            raise ValueError("target_time is beyond hard_stop")
        return self


class Tenant(Table):
    """Who requests come from."""

    name: Name
    portion: Share  # of the traffic, and of what the fleet can do
    usage: Some = 1.0  # of its portion that it asks for


class Wave(Table):
    """Load that changes: a burst, a flash crowd, a slow wave."""

    at: Seconds
    length: Some
    times: Some = 1.5  # of the load before
    rise: Seconds = 0.0


class Clients(Table):
    """Arrivals do not wait for answers."""

    load: Some = 0.5  # of what the fleet can do
    arrivals: Literal["poisson", "even"] = "poisson"
    swing: Share = 0.0  # of the load, up and down
    swing_period: Some = 20.0
    waves: list[Wave] = []
    recorded: list[Seconds] = []  # moments of arrival; in place of all the above
    quota: Some = 0.8  # tenants' shares together, of what the fleet can do
    excess_utility: Share = 0.05
    retries: Annotated[int, Field(ge=0, le=100)] = 0
    backoff: Seconds = 0.2  # doubled with each try
    honour: Share = 1.0  # of clients heed a node's advice on when to return
    patience: Share = 1.0  # of the deadline that a client waits
    node_skew: Annotated[float, Field(ge=1.0, le=100.0)] = 1.0  # the busiest node's traffic over the mean
    crossing: Seconds = 0.0005  # one way between client and node


class Network(Table):
    """One way latencies, and how the list gets about."""

    zones: Annotated[list[Name], Field(min_length=1)] = ["a"]
    inside: Seconds = 0.00025
    between: Seconds = 0.001
    jitter: Seconds = 0.2
    handshake: Seconds = 2.0  # round trips of a new connection
    connect_within: Some = 0.2
    idle_closed: Some = 30.0
    list_delay: Seconds = 2.0
    list_spread: Seconds = 0.5


class Rules(Table):
    """Figures of the four rules."""

    drain_grace: Seconds = 2.0
    fall_span: Some = 1.0
    fall_multiple: Some = 3.0
    answer_slack: Seconds = 0.02


FAULTS = (
    "crash",
    "hang",
    "slow",
    "errors",
    "pauses",
    "neighbour",
    "deploy",
    "zone_loss",
    "shared_slow",
    "list_late",
    "cut_off",
    "node_loss",
    "lossy",
)


class Fault(Table):
    """One line of the script."""

    kind: Literal[
        "crash",
        "hang",
        "slow",
        "errors",
        "pauses",
        "neighbour",
        "deploy",
        "zone_loss",
        "shared_slow",
        "list_late",
        "cut_off",
        "node_loss",
        "lossy",
    ]
    at: Seconds
    length: Seconds = 10.0
    tier: Annotated[int, Field(ge=-1, le=9)] = -1  # -1: all tiers
    part: Share = 0.1  # of the servers (of the zone's, of the nodes)
    size: Seconds = 3.0  # times slower; share of errors; length of a pause; share of the machine taken
    every: Some = 2.0  # between pauses; on and off of a neighbour; batches of a deploy
    zone: str = ""


class Fleet(Table):
    """A whole file."""

    name: Name = "fleet"
    length: Some = 60.0
    warm_up: Seconds = 0.0  # from here on requests count
    nodes: Count = 4  # at the first tier
    tiers: Annotated[list[Tier], Field(min_length=1, max_length=9)]
    kinds: Annotated[list[Kind], Field(min_length=1)] = [Kind(name="view")]
    customers: list[Tenant] = []
    callers: Clients = Clients()
    network: Network = Network()
    rules: Rules = Rules()
    faults: list[Fault] = []
    tick: Some = 0.005
    most_relays: Annotated[int, Field(ge=1, le=20)] = 4
    second_copies: bool = True
    time_left_passed_on: bool = True
    crossing_price: Seconds = 0.0

    @model_validator(mode="after")
    def _agrees(self) -> Fleet:
        for fault in self.faults:
            if fault.tier >= len(self.tiers):
                raise ValueError(f"a fault is at tier {fault.tier}, and there are {len(self.tiers)}")
            if fault.zone and fault.zone not in self.network.zones:
                raise ValueError(f"a fault is in zone {fault.zone!r}, which network.zones does not name")
        if self.customers and abs(sum(one.portion for one in self.customers) - 1.0) > 0.01:
            raise ValueError("the tenants' portions do not sum to 1")
        return self

    # what follows from it

    def mean_work(self) -> float:
        """Of a request over one call of each tier, seconds on a core of speed 1."""
        total = sum(kind.share for kind in self.kinds)
        return sum(kind.share * kind.work for kind in self.kinds) / total

    def capacity(self) -> float:
        """Requests a second that the tier which runs out first can do."""
        calls, least = 1.0, float("inf")
        for tier in self.tiers:
            calls *= tier.calls
            shares = sum(model.share for model in tier.models)
            cores = tier.servers * sum(
                model.share / shares * model.cores * model.speed for model in tier.models
            )
            least = min(least, cores / (self.mean_work() * tier.work * calls))
        return least


def of(told: dict[str, object], where: str = "plan") -> Fleet:
    """A fleet from what a file holds; raises PlanError with a line for each mistake."""
    try:
        return Fleet.model_validate(told)
    except ValidationError as trouble:
        raise PlanError(
            [
                f"{where}: {'.'.join(map(str, one['loc'])) or 'whole'}: {one['msg']}"
                for one in trouble.errors()
            ]
        ) from None


def read(path: str) -> Fleet:
    """The fleet that a TOML file describes."""
    try:
        told = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as trouble:
        raise PlanError([f"{path}: {trouble}"]) from None
    return of(told, path)
