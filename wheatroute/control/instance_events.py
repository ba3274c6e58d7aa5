"""What happens to servers in the registry, and why, for the log. No I/O."""

from __future__ import annotations

from enum import Enum

import msgspec

from wheatroute.cluster.messages import InstanceState


class InstanceCause(Enum):
    """Why the registry changed the state of a server."""

    HEARTBEAT = "heartbeat"  # the server said so itself
    DEREGISTERED = "deregistered"  # the server sent its DELETE
    MISSED_HEARTBEATS = "missed-heartbeats"
    UNCONFIRMED = "unconfirmed"  # restored from the previous primary, and no heartbeat since
    HEARTBEAT_IGNORED = "heartbeat-ignored"  # a heartbeat of a server whose removal is final


class InstanceEvent(msgspec.Struct, frozen=True):
    """A server's new state in the registry; `previous` is None for a server that was unknown."""

    server: str
    previous: InstanceState | None
    state: InstanceState
    cause: InstanceCause
