"""The servers of a pool by their keys in etcd. A state machine without I/O.

Each server has one key: the pool's prefix and the server's id. Its value is JSON:

    {"addr": "10.1.0.18:8443", "zone": "a", "kind": "m2", "cell": 3, "state": "in_service", "started_ms": 0}

Only `addr` is required; `state` is in_service or terminating; `started_ms` is the Unix time in milliseconds
at which the server's process started, 0 if it started long ago. Changes have the format of the list service's
body, so that both are handled alike. Invariant: a malformed value changes nothing.
"""

from __future__ import annotations

from typing import Any

import orjson

from wheatroute.etcd import messages as wire
from wheatroute.net.addresses import parse_address

STATES = ("in_service", "terminating")


class ServerKeys:
    """Holds the servers of a pool as of the last applied revision, by id."""

    def __init__(self, prefix: bytes) -> None:
        self.prefix = prefix
        self.entries: dict[str, dict[str, Any]] = {}

    def load(self, kvs: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        """Applies all keys of one revision; returns the full list, and an error for each malformed value."""
        errors: list[str] = []
        entries: dict[str, dict[str, Any]] = {}
        for kv in kvs:
            entry = self._entry(kv, now, errors)
            if entry is not None:
                entries[entry["id"]] = entry
        self.entries = entries
        return {"full": True, "servers": list(entries.values())}, errors

    def apply(self, events: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        """Applies the events of one revision.

        Returns the changed and removed servers, and an error for each malformed value.
        """
        errors: list[str] = []
        changed: dict[str, dict[str, Any]] = {}
        for event in events:
            server_id = self._server_id(event.kv.key)
            if event.type == wire.DELETE:
                removed = self.entries.pop(server_id, None)
                if removed is not None:
                    changed[server_id] = removed | {"state": "terminated"}
                continue
            entry = self._entry(event.kv, now, errors)
            if entry is not None and entry != self.entries.get(server_id):
                self.entries[server_id] = changed[server_id] = entry
        return {"full": False, "servers": list(changed.values())}, errors

    def _server_id(self, key: bytes) -> str:
        return key[len(self.prefix) :].decode("utf-8", "backslashreplace")

    def _entry(self, kv: Any, now: float, errors: list[str]) -> dict[str, Any] | None:
        """Returns the entry of a key; for a malformed value, the key's last valid entry or None."""
        server_id = self._server_id(kv.key)
        previous = self.entries.get(server_id)
        try:
            entry = _decode(kv.value)
        except ValueError as error:
            errors.append(f"server {server_id}: {error}")
            return previous
        if previous is not None and previous["addr"] == entry["addr"]:
            entry["started_ms"] = max(entry["started_ms"], previous["started_ms"])
        elif previous is not None and entry["started_ms"] <= previous["started_ms"]:
            # The address has changed, so this is a new process, which must not get the load of a warm server.
            entry["started_ms"] = int(now * 1000)
        return {"id": server_id} | entry


def _decode(value: bytes) -> dict[str, Any]:
    """Returns the validated fields of a value; raises `ValueError` with the reason."""
    try:
        fields = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise ValueError("the value is not valid JSON") from error
    if not isinstance(fields, dict):
        raise ValueError("the value must be a JSON object")
    parse_address(fields.get("addr"))
    state = fields.get("state", "in_service")
    if state not in STATES:
        raise ValueError(f'"state" must be in_service or terminating, got {state!r}')
    for key, expected in (("zone", str), ("kind", str), ("cell", int), ("started_ms", int)):
        if not isinstance(fields.get(key, expected()), expected) or isinstance(fields.get(key), bool):
            raise ValueError(f'"{key}" must be of type {expected.__name__}, got {fields[key]!r}')
    return {
        "addr": fields["addr"],
        "zone": fields.get("zone", ""),
        "kind": fields.get("kind", ""),
        "cell": fields.get("cell", 0),
        "state": state,
        "started_ms": fields.get("started_ms", 0),
    }
