"""What an edge node is sent of the configuration: the difference from the version that it has.

A `Snapshot` is one committed version, by name of its items. `difference` and `changed` are each other's
inverse; a digest tells whether the receiver had the version that the difference was made from. A whole
configuration is the difference from `NOTHING`. Free of I/O.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from wheatroute.cluster.configuration import ClientLimits, Configuration, Route, Service, Tenant

NO_SEQUENCE = -1
DIGEST_BYTES = 8
DIGEST_MASK = (1 << 8 * DIGEST_BYTES) - 1
COMPRESSION = 1  # of zlib's levels: the fastest; documents of names repeat themselves enough for it

Item = TypeVar("Item", Route, Service, Tenant)


class DifferenceError(Exception):
    """A difference can't be used here: unreadable, or made from another version than the one at hand."""


class ItemChanges(msgspec.Struct, frozen=True):
    """New and changed items of a configuration, and the names of those that are gone."""

    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    gone_routes: tuple[str, ...] = ()
    gone_services: tuple[str, ...] = ()
    gone_tenants: tuple[str, ...] = ()


class Difference(msgspec.Struct, frozen=True):
    """How to make the version `sequence` from the version `base`; `digest` is that of the result."""

    base: int
    sequence: int
    generation: int
    limits: ClientLimits
    items: ItemChanges
    digest: int


@dataclass(frozen=True)
class Snapshot:
    """One version: `sequence` is that of its replicated document, `generation` the operator's number."""

    sequence: int
    generation: int
    limits: ClientLimits
    routes: Mapping[str, Route]
    services: Mapping[str, Service]
    tenants: Mapping[str, Tenant]
    digest: int  # of the items, whatever their order


NOTHING = Snapshot(NO_SEQUENCE, 0, ClientLimits(), {}, {}, {}, 0)


def snapshot(configuration: Configuration, sequence: int, before: Snapshot = NOTHING) -> Snapshot:
    """A version of the configuration; items that are as in `before` are shared with it."""
    routes = _shared(configuration.routes, before.routes)
    services = _shared(configuration.services, before.services)
    tenants = _shared(configuration.tenants, before.tenants)
    changes = _item_changes(before, routes, services, tenants)
    digest = _digest_after(before, changes)
    return Snapshot(
        sequence, configuration.generation, configuration.limits, routes, services, tenants, digest
    )


def _shared(items: Iterable[Item], before: Mapping[str, Item]) -> dict[str, Item]:
    """The items by name, each as the object that `before` has if it is equal."""
    found: dict[str, Item] = {}
    for item in items:
        known = before.get(item.name)
        found[item.name] = known if known is not None and known == item else item
    return found


def difference(old: Snapshot, new: Snapshot) -> Difference:
    """What a node with the version `old` needs to have the version `new`."""
    items = _item_changes(old, new.routes, new.services, new.tenants)
    return Difference(old.sequence, new.sequence, new.generation, new.limits, items, new.digest)


def _item_changes(
    old: Snapshot,
    routes: Mapping[str, Route],
    services: Mapping[str, Service],
    tenants: Mapping[str, Tenant],
) -> ItemChanges:
    return ItemChanges(
        _upserts(old.routes, routes),
        _upserts(old.services, services),
        _upserts(old.tenants, tenants),
        _gone(old.routes, routes),
        _gone(old.services, services),
        _gone(old.tenants, tenants),
    )


def _upserts(old: Mapping[str, Item], new: Mapping[str, Item]) -> tuple[Item, ...]:
    """Items that are new, or differ; those that both versions share are the same object."""
    found: list[Item] = []
    for name, item in new.items():
        known = old.get(name)
        if known is not item and known != item:
            found.append(item)
    return tuple(found)


def _gone(old: Mapping[str, Item], new: Mapping[str, Item]) -> tuple[str, ...]:
    return tuple(name for name in old if name not in new)


def changed(old: Snapshot, told: Difference) -> Snapshot:
    """The version that a difference tells; raises DifferenceError unless `old` is what it was made from."""
    if told.base != old.sequence:
        raise DifferenceError(f"made from {told.base}, not from {old.sequence}")
    digest = _digest_after(old, told.items)
    if digest != told.digest:
        raise DifferenceError(f"version {told.sequence} has another digest than it should")
    items = told.items
    return Snapshot(
        told.sequence,
        told.generation,
        told.limits,
        _applied(old.routes, items.routes, items.gone_routes),
        _applied(old.services, items.services, items.gone_services),
        _applied(old.tenants, items.tenants, items.gone_tenants),
        digest,
    )


def _applied(old: Mapping[str, Item], upserts: tuple[Item, ...], gone: tuple[str, ...]) -> Mapping[str, Item]:
    if not upserts and not gone:
        return old
    found = dict(old)
    for name in gone:
        found.pop(name, None)
    found.update((item.name, item) for item in upserts)
    return found


def _digest_after(old: Snapshot, changes: ItemChanges) -> int:
    """The digest of a version that differs from `old` by these changes: a sum, so only they are hashed."""
    digest = old.digest
    digest += _digest_of_changes(old.routes, changes.routes, changes.gone_routes)
    digest += _digest_of_changes(old.services, changes.services, changes.gone_services)
    digest += _digest_of_changes(old.tenants, changes.tenants, changes.gone_tenants)
    return digest & DIGEST_MASK


def _digest_of_changes(old: Mapping[str, Item], upserts: tuple[Item, ...], gone: tuple[str, ...]) -> int:
    """What a change adds to the sum, less what it takes away."""
    names = [*gone, *(item.name for item in upserts)]
    taken = sum(_item_digest(old[name]) for name in names if name in old)
    return sum(_item_digest(item) for item in upserts) - taken


def _item_digest(item: Route | Service | Tenant) -> int:
    kind = type(item).__name__.encode()
    found = hashlib.blake2b(msgspec.msgpack.encode(item), digest_size=DIGEST_BYTES, person=kind)
    return int.from_bytes(found.digest(), "big")


def encode_difference(told: Difference) -> bytes:
    """A difference as it is sent: msgpack, compressed."""
    return zlib.compress(msgspec.msgpack.encode(told), COMPRESSION)


def decode_difference(body: bytes) -> Difference:
    """The difference that was sent; raises DifferenceError if it can't be read."""
    try:
        return msgspec.msgpack.decode(zlib.decompress(body), type=Difference)
    except (zlib.error, msgspec.DecodeError) as error:
        raise DifferenceError(f"unreadable: {error}") from error
