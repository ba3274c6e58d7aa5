"""The settings of a node, read from environment variables and the JSON file that PROXY_CONFIG names.

Invariant: a `NodeSettings` is complete and valid; anything missing or malformed raises a `NodeSettingsError`
with a message of one line. I/O: reads the file, opens no socket.
"""

import os
import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import inf
from typing import Any

import orjson

from wheatroute.balancing.settings import DecisionSettings
from wheatroute.net.addresses import NO_ADDRESS, parse_address
from wheatroute.net.connection import MAX_BODY_BYTES
from wheatroute.platform_settings import decision_settings
from wheatroute.wire_names import NameNumbering

# File descriptors that are reserved for files, the listener, the list service and the event loop, so not
# available for connections. If RESERVED_DESCRIPTORS_RATIO of the node's limit plus MIN_RESERVED_DESCRIPTORS
# is less, only that many are reserved.
RESERVED_DESCRIPTORS = 32
RESERVED_DESCRIPTORS_RATIO = 0.125
MIN_RESERVED_DESCRIPTORS = 6
MIN_SOCKETS = 16
RESPONSES_IN_MEMORY = 32  # a single response may use 1 / RESPONSES_IN_MEMORY of the node's memory
DEFAULT_AGREEMENT_TIMEOUT_S = 10.0  # time within which processes have to agree on a version
DEFAULT_MEMORY_MB = 64.0
# Headers that have another meaning and must not be configured as the header with the work hint.
RESERVED_HEADERS = (
    "request-id",
    "request-timeout",
    "idempotency-key",
    "tenant",
    "client-retry",
    "content-length",
    "host",
)
_HEADER_NAME = re.compile(r"[A-Za-z0-9-]{1,100}\Z")
Address = tuple[str, int]


class NodeSettingsError(Exception):
    """The settings are missing or invalid; the message is one line."""


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """The UDP address on which a node receives from other nodes, and the addresses of those nodes."""

    listen: Address
    others: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """Settings of the list service's client; `zones` and `models` map names to numbers."""

    address: Address
    zones: Mapping[str, int]
    models: Mapping[str, int]
    is_on_request: bool  # the list service sends lists only on request
    initial_list: dict[str, Any]  # in the format of the list service


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All settings of one node; `derived` is the result of `derive_settings` for `settings`."""

    name: str
    listen: Address
    discovery: Address  # address of the list service; `NO_ADDRESS` if servers are discovered through etcd
    etcd_servers: dict[str, Any] | None  # "endpoints", "prefix" and "nodes_prefix", as in `EtcdSettings`
    seed: str
    work_header: bytes  # name of the header with the work hint in lower case; empty for none
    initial_list: dict[str, Any]  # list of servers in the format of the list service
    max_connections: int  # limit for connections to clients and servers together
    max_response_bytes: int
    settings: dict[str, Any]  # the object "settings" of the file, unchanged
    derived: dict[str, Any]
    # Settings of the version store; "within": seconds within which processes have to agree.
    agreement: dict[str, Any] | None
    rollout: dict[str, Any] | None  # likewise, for the version store of rollouts
    has_successor: bool  # another process of this node listens on the same address while this one stops
    peers: PeerAddresses | None

    @property
    def decision_settings(self) -> DecisionSettings:
        """The settings of the decision module."""
        settings: DecisionSettings = self.derived["decision_settings"]
        return settings

    @property
    def request_classes(self) -> dict[str, int]:
        """The numbers of request classes by name."""
        numbers: dict[str, int] = self.derived["request_classes"]
        return numbers

    @property
    def tenants(self) -> dict[str, int]:
        """The numbers of tenants by name."""
        numbers: dict[str, int] = self.derived["tenants"]
        return numbers

    @property
    def discovery_settings(self) -> DiscoverySettings:
        """The settings of the list service's client."""
        return DiscoverySettings(
            self.discovery,
            self.derived["zones"],
            self.derived["models"],
            self.decision_settings.list_on_request,
            self.initial_list,
        )

    def restart_required(self, other: "NodeSettings") -> list[str]:
        """Returns the names of settings that differ in `other` and take effect only after a restart."""
        pairs = {
            "listen": (self.listen, other.listen),
            "descriptors": (self.max_connections, other.max_connections),
            "settings": (self.settings, other.settings),
            "peers": (self.peers, other.peers),
            "work_header": (self.work_header, other.work_header),
            "agreement": (self.agreement, other.agreement),
            "followed": (self.etcd_servers, other.etcd_servers),
            "rollout": (self.rollout, other.rollout),
            "beside": (self.has_successor, other.has_successor),
        }
        return [name for name, (mine, others) in pairs.items() if mine != others]


