"""Clients: the requests that they send, and their retries when a node rejects or fails a request. No I/O.

All tries of a request count as one request. Arrivals, tenants and sizes come from random streams that no
decision affects, so that all policies get the same requests for the same seed.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterator
from itertools import accumulate
from typing import Protocol

from wheatroute.fleet import distributions, random_streams
from wheatroute.fleet.arrivals import ArrivalProcess
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.entry_balancer import EntryBalancer
from wheatroute.fleet.nodes import Node
from wheatroute.fleet.plan import FleetPlan
from wheatroute.fleet.requests import ClientRequest, NodeRequest, RequestOutcome
from wheatroute.fleet.tenant_quotas import TenantQuotas

MAX_BACKOFF_S = 2.0
# Delay before a client whose connection was refused, or that found no node, connects again.
RECONNECT_DELAY_S = 0.05


class TimeoutObserver(Protocol):
    """Is notified of clients that received no answer in time."""

    def client_timed_out(self, request: NodeRequest) -> None:
        """Is called when a client's timeout and the rules' `answer_slack_s` have passed without an answer."""


class ClientPopulation:
    """Sends the requests of all clients of a run; `requests` lists them in the order of arrival."""

    def __init__(
        self,
        plan: FleetPlan,
        seed: int,
        engine: Engine,
        entry_nodes: list[Node],
        observer: TimeoutObserver,
    ) -> None:
        self.requests: list[ClientRequest] = []
        self.start = engine.now
        self._plan = plan
        self._engine = engine
        self._observer = observer
        self._arrivals = ArrivalProcess(plan, random_streams.stream(seed, "arrivals"))
        self._request_rng = random_streams.stream(seed, "commands")
        self._backoff_rng = random_streams.stream(seed, "retries")
        self._balancer = EntryBalancer(plan, entry_nodes, random_streams.stream(seed, "front"))
        self._quotas = TenantQuotas(plan, engine.now)
        self._sizes = [
            distributions.distribution(request_class.distribution, 1.0, request_class.cv)
            for request_class in plan.request_classes
        ]
        # Both lists hold cumulative weights, for `bisect`.
        self._class_weights = list(accumulate(request_class.weight for request_class in plan.request_classes))
        self._tenant_weights = list(accumulate(tenant.portion * tenant.usage for tenant in plan.tenants))

    # arrivals

    def begin(self) -> None:
        """Schedules the first arrival; each arrival schedules the next one."""
        self._schedule_next(self._arrivals.times())

    def _schedule_next(self, arrival_times: Iterator[float]) -> None:
        arrival_time = next(arrival_times, None)
        if arrival_time is not None:
            self._engine.call_at(self.start + arrival_time, self._arrive, arrival_times)

    def _arrive(self, arrival_times: Iterator[float]) -> None:
        self._schedule_next(arrival_times)
        request = self._new_request()
        self.requests.append(request)
        self._try(request)

    def _new_request(self) -> ClientRequest:
        """Draws a request; the order of the draws must not change, else a seed would give other requests."""
        rng, now = self._request_rng, self._engine.now
        class_number = bisect(self._class_weights, rng.random() * self._class_weights[-1])
        tenant = -1
        if self._tenant_weights:
            tenant = bisect(self._tenant_weights, rng.random() * self._tenant_weights[-1])
        size = self._sizes[class_number](rng.random())
        zone = int(rng.random() * len(self._plan.network.zones))
        request = ClientRequest(len(self.requests), class_number, tenant, zone, size, now)
        request_class = self._plan.request_classes[class_number]
        request.target_at = now + request_class.target_latency_s
        request.deadline_at = now + request_class.deadline_s
        request.honors_retry_after = rng.random() < self._plan.clients.retry_advice_compliance
        request.is_within_quota = self._quotas.take(tenant, now)
        return request

    # tries

    def _try(self, request: ClientRequest) -> None:
        now = self._engine.now
        # Drawn even if no time is left, so that the draws do not depend on it.
        node = self._balancer.choose(request.zone, now)
        deadline_s = self._plan.request_classes[request.class_number].deadline_s
        timeout_s = min(self._plan.clients.client_timeout * deadline_s, request.deadline_at - now)
        if request.is_over or timeout_s <= 0.0:
            return
        request.tries += 1
        if node is None:
            self._try_again(request, RequestOutcome.UNREACHED, RECONNECT_DELAY_S)
            return
        latency_s = self._plan.clients.latency_s
        self._engine.call_later(latency_s, self._arrive_at_node, request, node, timeout_s - latency_s)

    def _arrive_at_node(self, request: ClientRequest, node: Node, time_left_s: float) -> None:
        """Delivers a try to its node."""
        if not node.is_alive:
            self._try_again(request, RequestOutcome.UNREACHED, RECONNECT_DELAY_S)
            return
        try_number = request.tries

        def on_answer(outcome: RequestOutcome, retry_after_s: float) -> None:
            latency_s = self._plan.clients.latency_s
            self._engine.call_later(
                latency_s, self._receive_answer, request, try_number, outcome, retry_after_s
            )

        node_request = node.receive(request, 0, time_left_s, request.tenant, try_number > 1, on_answer)
        wait_s = time_left_s + self._plan.rules.answer_slack_s
        self._engine.call_later(wait_s, self._time_out, request, try_number, node, node_request)

    def _time_out(
        self, request: ClientRequest, try_number: int, node: Node, node_request: NodeRequest
    ) -> None:
        """Disconnects from the node and tries again, unless the try was answered in time."""
        if node_request.is_answered or not node.is_alive:
            return
        self._observer.client_timed_out(node_request)
        node.client_left(node_request)
        if not request.is_over and request.tries == try_number:
            self._try_again(request, RequestOutcome.LEFT, 0.0)

    def _receive_answer(
        self, request: ClientRequest, try_number: int, outcome: RequestOutcome, retry_after_s: float
    ) -> None:
        """Handles the answer to a try; an answer to an earlier try counts only if it is SERVED."""
        if request.is_over:
            return
        if outcome is RequestOutcome.SERVED:
            self._finish(request, outcome)
        elif request.tries == try_number:
            request_class = self._plan.request_classes[request.class_number]
            if outcome is RequestOutcome.REJECTED or request_class.idempotency != "effectful":
                self._try_again(request, outcome, self._backoff_s(request, retry_after_s))
            else:
                self._finish(request, outcome)

    def _backoff_s(self, request: ClientRequest, retry_after_s: float) -> float:
        """Returns the exponential backoff with jitter, or `retry_after_s` if longer and the client honors it.

        The result is at most MAX_BACKOFF_S.
        """
        jitter = 0.5 + self._backoff_rng.random()
        backoff_s = self._plan.clients.backoff_s * 2 ** (request.tries - 1) * jitter
        if request.honors_retry_after:
            backoff_s = max(backoff_s, retry_after_s)
        return min(backoff_s, MAX_BACKOFF_S)

    def _try_again(self, request: ClientRequest, outcome: RequestOutcome, delay_s: float) -> None:
        """Retries after a delay, unless the deadline passes before that or no retries are left."""
        now = self._engine.now
        request.outcome = outcome
        request.ended_at = now
        # A try that reached no node counts as one of the retries, but is repeated even if none are left.
        is_unreached = outcome is RequestOutcome.UNREACHED
        has_retries = is_unreached or request.tries <= self._plan.clients.max_retries
        if has_retries and now + delay_s < request.deadline_at:
            self._engine.call_later(delay_s, self._try, request)
        else:
            request.is_over = True

    def _finish(self, request: ClientRequest, outcome: RequestOutcome) -> None:
        request.is_over = True
        request.outcome = outcome
        request.ended_at = self._engine.now
