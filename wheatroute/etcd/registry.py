"""What keys mean: the servers of a pool, and what a change of them means for the list. Free of I/O.

Owns the layout: under the pool's prefix, a key for each server, its id the rest of the key, the value JSON:

    {"addr": "10.1.0.18:8443", "zone": "a", "kind": "m2", "cell": 3, "state": "in_service", "started_ms": 0}

of which only `addr` must be there; `state` is in_service or terminating. What comes out has the form of the
list service, so that both lead to the same border. It must never let a value that cannot be read move a
server, nor half of a revision through.
"""

from __future__ import annotations

from typing import Any

import orjson

from wheatroute.etcd import messages as wire
from wheatroute.net.addresses import parse_address

STATES = ("in_service", "terminating")


class Registry:
    """The servers as the keys have them."""

    def __init__(self, prefix: bytes) -> None:
        self.prefix = prefix
        self.entries: dict[str, dict[str, Any]] = {}

    def whole(self, kvs: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        """All keys as of one revision: the whole list, and a line for each that cannot be read."""
        troubles: list[str] = []
        found: dict[str, dict[str, Any]] = {}
        for kv in kvs:
            entry = self._entry(kv, now, troubles)
            if entry is not None:
                found[entry["id"]] = entry
        self.entries = found
        return {"full": True, "servers": list(found.values())}, troubles

    def changes(self, events: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        """The events of one revision: the entries that changed, those that are gone among them."""
        troubles: list[str] = []
        changed: dict[str, dict[str, Any]] = {}
        for event in events:
            name = self._name(event.kv.key)
            if event.type == wire.DELETE:
                gone = self.entries.pop(name, None)
                if gone is not None:
                    changed[name] = gone | {"state": "terminated"}
                continue
            entry = self._entry(event.kv, now, troubles)
            if entry is not None and entry != self.entries.get(name):
                self.entries[name] = changed[name] = entry
        return {"full": False, "servers": list(changed.values())}, troubles

    def _name(self, key: bytes) -> str:
        return key[len(self.prefix) :].decode("utf-8", "backslashreplace")

    def _entry(self, kv: Any, now: float, troubles: list[str]) -> dict[str, Any] | None:
        """An entry; of a value that is no use the last good one stands, if there is one."""
        name = self._name(kv.key)
        known = self.entries.get(name)
        try:
            entry = _read(kv.value)
        except ValueError as trouble:
            troubles.append(f"{name}: {trouble}")
            return known
        if known is not None and known["addr"] == entry["addr"]:
            entry["started_ms"] = max(entry["started_ms"], known["started_ms"])
        elif known is not None and entry["started_ms"] <= known["started_ms"]:
            # guards against a new process under an old key that takes the load of a warm one
            entry["started_ms"] = int(now * 1000)
        return {"id": name} | entry


def _read(value: bytes) -> dict[str, Any]:
    """The figures of a value, checked; raises `ValueError` with the reason."""
    try:
        told = orjson.loads(value)
    except orjson.JSONDecodeError as trouble:
        raise ValueError("no JSON") from trouble
    if not isinstance(told, dict):
        raise ValueError("no object")
    parse_address(told.get("addr"))
    state = told.get("state", "in_service")
    if state not in STATES:
        raise ValueError(f"state is {state!r}")
    for key, kind in (("zone", str), ("kind", str), ("cell", int), ("started_ms", int)):
        if not isinstance(told.get(key, kind()), kind) or isinstance(told.get(key), bool):
            raise ValueError(f"{key} is {told[key]!r}")
    return {
        "addr": told["addr"],
        "zone": told.get("zone", ""),
        "kind": told.get("kind", ""),
        "cell": told.get("cell", 0),
        "state": state,
        "started_ms": told.get("started_ms", 0),
    }
