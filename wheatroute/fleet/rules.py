"""Checks of the four rules, from outside of the decisions, on every run. No I/O.

Keeps an account of its own of what each node sent and what came of it, and shares none with the decisions. It
changes nothing of a run: a violation is noted with its story, and the run goes on.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import NamedTuple

from wheatroute.fleet.engine import Engine
from wheatroute.fleet.network import Address
from wheatroute.fleet.nodes import Node
from wheatroute.fleet.plan import FleetPlan, RequestClassPlan
from wheatroute.fleet.requests import Attempt, NodeRequest, RequestOutcome
from wheatroute.fleet.servers import Server

MAX_VIOLATIONS_KEPT = 20  # with their stories; all are counted
OVERLOAD_TOLERANCE = 1.1  # on a warming server's budget, for chance,
OVERLOAD_TOLERANCE_REQUESTS = 3  # and so many requests beyond it


class Rule(IntEnum):
    """The four rules."""

    ONE_ANSWER = 1  # each request has one answer, by its deadline
    NO_UNSAFE_RETRY = 2  # attempts are bounded, and retries within what the request's class allows
    RESPECT_DRAIN = 3  # nothing is sent to a server after its drain notice and the grace period
    NO_WARMUP_OVERLOAD = 4  # a server that warms up is not sent more than a multiple of its capacity


class Violation(NamedTuple):
    """A broken rule."""

    rule: Rule
    moment: float
    story: str


class WorkWindow:
    """Work sent to one server within a sliding window."""

    def __init__(self) -> None:
        self._sent: deque[tuple[float, float]] = deque()  # moment, seconds of work
        self._sum_s = 0.0

    def add(self, now: float, work_s: float, window_s: float) -> float:
        """Adds work; returns the sum within the window, in seconds."""
        self._sent.append((now, work_s))
        total_s = self._sum_s + work_s
        while self._sent and self._sent[0][0] < now - window_s:
            total_s -= self._sent.popleft()[1]
        self._sum_s = total_s
        return total_s


class RuleChecker:
    """Counts violations by rule, and keeps the first ones."""

    def __init__(self, plan: FleetPlan, engine: Engine) -> None:
        self.counts = dict.fromkeys(Rule, 0)
        self.violations: list[Violation] = []
        self.max_warmup_load = 0.0  # work sent to any warming server, as a fraction of its budget
        self._plan = plan
        self._engine = engine
        self._warmup_work: dict[Address, WorkWindow] = {}

    def _add_violation(self, rule: Rule, story: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_VIOLATIONS_KEPT:
            self.violations.append(Violation(rule, self._engine.now, story))

    # attempts

    def attempt_sent(self, request: NodeRequest, attempt: Attempt, drain_notified_at: float | None) -> None:
        """Checks an attempt that is not among the request's attempts yet."""
        server = attempt.server
        story = f"{_story(request)} attempt {attempt.number} to {server.address}"
        self._check_unanswered(request, story)
        self._check_retry(request, attempt, story)
        self._check_drain(drain_notified_at, story)
        if server.started_at and self._engine.now - server.started_at < server.tier.warmup_s:
            self._check_warmup(request, server, story)

    def _check_unanswered(self, request: NodeRequest, story: str) -> None:
        if request.is_answered and request.outcome is not RequestOutcome.LEFT:
            text = f"{story}: after the answer {request.outcome.value!r}"
            self._add_violation(Rule.ONE_ANSWER, text)

    def _check_retry(self, request: NodeRequest, attempt: Attempt, story: str) -> None:
        plan, rule = self._plan, Rule.NO_UNSAFE_RETRY
        request_class = plan.request_classes[request.class_number]
        if attempt.number >= plan.max_attempts:
            self._add_violation(rule, f"{story}: more than {plan.max_attempts}")
        may_have_run = request.attempts_that_may_have_run()
        if may_have_run and request_class.idempotency == "effectful":
            first = may_have_run[0]
            text = f"{story}: attempt {first.number} may have run ({first.outcome})"
            self._add_violation(rule, text)
        elif may_have_run and request_class.idempotency == "receipted":
            self._check_keyed_retry(request_class, may_have_run[0], attempt, story)
        if any(earlier.outcome is None for earlier in request.attempts) and not plan.can_hedge:
            self._add_violation(rule, f"{story}: a hedge where none may be sent")

    def _check_keyed_retry(
        self, request_class: RequestClassPlan, first: Attempt, attempt: Attempt, story: str
    ) -> None:
        """A keyed request may run again within its retry window and its first server's group."""
        now, window_s = self._engine.now, request_class.retry_window_s
        if now > first.sent_at + window_s:
            text = f"{story}: {now - first.sent_at:.3f} s after, window {window_s}"
            self._add_violation(Rule.NO_UNSAFE_RETRY, text)
        group = request_class.deduplication_group
        if _group_number(group, first.server) != _group_number(group, attempt.server):
            text = f"{story}: outside the group of {first.server.address}"
            self._add_violation(Rule.NO_UNSAFE_RETRY, text)

    def _check_drain(self, notified_at: float | None, story: str) -> None:
        now = self._engine.now
        if notified_at is not None and now > notified_at + self._plan.rules.drain_grace_s:
            text = f"{story}: {now - notified_at:.3f} s after the node was told of its drain"
            self._add_violation(Rule.RESPECT_DRAIN, text)

    def _check_warmup(self, request: NodeRequest, server: Server, story: str) -> None:
        """Work sent in the window, by all nodes, stays under multiple x present capacity x window."""
        limits = self._plan.rules
        work_s = self._plan.mean_call_work_s(request.class_number, server.depth)
        window = self._warmup_work.setdefault(server.address, WorkWindow())
        total_s = window.add(self._engine.now, work_s, limits.overload_window_s)
        max_rate = limits.overload_multiple * server.capacity() * server.warmup_share()
        budget_s = max_rate * limits.overload_window_s
        self.max_warmup_load = max(self.max_warmup_load, total_s / budget_s)
        if total_s > OVERLOAD_TOLERANCE * budget_s + OVERLOAD_TOLERANCE_REQUESTS * work_s:
            text = f"{story}: {total_s:.2f} s of work in {limits.overload_window_s} s, budget {budget_s:.2f}"
            self._add_violation(Rule.NO_WARMUP_OVERLOAD, text)

    # answers

    def request_answered(self, request: NodeRequest, outcome: RequestOutcome) -> None:
        """Checks a rejection or failure that is not the request's outcome yet."""
        story = _story(request)
        if request.is_answered and request.outcome is not RequestOutcome.LEFT:
            text = f"{story}: {outcome.value!r} after {request.outcome.value!r}"
            self._add_violation(Rule.ONE_ANSWER, text)
        late_s = self._engine.now - request.deadline_at
        if late_s > self._plan.rules.answer_slack_s:
            self._add_violation(Rule.ONE_ANSWER, f"{story}: answered {late_s:.3f} s after its deadline")
        if outcome is RequestOutcome.REJECTED:
            self._check_rejection(request, story)

    def _check_rejection(self, request: NodeRequest, story: str) -> None:
        """A rejected request may come again, so that it must not have run, or may run again anywhere."""
        request_class = self._plan.request_classes[request.class_number]
        may_have_run = request.attempts_that_may_have_run()
        may_run_again = request_class.idempotency == "pure" or (
            request_class.idempotency == "receipted" and request_class.deduplication_group == "all"
        )
        if may_have_run and not may_run_again:
            text = f"{story}: refused, attempt {may_have_run[0].number} may have run"
            self._add_violation(Rule.NO_UNSAFE_RETRY, text)

    def client_timed_out(self, request: NodeRequest) -> None:
        """A client has waited until its time was over, and the node owed it an answer."""
        story = _story(request)
        self._add_violation(Rule.ONE_ANSWER, f"{story}: not answered by its deadline")

    def check_unanswered(self, node: Node) -> None:
        """At the end of a run: requests that the node should have answered by now."""
        latest = self._engine.now - self._plan.rules.answer_slack_s
        for request in node.requests.values():
            if not request.is_answered and request.deadline_at < latest:
                story = _story(request)
                self._add_violation(Rule.ONE_ANSWER, f"{story}: never answered")


def _group_number(group: str, server: Server) -> int:
    return {"all": 0, "zone": server.zone, "cell": server.cell}[group]


def _story(request: NodeRequest) -> str:
    """The beginning of a violation's story."""
    return f"node {request.node_address} request {request.number}"
