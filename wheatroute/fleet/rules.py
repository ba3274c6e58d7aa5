"""Checks the four rules in every run, independently of the decision module. No I/O.

The checks use their own records of the attempts that each node sent and of how these ended, and share no
state with the decision module. They have no effect on a run: a violation is recorded with a description, and
the run continues.
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

MAX_VIOLATIONS_KEPT = 20  # number of violations kept with their descriptions; all are counted
# The budget of a warming server may be exceeded by this factor plus this number of requests, to allow for
# random variation.
OVERLOAD_TOLERANCE = 1.1
OVERLOAD_TOLERANCE_REQUESTS = 3


class Rule(IntEnum):
    """Numbers the four rules."""

    ONE_ANSWER = 1  # each request gets exactly one answer, by its deadline
    NO_UNSAFE_RETRY = 2  # attempts are bounded, and retries stay within what the request's class allows
    RESPECT_DRAIN = 3  # nothing is sent to a server after its drain notice and the grace period
    NO_WARMUP_OVERLOAD = 4  # no more than a multiple of its capacity is sent to a warming server


class Violation(NamedTuple):
    """Describes one violation of a rule. It is stored (`records.py`), so the texts never change."""

    rule: Rule
    occurred_at: float
    description: str


class WorkWindow:
    """Sums the work sent to one server within a sliding window."""

    def __init__(self) -> None:
        self._sent: deque[tuple[float, float]] = deque()  # times of sending and seconds of work
        self._sum_s = 0.0

    def add(self, now: float, work_s: float, window_s: float) -> float:
        """Adds work; returns the sum of the work within the window, in seconds."""
        self._sent.append((now, work_s))
        total_s = self._sum_s + work_s
        while self._sent and self._sent[0][0] < now - window_s:
            total_s -= self._sent.popleft()[1]
        self._sum_s = total_s
        return total_s


class RuleChecker:
    """Checks the rules; counts the violations of each and keeps the first ones."""

    def __init__(self, plan: FleetPlan, engine: Engine) -> None:
        self.counts = dict.fromkeys(Rule, 0)
        self.violations: list[Violation] = []
        self.max_warmup_load = 0.0  # maximum work sent to a warming server, as a fraction of its budget
        self._plan = plan
        self._engine = engine
        self._warmup_work: dict[Address, WorkWindow] = {}

    def _add_violation(self, rule: Rule, description: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_VIOLATIONS_KEPT:
            self.violations.append(Violation(rule, self._engine.now, description))

    # attempts

    def attempt_sent(self, request: NodeRequest, attempt: Attempt, drain_notified_at: float | None) -> None:
        """Checks an attempt, before it is added to the request's attempts."""
        server = attempt.server
        subject = f"{_subject(request)} attempt {attempt.number} to {server.address}"
        self._check_unanswered(request, subject)
        self._check_retry(request, attempt, subject)
        self._check_drain(drain_notified_at, subject)
        if server.started_at and self._engine.now - server.started_at < server.tier.warmup_s:
            self._check_warmup(request, server, subject)

    def _check_unanswered(self, request: NodeRequest, subject: str) -> None:
        if request.is_answered and request.outcome is not RequestOutcome.LEFT:
            text = f"{subject}: after the answer {request.outcome.value!r}"
            self._add_violation(Rule.ONE_ANSWER, text)

    def _check_retry(self, request: NodeRequest, attempt: Attempt, subject: str) -> None:
        plan, rule = self._plan, Rule.NO_UNSAFE_RETRY
        request_class = plan.request_classes[request.class_number]
        if attempt.number >= plan.max_attempts:
            self._add_violation(rule, f"{subject}: more than {plan.max_attempts}")
        may_have_run = request.attempts_that_may_have_run()
        if may_have_run and request_class.idempotency == "effectful":
            first = may_have_run[0]
            text = f"{subject}: attempt {first.number} may have run ({first.outcome})"
            self._add_violation(rule, text)
        elif may_have_run and request_class.idempotency == "receipted":
            self._check_keyed_retry(request_class, may_have_run[0], attempt, subject)
        if any(earlier.outcome is None for earlier in request.attempts) and not plan.can_hedge:
            self._add_violation(rule, f"{subject}: a hedge where none may be sent")

    def _check_keyed_retry(
        self, request_class: RequestClassPlan, first: Attempt, attempt: Attempt, subject: str
    ) -> None:
        """Checks that a keyed request is retried within its retry window, and in the first server's group."""
        now, window_s = self._engine.now, request_class.retry_window_s
        if now > first.sent_at + window_s:
            text = f"{subject}: {now - first.sent_at:.3f} s after, window {window_s}"
            self._add_violation(Rule.NO_UNSAFE_RETRY, text)
        group = request_class.deduplication_group
        if _group_number(group, first.server) != _group_number(group, attempt.server):
            text = f"{subject}: outside the group of {first.server.address}"
            self._add_violation(Rule.NO_UNSAFE_RETRY, text)

    def _check_drain(self, notified_at: float | None, subject: str) -> None:
        now = self._engine.now
        if notified_at is not None and now > notified_at + self._plan.rules.drain_grace_s:
            text = f"{subject}: {now - notified_at:.3f} s after the node was told of its drain"
            self._add_violation(Rule.RESPECT_DRAIN, text)

    def _check_warmup(self, request: NodeRequest, server: Server, subject: str) -> None:
        """Checks that all nodes together send at most the budget of a warming server within the window.

        The budget is `overload_multiple` times the server's current capacity times the length of the window,
        with a tolerance.
        """
        limits = self._plan.rules
        work_s = self._plan.mean_call_work_s(request.class_number, server.depth)
        window = self._warmup_work.setdefault(server.address, WorkWindow())
        total_s = window.add(self._engine.now, work_s, limits.overload_window_s)
        max_rate = limits.overload_multiple * server.capacity() * server.warmup_share()
        budget_s = max_rate * limits.overload_window_s
        self.max_warmup_load = max(self.max_warmup_load, total_s / budget_s)
        if total_s > OVERLOAD_TOLERANCE * budget_s + OVERLOAD_TOLERANCE_REQUESTS * work_s:
            text = (
                f"{subject}: {total_s:.2f} s of work in {limits.overload_window_s} s, budget {budget_s:.2f}"
            )
            self._add_violation(Rule.NO_WARMUP_OVERLOAD, text)

    # answers

    def request_answered(self, request: NodeRequest, outcome: RequestOutcome) -> None:
        """Checks a rejection or failure, before it is set as the request's outcome."""
        subject = _subject(request)
        if request.is_answered and request.outcome is not RequestOutcome.LEFT:
            text = f"{subject}: {outcome.value!r} after {request.outcome.value!r}"
            self._add_violation(Rule.ONE_ANSWER, text)
        late_s = self._engine.now - request.deadline_at
        if late_s > self._plan.rules.answer_slack_s:
            self._add_violation(Rule.ONE_ANSWER, f"{subject}: answered {late_s:.3f} s after its deadline")
        if outcome is RequestOutcome.REJECTED:
            self._check_rejection(request, subject)

    def _check_rejection(self, request: NodeRequest, subject: str) -> None:
        """Checks that a rejected request cannot have run or may run again on any server.

        This is required because the client may retry it.
        """
        request_class = self._plan.request_classes[request.class_number]
        may_have_run = request.attempts_that_may_have_run()
        may_run_again = request_class.idempotency == "pure" or (
            request_class.idempotency == "receipted" and request_class.deduplication_group == "all"
        )
        if may_have_run and not may_run_again:
            text = f"{subject}: refused, attempt {may_have_run[0].number} may have run"
            self._add_violation(Rule.NO_UNSAFE_RETRY, text)

    def client_timed_out(self, request: NodeRequest) -> None:
        """Records that a client's timeout has passed without an answer from the node."""
        subject = _subject(request)
        self._add_violation(Rule.ONE_ANSWER, f"{subject}: not answered by its deadline")

    def check_unanswered(self, node: Node) -> None:
        """Checks, at the end of a run, that the node has answered all requests that are due."""
        latest = self._engine.now - self._plan.rules.answer_slack_s
        for request in node.requests.values():
            if not request.is_answered and request.deadline_at < latest:
                subject = _subject(request)
                self._add_violation(Rule.ONE_ANSWER, f"{subject}: never answered")


def _group_number(group: str, server: Server) -> int:
    return {"all": 0, "zone": server.zone, "cell": server.cell}[group]


def _subject(request: NodeRequest) -> str:
    """Returns the beginning of a violation's description, which names the request."""
    return f"node {request.node_address} request {request.number}"
