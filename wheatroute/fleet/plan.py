"""The plan of an emulated fleet: tiers, servers, traffic, clients, network and faults.

Holds the shape of a plan file, its checks and its defaults; it does no I/O but to read files. Keys of a file
are the fields' aliases where they differ from the names here; the keys never change. Times are in seconds.

Defaults are round figures in the range of published work, so that a file names only what it is about: service
times of tens to hundreds of milliseconds with a coefficient of variation of one to two (Dean and Barroso,
"The Tail at Scale", 2013; Harchol-Balter 1999), 0.25 ms inside a zone and 1 ms between zones (Verma et al.,
"Large-scale cluster management at Google with Borg", 2015, for zones and their fabric), cold starts of
seconds (work on warm-up reports 10 s to minutes), and a server list that is some seconds late.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

NonNegative = Annotated[float, Field(ge=0.0, allow_inf_nan=False)]
Positive = Annotated[float, Field(gt=0.0, allow_inf_nan=False)]
Fraction = Annotated[float, Field(ge=0.0, le=1.0)]
Count = Annotated[int, Field(ge=1, le=100_000)]
Name = Annotated[str, Field(min_length=1, max_length=200)]
DistributionName = Literal["none", "exponential", "lognormal", "pareto", "bimodal"]
ALL_TIERS = -1  # `FaultPlan.tier` of a fault that strikes every tier
PORTION_TOLERANCE = 0.01  # by which the tenants' portions may miss 1


class PlanError(Exception):
    """A plan or experiment file that is not valid; `lines` has a message for each problem."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


