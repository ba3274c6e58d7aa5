"""What a node is told at start: the environment and the JSON file that it names.

Owns reading and checking it, and its translation to our names. It must never open a socket, and never go
on with half of what a node needs: what is missing or malformed is a `BootError` of one plain line.
"""

import os
import re
from collections.abc import Mapping
from dataclasses import replace
from math import inf
from typing import Any

import orjson

from wheatroute.balancing.settings import DecisionSettings
from wheatroute.net.connection import LONGEST_BODY
from wheatroute.platform_settings import decision_settings
from wheatroute.wire_names import NameNumbering

SPARE_DESCRIPTORS = 32  # for files, the listener, the list and the event loop
SPARE_SHARE = 0.125  # the same where very few descriptors are allowed
ANSWER_SHARE = 32  # one answer may take up this part of the node's memory
AGREE_WITHIN = 10.0  # seconds within which processes agree, where the file names no other time
USUAL_MEMORY = 64.0  # MB, where no limit is told
# what a running node keeps until it starts again
FIXED = (
    "listen",
    "descriptors",
    "settings",
    "peers",
    "work_header",
    "agreement",
    "followed",
    "rollout",
    "beside",
)
TAKEN = (
    "request-id",
    "request-timeout",
    "idempotency-key",
    "tenant",
    "client-retry",
    "content-length",
    "host",
)  # headers that mean something else
_HEADER = re.compile(r"[A-Za-z0-9-]{1,100}\Z")
_PLACE = re.compile(r"((?:[0-9]{1,3}\.){3}[0-9]{1,3}):([0-9]{1,5})\Z")


class BootError(Exception):
    """What the node was told at start cannot be used."""


def address(text: Any) -> tuple[str, int]:
    """A place to connect to or listen on; names are none, as looking one up would hold up the whole node."""
    found = _PLACE.match(text) if isinstance(text, str) else None
    if found is None or max(map(int, found[1].split("."))) > 255 or not 0 < int(found[2]) < 65536:
        raise ValueError(f"no IPv4 address and port in {text!r}")
    return found[1], int(found[2])


def read(environment: Mapping[str, str]) -> dict[str, Any]:
    """All that the node was told, by name; the environment wins over the file."""
    told = _file(environment.get("PROXY_CONFIG", ""))
    settings = told.get("settings")
    if not isinstance(settings, dict):
        raise BootError('no object "settings" in the file that PROXY_CONFIG names')
    boot: dict[str, Any] = {"settings": settings}
    try:
        boot["name"] = environment.get("PROXY_NAME") or told.get("name") or "node"
        boot["listen"] = address(environment.get("PROXY_LISTEN") or told.get("listen"))
        boot["followed"] = _followed(told.get("servers"))
        place = environment.get("PROXY_DISCOVERY") or told.get("discovery")
        boot["discovery"] = ("", 0) if boot["followed"] else address(place)
    except ValueError as trouble:
        raise BootError(f"where to listen or where the list is: {trouble}") from trouble
    boot["seed"] = str(told.get("seed", ""))
    boot["work_header"] = _work_header(told.get("work_header"))
    boot["known"] = told.get("known") if isinstance(told.get("known"), dict) else {}
    boot["descriptors"] = _descriptors(told.get("limits"))
    boot["longest_answer"] = _longest_answer(told.get("limits"))
    boot |= settled(settings)
    terms: DecisionSettings = boot["terms"]
    boot["agreement"] = _agreement(told.get("agreement"))
    boot["rollout"] = _agreement(told.get("rollout"), "rollout")
    boot["beside"] = told.get("beside", False)
    if not isinstance(boot["beside"], bool):
        raise BootError(f'"beside" is neither true nor false: {boot["beside"]!r}')
    boot["peers"] = _peers(told.get("peers"), terms.has_peers)
    # without peers, probes on behalf of others would reach nobody
    boot["terms"] = replace(terms, has_peers=boot["peers"] is not None)
    return boot


def settled(settings: dict[str, Any]) -> dict[str, Any]:
    """What follows from the settings: numbers by name, and terms, checked."""
    told: dict[str, Any] = {}
    told["zones"] = _numbered(settings, "dcs")
    told["models"] = _numbered(settings, "skus")
    told["tenants"] = {one["name"]: i for i, one in enumerate(_named(settings, "tenants"))}
    kinds = _named(settings, "traffic-types")
    if not kinds:
        raise BootError("the settings hold no request classes")
    told["request_classes"] = {one["name"]: i for i, one in enumerate(kinds)}
    try:
        told["terms"] = decision_settings(settings, told["zones"])
    except (TypeError, ValueError, AttributeError) as trouble:
        raise BootError(f"the settings are malformed: {trouble}") from trouble
    # what the module reads of the settings; HTTP/1.1 carries one request a connection, whatever they say
    terms = told["terms"] = replace(told["terms"], calls_per_connection=1)
    for name in ("connection_price", "crossing_price"):
        price = getattr(terms, name)
        if not isinstance(price, int | float) or not 0.0 <= price < inf:
            raise BootError(f"the settings' {name.replace('_', ' ')} is no number from 0 on: {price!r}")
    return told


def read_anew(environment: Mapping[str, str]) -> dict[str, Any]:
    """The same under way: the environment is as old as the node, so the file wins over it for the list."""
    return read({name: value for name, value in environment.items() if name != "PROXY_DISCOVERY"})


