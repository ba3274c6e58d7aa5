"""Which route and tenant a request has, by one version of the configuration."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from copy import copy

import msgspec

from wheatroute.cluster.configuration import ClientLimits, Route, Service, Tenant
from wheatroute.cluster.distribution import (
    EMPTY_VERSION,
    NO_SEQUENCE,
    ConfigurationVersion,
    Difference,
    apply_difference,
)
from wheatroute.cluster.errors import ErrorKind, RequestError

KEY_SCHEME = "token "
SERVER_LEVELS = 10  # ranks that servers know
SIZE_BOUNDS = (2_000, 10_000)  # prompt tokens from which a request ranks behind shorter ones


class RoutingTable:
    """One version of the configuration, made for look-ups."""

    def __init__(self, version: ConfigurationVersion) -> None:
        self.version = version
        self._by_host = _routes_by_host(version.routes.values())
        self._index()

    def _index(self) -> None:
        """What is worked out anew for each version: a look at every item, but no sorting."""
        version = self.version
        self._by_key = {key: tenant for tenant in version.tenants.values() for key in tenant.api_keys}
        self._places = priority_places(version)
        self._sizes = max(1, min(len(SIZE_BOUNDS) + 1, SERVER_LEVELS // max(1, len(self._places))))
        # the gate of the design's hedge: the most valuable class that is safe to repeat
        self._hedged_priority = min(
            (route.priority for route in version.routes.values() if route.idempotent), default=None
        )

    def apply_difference(self, told: Difference) -> RoutingTable:
        """The table of the version that a difference tells; raises DifferenceError if it isn't for this one.

        Hosts none of whose routes changed keep their part.
        """
        if told.base == NO_SEQUENCE:
            return RoutingTable(apply_difference(EMPTY_VERSION, told))
        table = copy(self)
        table.version = apply_difference(self.version, told)
        table._by_host = self._changed_hosts(told)
        table._index()
        return table

    def _changed_hosts(self, told: Difference) -> dict[str, list[Route]]:
        old = self.version.routes
        names = {*told.items.removed_routes, *(route.name for route in told.items.routes)}
        replaced = [old[name] for name in names if name in old]
        by_host = dict(self._by_host)
        new = _routes_by_host(told.items.routes)
        for host in {route.hostname.lower() for route in replaced} | new.keys():
            kept = [route for route in by_host.pop(host, ()) if route.name not in names]
            if routes := [*kept, *new.get(host, ())]:
                by_host[host] = _longest_prefix_first(routes)
        return by_host

    @property
    def sequence(self) -> int:
        """That of the replicated document."""
        return self.version.sequence

    @property
    def generation(self) -> int:
        """The operator's number."""
        return self.version.generation

    @property
    def limits(self) -> ClientLimits:
        """What clients may send."""
        return self.version.limits

    @property
    def services(self) -> Mapping[str, Service]:
        """By name."""
        return self.version.services

    @property
    def tenants(self) -> Mapping[str, Tenant]:
        """By name."""
        return self.version.tenants

    def route(self, host: str, target: str) -> Route:
        """The route with the longest prefix; raises RequestError if there is none."""
        name = host.strip().lower()
        if name.rpartition(":")[2].isdigit() and ":" in name:
            name = name.rpartition(":")[0]
        path = target.partition("?")[0]
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        raise RequestError(ErrorKind.NO_ROUTE, f"no route for {name}")

    def tenant(self, route: Route, authorization: str) -> Tenant | None:
        """The tenant whose key came; raises RequestError where one is needed and none is known."""
        key = authorization.strip()
        key = key[len(KEY_SCHEME) :].strip() if key.lower().startswith(KEY_SCHEME) else ""
        tenant = self._by_key.get(key)
        if tenant is None and self.tenants and not route.public:
            raise RequestError(ErrorKind.UNKNOWN_API_KEY, "the key is not known")
        return tenant

    def priority(self, route: Route, tenant: Tenant | None, unread: float) -> int:
        """The rank told to servers: shorter prompts first, then by the tenant's priority or else the route's.

        A short prompt costs those behind it a few hundredths of a second, a long one costs it its target.
        """
        own = route.priority if tenant is None or tenant.priority is None else tenant.priority
        size = min(self._sizes - 1, sum(unread >= bound for bound in SIZE_BOUNDS))
        return min(SERVER_LEVELS - 1, size * len(self._places) + self._places[own])

    def may_hedge(self, route: Route) -> bool:
        """Whether the design's hedge is for this route."""
        return route.idempotent and route.retries > 1 and route.priority == self._hedged_priority


def priority_places(version: ConfigurationVersion) -> dict[int, int]:
    """The priorities in use, each with its place among them, the most urgent first."""
    used = {route.priority for route in version.routes.values()}
    used |= {tenant.priority for tenant in version.tenants.values() if tenant.priority is not None}
    return {priority: place for place, priority in enumerate(sorted(used))}


def _routes_by_host(routes: Iterable[Route]) -> dict[str, list[Route]]:
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.hostname.lower(), []).append(route)
    return {host: _longest_prefix_first(found) for host, found in by_host.items()}


def _longest_prefix_first(routes: list[Route]) -> list[Route]:
    return sorted(routes, key=lambda route: -len(route.path_prefix))


EMPTY_TABLE = RoutingTable(EMPTY_VERSION)


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt: what it is known by, and its tokens."""

    id: str
    tokens: int


def prompt_parts(header: str) -> tuple[PromptPart, ...]:
    """The parts of a `Prefix-Hash` header in order; what cannot be read ends the list."""
    parts: list[PromptPart] = []
    for text in header.split(",") if header else ():
        name, _, tokens = text.strip().partition(":")
        if not name or not tokens.isdigit():
            break
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def token_count(header: str) -> tuple[int, int] | None:
    """Prompt tokens and the most that may be generated, by a `Token-Count` header."""
    prompt, comma, generated = header.partition(",")
    if not comma or not prompt.strip().isdigit() or not generated.strip().isdigit():
        return None
    return int(prompt), int(generated)
