"""The settings that decisions are made by, typed. No I/O.

They are built from the platform's settings (`wheatroute/platform_settings.py`), from the TOML file
(`wheatroute/config/`) or by the simulated fleet, and replaced as a whole, never changed in place.
Times are in seconds, prices in the value of one request.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from math import inf

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests with common rules; all durations are in seconds."""

    target_latency: float = 0.0  # from the client's sending, up to which an answer has its full value
    stretch: float = 0.0  # `aim-stretch` of the platform's settings; no decision uses it
    deadline: float = 0.0  # from the client's sending, after which no answer counts
    value: float = 1.0  # of an answer within the target latency
    late_value: float = 0.0  # of one after it, as a fraction of `value`
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_group: DeduplicationGroup = DeduplicationGroup.CELL
    retry_window: float = 0.0  # from the first sending of a keyed request, in which a repeat may come
    is_streamed: bool = False
    can_trial: bool | None = None  # whether its first attempt may be a half-open trial; None: if idempotent
    paths: Sequence[str] = ()
    methods: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class TenantQuota:
    """What a tenant may use: requests a second, and the portion of the whole that this is meant to be."""

    portion: float = 0.0
    quota: float = 0.0


@dataclass(frozen=True, slots=True)
class DecisionSettings:
    """All settings of one node's decisions."""

    nodes: int = 1  # nodes that send to the same servers
    node: int = 0  # the number of this one
    tick: float = 0.005  # the host's clock has steps of this length
    tier: int = 0  # 0 is where clients' requests come in
    tiers: int = 1
    zone: int = 0
    zones: int = 1
    can_hedge: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    has_peers: bool = False
    can_advise_retry: bool = False  # a rejection may say when to come again
    max_retry_after_s: float = 0.0
    max_attempts: int = 1  # of a request
    connect_timeout_s: float = 0.0
    idle_timeout_s: float = inf  # after which a server closes an idle connection
    calls_per_connection: int = 1
    max_open_connections: int = 0
    excess_value_factor: float = 1.0  # value of a request beyond its tenant's quota, as a fraction
    time_left_passed_on: bool | None = None  # whether calls to the next tier carry the client's deadline
    connection_price: float = 0.0
    crossing_price: float = 0.0  # of a request to a server in another zone
    waste_price: float = 0.0
    late_price: float = 0.0
    report_how: str = "none"  # how servers report their load
    reported: Sequence[str] = ()  # the figures in such a report
    work_counts: bool = False  # answers count by their work, not by their number
    list_on_request: bool = False  # the list is watched or fetched, not pushed
    list_max_age_s: float = 0.0
    answer_slack_s: float = 0.0
    warmup_s: float = 0.0  # after its start a server is warming up for so long
    warmup_initial_share: float = 1.0  # of its capacity, at its start
    drain_grace_s: float = 0.0
    # a server that warms up fails under `overload_multiple` times the usual rate for `overload_window_s`
    overload_window_s: float = 0.0
    overload_multiple: float = 1.0
    max_servers_per_tick: int | None = None  # with more servers a tick's work is spread over several batches
    request_classes: Sequence[RequestClass] = ()
    tenants: Sequence[TenantQuota] = ()

    def with_node_count(self, counted: Mapping[str, int]) -> DecisionSettings:
        """The same settings with `nodes` and `node` as they were counted; unchanged if nothing was."""
        return replace(self, nodes=counted.get("nodes", self.nodes), node=counted.get("node", self.node))
