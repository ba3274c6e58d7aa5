"""The operators' configuration as the data plane uses it.

A change is acknowledged only if `decode_configuration` accepts the configuration that results from it, and
`wheatroute.control.schema` finds no error in it. Keys are those of the operators' JSON.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec


class UnreadableConfigurationError(Exception):
    """A configuration has a value that the data plane can't read, or that can't be sent to edge nodes."""


class RouteKind(StrEnum):
    """Whether and how the requests of a route may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its weight in a route's split."""

    backend: str
    weight: float = 0.0


class Route(msgspec.Struct, frozen=True):
    """The rules for requests with this hostname and path prefix."""

    name: str
    hostname: str
    path_prefix: str
    kind: str = "unsafe"
    timeout_ms: float = 30000.0
    target_ms: float = 1000.0
    priority: int = 5
    backend: str | None = None
    split: tuple[WeightedService, ...] = ()
    # maximum number of servers that may run a request, including the first one; not a number of retries
    retries: int = 1
    public: bool = False
    sticky: bool = False
    resume: bool = False
    inter_token_target_ms: float = msgspec.field(name="gap_aim_ms", default=0.0)

    @property
    def streaming(self) -> bool:
        """Whether responses are event streams."""
        return self.kind == RouteKind.STREAMING

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once; an unknown kind is treated as unsafe."""
        return self.kind == RouteKind.SAFE or self.streaming and self.resume

    @property
    def services(self) -> tuple[tuple[str, float], ...]:
        """The services that may run the route's requests, with their weights."""
        if self.split:
            return tuple((service.backend, service.weight) for service in self.split if service.weight > 0)
        return ((self.backend, 1.0),) if self.backend else ()


class Engine(msgspec.Struct, frozen=True):
    """The capacity of a service's model servers: request slots, and tokens in the KV cache."""

    slots: int = 0
    kv_capacity: int = 0


class Service(msgspec.Struct, frozen=True):
    """A service: a group of servers to which routes send requests."""

    name: str
    health_path: str = "/"
    max_conns: int = 0
    engine: Engine | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits for a client's connection: sizes in bytes, and timeouts for the head and for idle times."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 10000.0
    idle_timeout_ms: float = 60000.0


class Tenant(msgspec.Struct, frozen=True):
    """A tenant: the API keys of its clients, and its rate limit in `unit` per second with a burst.

    `unit` is "token_usage" or "requests". With "token_usage", `uncached_tokens` is the charge for a request
    that doesn't state its number of tokens.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = "requests"
    uncached_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0


class Configuration(msgspec.Struct, frozen=True):
    """One generation of the complete configuration."""

    generation: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: ClientLimits = ClientLimits()
    tenants: tuple[Tenant, ...] = ()


def decode_configuration(body: bytes | str) -> Configuration:
    """Decodes a JSON body; numbers may be encoded as strings.

    Raises UnreadableConfigurationError unless the result can also be encoded for edge nodes: JSON has numbers
    that msgpack has not.
    """
    try:
        configuration = msgspec.json.decode(body, type=Configuration, strict=False)
        msgspec.msgpack.encode(configuration)
    except (msgspec.DecodeError, OverflowError, RecursionError) as error:
        raise UnreadableConfigurationError(str(error)) from error
    return configuration


def as_json_object(body: bytes) -> dict[str, Any]:
    """Decodes a configuration into plain JSON objects, including fields that this version does not know."""
    found: dict[str, Any] = msgspec.json.decode(body)
    return found
