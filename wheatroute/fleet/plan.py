"""The plan of a simulated fleet: tiers, servers, traffic, clients, network and faults.

Defines the tables of a plan file with their validation and defaults; the only I/O is reading files. Where a
key of the file differs from the field's name, it is the field's alias. Keys never change. Times are in
seconds.

The defaults are round numbers in the range of published work, so that a file only needs the settings that it
is about: service times of tens to hundreds of milliseconds with a coefficient of variation of one to two
(Dean and Barroso, "The Tail at Scale", 2013; Harchol-Balter 1999), latencies of 0.25 ms within a zone and
1 ms between zones (Verma et al., "Large-scale cluster management at Google with Borg", 2015, for zones and
their network), cold starts of some seconds (publications on warm-up report 10 s to minutes), and a server
list that is some seconds late.
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
ALL_TIERS = -1  # value of `FaultPlan.tier` for a fault that affects every tier
PORTION_TOLERANCE = 0.01  # maximum difference between the sum of the tenants' portions and 1


class PlanError(Exception):
    """Reports an invalid plan or experiment file; `lines` holds one message per problem."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


class Table(BaseModel):
    """Base class of the tables of a plan or experiment file; unknown keys are an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServerModel(Table):
    """Describes the servers of one hardware model."""

    name: Name
    # share of the model among the tier's servers, relative to the weights of the other models
    weight: Positive = Field(default=1.0, alias="share")
    cores: Annotated[int, Field(ge=1, le=1024)] = 2
    speed: Positive = 1.0  # speed of a core; a core of speed 1 does one second of work per second
    speed_cv: NonNegative = 0.0  # coefficient of variation of the speed between servers of the model


class Collapse(Table):
    """Describes the collapse of overloaded servers.

    A server that holds too many requests for too long becomes slower until it has been mostly idle for a
    while. This follows the metastable failures of Bronson et al., "Metastable Failures in Distributed
    Systems", 2021.
    """

    # A server collapses when the mean number of requests that it holds exceeds the number of its cores by
    # more than this multiple of the square root of the number of cores.
    threshold: Positive = Field(default=6.0, alias="above")
    window_s: Positive = Field(default=2.0, alias="span")  # window of the mean for `threshold`
    slowdown: Positive = Field(default=2.5, alias="slower")  # factor on the duration of all work
    # The server recovers when the mean fraction of busy cores falls below this.
    recovery_utilization: Fraction = Field(default=0.3, alias="below")
    recovery_window_s: Positive = Field(default=3.0, alias="rest")  # window of the mean for recovery
    # The server recovers this long after the start of its collapse in any case.
    max_duration_s: Positive = Field(default=25.0, alias="longest")


class LoadReports(Table):
    """Describes the load reports that servers send in their responses."""

    interval_s: Positive = Field(default=0.2, alias="every")  # time between refreshes of the reported values
    noise: NonNegative = 0.1  # maximum relative error of the reported number of requests


class Tier(Table):
    """Describes a tier: servers that do the same work.

    In all tiers but the last, each server has its own node, through which it calls the next tier.
    """

    name: Name
    servers: Count
    models: Annotated[list[ServerModel], Field(min_length=1)] = [ServerModel(name="one")]
    work: Positive = 1.0  # work of one call to this tier, as a multiple of the work of its request class
    # mean number of calls to this tier per request of the tier above
    calls_per_request: Positive = Field(default=1.0, alias="calls")
    discipline: Literal["sharing", "in_turn"] = "sharing"  # processor sharing or first come, first served
    slots_per_core: Count = Field(default=32, alias="slots")  # maximum number of requests in service per core
    # maximum number of requests per core that wait for a slot
    queue_per_core: Annotated[int, Field(ge=0, le=1_000_000)] = Field(default=200, alias="queue")
    # relative slowdown per doubling of the requests in service beyond `thrash_threshold` per core
    thrash: NonNegative = 0.0
    thrash_threshold: Positive = Field(default=16.0, alias="thrash_at")
    connection_work_s: NonNegative = Field(default=0.001, alias="connection_cost")  # work per new connection
    max_connections_per_core: Count = Field(default=1000, alias="most_connections")
    # fraction of its speed that a server has right after its start
    warmup_initial_share: Fraction = Field(default=0.4, alias="cold_share")
    warmup_s: NonNegative = Field(default=8.0, alias="cold_time")  # time from the start to full speed
    # which jobs can be cancelled; "waiting" means queued ones only
    cancellable: Literal["all", "waiting", "none"] = Field(default="all", alias="cancel")
    error_rate: Fraction = 0.0  # allowed in files, but without effect; `FaultPlan` simulates errors
    collapse: Collapse | None = None
    reports: LoadReports | None = None


class RequestClassPlan(Table):
    """Describes a class of requests, which share their rules."""

    name: Name
    weight: Positive = Field(default=1.0, alias="share")  # relative share in the traffic
    # mean work of a request in seconds on a core of speed 1, with one call to each tier
    work_s: Positive = Field(default=0.1, alias="work")
    distribution: DistributionName = Field(default="lognormal", alias="law")  # distribution of the work
    cv: NonNegative = 1.5  # coefficient of variation of the work
    # coefficient of variation of the work between attempts of one request
    attempt_cv: NonNegative = Field(default=0.2, alias="relay_noise")
    # idempotent ("pure"), idempotent by its key ("receipted") or not idempotent ("effectful")
    idempotency: Literal["pure", "receipted", "effectful"] = Field(default="pure", alias="effect")
    target_latency_s: Positive = Field(default=1.0, alias="target_time")
    deadline_s: Positive = Field(default=3.0, alias="hard_stop")
    value: Positive = Field(default=1.0, alias="utility")  # value of a response within the target latency
    # value of a later response, as a fraction of `value`
    late_value: NonNegative = Field(default=0.0, alias="late_utility")
    # a keyed request may be repeated for this time after it was first sent
    retry_window_s: NonNegative = Field(default=10.0, alias="repeat_window")
    # which servers recognize the key of a keyed request that one of them has run
    deduplication_group: Literal["all", "zone", "cell"] = Field(default="all", alias="group")

    @model_validator(mode="after")
    def _target_is_before_deadline(self) -> RequestClassPlan:
        if self.target_latency_s > self.deadline_s:
            raise ValueError("target_time must not be greater than hard_stop")
        return self


class TenantPlan(Table):
    """Describes a tenant: a source of requests with a quota."""

    name: Name
    portion: Fraction  # fraction of the traffic and of the quota of all tenants
    usage: Positive = 1.0  # traffic that the tenant sends, as a multiple of its portion


class LoadWave(Table):
    """Describes a temporary change of the load, such as a burst, a flash crowd or a slow wave.

    `start_s` counts from the start of the run.
    """

    start_s: NonNegative = Field(alias="at")
    duration_s: Positive = Field(alias="length")
    factor: Positive = Field(default=1.5, alias="times")  # factor on the load
    ramp_s: NonNegative = Field(default=0.0, alias="rise")  # time until the full factor is reached


class ClientsPlan(Table):
    """Describes the clients, an open workload: arrivals don't wait for responses."""

    load: Positive = 0.5  # mean load as a fraction of the fleet's capacity
    arrivals: Literal["poisson", "even"] = "poisson"
    swing: Fraction = 0.0  # amplitude of a sine wave on the load, as a fraction of the mean load
    swing_period_s: Positive = Field(default=20.0, alias="swing_period")
    waves: list[LoadWave] = []
    # arrival times from the start of the run, which replace all the settings above
    recorded_arrivals_s: list[NonNegative] = Field(default=[], alias="recorded")
    quota: Positive = 0.8  # total quota of all tenants, as a fraction of the fleet's capacity
    # factor on the value of requests beyond the quota
    excess_value_factor: Fraction = Field(default=0.05, alias="excess_utility")
    max_retries: Annotated[int, Field(ge=0, le=100)] = Field(default=0, alias="retries")
    # backoff before the first retry; doubles with each further retry
    backoff_s: NonNegative = Field(default=0.2, alias="backoff")
    # fraction of the clients that respect the retry delay that a node advises
    retry_advice_compliance: Fraction = Field(default=1.0, alias="honour")
    # timeout of one try, as a fraction of the deadline
    client_timeout: Fraction = Field(default=1.0, alias="patience")
    # traffic of the busiest node divided by the mean traffic of the nodes
    node_skew: Annotated[float, Field(ge=1.0, le=100.0)] = 1.0
    latency_s: NonNegative = Field(default=0.0005, alias="crossing")  # one-way latency from client to node