def read_node_settings(environment: Mapping[str, str]) -> NodeSettings:
    """Reads the settings at startup; environment variables take precedence over the file.

    Raises NodeSettingsError.
    """
    document = _read_document(environment.get("PROXY_CONFIG", ""))
    settings = document.get("settings")
    if not isinstance(settings, dict):
        raise NodeSettingsError('the file that PROXY_CONFIG names must have an object "settings"')
    try:
        listen = parse_address(environment.get("PROXY_LISTEN") or document.get("listen"))
        etcd_servers = _parse_etcd_servers(document.get("servers"))
        list_service = environment.get("PROXY_DISCOVERY") or document.get("discovery")
        discovery = NO_ADDRESS if etcd_servers else parse_address(list_service)
    except ValueError as error:
        raise NodeSettingsError(
            f"invalid address to listen on, address of the list service, or etcd endpoint: {error}"
        ) from error
    work_header = _parse_work_header(document.get("work_header"))
    max_connections = _max_connections(document.get("limits"))
    max_response_bytes = _max_response_bytes(document.get("limits"))
    derived = derive_settings(settings)
    agreement = _parse_version_store(document.get("agreement"), "agreement")
    rollout = _parse_version_store(document.get("rollout"), "rollout")
    has_successor = _parse_has_successor(document.get("beside", False))
    peers = _parse_peers(document.get("peers"), derived["decision_settings"].has_peers)
    # If the file has no "peers", the decision module must not probe servers on behalf of peers.
    derived["decision_settings"] = replace(derived["decision_settings"], has_peers=peers is not None)
    initial_list = document.get("known")
    return NodeSettings(
        name=environment.get("PROXY_NAME") or document.get("name") or "node",
        listen=listen,
        discovery=discovery,
        etcd_servers=etcd_servers,
        seed=str(document.get("seed", "")),
        work_header=work_header,
        initial_list=initial_list if isinstance(initial_list, dict) else {},
        max_connections=max_connections,
        max_response_bytes=max_response_bytes,
        settings=settings,
        derived=derived,
        agreement=agreement,
        rollout=rollout,
        has_successor=has_successor,
        peers=peers,
    )


def reload_node_settings(environment: Mapping[str, str]) -> NodeSettings:
    """Reads the settings of a running node again; raises NodeSettingsError.

    The address of the list service is taken from the file even if PROXY_DISCOVERY is set, because the
    environment cannot change after the process has started.
    """
    return read_node_settings(
        {name: value for name, value in environment.items() if name != "PROXY_DISCOVERY"}
    )


def derive_settings(settings: dict[str, Any]) -> dict[str, Any]:
    """Validates and translates the object "settings"; raises NodeSettingsError.

    Returns numbers by name in "zones", "models", "tenants" and "request_classes", and the settings of the
    decision module in "decision_settings".
    """
    zones = _numbered_names(settings, "dcs")
    models = _numbered_names(settings, "skus")
    tenants = {tenant["name"]: number for number, tenant in enumerate(_named_objects(settings, "tenants"))}
    request_classes = _named_objects(settings, "traffic-types")
    if not request_classes:
        raise NodeSettingsError("the settings must define at least one request class")
    try:
        decisions = decision_settings(settings, zones)
    except (TypeError, ValueError, AttributeError) as error:
        raise NodeSettingsError(f"invalid settings: {error}") from error
    # An HTTP/1.1 connection carries one request at a time, regardless of the settings.
    decisions = replace(decisions, calls_per_connection=1)
    for name in ("connection_price", "crossing_price"):
        price = getattr(decisions, name)
        if not isinstance(price, int | float) or not 0.0 <= price < inf:
            raise NodeSettingsError(
                f"the settings' {name.replace('_', ' ')} must be a number of at least 0, got {price!r}"
            )
    return {
        "zones": zones,
        "models": models,
        "tenants": tenants,
        "request_classes": {
            request_class["name"]: number for number, request_class in enumerate(request_classes)
        },
        "decision_settings": decisions,
    }


