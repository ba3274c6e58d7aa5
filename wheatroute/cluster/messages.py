"""Messages between control nodes and edge nodes: msgpack bodies over HTTP.

Keys on the wire are older than the names of fields; a field whose key differs carries it (`name=`).
"""

from __future__ import annotations

from enum import Enum

import msgspec

UPDATES_PATH = "/updates"
USAGE_PATH = "/usage"
MEDIA_TYPE = "application/msgpack"
USAGE_SLOT_S = 0.25  # seconds of a slot of the recent usage that a node keeps by tenant


class InstanceState(Enum):
    """The state of a server's instance in the registry."""

    READY = "ready"
    UNRESPONSIVE = "silent"  # heartbeats are missing; it may be well
    DRAINING = "draining"
    REMOVED = "gone"


class Instance(msgspec.Struct, frozen=True):
    """One incarnation of a server as the registry knows it."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: InstanceState
    changed: int  # the registry's version at its last change
    warmup_remaining_ms: float = msgspec.field(name="cold_until_ms", default=0.0)  # by its last heartbeat
    models: tuple[str, ...] = ()


class RegistryVersion(msgspec.Struct, frozen=True, order=True):
    """The version of the registry: the epoch of the primary that keeps it, and its count of changes."""

    epoch: int = -1
    number: int = 0


class UpdateRequest(msgspec.Struct, frozen=True):
    """A long poll: answered once there is something newer than these versions, or after `wait_s` seconds."""

    node: str
    zone: str
    configuration: int  # sequence of the configuration in force, -1 for none
    registry: RegistryVersion
    wait_s: float
    wants_full: bool = msgspec.field(name="whole", default=False)  # the last difference could not be applied


class Update(msgspec.Struct, frozen=True):
    """What is newer than the versions of a long poll.

    `control_hosts` are the control nodes to ask next, the primary first. `configuration_change` is a
    difference (see `wheatroute.cluster.distribution`), None where the configuration is unchanged.
    """

    epoch: int
    configuration: int
    configuration_change: bytes | None
    registry: RegistryVersion
    instances: tuple[Instance, ...]
    is_full: bool = msgspec.field(name="whole")  # `instances` is the full registry, not a difference
    is_settled: bool = msgspec.field(name="settled")  # instances missing from a full registry are removed
    control_hosts: tuple[str, ...]
    edge_node_count: int = msgspec.field(name="edges")


class NotPrimary(msgspec.Struct, frozen=True):
    """Answer of a control node that isn't the primary; `primary` may be, and is empty if unknown."""

    primary: str
    control_hosts: tuple[str, ...]


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load that one node, or all of them, have at a server.

    Encoded as an array, without field names, since a response lists every server that other nodes use.
    """

    queued_prompt_tokens: int  # that the server has not read yet
    running_requests: int


class QuotaDemand(msgspec.Struct, frozen=True):
    """What a node needs of a tenant's token bucket, and what it did without the primary.

    A node is isolated while it has no contact with a primary. `isolated_usage` counts the tokens that its
    process has used without a grant since it started; `isolated_usage_acknowledged` is the part of it that a
    primary has acknowledged. `recent_usage` is sent to a new primary: the usage of the last window, by slots
    of `USAGE_SLOT_S`, the newest first; tokens that the node has leased count as used.
    """

    wanted: float = 0.0  # tokens
    returned: float = 0.0  # tokens of the lease that the node does not need
    demand_rate: float = msgspec.field(name="rate", default=0.0)  # tokens a second that its clients asked for
    isolated_usage: float = msgspec.field(name="alone", default=0.0)
    isolated_usage_acknowledged: float = msgspec.field(name="alone_told", default=0.0)
    recent_usage: tuple[int, ...] = msgspec.field(name="recent", default=())


class QuotaGrant(msgspec.Struct, frozen=True):
    """Tokens out of a tenant's bucket; `wait_s` until the bucket holds what was wanted.

    `local_rate` (tokens a second) and `local_burst` (tokens) are what the node may use while it is isolated:
    its shares, by its demand, of the rate limit and of the tokens that the bucket holds.
    """

    tokens: float
    wait_s: float = 0.0
    local_rate: float = msgspec.field(name="own_rate", default=0.0)
    local_burst: float = msgspec.field(name="own_tokens", default=0.0)


class UsageReport(msgspec.Struct, frozen=True):
    """An edge node's demand by tenant, its load by server, and the servers that do not answer it."""

    node: str
    tenants: dict[str, QuotaDemand]
    servers: dict[str, ServerLoad] | None = None  # None: unchanged
    # seconds without an answer, by server; None: unchanged
    unresponsive_for: dict[str, float] | None = msgspec.field(name="silent_for", default=None)
    # seconds that `recent_usage` of the tenants goes back; None: it isn't part of this report
    recent_usage_span_s: float | None = msgspec.field(name="recent_s", default=None)


class UsageResponse(msgspec.Struct, frozen=True):
    """What a node is granted by tenant, and the load that other nodes have by server.

    `leadership_epoch` is the epoch in which the primary began to lead. A node that reads another one than
    before sends its recent usage with the next report.
    """

    grants: dict[str, QuotaGrant]
    servers: dict[str, ServerLoad]
    edge_node_count: int = msgspec.field(name="edges")
    leadership_epoch: int = msgspec.field(name="lead", default=-1)
