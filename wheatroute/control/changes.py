"""Judges the operator's changes; a state machine without I/O.

A change builds on the version that its `If-Match` names. One that was taken is remembered by its digest, so
that it is acknowledged again when it is sent again after a lost answer, also behind later changes.
"""

from __future__ import annotations

import hashlib
import zlib
from typing import Any

import msgspec

from wheatroute.cluster.errors import ErrorKind, RequestError

REMEMBERED_CHANGES = 2000  # days of several hundred changes
DIGEST_BYTES = 16
COMPRESSION = 1  # of zlib's levels: the fastest
ZLIB_FIRST_BYTE = 0x78  # no msgpack map of a few fields begins with it
LISTS = ("routes", "services", "tenants")


class ConfigurationState(msgspec.Struct, frozen=True):
    """The replicated document: the newest configuration as JSON, and the changes that were taken.

    `bases` are the versions that those of `taken` were built on; `forgotten` is the newest version on which a
    change was built that is remembered no more.
    """

    generation: int = 0
    body: bytes = b""
    taken: tuple[bytes, ...] = ()
    bases: tuple[int, ...] = ()
    forgotten: int = -1


class Change(msgspec.Struct, frozen=True):
    """An order of the operator; `partial` for PATCH."""

    partial: bool
    match: str
    body: bytes

    @property
    def digest(self) -> bytes:
        """Tells this change from all others."""
        found = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (b"patch" if self.partial else b"put", self.match.encode(), self.body):
            found.update(len(part).to_bytes(8, "big"))
            found.update(part)
        return found.digest()


def decode_state(payload: bytes) -> ConfigurationState:
    """The state that a replicated document holds; one of an earlier version isn't compressed."""
    if not payload:
        return ConfigurationState()
    plain = zlib.decompress(payload) if payload[0] == ZLIB_FIRST_BYTE else payload
    return msgspec.msgpack.decode(plain, type=ConfigurationState)


def encode_state(state: ConfigurationState) -> bytes:
    """The document for a state, compressed: each write goes whole to every member's link and disk."""
    return zlib.compress(msgspec.msgpack.encode(state), COMPRESSION)


def apply_change(state: ConfigurationState, change: Change) -> ConfigurationState | None:
    """The state after a change, or None if it was taken before; raises RequestError if it can't be taken."""
    if change.digest in state.taken:
        return None
    matches = _matches(state, change.match)
    try:
        told = msgspec.json.decode(change.body)
    except msgspec.DecodeError as error:
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, f"not JSON: {error}") from error
    if not isinstance(told, dict):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, "not an object")
    if not matches:
        raise _mismatch(state, change.match)
    whole = _patched(state, told) if change.partial else told
    generation = whole.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool) or generation <= state.generation:
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, f"generation is not above {state.generation}")
    if found := _mistakes(whole):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, "; ".join(found))
    body = msgspec.json.encode(whole) if change.partial else change.body
    return _remembering(state, change, generation, body)


def _remembering(
    state: ConfigurationState, change: Change, generation: int, body: bytes
) -> ConfigurationState:
    """The state with one more change, and without the oldest where there are too many."""
    taken, bases = (*state.taken, change.digest), (*state.bases, state.generation)
    dropped = bases[:-REMEMBERED_CHANGES]
    forgotten = max((state.forgotten, *dropped))
    return ConfigurationState(
        generation, body, taken[-REMEMBERED_CHANGES:], bases[-REMEMBERED_CHANGES:], forgotten
    )


def _mismatch(state: ConfigurationState, match: str) -> RequestError:
    """The refusal of a change on another version; no refusal where it may have been taken long ago."""
    text = _version(match)
    if text.isdecimal() and int(text) <= state.forgotten:
        return RequestError(
            ErrorKind.CHANGE_FORGOTTEN, f"whether it was taken on {text} is not known any more"
        )
    return RequestError(ErrorKind.VERSION_MISMATCH, f"the current version is {state.generation}")


def _mistakes(whole: dict[str, Any]) -> list[str]:
    # the role loads it beside its HTTP libraries, after replication has begun
    from wheatroute.control.schema import mistakes

    return mistakes(whole)


def _matches(state: ConfigurationState, match: str) -> bool:
    return _version(match) == str(state.generation)


def _version(match: str) -> str:
    """The version that an `If-Match` names, as it stands there."""
    return match.strip().strip('"')


def _patched(state: ConfigurationState, patch: dict[str, Any]) -> dict[str, Any]:
    """The present configuration with named items replaced, added and removed."""
    whole: dict[str, Any] = msgspec.json.decode(state.body) if state.body else {}
    upsert, delete = patch.get("upsert") or {}, patch.get("delete") or {}
    if not isinstance(upsert, dict) or not isinstance(delete, dict):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, "upsert and delete are objects")
    for name, value in upsert.items():
        whole[name] = _upserted(whole.get(name), value) if isinstance(value, list) else value
    for name, names in delete.items():
        if not isinstance(names, list):
            raise RequestError(ErrorKind.INVALID_CONFIGURATION, f"delete.{name} is no list")
        whole[name] = [item for item in whole.get(name) or [] if item.get("name") not in names]
    whole["generation"] = patch.get("generation")
    return whole


def _upserted(present: Any, items: list[Any]) -> list[Any]:
    """Items replaced in their places by name, new ones behind them."""
    if not all(isinstance(item, dict) and isinstance(item.get("name"), str) for item in items):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, "an item without a name")
    by_name = {item["name"]: item for item in items}
    kept = [by_name.pop(item.get("name"), item) for item in present or []]
    return [*kept, *by_name.values()]
