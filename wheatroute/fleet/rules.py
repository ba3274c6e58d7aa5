"""The four rules, watched from outside on every run.

Owns a ledger of its own of what each node wrote and what came of it; it shares no account with the decisions.
It must never change what happens: a broken rule is kept with its story, and the run goes on.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from wheatroute.balancing.interface import Outcome

if TYPE_CHECKING:
    from wheatroute.fleet.nodes import Attempt, Node, Request
    from wheatroute.fleet.servers import Server

NEVER_RAN = (Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT)
MOST_KEPT = 20  # stories of broken rules
SLACK = 1.1  # of a cold server's budget, and a few requests, for chance


class Watch:
    """Takes note of what nodes write; `broken` holds (rule, moment, story)."""

    def __init__(self, world: Any) -> None:
        self._world = world
        self.breaks = [0, 0, 0, 0, 0]  # by rule
        self.broken: list[tuple[int, float, str]] = []
        self._cold: dict[tuple[int, int], deque[tuple[float, float]]] = {}  # work sent to cold servers
        self._sum: dict[tuple[int, int], float] = {}
        self.worst_cold = 0.0  # of the budget, the most that any cold server was sent

    def _broke(self, rule: int, story: str) -> None:
        self.breaks[rule] += 1
        if len(self.broken) < MOST_KEPT:
            self.broken.append((rule, self._world.engine.now, story))

    def attempted(self, node: Node, request: Request, attempt: Attempt) -> None:
        """Before the attempt is entered in the request's account."""
        plan, now = self._world.plan, self._world.engine.now
        story = f"node {node.place} request {request.number} attempt {attempt.n} to {attempt.server.address}"
        if request.answered and request.answered != "left":
            self._broke(1, f"{story}: after the answer {request.answered!r}")
        kind = plan.request_classes[request.kind]
        if attempt.n >= plan.max_attempts:
            self._broke(2, f"{story}: more than {plan.max_attempts}")
        ran = [one for one in request.attempts if one.outcome not in NEVER_RAN]
        if ran and kind.idempotency == "effectful":
            self._broke(2, f"{story}: attempt {ran[0].n} may have run ({ran[0].outcome})")
        elif ran and kind.idempotency == "receipted":
            first = ran[0]
            if now > first.sent + kind.retry_window_s:
                self._broke(2, f"{story}: {now - first.sent:.3f} s after, window {kind.retry_window_s}")
            if self._group(kind.deduplication_group, first.server) != self._group(
                kind.deduplication_group, attempt.server
            ):
                self._broke(2, f"{story}: outside the group of {first.server.address}")
        if any(one.outcome is None for one in request.attempts) and not plan.can_hedge:
            self._broke(2, f"{story}: a hedge where none may be sent")
        told = node.drains.get(attempt.server.number)
        if told is not None and now > told + plan.rules.drain_grace_s:
            self._broke(3, f"{story}: {now - told:.3f} s after the node was told of its drain")
        if attempt.server.started_at and now - attempt.server.started_at < attempt.server.tier.warmup_s:
            self._sent_cold(request, attempt.server, story)

    @staticmethod
    def _group(group: str, server: Server) -> int:
        return {"all": 0, "zone": server.zone, "cell": server.cell}[group]

    def _sent_cold(self, request: Request, server: Server, story: str) -> None:
        """Work sent within the span stays under multiple x present capacity x span, over all nodes."""
        rules, now = self._world.plan.rules, self._world.engine.now
        work = self._world.usual_work(request.kind, server.depth)
        kept = self._cold.setdefault(server.address, deque())
        kept.append((now, work))
        total = self._sum.get(server.address, 0.0) + work
        while kept and kept[0][0] < now - rules.overload_window_s:
            total -= kept.popleft()[1]
        self._sum[server.address] = total
        budget = rules.overload_multiple * server.capacity() * server.warmup_share() * rules.overload_window_s
        self.worst_cold = max(self.worst_cold, total / budget)
        if total > SLACK * budget + 3 * work:
            self._broke(
                4, f"{story}: {total:.2f} s of work in {rules.overload_window_s} s, budget {budget:.2f}"
            )

    def answered(self, node: Node, request: Request, answer: str) -> None:
        """Before the answer is entered: refused or failed."""
        story = f"node {node.place} request {request.number}"
        if request.answered and request.answered != "left":
            self._broke(1, f"{story}: {answer!r} after {request.answered!r}")
        late = self._world.engine.now - request.stop
        if late > self._world.plan.rules.answer_slack_s:
            self._broke(1, f"{story}: answered {late:.3f} s after its deadline")
        if answer == "refused":
            kind = self._world.plan.request_classes[request.kind]
            ran = [one for one in request.attempts if one.outcome not in NEVER_RAN]
            # a keyed one may come again where every server knows its mark
            harmless = (
                kind.idempotency == "pure"
                or kind.idempotency == "receipted"
                and kind.deduplication_group == "all"
            )
            if ran and not harmless:
                self._broke(2, f"{story}: refused, attempt {ran[0].n} may have run")

    def lost(self, node: Node, request: Request) -> None:
        """A client's time is over, and the node owes it an answer."""
        self._broke(1, f"node {node.place} request {request.number}: not answered by its deadline")

    def unanswered(self, node: Node) -> None:
        """At the end of a run: what the node should have answered by now and has not."""
        now, slack = self._world.engine.now, self._world.plan.rules.answer_slack_s
        for request in node.requests.values():
            if not request.answered and request.stop + slack < now:
                self._broke(1, f"node {node.place} request {request.number}: never answered")
