"""Soft state of the primary: not part of the replicated document, but sent to the other control nodes.

The next primary starts from it. Defines the payloads and their encoding, without I/O; `soft_state_sharing`
sends them.
"""

from __future__ import annotations

import msgspec

from wheatroute.cluster.messages import Instance
from wheatroute.control.quotas import BucketLevels


class SoftState(msgspec.Struct, frozen=True):
    """The initial state of the next primary: servers, departures, bucket levels, the number of edge nodes."""

    instances: tuple[Instance, ...]
    limit_levels: dict[str, float] = msgspec.field(name="buckets")  # tokens, by tenant
    excess_levels: dict[str, float] = msgspec.field(name="extras", default_factory=dict)
    edge_node_count: int = msgspec.field(name="edges", default=0)
    # seconds since the departure of each server that announced its end and is removed, by its id
    departures: dict[str, float] | msgspec.UnsetType = msgspec.field(name="departed", default=msgspec.UNSET)

    def departure_ages(self) -> dict[str, float]:
        """The seconds since each departure, by server; none from earlier program versions."""
        return {} if self.departures is msgspec.UNSET else self.departures

    def levels(self) -> dict[str, BucketLevels]:
        """The levels of all buckets, by tenant."""
        return {
            tenant: BucketLevels(tokens, self.excess_levels.get(tenant, 0.0))
            for tenant, tokens in self.limit_levels.items()
        }


def make_soft_state(
    instances: tuple[Instance, ...],
    levels: dict[str, BucketLevels],
    edge_node_count: int,
    departure_ages: dict[str, float] | None = None,
) -> SoftState:
    """Builds the soft state.

    `levels` are the levels of both buckets of each tenant, by name; `departure_ages` are the seconds since
    each departure, by server.
    """
    limits = {tenant: level.limit for tenant, level in levels.items()}
    excesses = {tenant: level.excess for tenant, level in levels.items()}
    return SoftState(instances, limits, excesses, edge_node_count, departure_ages or msgspec.UNSET)


def decode_soft_state(payload: bytes) -> SoftState:
    """Decodes the soft state; raises `msgspec.DecodeError` if the payload is malformed."""
    return msgspec.msgpack.decode(payload, type=SoftState)


def encode_levels(levels: dict[str, BucketLevels]) -> bytes:
    """Encodes bucket levels by tenant, as sent between two messages with the full soft state."""
    return msgspec.msgpack.encode(levels)


def decode_levels(payload: bytes) -> dict[str, BucketLevels]:
    """Decodes bucket levels by tenant, {} if the payload is empty; raises `msgspec.DecodeError`."""
    if not payload:
        return {}
    return msgspec.msgpack.decode(payload, type=dict[str, BucketLevels])
