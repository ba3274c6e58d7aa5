"""What a primary shares with the other control nodes without writing it: the next one starts from it."""

from __future__ import annotations

import msgspec

from wheatroute.cluster.messages import Instance
from wheatroute.control.quotas import BucketLevels


class SoftState(msgspec.Struct, frozen=True):
    """What the next primary starts from: the servers that are there, and what tenants' buckets hold."""

    instances: tuple[Instance, ...]
    buckets: dict[str, float]  # those of the limits
    extras: dict[str, float] = {}  # those beyond them
    edges: int = 0  # edge nodes that were there


def soft_state(instances: tuple[Instance, ...], levels: dict[str, BucketLevels], edges: int) -> SoftState:
    """As it is sent and kept."""
    limits = {tenant: held.limit for tenant, held in levels.items()}
    extras = {tenant: held.extra for tenant, held in levels.items()}
    return SoftState(instances, limits, extras, edges)


def told_levels(soft: SoftState) -> dict[str, BucketLevels]:
    """What the buckets held."""
    return {tenant: BucketLevels(held, soft.extras.get(tenant, 0.0)) for tenant, held in soft.buckets.items()}
