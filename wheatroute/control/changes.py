"""Applies operators' changes to the configuration. A state machine without I/O.

A change is based on the generation that its `If-Match` header names. The digest of an applied change is
remembered, so that the change is acknowledged again when the client resends it after a lost response, even if
other changes followed.
"""

from __future__ import annotations

import hashlib
import zlib
from typing import Any

import msgspec

from wheatroute.cluster.configuration import UnreadableConfigurationError, decode_configuration
from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.control.configuration_limits import ConfigurationLimits

MAX_REMEMBERED_CHANGES = 2000  # enough for several days with several hundred changes each
DIGEST_BYTES = 16
COMPRESSION_LEVEL = 1  # the fastest level of zlib
ZLIB_FIRST_BYTE = 0x78  # a msgpack map of a few fields never starts with this byte


class ConfigurationState(msgspec.Struct, frozen=True):
    """The replicated document: the newest configuration as JSON, and the changes that were applied.

    `base_generations` are the generations on which the changes in `applied_digests` were based, in the same
    order. `newest_forgotten_base` is the newest base generation of the changes whose digests are no longer
    remembered, -1 if there are none.
    """

    generation: int = 0
    body: bytes = b""
    applied_digests: tuple[bytes, ...] = msgspec.field(name="taken", default=())
    base_generations: tuple[int, ...] = msgspec.field(name="bases", default=())
    newest_forgotten_base: int = msgspec.field(name="forgotten", default=-1)


class Change(msgspec.Struct, frozen=True):
    """A PUT or PATCH of the configuration by an operator: its `If-Match` header and its body."""

    is_partial: bool  # true for PATCH, false for PUT
    if_match: str
    body: bytes

    @property
    def digest(self) -> bytes:
        """The digest of method, header and body, which identifies this change."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for field in (b"patch" if self.is_partial else b"put", self.if_match.encode(), self.body):
            digest.update(len(field).to_bytes(8, "big"))
            digest.update(field)
        return digest.digest()


def decode_state(payload: bytes) -> ConfigurationState:
    """Decodes the state in a replicated document; earlier program versions wrote it uncompressed."""
    if not payload:
        return ConfigurationState()
    plain = zlib.decompress(payload) if payload[0] == ZLIB_FIRST_BYTE else payload
    return msgspec.msgpack.decode(plain, type=ConfigurationState)


def encode_state(state: ConfigurationState) -> bytes:
    """Encodes a state; compressed, because each write sends all of it to every member, which stores it."""
    return zlib.compress(msgspec.msgpack.encode(state), COMPRESSION_LEVEL)


def apply_change(
    state: ConfigurationState, change: Change, limits: ConfigurationLimits
) -> ConfigurationState | None:
    """Returns the state after a change, or None if the change was applied before.

    Raises `RequestError` if the change is invalid, if it or its result is too large, if it is based on
    another generation, or if it may have been applied so long ago that its digest is no longer remembered.
    """
    if change.digest in state.applied_digests:
        return None
    limits.check(change.body)
    document = _decode_body(change.body)
    if _base_generation(change) != str(state.generation):
        raise _mismatch(state, change)
    configuration = _patched(state, document) if change.is_partial else document
    generation = _new_generation(state, configuration)
    body = _encoded(configuration) if change.is_partial else change.body
    limits.check(body)
    if errors := _validation_errors(configuration):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, "; ".join(errors))
    _require_readable(body)
    return _next_state(state, change, generation, body)


def _decode_body(body: bytes) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, f"body is not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, "body must be a JSON object")
    return document


def _base_generation(change: Change) -> str:
    """The generation on which a change is based, as the text of its `If-Match` header."""
    return change.if_match.strip().strip('"')


def _mismatch(state: ConfigurationState, change: Change) -> RequestError:
    """The error for a change that is based on another generation.

    If the digest of the change may have been forgotten, the change may have been applied, so the error must
    not say that it was rejected: its kind is then `CHANGE_FORGOTTEN` rather than `VERSION_MISMATCH`.
    """
    base = _base_generation(change)
    if base.isdecimal() and int(base) <= state.newest_forgotten_base:
        return RequestError(
            ErrorKind.CHANGE_FORGOTTEN,
            f"the change on generation {base} may have been applied, but is too old to be remembered",
        )
    return RequestError(
        ErrorKind.VERSION_MISMATCH, f"If-Match does not name the current generation {state.generation}"
    )


def _new_generation(state: ConfigurationState, configuration: dict[str, Any]) -> int:
    """The generation of a configuration; raises `RequestError` unless it exceeds the present generation."""
    generation = configuration.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool) or generation <= state.generation:
        raise RequestError(
            ErrorKind.INVALID_CONFIGURATION, f"generation must be an integer above {state.generation}"
        )
    return generation


def _validation_errors(configuration: dict[str, Any]) -> list[str]:
    # Imported here because the role loads pydantic with its HTTP libraries, after replication has started.
    from wheatroute.control.schema import validation_errors

    return validation_errors(configuration)


def _encoded(configuration: dict[str, Any]) -> bytes:
    try:
        return msgspec.json.encode(configuration)
    except (OverflowError, RecursionError) as error:
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, str(error)) from error


def _require_readable(body: bytes) -> None:
    """Raises `RequestError` unless each node can read the configuration once it is committed.

    The schema and the data plane define the types of the fields separately. Without this check, a value that
    only the schema accepts would be found when it is too late to reject the change.
    """
    try:
        decode_configuration(body)
    except UnreadableConfigurationError as error:
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, str(error)) from error


def _next_state(
    state: ConfigurationState, change: Change, generation: int, body: bytes
) -> ConfigurationState:
    """The state after a change; the oldest remembered changes beyond the maximum are forgotten."""
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
    """Returns the present configuration after the upserts and deletions of a patch."""
    configuration: dict[str, Any] = msgspec.json.decode(state.body) if state.body else {}
    upsert, delete = patch.get("upsert") or {}, patch.get("delete") or {}
    if not isinstance(upsert, dict) or not isinstance(delete, dict):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, "upsert and delete must be JSON objects")
    for key, value in upsert.items():
        if isinstance(value, list):
            _require_named_items("upsert", value)
            configuration[key] = _upserted(_present_items(configuration, key), value)
        else:
            configuration[key] = value
    for key, names in delete.items():
        if not isinstance(names, list):
            raise RequestError(ErrorKind.INVALID_CONFIGURATION, f"delete.{key} must be a list of names")
        configuration[key] = [
            item for item in _present_items(configuration, key) if item["name"] not in names
        ]
    configuration["generation"] = patch.get("generation")
    return configuration


def _present_items(configuration: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """The list of named items under a key; raises `RequestError` if it holds anything else."""
    items = configuration.get(key) or []
    if not isinstance(items, list):
        raise RequestError(ErrorKind.INVALID_CONFIGURATION, f"{key} is not a list of items")
    _require_named_items(key, items)
    return items


def _require_named_items(key: str, items: list[Any]) -> None:
    if not all(isinstance(item, dict) and isinstance(item.get("name"), str) for item in items):
        raise RequestError(
            ErrorKind.INVALID_CONFIGURATION, f"{key}: every item must be an object with a name"
        )


def _upserted(present: list[dict[str, Any]], items: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns the present items, replaced in place by `items` of the same name; other `items` follow."""
    by_name = {item["name"]: item for item in items}
    replaced = [by_name.pop(item["name"], item) for item in present]
    return [*replaced, *by_name.values()]
