"""Distribution of the configuration to edge nodes as differences between committed versions. No I/O.

A `ConfigurationVersion` holds the items of one committed version by name. `make_difference` and
`apply_difference` are inverse to each other; a digest detects a receiver whose version is not the one that
the difference was made from. A full configuration is the difference from `EMPTY_VERSION`.
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
COMPRESSION_LEVEL = 1  # zlib's fastest: configurations repeat names so often that it compresses them well

# kinds of items as they enter digests, which old and new versions of this program must agree on
DIGEST_KINDS = {Route: b"Route", Service: b"Service", Tenant: b"Tenant"}

Item = TypeVar("Item", Route, Service, Tenant)


class DifferenceError(Exception):
    """A difference that can't be applied: unreadable, or made from another version than the present one."""


class ItemChanges(msgspec.Struct, frozen=True):
    """New and changed items of a configuration, and the names of removed ones."""

    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    removed_routes: tuple[str, ...] = msgspec.field(name="gone_routes", default=())
    removed_services: tuple[str, ...] = msgspec.field(name="gone_services", default=())
    removed_tenants: tuple[str, ...] = msgspec.field(name="gone_tenants", default=())


class Difference(msgspec.Struct, frozen=True):
    """How to make the version `sequence` from the version `base`; `digest` is that of the result."""

    base: int
    sequence: int
    generation: int
    limits: ClientLimits
    items: ItemChanges
    digest: int


@dataclass(frozen=True)
class ConfigurationVersion:
    """One version: `sequence` is that of its replicated document, `generation` the operator's number."""

    sequence: int
    generation: int
    limits: ClientLimits
    routes: Mapping[str, Route]
    services: Mapping[str, Service]
    tenants: Mapping[str, Tenant]
    digest: int  # of the items, whatever their order


EMPTY_VERSION = ConfigurationVersion(NO_SEQUENCE, 0, ClientLimits(), {}, {}, {}, 0)


def make_version(
    configuration: Configuration, sequence: int, before: ConfigurationVersion = EMPTY_VERSION
) -> ConfigurationVersion:
    """The version of a configuration; items equal to those of `before` are shared with it, as objects."""
    routes = _share_equal_items(configuration.routes, before.routes)
    services = _share_equal_items(configuration.services, before.services)
    tenants = _share_equal_items(configuration.tenants, before.tenants)
    changes = _item_changes(before, routes, services, tenants)
    digest = _digest_after(before, changes)
    return ConfigurationVersion(
        sequence, configuration.generation, configuration.limits, routes, services, tenants, digest
    )


def _share_equal_items(items: Iterable[Item], before: Mapping[str, Item]) -> dict[str, Item]:
    """The items by name, each as the object of `before` where that is equal."""
    found: dict[str, Item] = {}
    for item in items:
        present = before.get(item.name)
        found[item.name] = present if present is not None and present == item else item
    return found


def make_difference(old: ConfigurationVersion, new: ConfigurationVersion) -> Difference:
    """The difference that turns the version `old` into the version `new`."""
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
    """Items that are new, or differ; those that both versions share are the same object."""
    found: list[Item] = []
    for name, item in new.items():
        present = old.get(name)
        if present is not item and present != item:
            found.append(item)
    return tuple(found)


def _removed(old: Mapping[str, Item], new: Mapping[str, Item]) -> tuple[str, ...]:
    return tuple(name for name in old if name not in new)


def apply_difference(old: ConfigurationVersion, difference: Difference) -> ConfigurationVersion:
    """The version that a difference leads to; raises DifferenceError unless it was made from `old`."""
    if difference.base != old.sequence:
        raise DifferenceError(f"made from {difference.base}, not from {old.sequence}")
    digest = _digest_after(old, difference.items)
    if digest != difference.digest:
        raise DifferenceError(f"version {difference.sequence} has another digest than it should")
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
    found = dict(old)
    for name in removed:
        found.pop(name, None)
    found.update((item.name, item) for item in upserts)
    return found


def _digest_after(old: ConfigurationVersion, changes: ItemChanges) -> int:
    """The digest of a version that differs from `old` by these changes: a sum, so only they are hashed."""
    digest = old.digest
    digest += _digest_of_changes(old.routes, changes.routes, changes.removed_routes)
    digest += _digest_of_changes(old.services, changes.services, changes.removed_services)
    digest += _digest_of_changes(old.tenants, changes.tenants, changes.removed_tenants)
    return digest & DIGEST_MASK


def _digest_of_changes(old: Mapping[str, Item], upserts: tuple[Item, ...], removed: tuple[str, ...]) -> int:
    """What a change adds to the sum, less what it takes away."""
    names = [*removed, *(item.name for item in upserts)]
    replaced = sum(_item_digest(old[name]) for name in names if name in old)
    return sum(_item_digest(item) for item in upserts) - replaced


def _item_digest(item: Route | Service | Tenant) -> int:
    kind = DIGEST_KINDS[type(item)]
    found = hashlib.blake2b(msgspec.msgpack.encode(item), digest_size=DIGEST_BYTES, person=kind)
    return int.from_bytes(found.digest(), "big")


def encode_difference(difference: Difference) -> bytes:
    """The encoded difference: msgpack, compressed with zlib."""
    return zlib.compress(msgspec.msgpack.encode(difference), COMPRESSION_LEVEL)


def decode_difference(body: bytes) -> Difference:
    """The decoded difference; raises DifferenceError if it can't be read."""
    try:
        return msgspec.msgpack.decode(zlib.decompress(body), type=Difference)
    except (zlib.error, msgspec.DecodeError) as error:
        raise DifferenceError(f"unreadable: {error}") from error
