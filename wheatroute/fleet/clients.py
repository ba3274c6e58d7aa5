"""Clients: what they request and when, and what they do when a node rejects or fails a request. No I/O.

All tries of a client are one request. Arrivals, tenants and sizes come from random streams that no decision
touches, so that policies on one seed meet the same requests.
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
RECONNECT_DELAY_S = 0.05  # until a client whose connection was refused tries another node


class TimeoutObserver(Protocol):
    """Hears of clients that got no answer in time."""

    def client_timed_out(self, request: NodeRequest) -> None:
        """A client has waited as long as it said it would."""


class ClientPopulation:
    """All clients of a run; `requests` are theirs in the order of arrival."""

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
        # cumulative
        self._class_weights = list(accumulate(one.weight for one in plan.request_classes))
        self._tenant_weights = list(accumulate(one.portion * one.usage for one in plan.tenants))

    # arrivals

    def begin(self) -> None:
        """Schedules the first arrival; each one schedules the next."""
        self._schedule_next(self._arrivals.moments())

    def _schedule_next(self, moments: Iterator[float]) -> None:
        moment = next(moments, None)
        if moment is not None:
            self._engine.call_at(self.start + moment, self._arrive, moments)

    def _arrive(self, moments: Iterator[float]) -> None:
        self._schedule_next(moments)
        request = self._new_request()
        self.requests.append(request)
        self._try(request)

    def _new_request(self) -> ClientRequest:
        """Draws a request; the order of the draws is part of what a seed means."""
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
        request.heeds_retry_advice = rng.random() < self._plan.clients.retry_advice_compliance
        request.is_within_quota = self._quotas.take(tenant, now)
        return request

    # tries

    def _try(self, request: ClientRequest) -> None:
        now = self._engine.now
        node = self._balancer.choose(request.zone, now)  # drawn even if there is no time left
        deadline_s = self._plan.request_classes[request.class_number].deadline_s
        timeout_s = min(self._plan.clients.client_timeout * deadline_s, request.deadline_at - now)
        if request.is_over or timeout_s <= 0.0:
            return
        request.tries += 1
        if node is None:
            self._try_again(request, RequestOutcome.UNREACHED, RECONNECT_DELAY_S)
            return
        latency_s = self._plan.clients.latency_s
        self._engine.call_later(latency_s, self._reach, request, node, timeout_s - latency_s)

    def _reach(self, request: ClientRequest, node: Node, time_left_s: float) -> None:
        """A try comes to its node."""
        if not node.is_alive:
            self._try_again(request, RequestOutcome.UNREACHED, RECONNECT_DELAY_S)
            return
        number = request.tries

        def on_answer(outcome: RequestOutcome, retry_after_s: float) -> None:
            latency_s = self._plan.clients.latency_s
            self._engine.call_later(latency_s, self._answered, request, number, outcome, retry_after_s)

        node_request = node.receive(request, 0, time_left_s, request.tenant, number > 1, on_answer)
        wait_s = time_left_s + self._plan.rules.answer_slack_s
        self._engine.call_later(wait_s, self._time_out, request, number, node, node_request)

    def _time_out(self, request: ClientRequest, number: int, node: Node, node_request: NodeRequest) -> None:
        if node_request.is_answered or not node.is_alive:
            return
        self._observer.client_timed_out(node_request)
        node.client_left(node_request)
        if not request.is_over and request.tries == number:
            self._try_again(request, RequestOutcome.LEFT, 0.0)

    def _answered(
        self, request: ClientRequest, number: int, outcome: RequestOutcome, retry_after_s: float
    ) -> None:
        """The answer to a try comes to the client; one to an earlier try counts only if it was served."""
        if request.is_over:
            return
        if outcome is RequestOutcome.SERVED:
            self._end(request, outcome)
        elif request.tries == number:
            request_class = self._plan.request_classes[request.class_number]
            if outcome is RequestOutcome.REJECTED or request_class.idempotency != "effectful":
                self._try_again(request, outcome, self._backoff_s(request, retry_after_s))
            else:
                self._end(request, outcome)

    def _backoff_s(self, request: ClientRequest, retry_after_s: float) -> float:
        """Exponential backoff with jitter, and no less than a node's advice if the client heeds it."""
        jitter = 0.5 + self._backoff_rng.random()
        backoff_s = self._plan.clients.backoff_s * 2 ** (request.tries - 1) * jitter
        if request.heeds_retry_advice:
            backoff_s = max(backoff_s, retry_after_s)
        return min(backoff_s, MAX_BACKOFF_S)

    def _try_again(self, request: ClientRequest, outcome: RequestOutcome, delay_s: float) -> None:
        """Tries again after a delay, unless that is too late or the retries are used up."""
        now = self._engine.now
        request.outcome = outcome
        request.ended_at = now
        # a refused connection costs no retry
        is_free = outcome is RequestOutcome.UNREACHED
        has_retries = is_free or request.tries <= self._plan.clients.max_retries
        if has_retries and now + delay_s < request.deadline_at:
            self._engine.call_later(delay_s, self._try, request)
        else:
            request.is_over = True

    def _end(self, request: ClientRequest, outcome: RequestOutcome) -> None:
        request.is_over = True
        request.outcome = outcome
        request.ended_at = self._engine.now
