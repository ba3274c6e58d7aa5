"""The operator's configuration as the data plane uses it.

`wheatroute.control.schema` checks what operators send; here it is known to be valid, so it is only decoded.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec


class RouteKind(StrEnum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class WeightedService(msgspec.Struct, frozen=True):
    """One part of a split."""

    backend: str
    weight: float = 0.0


class Route(msgspec.Struct, frozen=True):
    """Requests of one host and path prefix."""

    name: str
    hostname: str
    path_prefix: str
    kind: str = "unsafe"
    timeout_ms: float = 30000.0
    target_ms: float = 1000.0
    priority: int = 5
    backend: str | None = None
    split: tuple[WeightedService, ...] = ()
    retries: int = 1
    public: bool = False
    sticky: bool = False
    resume: bool = False
    gap_aim_ms: float = 0.0

    @property
    def streaming(self) -> bool:
        """Whether answers are series of events."""
        return self.kind == RouteKind.STREAMING

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once: kinds that are not known are taken for unsafe."""
        return self.kind == RouteKind.SAFE or self.streaming and self.resume

    @property
    def services(self) -> tuple[tuple[str, float], ...]:
        """The services that may run its requests, with their weights."""
        if self.split:
            return tuple((part.backend, part.weight) for part in self.split if part.weight > 0)
        return ((self.backend, 1.0),) if self.backend else ()


class Engine(msgspec.Struct, frozen=True):
    """What a service's model servers hold."""

    slots: int = 0
    kv_capacity: int = 0


class Service(msgspec.Struct, frozen=True):
    """The servers behind routes."""

    name: str
    health_path: str = "/"
    max_conns: int = 0
    engine: Engine | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """What a client may send, and how long it may take or rest."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 10000.0
    idle_timeout_ms: float = 60000.0


class Tenant(msgspec.Struct, frozen=True):
    """Who pays for requests, and how much they may use."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = "requests"
    uncached_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the whole configuration."""

    generation: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: ClientLimits = ClientLimits()
    tenants: tuple[Tenant, ...] = ()


def decode_configuration(body: bytes | str) -> Configuration:
    """The configuration of a valid JSON body; numbers may come as text."""
    return msgspec.json.decode(body, type=Configuration, strict=False)


def as_plain(body: bytes) -> dict[str, Any]:
    """The same as plain JSON objects, with every field that it came with."""
    found: dict[str, Any] = msgspec.json.decode(body)
    return found