class NetworkPlan(Table):
    """Describes one-way latencies, connections and the delay of changes of the server list."""

    zones: Annotated[list[Name], Field(min_length=1)] = ["a"]
    zone_latency_s: NonNegative = Field(default=0.00025, alias="inside")
    cross_zone_latency_s: NonNegative = Field(default=0.001, alias="between")
    jitter: NonNegative = 0.2  # jitter of a latency, as a fraction of the latency
    handshake_round_trips: NonNegative = Field(default=2.0, alias="handshake")  # per new connection
    connect_timeout_s: Positive = Field(default=0.2, alias="connect_within")
    # idle time after which a server closes a connection
    idle_timeout_s: Positive = Field(default=30.0, alias="idle_closed")
    list_delay_s: NonNegative = Field(default=2.0, alias="list_delay")
    # maximum random addition to `list_delay_s`
    list_jitter_s: NonNegative = Field(default=0.5, alias="list_spread")


class RuleLimits(Table):
    """Sets the limits of the four rules that `rules.py` checks."""

    # time after a drain notice in which attempts may still be sent to the server
    drain_grace_s: NonNegative = Field(default=2.0, alias="drain_grace")
    # The work sent to a warming server within the window must stay below this multiple of the work that it
    # can do in the window at its current capacity.
    overload_window_s: Positive = Field(default=1.0, alias="fall_span")
    overload_multiple: Positive = Field(default=3.0, alias="fall_multiple")
    # time after its deadline by which a request must be answered
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
    """Describes one fault of the run; `faults.py` defines what each kind does.

    `start_s` counts from the start of the run.
    """

    kind: FaultKind
    start_s: NonNegative = Field(alias="at")
    duration_s: NonNegative = Field(default=10.0, alias="length")
    tier: Annotated[int, Field(ge=-1, le=9)] = ALL_TIERS
    # fraction that the fault affects: of the servers (in its zone, if it names one) or of the entry nodes
    fraction: Fraction = Field(default=0.1, alias="part")
    # depends on the kind: the factor of a slowdown, the fraction of errors or of lost responses, the length
    # of a pause in seconds, the fraction of a machine that a neighbour uses, or the additional delay of the
    # server list in seconds
    severity: NonNegative = Field(default=3.0, alias="size")
    # time between pauses, between a neighbour's phases or between the batches of a deploy
    interval_s: Positive = Field(default=2.0, alias="every")
    zone: str = ""  # one of `NetworkPlan.zones`; empty means any zone


