"""What control nodes and edge nodes say to each other: msgpack bodies over HTTP."""

from __future__ import annotations

from enum import Enum

import msgspec

UPDATES_PATH = "/updates"
USAGE_PATH = "/usage"
MEDIA_TYPE = "application/msgpack"
USAGE_SLOT_S = 0.25  # seconds of one slot in which a node keeps what tenants used of late


class InstanceState(Enum):
    """What the registry says of a server."""

    READY = "ready"
    SILENT = "silent"  # heartbeats are missing; it may be well
    DRAINING = "draining"
    GONE = "gone"


class Instance(msgspec.Struct, frozen=True):
    """One incarnation of a server as the registry knows it."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: InstanceState
    changed: int  # the registry's version at its last change
    cold_until_ms: float = 0.0  # how much longer it was slow when it was heard last
    models: tuple[str, ...] = ()


class RegistryVersion(msgspec.Struct, frozen=True, order=True):
    """The epoch of the primary that keeps the registry, and its own count of changes."""

    epoch: int = -1
    number: int = 0


class UpdateRequest(msgspec.Struct, frozen=True):
    """A long poll: answered once there is something newer than these versions, or after `wait_s`."""

    node: str
    zone: str
    configuration: int  # sequence of the document in force, -1 for none
    registry: RegistryVersion
    wait_s: float
    whole: bool = False  # a difference didn't fit the version at hand


class Update(msgspec.Struct, frozen=True):
    """What is newer; `control_hosts` are the nodes that may be asked next, the primary first."""

    epoch: int
    configuration: int
    configuration_change: bytes | None  # see `wheatroute.cluster.distribution`
    registry: RegistryVersion
    instances: tuple[Instance, ...]
    whole: bool  # `instances` lists all that the registry holds
    settled: bool  # what isn't listed in a whole list is gone
    control_hosts: tuple[str, ...]
    edges: int


class NotServing(msgspec.Struct, frozen=True):
    """This control node doesn't lead; `primary` may, or is empty."""

    primary: str
    control_hosts: tuple[str, ...]


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one node, or all of them, have at a server: prompt tokens to be read, and requests.

    Sent without field names, as an answer to a report lists every server that others use.
    """

    waiting_tokens: int
    running: int


class QuotaNeed(msgspec.Struct, frozen=True):
    """Tokens that a node wants of a tenant's bucket, and those that it gives back unused.

    `alone` counts the tokens that its process has used without a primary's grant, and `alone_told` how many
    of them a primary has heard of and answered. `recent` is told to a new primary: all that was used of late,
    by slots of `USAGE_SLOT_S`, the newest first; the tokens that the node holds count as used.
    """

    wanted: float = 0.0
    returned: float = 0.0
    rate: float = 0.0  # tokens a second that its clients asked for of late
    alone: float = 0.0
    alone_told: float = 0.0
    recent: tuple[int, ...] = ()


class QuotaGrant(msgspec.Struct, frozen=True):
    """Tokens out of a tenant's bucket; `wait_s` until the bucket holds what was wanted.

    `own_rate` and `own_tokens` are the node's parts, by its need, of the rate and of what the bucket still
    holds, for when it has no word from the primary.
    """

    tokens: float
    wait_s: float = 0.0
    own_rate: float = 0.0
    own_tokens: float = 0.0


class UsageReport(msgspec.Struct, frozen=True):
    """What an edge node needs of quotas, and has at servers."""

    node: str
    tenants: dict[str, QuotaNeed]
    servers: dict[str, ServerLoad] | None = None  # None: unchanged
    silent_for: dict[str, float] | None = None  # seconds, by server that answers nothing; None: unchanged
    recent_s: float | None = None  # seconds that `recent` of the tenants goes back; None: it isn't told


class UsageAnswer(msgspec.Struct, frozen=True):
    """What a node is granted, and what other nodes have at servers.

    `lead` is the epoch in which the primary began to lead: a node that reads another one than before tells
    what its tenants used of late.
    """

    grants: dict[str, QuotaGrant]
    servers: dict[str, ServerLoad]
    edges: int
    lead: int = -1
