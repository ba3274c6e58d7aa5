"""Admits requests before dispatch: finds their route, tenant, deadline and service, and charges quotas."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from wheatroute.cluster.configuration import Route
from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.prompt_headers import parse_number
from wheatroute.edge.quota_leases import request_cost
from wheatroute.edge.request import ClientRequest

# Requests a quota lease for a tenant and a number of tokens from the primary.
LeaseRequester = Callable[[str, float], Awaitable[None]]

CONFIGURATION_TIMEOUT_S = 0.4  # seconds that a request may wait for this node's first configuration
POLL_INTERVAL_S = 0.02  # seconds between two checks for that configuration


class Admission:
    """Admits requests according to the configuration in force and the tenants' quotas.

    `request_lease` tries to lease more tokens of a tenant from the primary.
    """

    def __init__(self, node: EdgeNode, request_lease: LeaseRequester) -> None:
        self._node = node
        self._request_lease = request_lease

    async def admit(self, request: ClientRequest) -> None:
        """Fills in the fields of a request that the configuration determines, and charges its tenant.

        Raises RequestError if the request is rejected.
        """
        node = self._node
        if not node.is_configured:
            await self._wait_for_configuration()
        table = request.table = node.table
        request.parse_headers()
        route = request.route = table.route(request.header(b"host"), request.target.decode("latin-1"))
        request.tenant = table.tenant(route, request.header(b"authorization"))
        request.deadline = request.received_at + _timeout_s(request, route)
        if not node.shutdown.may_admit(trio.current_time(), request.deadline):
            raise RequestError(ErrorKind.STOPPING, "this node ends before the request is certain to end")
        await self._charge(request)
        request.service = self._choose_service(route)
        node.retry_budget(request.service).record_request(trio.current_time())

    async def _wait_for_configuration(self) -> None:
        with trio.move_on_after(CONFIGURATION_TIMEOUT_S):
            while not self._node.is_configured:
                await trio.sleep(POLL_INTERVAL_S)
        if not self._node.is_configured:
            raise RequestError(ErrorKind.NOT_CONFIGURED, "this node has no configuration yet")

    def _choose_service(self, route: Route) -> str:
        """Returns one of the route's services, drawn at random by weight."""
        if len(route.services) == 1:
            return route.services[0][0]
        names = [name for name, _ in route.services]
        weights = [weight for _, weight in route.services]
        return self._node.rng.choices(names, weights)[0]

    async def _charge(self, request: ClientRequest) -> None:
        """Charges a request to its tenant's quota; if too few tokens are left, first requests a lease."""
        tenant = request.tenant
        if tenant is None or tenant.rate_per_s <= 0:
            return
        tokens = request_cost(tenant, request.token_count)
        quotas = self._node.quotas
        quotas.record_demand(tenant.name, tokens, trio.current_time())
        if not quotas.try_use(tenant.name, tokens):
            await self._request_lease(tenant.name, tokens)
            if not quotas.try_use(tenant.name, tokens):
                raise RequestError(ErrorKind.OVER_QUOTA, f"tenant {tenant.name} has exceeded its rate limit")
        request.charged_tokens = tokens

    def refund(self, request: ClientRequest) -> None:
        """Refunds the tokens of a request that provably never ran."""
        if request.charged_tokens and not request.may_have_run and request.tenant is not None:
            self._node.quotas.refund(request.tenant.name, request.charged_tokens)
            request.charged_tokens = 0.0


def _timeout_s(request: ClientRequest, route: Route) -> float:
    """Returns a request's timeout in seconds, the smaller of its `Timeout-Ms` header and the route's."""
    client_timeout_ms = parse_number(request.header(b"timeout-ms"))
    timeout_ms = route.timeout_ms if client_timeout_ms is None else min(client_timeout_ms, route.timeout_ms)
    return timeout_ms / 1000.0
