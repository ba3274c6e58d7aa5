"""Messages between control nodes and edge nodes: msgpack bodies over HTTP.

Keys on the wire keep the names of earlier program versions; a field with another name declares its key with
`name=`.
"""

from __future__ import annotations

from enum import Enum

import msgspec

UPDATES_PATH = "/updates"
USAGE_PATH = "/usage"
MEDIA_TYPE = "application/msgpack"
USAGE_SLOT_S = 0.25  # length of a time slot in the recent usage that a node keeps for each tenant


class InstanceState(Enum):
    """The state of a server's instance in the registry."""

    READY = "ready"
    UNRESPONSIVE = "silent"  # it missed heartbeats or is suspected to have failed; it may still work
    DRAINING = "draining"
    REMOVED = "gone"


class Instance(msgspec.Struct, frozen=True):
    """One incarnation of a server, as known to the registry."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: InstanceState
    changed: int  # number of the registry's version at the last change of this instance
    # remaining warm-up time at the heartbeat that changed this instance last; not updated as it decreases
    warmup_remaining_ms: float = msgspec.field(name="cold_until_ms", default=0.0)
    models: tuple[str, ...] = ()


class RegistryVersion(msgspec.Struct, frozen=True, order=True):
    """The version of the registry: the epoch of its primary, and the number of changes in that epoch."""

    epoch: int = -1
    number: int = 0


class UpdateRequest(msgspec.Struct, frozen=True):
    """A long poll: returns once there is anything newer than these versions, or after `wait_s` seconds."""

    node: str
    zone: str
    configuration: int  # sequence of the applied configuration, -1 for none
    registry: RegistryVersion
    wait_s: float
    # asks for the full configuration, since the last difference could not be applied
    wants_full: bool = msgspec.field(name="whole", default=False)


class Update(msgspec.Struct, frozen=True):
    """The response to a long poll: everything newer than the versions in the request.

    `control_hosts` are the hosts of all control nodes that the sender knows, sorted. `configuration_change`
    is a difference (see `wheatroute.cluster.distribution`), None if the configuration is unchanged.
    """

    epoch: int
    configuration: int
    configuration_change: bytes | None
    registry: RegistryVersion
    instances: tuple[Instance, ...]
    # whether `instances` is the full registry rather than the changed instances
    is_full: bool = msgspec.field(name="whole")
    # whether instances that are missing from a full registry count as removed
    is_settled: bool = msgspec.field(name="settled")
    control_hosts: tuple[str, ...]
    edge_node_count: int = msgspec.field(name="edges")


class NotPrimary(msgspec.Struct, frozen=True):
    """Response of a control node that isn't the primary; `primary` is the likely one, empty if unknown."""

    primary: str
    control_hosts: tuple[str, ...]


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load that one or several edge nodes put on a server.

    Encoded as an array, without field names, since a response lists every server that other nodes use.
    """

    queued_prompt_tokens: int  # prompt tokens that the server has not processed yet
    running_requests: int


class QuotaDemand(msgspec.Struct, frozen=True):
    """A node's demand on a tenant's token bucket, and its usage without the primary.

    A node is isolated while it has no contact with a primary. `isolated_usage` counts the tokens that its
    process has used without a grant since it started; `isolated_usage_acknowledged` is the part of it that a
    primary has acknowledged. `recent_usage` is sent to a new primary: the usage in the last window, in slots
    of `USAGE_SLOT_S`, the newest first; tokens that the node has leased count as used.
    """

    wanted: float = 0.0  # requested tokens
    returned: float = 0.0  # leased tokens that the node does not need
    # tokens per second that its clients requested
    demand_rate: float = msgspec.field(name="rate", default=0.0)
    isolated_usage: float = msgspec.field(name="alone", default=0.0)
    isolated_usage_acknowledged: float = msgspec.field(name="alone_told", default=0.0)
    recent_usage: tuple[int, ...] = msgspec.field(name="recent", default=())


class QuotaGrant(msgspec.Struct, frozen=True):
    """The tokens granted from a tenant's bucket; `wait_s` is the time until it holds the requested tokens.

    `local_rate` (tokens per second) and `local_burst` (tokens) limit the node's usage while it is isolated:
    its shares, in proportion to its demand, of the rate limit and of the tokens in the bucket.
    """

    tokens: float
    wait_s: float = 0.0
    local_rate: float = msgspec.field(name="own_rate", default=0.0)
    local_burst: float = msgspec.field(name="own_tokens", default=0.0)


class UsageReport(msgspec.Struct, frozen=True):
    """An edge node's demand by tenant, its load by server, and the servers that do not respond to it."""

    node: str
    tenants: dict[str, QuotaDemand]
    servers: dict[str, ServerLoad] | None = None  # None: unchanged since the last report
    # seconds without a response, by server; None: unchanged since the last report
    unresponsive_for: dict[str, float] | None = msgspec.field(name="silent_for", default=None)
    # seconds that the tenants' `recent_usage` covers; None: this report has no recent usage
    recent_usage_span_s: float | None = msgspec.field(name="recent_s", default=None)


class UsageResponse(msgspec.Struct, frozen=True):
    """A node's grants by tenant, and the load of the other nodes by server.

    `leadership_epoch` is the epoch in which the primary began to lead. When it changes, the node sends its
    recent usage with the next report.
    """

    grants: dict[str, QuotaGrant]
    servers: dict[str, ServerLoad]
    edge_node_count: int = msgspec.field(name="edges")
    leadership_epoch: int = msgspec.field(name="lead", default=-1)
