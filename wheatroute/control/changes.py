"""Applies operators' changes to the configuration. A state machine without I/O.

A change builds on the generation that its `If-Match` names. A change that was applied is remembered by its
digest, so that it is acknowledged again when it is sent again after a lost response, also after later
changes.
"""

from __future__ import annotations

import hashlib
import zlib
from typing import Any

import msgspec

from wheatroute.cluster.errors import ErrorKind, RequestError

MAX_REMEMBERED_CHANGES = 2000  # days of several hundred changes
DIGEST_BYTES = 16
COMPRESSION_LEVEL = 1  # of zlib: the fastest
ZLIB_FIRST_BYTE = 0x78  # no msgpack map of a few fields begins with it


class ConfigurationState(msgspec.Struct, frozen=True):
    """The replicated document: the newest configuration as JSON, and the changes that were applied.

    `base_generations` are the generations that the changes of `applied_digests` were built on, in the same
    order. `newest_forgotten_base` is the newest generation that a change was built on whose digest is no
    longer remembered, -1 for none.
    """

    generation: int = 0
    body: bytes = b""
    applied_digests: tuple[bytes, ...] = msgspec.field(name="taken", default=())
    base_generations: tuple[int, ...] = msgspec.field(name="bases", default=())
    newest_forgotten_base: int = msgspec.field(name="forgotten", default=-1)


class Change(msgspec.Struct, frozen=True):
    """A PUT or PATCH of the configuration by an operator: its `If-Match` header and its body."""

    is_partial: bool  # PATCH
    if_match: str
    body: bytes

    @property
    def digest(self) -> bytes:
        """Identifies this change: the digest of its method, header and body."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for field in (b"patch" if self.is_partial else b"put", self.if_match.encode(), self.body):
            digest.update(len(field).to_bytes(8, "big"))
            digest.update(field)
        return digest.digest()


def decode_state(payload: bytes) -> ConfigurationState:
    """The state in a replicated document, which earlier versions of the program wrote uncompressed."""
    if not payload:
        return ConfigurationState()
    plain = zlib.decompress(payload) if payload[0] == ZLIB_FIRST_BYTE else payload
    return msgspec.msgpack.decode(plain, type=ConfigurationState)


def encode_state(state: ConfigurationState) -> bytes:
    """The document of a state, compressed: each write sends it in full to every member's link and disk."""
    return zlib.compress(msgspec.msgpack.encode(state), COMPRESSION_LEVEL)


def apply_change(state: ConfigurationState, change: Change) -> ConfigurationState | None:
    """The state after a change, or None if the change was applied before.

    Raises `RequestError` if the change is invalid, is built on another generation, or may have been applied
    so long ago that its digest is forgotten.
    """
    if change.digest in state.applied_digests:
        return None
    document = _decode_body(change.body)
    if _base_generation(change) != str(state.generation):
        raise _mismatch(state, change)
    configuration = _patched(state, document) if change.is_partial else document
    generation = _new_generation(state, configuration)
    if errors := _validation_errors(configuration):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, "; ".join(errors))
    body = msgspec.json.encode(configuration) if change.is_partial else change.body
    return _next_state(state, change, generation, body)


def _decode_body(body: bytes) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, "not an object")
    return document


def _base_generation(change: Change) -> str:
    """The generation that a change is built on, as the text of its `If-Match`."""
    return change.if_match.strip().strip('"')


def _mismatch(state: ConfigurationState, change: Change) -> RequestError:
    """The error of a change that is built on another generation.

    Where its digest may be forgotten, the change must not be rejected: it may have been applied.
    """
    base = _base_generation(change)
    if base.isdecimal() and int(base) <= state.newest_forgotten_base:
        return RequestError(
            ErrorKind.CHANGE_FORGOTTEN, f"whether it was taken on {base} is not known any more"
        )
    return RequestError(ErrorKind.VERSION_MISMATCH, f"the current version is {state.generation}")


def _new_generation(state: ConfigurationState, configuration: dict[str, Any]) -> int:
    """The generation of a configuration; raises `RequestError` unless it is above the present one."""
    generation = configuration.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool) or generation <= state.generation:
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, f"generation is not above {state.generation}")
    return generation


def _validation_errors(configuration: dict[str, Any]) -> list[str]:
    # pydantic is loaded by the role beside its HTTP libraries, after replication has begun
    from wheatroute.control.schema import validation_errors

    return validation_errors(configuration)


def _next_state(
    state: ConfigurationState, change: Change, generation: int, body: bytes
) -> ConfigurationState:
    """The state with one more remembered change; the oldest ones beyond the maximum are forgotten."""
    digests = (*state.applied_digests, change.digest)
    bases = (*state.base_generations, state.generation)
    forgotten_bases = bases[:-MAX_REMEMBERED_CHANGES]
    return ConfigurationState(
        generation,
        body,
        digests[-MAX_REMEMBERED_CHANGES:],
        bases[-MAX_REMEMBERED_CHANGES:],
        max((state.newest_forgotten_base, *forgotten_bases)),
    )


def _patched(state: ConfigurationState, patch: dict[str, Any]) -> dict[str, Any]:
    """The present configuration with named items replaced, added and removed."""
    configuration: dict[str, Any] = msgspec.json.decode(state.body) if state.body else {}
    upsert, delete = patch.get("upsert") or {}, patch.get("delete") or {}
    if not isinstance(upsert, dict) or not isinstance(delete, dict):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, "upsert and delete are objects")
    for key, value in upsert.items():
        configuration[key] = _upserted(configuration.get(key), value) if isinstance(value, list) else value
    for key, names in delete.items():
        if not isinstance(names, list):
            raise RequestError(ErrorKind.INVALID_CONFIGURATION, f"delete.{key} is no list")
        configuration[key] = [item for item in configuration.get(key) or [] if item.get("name") not in names]
    configuration["generation"] = patch.get("generation")
    return configuration


def _upserted(present: Any, items: list[Any]) -> list[Any]:
    """The present items with those of the same name replaced in place, and new ones appended."""
    if not all(isinstance(item, dict) and isinstance(item.get("name"), str) for item in items):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, "an item without a name")
    by_name = {item["name"]: item for item in items}
    replaced = [by_name.pop(item.get("name"), item) for item in present or []]
    return [*replaced, *by_name.values()]
