"""Lookup of a request's route, tenant and rank in one version of the configuration. Immutable; no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from copy import copy

from wheatroute.cluster.configuration import ClientLimits, Route, Service, Tenant
from wheatroute.cluster.distribution import (
    EMPTY_VERSION,
    NO_SEQUENCE,
    ConfigurationVersion,
    Difference,
    apply_difference,
)
from wheatroute.cluster.errors import ErrorKind, RequestError

AUTHORIZATION_SCHEME = "token "  # compared without case (RFC 9110, 11.1)
SERVER_RANKS = 10  # ranks that servers distinguish
PROMPT_SIZE_BOUNDS = (2_000, 10_000)  # uncached prompt tokens from which a request ranks behind shorter ones


class RoutingTable:
    """Indexes over one version of the configuration."""

    def __init__(self, version: ConfigurationVersion) -> None:
        self.version = version
        self._by_host = _routes_by_host(version.routes.values())
        self._build_indexes()

    def _build_indexes(self) -> None:
        """Build what is made anew for each version: a pass over every item, but no sorting."""
        version = self.version
        self._by_api_key = {key: tenant for tenant in version.tenants.values() for key in tenant.api_keys}
        self._priority_ranks = priority_ranks(version)
        ranks_by_size = SERVER_RANKS // max(1, len(self._priority_ranks))
        self._size_classes = max(1, min(len(PROMPT_SIZE_BOUNDS) + 1, ranks_by_size))
        # only the most valuable class of idempotent requests is hedged
        self._hedged_priority = min(
            (route.priority for route in version.routes.values() if route.idempotent), default=None
        )

    def apply_difference(self, difference: Difference) -> RoutingTable:
        """Return the table of the version that a difference leads to.

        Hosts without a changed route share their entries with this table. Raises DifferenceError if the
        difference isn't based on this table's version.
        """
        if difference.base == NO_SEQUENCE:
            return RoutingTable(apply_difference(EMPTY_VERSION, difference))
        table = copy(self)
        table.version = apply_difference(self.version, difference)
        table._by_host = self._changed_hosts(difference)
        table._build_indexes()
        return table

    def _changed_hosts(self, difference: Difference) -> dict[str, list[Route]]:
        old = self.version.routes
        names = {*difference.items.removed_routes, *(route.name for route in difference.items.routes)}
        replaced = [old[name] for name in names if name in old]
        by_host = dict(self._by_host)
        new = _routes_by_host(difference.items.routes)
        for host in {route.hostname.lower() for route in replaced} | new.keys():
            unchanged = [route for route in by_host.pop(host, ()) if route.name not in names]
            if routes := [*unchanged, *new.get(host, ())]:
                by_host[host] = _longest_prefix_first(routes)
        return by_host

    @property
    def sequence(self) -> int:
        """Sequence number of the replicated document."""
        return self.version.sequence

    @property
    def generation(self) -> int:
        """Generation number that the operator gave the configuration."""
        return self.version.generation

    @property
    def limits(self) -> ClientLimits:
        """Limits of what clients may send."""
        return self.version.limits

    @property
    def services(self) -> Mapping[str, Service]:
        """Services by name."""
        return self.version.services

    @property
    def tenants(self) -> Mapping[str, Tenant]:
        """Tenants by name."""
        return self.version.tenants

    def route(self, host: str, target: str) -> Route:
        """Return the route with the longest matching path prefix.

        `host` is a Host header, whose port is ignored; `target` a request target in origin form. Raises
        RequestError if there is no route.
        """
        hostname = host.strip().lower()
        if hostname.rpartition(":")[2].isdigit() and ":" in hostname:
            hostname = hostname.rpartition(":")[0]
        path = target.partition("?")[0]
        for route in self._by_host.get(hostname, ()):
            if path.startswith(route.path_prefix):
                return route
        raise RequestError(ErrorKind.NO_ROUTE, f"no route for {hostname}")

    def tenant(self, route: Route, authorization: str) -> Tenant | None:
        """Return the tenant of an Authorization header, None where none is needed.

        Raises RequestError if the route needs a tenant and the key is unknown.
        """
        credentials = authorization.strip()
        has_key = credentials.lower().startswith(AUTHORIZATION_SCHEME)
        api_key = credentials[len(AUTHORIZATION_SCHEME) :].strip() if has_key else ""
        tenant = self._by_api_key.get(api_key)
        if tenant is None and self.tenants and not route.public:
            raise RequestError(ErrorKind.UNKNOWN_API_KEY, "the key is not known")
        return tenant

    def server_rank(self, route: Route, tenant: Tenant | None, prefill_tokens: float) -> int:
        """Return the rank sent to servers, 0 first: by prompt size, then by the tenant's or route's priority.

        A short prompt costs those behind it a few hundredths of a second; a long one costs a short one behind
        it its latency target.
        """
        priority = route.priority if tenant is None or tenant.priority is None else tenant.priority
        size_class = sum(prefill_tokens >= bound for bound in PROMPT_SIZE_BOUNDS)
        size_class = min(self._size_classes - 1, size_class)
        rank = size_class * len(self._priority_ranks) + self._priority_ranks[priority]
        return min(SERVER_RANKS - 1, rank)

    def may_hedge(self, route: Route) -> bool:
        """Return whether requests of a route may be hedged."""
        return route.idempotent and route.retries > 1 and route.priority == self._hedged_priority


def priority_ranks(version: ConfigurationVersion) -> dict[int, int]:
    """Return the priorities in use with their ranks, the most urgent first."""
    priorities = {route.priority for route in version.routes.values()}
    priorities |= {tenant.priority for tenant in version.tenants.values() if tenant.priority is not None}
    return {priority: rank for rank, priority in enumerate(sorted(priorities))}


def _routes_by_host(routes: Iterable[Route]) -> dict[str, list[Route]]:
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.hostname.lower(), []).append(route)
    return {host: _longest_prefix_first(routes_of_host) for host, routes_of_host in by_host.items()}


def _longest_prefix_first(routes: list[Route]) -> list[Route]:
    return sorted(routes, key=lambda route: -len(route.path_prefix))


EMPTY_TABLE = RoutingTable(EMPTY_VERSION)
