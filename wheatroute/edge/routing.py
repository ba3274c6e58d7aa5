"""Looks up a request's route, tenant and server rank in one version of the configuration.

A table is immutable and does no I/O.
"""

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

AUTHORIZATION_SCHEME = "token "  # case-insensitive (RFC 9110, 11.1)
SERVER_RANKS = 10  # number of priority ranks that servers distinguish
# Bounds between size classes, in uncached prompt tokens; a request ranks behind those of smaller classes.
PROMPT_SIZE_BOUNDS = (2_000, 10_000)


class RoutingTable:
    """Indexes of one version of the configuration: routes by host, tenants by API key, priority ranks."""

    def __init__(self, version: ConfigurationVersion) -> None:
        self.version = version
        self._by_host = _routes_by_host(version.routes.values())
        self._build_indexes()

    def _build_indexes(self) -> None:
        """Builds all indexes except `_by_host`; versions don't share these.

        This takes one pass over all items, without sorting them.
        """
        version = self.version
        self._by_api_key = {key: tenant for tenant in version.tenants.values() for key in tenant.api_keys}
        self._priority_ranks = priority_ranks(version)
        ranks_by_size = SERVER_RANKS // max(1, len(self._priority_ranks))
        self._size_classes = max(1, min(len(PROMPT_SIZE_BOUNDS) + 1, ranks_by_size))
        # Only the idempotent routes with the most urgent priority are hedged.
        self._hedged_priority = min(
            (route.priority for route in version.routes.values() if route.idempotent), default=None
        )

    def apply_difference(self, difference: Difference) -> RoutingTable:
        """Returns a new table for the version that results from a difference.

        Hosts without a changed route share their entries with this table. Raises DifferenceError if the
        difference is not based on this table's version.
        """
        if difference.base == NO_SEQUENCE:
            return RoutingTable(apply_difference(EMPTY_VERSION, difference))
        table = copy(self)
        table.version = apply_difference(self.version, difference)
        table._by_host = self._updated_hosts(difference)
        table._build_indexes()
        return table

    def _updated_hosts(self, difference: Difference) -> dict[str, list[Route]]:
        """Returns the routes by host after a difference; only the hosts of changed routes are rebuilt."""
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
        """Sequence number of the replicated configuration document."""
        return self.version.sequence

    @property
    def generation(self) -> int:
        """Generation number that the operator assigned to the configuration."""
        return self.version.generation

    @property
    def limits(self) -> ClientLimits:
        """Limits on the size and timing of clients' requests."""
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
        """Returns the route with the longest matching path prefix.

        `host` is the value of a Host header, whose port is ignored; `target` is a request target in origin
        form. Raises RequestError if no route matches.
        """
        hostname = host.strip().lower()
        if hostname.rpartition(":")[2].isdigit() and ":" in hostname:
            hostname = hostname.rpartition(":")[0]
        path = target.partition("?")[0]
        for route in self._by_host.get(hostname, ()):
            if path.startswith(route.path_prefix):
                return route
        raise RequestError(ErrorKind.NO_ROUTE, f"no route for host {hostname}")

    def tenant(self, route: Route, authorization: str) -> Tenant | None:
        """Returns the tenant whose API key an Authorization header holds, None if there is none.

        Raises RequestError if the route needs a tenant and the key is missing or unknown.
        """
        credentials = authorization.strip()
        has_key = credentials.lower().startswith(AUTHORIZATION_SCHEME)
        api_key = credentials[len(AUTHORIZATION_SCHEME) :].strip() if has_key else ""
        tenant = self._by_api_key.get(api_key)
        if tenant is None and self.tenants and not route.public:
            raise RequestError(ErrorKind.UNKNOWN_API_KEY, "the API key is missing or unknown")
        return tenant

    def server_rank(self, route: Route, tenant: Tenant | None, prefill_tokens: float) -> int:
        """Returns the rank that is sent to servers; a server runs rank 0 first.

        Requests are ranked by prompt size, then by the tenant's priority or, if it has none, the route's.
        Size comes first because a short prompt delays the requests behind it by a few hundredths of a second
        only, while a long prompt makes a short request behind it miss its latency target.
        """
        priority = route.priority if tenant is None or tenant.priority is None else tenant.priority
        size_class = sum(prefill_tokens >= bound for bound in PROMPT_SIZE_BOUNDS)
        size_class = min(self._size_classes - 1, size_class)
        rank = size_class * len(self._priority_ranks) + self._priority_ranks[priority]
        return min(SERVER_RANKS - 1, rank)

    def may_hedge(self, route: Route) -> bool:
        """Returns whether requests of a route may be hedged."""
        return route.idempotent and route.retries > 1 and route.priority == self._hedged_priority


def priority_ranks(version: ConfigurationVersion) -> dict[int, int]:
    """Maps each priority in use to its rank; rank 0 is the most urgent."""
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