def _read_document(path: str) -> dict[str, Any]:
    if not path:
        raise NodeSettingsError("PROXY_CONFIG is not set")
    try:
        with open(path, "rb") as source:
            document = orjson.loads(source.read())
    except OSError as error:
        raise NodeSettingsError(f"cannot read {path}: {os.strerror(error.errno or 0)}") from error
    except orjson.JSONDecodeError as error:
        raise NodeSettingsError(f"{path} is not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise NodeSettingsError(f"{path} must contain a JSON object")
    return document


def _parse_has_successor(value: object) -> bool:
    if not isinstance(value, bool):
        raise NodeSettingsError(f'"beside" must be true or false, got {value!r}')
    return value


def _parse_peers(table: object, is_allowed: bool) -> PeerAddresses | None:
    """Returns the addresses in "peers"; None if the file has no "peers"."""
    if table is None:
        return None
    if (
        not isinstance(table, dict)
        or not isinstance(table.get("others"), list)
        or table.keys() - {"listen", "others"}
    ):
        raise NodeSettingsError('"peers" must be an object with only an address "listen" and a list "others"')
    if not is_allowed:
        raise NodeSettingsError('the file has "peers", but the settings do not allow them')
    try:
        listen = parse_address(table.get("listen"))
        others = tuple(parse_address(address) for address in table["others"])
    except ValueError as error:
        raise NodeSettingsError(f'"peers": {error}') from error
    if listen in others:
        raise NodeSettingsError('"peers": "others" must not contain the node\'s own address')
    if len(set(others)) < len(others):
        raise NodeSettingsError('"peers": "others" contains an address twice')
    return PeerAddresses(listen, others)


def _parse_etcd_servers(table: object) -> dict[str, Any] | None:
    """Returns the etcd endpoints and prefixes for discovery; None if a list service is used.

    Raises NodeSettingsError, or ValueError for an invalid endpoint.
    """
    if table is None:
        return None
    if (
        not isinstance(table, dict)
        or table.keys() - {"etcd", "prefix", "nodes_prefix"}
        or not isinstance(table.get("etcd"), list)
        or not table.get("prefix")
        or not isinstance(table["prefix"], str)
        or not isinstance(table.get("nodes_prefix", ""), str)
    ):
        raise NodeSettingsError(
            '"servers" must be an object with a list "etcd", a non-empty string "prefix", '
            'optionally a string "nodes_prefix", and no other key'
        )
    for endpoint in table["etcd"]:
        parse_address(endpoint)
    if not table["etcd"]:
        raise NodeSettingsError('"servers": "etcd" must contain at least one endpoint')
    return {
        "endpoints": table["etcd"],
        "prefix": table["prefix"],
        "nodes_prefix": table.get("nodes_prefix", ""),
    }


def _parse_version_store(table: object, name: str) -> dict[str, Any] | None:
    """Returns the settings of the version store that the object `name` describes; None if there is no object.

    The store is given by the key "directory", by "relay", or by "etcd" (addresses) together with "prefix".
    The result also has the key "within" (seconds).
    """
    if table is None:
        return None
    if not isinstance(table, dict) or table.keys() - {"directory", "relay", "etcd", "prefix", "within"}:
        raise NodeSettingsError(
            f'"{name}" must be an object; its only keys may be "directory", "relay", "etcd", "prefix" and '
            '"within"'
        )
    within_s, endpoints = table.get("within", DEFAULT_AGREEMENT_TIMEOUT_S), table.get("etcd")
    if not isinstance(within_s, int | float) or not 0.0 < within_s < inf:
        raise NodeSettingsError(f'"{name}": "within" must be a positive number of seconds, got {within_s!r}')
    paths = [key for key in ("directory", "relay") if isinstance(table.get(key), str) and table[key]]
    if len(paths) == 1 and endpoints is None:
        return {paths[0]: table[paths[0]], "within": float(within_s)}
    if not isinstance(endpoints, list) or not endpoints or not isinstance(table.get("prefix"), str):
        raise NodeSettingsError(
            f'"{name}" must name one store: a "directory", a "relay", or a non-empty list "etcd" '
            'with a string "prefix"'
        )
    try:
        addresses = [parse_address(endpoint) for endpoint in endpoints]
    except ValueError as error:
        raise NodeSettingsError(f'"{name}": {error}') from error
    return {"etcd": addresses, "prefix": table["prefix"], "within": float(within_s)}


def _parse_work_header(name: object) -> bytes:
    """Returns the name of the header with a request's work hint in lower case; empty for none."""
    if name is None:
        return b""
    if not isinstance(name, str) or not _HEADER_NAME.match(name) or name.lower() in RESERVED_HEADERS:
        raise NodeSettingsError(
            f'"work_header" must be a header name that has no other meaning in requests, got {name!r}'
        )
    return name.lower().encode()


def _named_objects(settings: dict[str, Any], key: str) -> list[dict[str, Any]]:
    objects = settings.get(key) or []
    if not isinstance(objects, list) or not all(
        isinstance(entry, dict) and isinstance(entry.get("name"), str) for entry in objects
    ):
        raise NodeSettingsError(f'the settings\' "{key}" must be a list of objects with a "name"')
    return objects


def _numbered_names(settings: dict[str, Any], key: str) -> NameNumbering:
    names = settings.get(key) or []
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise NodeSettingsError(f'the settings\' "{key}" must be a list of names')
    return NameNumbering({name: number for number, name in enumerate(names)})


def _max_connections(limits: object) -> int:
    """Returns how many connections the node may hold: its limit of descriptors minus a reserve."""
    sockets = limits.get("sockets") if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or sockets < MIN_SOCKETS:
        raise NodeSettingsError('"limits.sockets" must be an integer of at least 16')
    reserved = int(sockets * RESERVED_DESCRIPTORS_RATIO) + MIN_RESERVED_DESCRIPTORS
    return sockets - min(RESERVED_DESCRIPTORS, reserved)


def _max_response_bytes(limits: object) -> int:
    """Returns the maximum size of a server's response in bytes.

    Servers send longer bodies than the 64 KiB that the protocol allows clients; that limit would turn good
    responses into errors. Without any limit, a single response could use up all memory.
    """
    memory_mb = limits.get("memory_mb") if isinstance(limits, dict) else None
    if not isinstance(memory_mb, int | float) or not 0 < memory_mb < inf:
        memory_mb = DEFAULT_MEMORY_MB
    memory_bytes = memory_mb * 2**20
    return max(MAX_BODY_BYTES, int(memory_bytes / RESPONSES_IN_MEMORY))
