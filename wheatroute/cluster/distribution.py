"""Distribution of the configuration to edge nodes as differences between committed versions. No I/O.

A `ConfigurationVersion` holds the items of one committed version by name. `apply_difference` is the inverse
of `make_difference`; a digest detects a receiver whose version is not the one from which the difference was
made. A full configuration is the difference from `EMPTY_VERSION`.
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
# The fastest level of zlib: configurations repeat names so often that it compresses them well.
COMPRESSION_LEVEL = 1

# The kinds of items as they are hashed into digests; all versions of this program must use the same values.
DIGEST_KINDS = {Route: b"Route", Service: b"Service", Tenant: b"Tenant"}

Item = TypeVar("Item", Route, Service, Tenant)


class DifferenceError(Exception):
    """A difference can't be applied: it is malformed, or was not made from the present version."""


class ItemChanges(msgspec.Struct, frozen=True):
    """The new and changed items of a configuration, and the names of the removed items."""

    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    removed_routes: tuple[str, ...] = msgspec.field(name="gone_routes", default=())
    removed_services: tuple[str, ...] = msgspec.field(name="gone_services", default=())
    removed_tenants: tuple[str, ...] = msgspec.field(name="gone_tenants", default=())


class Difference(msgspec.Struct, frozen=True):
    """The changes that turn version `base` into version `sequence`, which then has the digest `digest`."""

    base: int
    sequence: int
    generation: int
    limits: ClientLimits
    items: ItemChanges
    digest: int


@dataclass(frozen=True)
class ConfigurationVersion:
    """One version: `sequence` identifies its replicated document, `generation` is the operator's number."""

    sequence: int
    generation: int
    limits: ClientLimits
    routes: Mapping[str, Route]
    services: Mapping[str, Service]
    tenants: Mapping[str, Tenant]
    digest: int  # digest of all items, independent of their order


EMPTY_VERSION = ConfigurationVersion(NO_SEQUENCE, 0, ClientLimits(), {}, {}, {}, 0)


def make_version(
    configuration: Configuration, sequence: int, previous: ConfigurationVersion = EMPTY_VERSION
) -> ConfigurationVersion:
    """Makes the version of a configuration; an item equal to one of `previous` becomes the same object."""
    routes = _share_equal_items(configuration.routes, previous.routes)
    services = _share_equal_items(configuration.services, previous.services)
    tenants = _share_equal_items(configuration.tenants, previous.tenants)
    changes = _item_changes(previous, routes, services, tenants)
    digest = _digest_after(previous, changes)
    return ConfigurationVersion(
        sequence, configuration.generation, configuration.limits, routes, services, tenants, digest
    )


def _share_equal_items(items: Iterable[Item], previous: Mapping[str, Item]) -> dict[str, Item]:
    """The items by name; an item that equals the one in `previous` is replaced by that object."""
    shared: dict[str, Item] = {}
    for item in items:
        existing = previous.get(item.name)
        shared[item.name] = existing if existing is not None and existing == item else item
    return shared


def make_difference(old: ConfigurationVersion, new: ConfigurationVersion) -> Difference:
    """Makes the difference that turns the version `old` into the version `new`."""
    items = _item_changes(old, new.routes, new.services, new.tenants)
    return Difference(old.sequence, new.sequence, new.generation, new.limits, items, new.digest)


def _item_changes(
    old: ConfigurationVersion,
    routes: Mapping[str, Route],
    services: Mapping[str, Service],
    tenants: Mapping[str, Tenant],
) -> ItemChanges:
    return ItemChanges(
        _upserts(old.routes, routes),
        _upserts(old.services, services),
        _upserts(old.tenants, tenants),
        _removed(old.routes, routes),
        _removed(old.services, services),
        _removed(old.tenants, tenants),
    )


def _upserts(old: Mapping[str, Item], new: Mapping[str, Item]) -> tuple[Item, ...]:
    """The items that are new or changed; an object that both versions share isn't compared in full."""
    upserts: list[Item] = []
    for name, item in new.items():
        existing = old.get(name)
        if existing is not item and existing != item:
            upserts.append(item)
    return tuple(upserts)


def _removed(old: Mapping[str, Item], new: Mapping[str, Item]) -> tuple[str, ...]:
    return tuple(name for name in old if name not in new)


def apply_difference(old: ConfigurationVersion, difference: Difference) -> ConfigurationVersion:
    """Applies a difference to `old`; raises DifferenceError unless it was made from that version."""
    if difference.base != old.sequence:
        raise DifferenceError(
            f"difference is based on version {difference.base}, but the current version is {old.sequence}"
        )
    digest = _digest_after(old, difference.items)
    if digest != difference.digest:
        raise DifferenceError(f"digest mismatch after the changes of version {difference.sequence}")
    items = difference.items
    return ConfigurationVersion(
        difference.sequence,
        difference.generation,
        difference.limits,
        _applied(old.routes, items.routes, items.removed_routes),
        _applied(old.services, items.services, items.removed_services),
        _applied(old.tenants, items.tenants, items.removed_tenants),
        digest,
    )


def _applied(
    old: Mapping[str, Item], upserts: tuple[Item, ...], removed: tuple[str, ...]
) -> Mapping[str, Item]:
    if not upserts and not removed:
        return old
    items = dict(old)
    for name in removed:
        items.pop(name, None)
    items.update((item.name, item) for item in upserts)
    return items


def _digest_after(old: ConfigurationVersion, changes: ItemChanges) -> int:
    """The digest of `old` with these changes: a sum over items, so only changed items must be hashed."""
    digest = old.digest
    digest += _digest_of_changes(old.routes, changes.routes, changes.removed_routes)
    digest += _digest_of_changes(old.services, changes.services, changes.removed_services)
    digest += _digest_of_changes(old.tenants, changes.tenants, changes.removed_tenants)
    return digest & DIGEST_MASK


def _digest_of_changes(old: Mapping[str, Item], upserts: tuple[Item, ...], removed: tuple[str, ...]) -> int:
    """Returns by how much the changes alter the digest.

    That is the sum over new and changed items minus the sum over replaced and removed ones.
    """
    names = [*removed, *(item.name for item in upserts)]
    replaced = sum(_item_digest(old[name]) for name in names if name in old)
    return sum(_item_digest(item) for item in upserts) - replaced


def _item_digest(item: Route | Service | Tenant) -> int:
    kind = DIGEST_KINDS[type(item)]
    digest = hashlib.blake2b(msgspec.msgpack.encode(item), digest_size=DIGEST_BYTES, person=kind)
    return int.from_bytes(digest.digest(), "big")


def encode_difference(difference: Difference) -> bytes:
    """Encodes a difference as msgpack, compressed with zlib."""
    return zlib.compress(msgspec.msgpack.encode(difference), COMPRESSION_LEVEL)


def decode_difference(body: bytes) -> Difference:
    """Decodes a difference; raises DifferenceError if it is malformed."""
    try:
        return msgspec.msgpack.decode(zlib.decompress(body), type=Difference)
    except (zlib.error, msgspec.DecodeError) as error:
        raise DifferenceError(f"malformed difference: {error}") from error