class Table(BaseModel):
    """A table of a plan file; unknown keys are an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServerModel(Table):
    """Servers of one hardware model."""

    name: Name
    weight: Positive = Field(default=1.0, alias="share")  # of the model among the tier's servers
    cores: Annotated[int, Field(ge=1, le=1024)] = 2
    speed: Positive = 1.0  # of a core; a core of speed 1 does one second of work in a second
    speed_cv: NonNegative = 0.0  # coefficient of variation of the speed between servers of the model


class Collapse(Table):
    """A server that holds too many requests for too long turns slower until it was mostly idle for a while.

    The shape of metastable failures: Bronson et al., "Metastable Failures in Distributed Systems", 2021.
    """

    # mean requests held beyond the cores at which a server collapses, in square roots of the cores
    threshold: Positive = Field(default=6.0, alias="above")
    window_s: Positive = Field(default=2.0, alias="span")  # that this mean is taken over
    slowdown: Positive = Field(default=2.5, alias="slower")  # factor on the duration of all work
    # mean fraction of busy cores below which the server recovers
    recovery_utilization: Fraction = Field(default=0.3, alias="below")
    recovery_window_s: Positive = Field(default=3.0, alias="rest")  # that this mean is taken over
    max_duration_s: Positive = Field(default=25.0, alias="longest")


class LoadReports(Table):
    """Load reports of a server in its responses."""

    interval_s: Positive = Field(default=0.2, alias="every")  # between refreshes of what is reported
    noise: NonNegative = 0.1  # relative error of the reported number of requests, at most


class Tier(Table):
    """Servers with the same job; each one of all tiers but the last has a node of its own for its calls."""

    name: Name
    servers: Count
    models: Annotated[list[ServerModel], Field(min_length=1)] = [ServerModel(name="one")]
    work: Positive = 1.0  # of one call at this tier, as a multiple of its request class's work
    # mean number of calls to this tier that a request of the tier above makes
    calls_per_request: Positive = Field(default=1.0, alias="calls")
    discipline: Literal["sharing", "in_turn"] = "sharing"  # processor sharing, or first come first served
    slots_per_core: Count = Field(default=32, alias="slots")  # requests in service
    queue_per_core: Annotated[int, Field(ge=0, le=1_000_000)] = Field(default=200, alias="queue")
    # relative slowdown for each doubling of the requests in service beyond `thrash_threshold` per core
    thrash: NonNegative = 0.0
    thrash_threshold: Positive = Field(default=16.0, alias="thrash_at")
    connection_work_s: NonNegative = Field(default=0.001, alias="connection_cost")  # of each new connection
    max_connections_per_core: Count = Field(default=1000, alias="most_connections")
    warmup_initial_share: Fraction = Field(
        default=0.4, alias="cold_share"
    )  # of its speed, right after a start
    warmup_s: NonNegative = Field(default=8.0, alias="cold_time")
    cancellable: Literal["all", "waiting", "none"] = Field(
        default="all", alias="cancel"
    )  # jobs a cancel stops
    error_rate: Fraction = 0.0  # accepted, without effect: errors are a fault (`FaultPlan`)
    collapse: Collapse | None = None
    reports: LoadReports | None = None


class RequestClassPlan(Table):
    """Requests with common rules."""

    name: Name
    weight: Positive = Field(default=1.0, alias="share")  # of the class in the traffic
    work_s: Positive = Field(
        default=0.1, alias="work"
    )  # mean on a core of speed 1, over one call of each tier
    distribution: DistributionName = Field(default="lognormal", alias="law")  # of the work
    cv: NonNegative = 1.5  # coefficient of variation of the work
    attempt_cv: NonNegative = Field(default=0.2, alias="relay_noise")  # between attempts of one request
    idempotency: Literal["pure", "receipted", "effectful"] = Field(default="pure", alias="effect")
    target_latency_s: Positive = Field(default=1.0, alias="target_time")
    deadline_s: Positive = Field(default=3.0, alias="hard_stop")
    value: Positive = Field(default=1.0, alias="utility")  # of a response within the target latency
    late_value: NonNegative = Field(
        default=0.0, alias="late_utility"
    )  # of a later one, as a fraction of `value`
    retry_window_s: NonNegative = Field(
        default=10.0, alias="repeat_window"
    )  # in which a keyed request may repeat
    deduplication_group: Literal["all", "zone", "cell"] = Field(default="all", alias="group")

    @model_validator(mode="after")
    def _target_is_before_deadline(self) -> RequestClassPlan:
        if self.target_latency_s > self.deadline_s:
            raise ValueError("target_time is beyond hard_stop")
        return self


class TenantPlan(Table):
    """A source of requests with a quota."""

    name: Name
    portion: Fraction  # of the traffic, and of the quota of all tenants
    usage: Positive = 1.0  # traffic it sends, as a multiple of its portion


class LoadWave(Table):
    """A change of the load: a burst, a flash crowd, a slow wave."""

    start_s: NonNegative = Field(alias="at")
    duration_s: Positive = Field(alias="length")
    factor: Positive = Field(default=1.5, alias="times")  # on the load without it
    ramp_s: NonNegative = Field(default=0.0, alias="rise")  # until the factor is reached


class ClientsPlan(Table):
    """An open workload: arrivals don't wait for responses."""

    load: Positive = 0.5  # as a fraction of the fleet's capacity
    arrivals: Literal["poisson", "even"] = "poisson"
    swing: Fraction = 0.0  # amplitude of a sine on the load, as a fraction of it
    swing_period_s: Positive = Field(default=20.0, alias="swing_period")
    waves: list[LoadWave] = []
    recorded_arrivals_s: list[NonNegative] = Field(default=[], alias="recorded")  # in place of all the above
    quota: Positive = 0.8  # of all tenants, as a fraction of the fleet's capacity
    excess_value_factor: Fraction = Field(default=0.05, alias="excess_utility")  # on values beyond the quota
    max_retries: Annotated[int, Field(ge=0, le=100)] = Field(default=0, alias="retries")
    backoff_s: NonNegative = Field(default=0.2, alias="backoff")  # before the first retry; doubled with each
    # fraction of the clients that heed a node's advice when to retry
    retry_advice_compliance: Fraction = Field(default=1.0, alias="honour")
    client_timeout: Fraction = Field(default=1.0, alias="patience")  # of a try, as a fraction of the deadline
    # traffic of the busiest node over the mean
    node_skew: Annotated[float, Field(ge=1.0, le=100.0)] = 1.0
    latency_s: NonNegative = Field(default=0.0005, alias="crossing")  # one way, between client and node


class NetworkPlan(Table):
    """One-way latencies, connections, and how late changes of the server list arrive."""

    zones: Annotated[list[Name], Field(min_length=1)] = ["a"]
    zone_latency_s: NonNegative = Field(default=0.00025, alias="inside")  # within a zone
    cross_zone_latency_s: NonNegative = Field(default=0.001, alias="between")
    jitter: NonNegative = 0.2  # of a latency, as a fraction of it
    handshake_round_trips: NonNegative = Field(default=2.0, alias="handshake")  # of a new connection
    connect_timeout_s: Positive = Field(default=0.2, alias="connect_within")
    idle_timeout_s: Positive = Field(
        default=30.0, alias="idle_closed"
    )  # a server closes idle connections after it
    list_delay_s: NonNegative = Field(default=2.0, alias="list_delay")
    list_jitter_s: NonNegative = Field(default=0.5, alias="list_spread")  # beyond the delay, at most


class RuleLimits(Table):
    """Figures of the four rules that `rules.py` checks."""

    drain_grace_s: NonNegative = Field(default=2.0, alias="drain_grace")
    overload_window_s: Positive = Field(default=1.0, alias="fall_span")
    overload_multiple: Positive = Field(default=3.0, alias="fall_multiple")
    answer_slack_s: NonNegative = Field(default=0.02, alias="answer_slack")


