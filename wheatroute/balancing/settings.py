"""The typed settings of the balancer. No I/O.

They are built from the platform's settings (`wheatroute/platform_settings.py`), from the TOML file
(`wheatroute/config/`) or by the simulated fleet. They are replaced as a whole and never modified in place.
Times are in seconds; prices are in units of the value of one request.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from math import inf

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The rules that all requests of one class share; durations are in seconds."""

    target_latency: float = 0.0  # time from the client's sending within which an answer has its full value
    stretch: float = 0.0  # `aim-stretch` of the platform's settings; no decision uses it
    deadline: float = 0.0  # time from the client's sending after which an answer has no value
    value: float = 1.0  # value of an answer within the target latency
    late_value: float = 0.0  # value of an answer after the target latency, as a fraction of `value`
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_group: DeduplicationGroup = DeduplicationGroup.CELL
    retry_window: float = 0.0  # time from the first sending of a keyed request in which it may be repeated
    is_streamed: bool = False
    # whether its first attempt may be a half-open trial; None: only if the class is idempotent
    can_trial: bool | None = None
    paths: Sequence[str] = ()
    methods: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class TenantQuota:
    """The quota of one tenant."""

    portion: float = 0.0  # intended fraction of the total traffic
    quota: float = 0.0  # requests per second


@dataclass(frozen=True, slots=True)
class DecisionSettings:
    """All settings of one node's balancer."""

    nodes: int = 1  # number of nodes that send to the same servers
    node: int = 0  # index of this node, from 0
    tick: float = 0.005  # step of the host's clock in seconds
    tier: int = 0  # tier of this node; 0 is the tier that receives the clients' requests
    tiers: int = 1  # number of tiers
    zone: int = 0  # zone of this node
    zones: int = 1
    can_hedge: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    has_peers: bool = False
    can_advise_retry: bool = False  # whether a rejection may say when to send the request again
    max_retry_after_s: float = 0.0  # upper bound of the time that such a rejection gives
    max_attempts: int = 1  # attempts per request
    connect_timeout_s: float = 0.0
    idle_timeout_s: float = inf  # idle time after which a server closes a connection
    calls_per_connection: int = 1
    # limit of a node's requests in flight; 0: only the balancer's concurrency limit applies
    max_open_connections: int = 0
    excess_value_factor: float = 1.0  # factor on the value of a request beyond its tenant's quota
    time_left_passed_on: bool | None = None  # whether calls to the next tier carry the client's deadline
    connection_price: float = 0.0  # above 0, a node sends to fewer servers (`ServerSubset`)
    crossing_price: float = 0.0  # price of a request to a server in another zone
    waste_price: float = 0.0  # no decision uses it
    late_price: float = 0.0  # no decision uses it
    # how servers report their load: "none", "answers" (with each answer) or "probe" (in reply to probes)
    report_how: str = "none"
    reported: Sequence[str] = ()  # internal names of the values in a report (`wire_names.REPORT_FIGURES`)
    work_counts: bool = False  # whether the value of answers counts by their work instead of their number
    list_on_request: bool = False  # whether the server list is watched or fetched instead of pushed
    list_max_age_s: float = 0.0  # a node must know every change of the server list that is older than this
    answer_slack_s: float = 0.0  # time after a request's deadline by which its final answer must be sent
    warmup_s: float = 0.0  # how long a server warms up after its start
    warmup_initial_share: float = 1.0  # fraction of its capacity that a server has at its start
    drain_grace_s: float = 0.0  # time after learning of a drain in which attempts to the server are tolerated
    # a server that is warming up fails under `overload_multiple` times its usual rate for `overload_window_s`
    overload_window_s: float = 0.0
    overload_multiple: float = 1.0
    # with more servers, the work of a tick is spread over several batches; None: the balancer's default
    max_servers_per_tick: int | None = None
    request_classes: Sequence[RequestClass] = ()
    tenants: Sequence[TenantQuota] = ()

    def with_node_count(self, counted: Mapping[str, int]) -> DecisionSettings:
        """Returns the settings with `nodes` and `node` from `counted`; a missing key keeps its value."""
        return replace(self, nodes=counted.get("nodes", self.nodes), node=counted.get("node", self.node))