class FleetPlan(Table):
    """Describes a whole fleet: the root table of a plan file."""

    name: Name = "fleet"
    duration_s: Positive = Field(default=60.0, alias="length")
    # requests that arrive before this time don't count
    warmup_s: NonNegative = Field(default=0.0, alias="warm_up")
    nodes: Count = 4  # number of entry nodes, which send to the first tier
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
    time_left_passed_on: bool = True  # whether calls to the next tier carry the client's deadline
    # price of an attempt at a server in another zone, in units of the value of one request
    crossing_price: NonNegative = 0.0

    @model_validator(mode="after")
    def _is_consistent(self) -> FleetPlan:
        for fault in self.faults:
            if fault.tier >= len(self.tiers):
                raise ValueError(
                    f"a fault names tier {fault.tier}, but the plan has {len(self.tiers)} tiers (from 0)"
                )
            if fault.zone and fault.zone not in self.network.zones:
                raise ValueError(f"a fault names zone {fault.zone!r}, which is not in network.zones")
        portions = sum(tenant.portion for tenant in self.tenants)
        if self.tenants and abs(portions - 1.0) > PORTION_TOLERANCE:
            raise ValueError("the portions of all customers must sum to 1")
        return self

    def mean_work_s(self) -> float:
        """Returns the mean work of a request with one call to each tier, in seconds on a core of speed 1."""
        total = sum(request_class.weight for request_class in self.request_classes)
        return (
            sum(request_class.weight * request_class.work_s for request_class in self.request_classes) / total
        )

    def mean_call_work_s(self, class_number: int, depth: int) -> float:
        """Returns the mean work of one call of a class at one tier, in seconds on a core of speed 1."""
        return self.request_classes[class_number].work_s * self.tiers[depth].work

    def capacity(self) -> float:
        """Returns the capacity of the bottleneck tier with warm servers, in client requests per second."""
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
        """Returns the number of requests per second that all tenants together may send."""
        return self.clients.quota * self.capacity()


def validation_lines(error: ValidationError, source: str) -> list[str]:
    """Returns one message for each problem that pydantic found in the file or table named `source`."""
    return [
        f"{source}: {'.'.join(map(str, problem['loc'])) or 'whole file'}: {problem['msg']}"
        for problem in error.errors()
    ]


def parse_plan(tables: dict[str, Any], source: str = "plan") -> FleetPlan:
    """Returns the plan in the tables of a file named `source`; raises PlanError with a line per problem."""
    try:
        return FleetPlan.model_validate(tables)
    except ValidationError as error:
        raise PlanError(validation_lines(error, source)) from None


def read_toml(path: Path, source: str) -> dict[str, Any]:
    """Reads a TOML file; raises PlanError, which names `source`, if the file can't be read or parsed."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise PlanError([f"{source}: {error}"]) from None