FaultKind = Literal[
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


class FaultPlan(Table):
    """One fault of the run; `faults.py` says what each kind does."""

    kind: FaultKind
    start_s: NonNegative = Field(alias="at")
    duration_s: NonNegative = Field(default=10.0, alias="length")
    tier: Annotated[int, Field(ge=-1, le=9)] = ALL_TIERS
    fraction: Fraction = Field(
        default=0.1, alias="part"
    )  # of the servers (of the zone's, of the nodes) it strikes
    # factor of a slowdown, fraction of errors or of lost responses, length of a pause in seconds,
    # fraction of a machine that a neighbour takes, or further delay of the list in seconds
    severity: NonNegative = Field(default=3.0, alias="size")
    interval_s: Positive = Field(
        default=2.0, alias="every"
    )  # of pauses, of a neighbour's phases, of deploy batches
    zone: str = ""  # a name of `NetworkPlan.zones`; empty: any


class FleetPlan(Table):
    """A whole plan file."""

    name: Name = "fleet"
    duration_s: Positive = Field(default=60.0, alias="length")
    warmup_s: NonNegative = Field(default=0.0, alias="warm_up")  # requests before it don't count
    nodes: Count = 4  # in front of the first tier
    tiers: Annotated[list[Tier], Field(min_length=1, max_length=9)]
    request_classes: Annotated[list[RequestClassPlan], Field(min_length=1)] = Field(
        default=[RequestClassPlan(name="view")], alias="kinds"
    )
    tenants: list[TenantPlan] = Field(default=[], alias="customers")
    clients: ClientsPlan = Field(default=ClientsPlan(), alias="callers")
    network: NetworkPlan = NetworkPlan()
    rules: RuleLimits = RuleLimits()
    faults: list[FaultPlan] = []
    tick_s: Positive = Field(default=0.005, alias="tick")  # step of the nodes' clocks
    max_attempts: Annotated[int, Field(ge=1, le=20)] = Field(default=4, alias="most_relays")
    can_hedge: bool = Field(default=True, alias="second_copies")
    time_left_passed_on: bool = True  # calls to the next tier carry the client's deadline
    crossing_price: NonNegative = 0.0  # of an attempt in another zone, in the value of one request

    @model_validator(mode="after")
    def _is_consistent(self) -> FleetPlan:
        for fault in self.faults:
            if fault.tier >= len(self.tiers):
                raise ValueError(f"a fault is at tier {fault.tier}, and there are {len(self.tiers)}")
            if fault.zone and fault.zone not in self.network.zones:
                raise ValueError(f"a fault is in zone {fault.zone!r}, which network.zones does not name")
        portions = sum(tenant.portion for tenant in self.tenants)
        if self.tenants and abs(portions - 1.0) > PORTION_TOLERANCE:
            raise ValueError("the tenants' portions do not sum to 1")
        return self

    def mean_work_s(self) -> float:
        """Mean work of a request over one call of each tier, in seconds on a core of speed 1."""
        total = sum(request_class.weight for request_class in self.request_classes)
        return (
            sum(request_class.weight * request_class.work_s for request_class in self.request_classes) / total
        )

    def mean_call_work_s(self, class_number: int, depth: int) -> float:
        """Mean work of one call of a request class at one tier, in seconds on a core of speed 1."""
        return self.request_classes[class_number].work_s * self.tiers[depth].work

    def capacity(self) -> float:
        """Requests per second that the tier with the least capacity can serve, when all servers are warm."""
        calls = 1.0
        capacity = float("inf")
        for tier in self.tiers:
            calls *= tier.calls_per_request
            weights = sum(model.weight for model in tier.models)
            core_seconds = tier.servers * sum(
                model.weight / weights * model.cores * model.speed for model in tier.models
            )
            capacity = min(capacity, core_seconds / (self.mean_work_s() * tier.work * calls))
        return capacity

    def quota(self) -> float:
        """Requests per second that all tenants together may send."""
        return self.clients.quota * self.capacity()


def validation_lines(error: ValidationError, source: str) -> list[str]:
    """A line for each problem that pydantic found in a file or table named `source`."""
    return [
        f"{source}: {'.'.join(map(str, problem['loc'])) or 'whole'}: {problem['msg']}"
        for problem in error.errors()
    ]


def parse_plan(tables: dict[str, Any], source: str = "plan") -> FleetPlan:
    """The plan in the tables of a file named `source`; raises PlanError with a line for each problem."""
    try:
        return FleetPlan.model_validate(tables)
    except ValidationError as error:
        raise PlanError(validation_lines(error, source)) from None


def read_toml(path: Path, source: str) -> dict[str, Any]:
    """The tables of a TOML file; raises PlanError, with `source` as the name of the file, if it has none."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise PlanError([f"{source}: {error}"]) from None