def _file(path: str) -> dict[str, Any]:
    if not path:
        raise BootError("PROXY_CONFIG is not set")
    try:
        with open(path, "rb") as source:
            told = orjson.loads(source.read())
    except OSError as trouble:
        raise BootError(f"cannot read {path}: {os.strerror(trouble.errno or 0)}") from trouble
    except orjson.JSONDecodeError as trouble:
        raise BootError(f"{path} is not JSON: {trouble}") from trouble
    if not isinstance(told, dict):
        raise BootError(f"{path} does not hold an object")
    return told


def _peers(told: Any, allowed: bool) -> dict[str, Any] | None:
    """Where to hear other nodes and where they are; None, as long as the file names none."""
    if told is None:
        return None
    if (
        not isinstance(told, dict)
        or not isinstance(told.get("others"), list)
        or told.keys() - {"listen", "others"}
    ):
        raise BootError('"peers" is no object of "listen" and a list "others"')
    if not allowed:
        raise BootError('"peers" are named, but the settings do not allow them')
    try:
        place, others = address(told.get("listen")), [address(one) for one in told["others"]]
    except ValueError as trouble:
        raise BootError(f'"peers": {trouble}') from trouble
    if place in others:
        raise BootError('"peers": its own place is among the others')
    if len(set(others)) < len(others):
        raise BootError('"peers": one of the others is named twice')
    return {"listen": place, "others": others}


def _followed(told: Any) -> dict[str, Any] | None:
    """Where servers are followed in etcd; None where the list service has them."""
    if told is None:
        return None
    keys = {"etcd", "prefix", "nodes_prefix"}
    if (
        not isinstance(told, dict)
        or told.keys() - keys
        or not isinstance(told.get("etcd"), list)
        or not told.get("prefix")
        or not isinstance(told["prefix"], str)
        or not isinstance(told.get("nodes_prefix", ""), str)
    ):
        raise BootError('"servers" is no object of "etcd" endpoints, "prefix" and "nodes_prefix"')
    for one in told["etcd"]:
        address(one)
    if not told["etcd"]:
        raise BootError('"servers" names no endpoint of etcd')
    return {"endpoints": told["etcd"], "prefix": told["prefix"], "nodes_prefix": told.get("nodes_prefix", "")}


def _agreement(told: Any, table: str = "agreement") -> dict[str, Any] | None:
    """Where versions live and within which time all processes agree; None where the file does not say."""
    if told is None:
        return None
    if not isinstance(told, dict) or told.keys() - {"directory", "relay", "etcd", "prefix", "within"}:
        raise BootError(f'"{table}" is no object of "directory", "relay", or "etcd" and "prefix"')
    within, places = told.get("within", AGREE_WITHIN), told.get("etcd")
    if not isinstance(within, int | float) or not 0.0 < within < inf:
        raise BootError(f'"{table}": "within" is no number of seconds: {within!r}')
    kept = [key for key in ("directory", "relay") if isinstance(told.get(key), str) and told[key]]
    if len(kept) == 1 and places is None:
        return {kept[0]: told[kept[0]], "within": float(within)}
    if not isinstance(places, list) or not places or not isinstance(told.get("prefix"), str):
        raise BootError(f'"{table}" names no "directory", nor "etcd" endpoints with a "prefix"')
    try:
        return {"etcd": [address(one) for one in places], "prefix": told["prefix"], "within": float(within)}
    except ValueError as trouble:
        raise BootError(f'"{table}": {trouble}') from trouble


def _work_header(told: Any) -> bytes:
    """The header that hints at a request's work, in lower case; empty for none."""
    if told is None:
        return b""
    if not isinstance(told, str) or not _HEADER.match(told) or told.lower() in TAKEN:
        raise BootError(f'"work_header" is no header of its own: {told!r}')
    return told.lower().encode()


def _named(settings: dict[str, Any], name: str) -> list[dict[str, Any]]:
    found = settings.get(name) or []
    if not isinstance(found, list) or not all(
        isinstance(one, dict) and isinstance(one.get("name"), str) for one in found
    ):
        raise BootError(f'the settings\' "{name}" is not a list of objects with names')
    return found


def _numbered(settings: dict[str, Any], name: str) -> NameNumbering:
    found = settings.get(name) or []
    if not isinstance(found, list) or not all(isinstance(one, str) for one in found):
        raise BootError(f'the settings\' "{name}" is not a list of names')
    return NameNumbering({one: i for i, one in enumerate(found)})


def _descriptors(limits: Any) -> int:
    """How many connections the node may hold, a reserve taken off."""
    most = limits.get("sockets") if isinstance(limits, dict) else None
    if not isinstance(most, int) or most < 16:
        raise BootError('no usable "limits.sockets"')
    return most - min(SPARE_DESCRIPTORS, int(most * SPARE_SHARE) + 6)


def _longest_answer(limits: Any) -> int:
    """Bytes that a server's answer may have.

    Guards against good answers taken for spoilt: services answer with more than the 64 KiB that the protocol
    names, while an answer of any length would cost the node its memory.
    """
    memory = limits.get("memory_mb") if isinstance(limits, dict) else None
    usable = isinstance(memory, int | float) and 0 < memory < inf
    return max(LONGEST_BODY, int((memory if usable else USUAL_MEMORY) * 2**20 / ANSWER_SHARE))
