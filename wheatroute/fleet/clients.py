"""Clients: who asks for what and when, through which node, and what they do when they are turned away.

Owns arrivals, tenants, sizes, retries and the account of what was asked for and what came of it. Arrivals
are drawn ahead and do not wait for answers. It must never count a request twice: a client's tries are one.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterator
from itertools import accumulate
from math import inf, pi, sin
from typing import TYPE_CHECKING, Any

from wheatroute.fleet import random_streams

if TYPE_CHECKING:
    from wheatroute.fleet.nodes import Node, Request
    from wheatroute.fleet.world import World

LONGEST_BACKOFF = 2.0  # seconds
UNREACHED = 0.05  # seconds until a client whose connection was refused tries another node
FRONT_NOTICES = 2.0  # seconds until the layer before the nodes leaves a dead one out


class Root:
    """One request as its client sees it."""

    __slots__ = (
        "index",
        "kind",
        "tenant",
        "arrived",
        "target",
        "stop",
        "size",
        "within",
        "tries",
        "answer",
        "answered",
        "zone",
        "over",
        "heeds",
    )

    def __init__(self, index: int, kind: int, tenant: int, arrived: float, size: float, zone: int) -> None:
        self.index, self.kind, self.tenant, self.arrived = index, kind, tenant, arrived
        self.size, self.zone = size, zone
        self.target = self.stop = 0.0
        self.within = True  # its tenant's share
        self.tries = 0
        self.answer, self.answered = "", inf
        self.over = False
        self.heeds = True


class Crowd:
    """All clients of a run."""

    def __init__(self, world: World) -> None:
        self.world, self.plan, self.engine = world, world.plan, world.engine
        self.roots: list[Root] = []
        self.start = world.engine.now
        clients = self.plan.clients
        self._rate = clients.load * self.plan.capacity()
        self._when = random_streams.stream(world.seed, "arrivals")
        self._what = random_streams.stream(world.seed, "commands")
        self._which = random_streams.stream(world.seed, "front")
        self._wait = random_streams.stream(world.seed, "retries")
        self._kinds = list(accumulate(kind.weight for kind in self.plan.request_classes))
        usage = [one.portion * one.usage for one in self.plan.tenants]
        self._tenants = list(accumulate(usage))
        quota = clients.quota * self.plan.capacity()
        self._quotas = [one.portion * quota for one in self.plan.tenants]
        self._saved = list(self._quotas)
        self._saved_at = [self.engine.now] * len(self._quotas)
        self._noticed: dict[int, float] = {}  # by node: from when the front leaves it out
        count, skew = self.plan.nodes, clients.node_skew
        # evenly from the least to the busiest, so that the busiest has `skew` times the mean
        rank = list(range(count))
        self._which.shuffle(rank)
        least = max(0.0, 2.0 - skew)
        self._pull = [
            least + (skew - least) * (place / max(1, count - 1)) ** max(1.0, skew - 1.0) for place in rank
        ]

    # arrivals

    def begin(self) -> None:
        """Schedules the first arrival."""
        moments = self._moments()
        first = next(moments, None)
        if first is not None:
            self.engine.call_at(first, self._arrive, moments)

    def rate(self, since: float) -> float:
        """Requests a second, this long after the start."""
        clients = self.plan.clients
        rate = self._rate * (1.0 + clients.swing * sin(2.0 * pi * since / clients.swing_period_s))
        for wave in clients.waves:
            if wave.start_s <= since < wave.start_s + wave.duration_s:
                part = min(1.0, (since - wave.start_s) / wave.ramp_s) if wave.ramp_s else 1.0
                rate *= 1.0 + (wave.factor - 1.0) * part
        return rate

    def _moments(self) -> Iterator[float]:
        start, clients = self.engine.now, self.plan.clients
        if clients.recorded_arrivals_s:
            yield from (
                start + one for one in sorted(clients.recorded_arrivals_s) if one < self.plan.duration_s
            )
            return
        if clients.arrivals == "even":
            since = 0.0
            while since < self.plan.duration_s:
                yield start + since
                since += 1.0 / max(self.rate(since), 1e-9)
            return
        # a Poisson process of changing rate, by thinning (Lewis and Shedler 1979)
        most = self._rate * (1.0 + clients.swing)
        for wave in clients.waves:
            most *= max(1.0, wave.factor)
        since = 0.0
        while most > 0.0:
            since += self._when.expovariate(most)
            if since >= self.plan.duration_s:
                return
            if self._when.random() * most < self.rate(since):
                yield start + since

    def _arrive(self, moments: Iterator[float]) -> None:
        following = next(moments, None)
        if following is not None:
            self.engine.call_at(following, self._arrive, moments)
        what, now = self._what, self.engine.now
        kind = bisect(self._kinds, what.random() * self._kinds[-1])
        tenant = bisect(self._tenants, what.random() * self._tenants[-1]) if self._tenants else -1
        root = Root(
            len(self.roots),
            kind,
            tenant,
            now,
            self.world.law_size(kind, what.random()),
            int(what.random() * len(self.plan.network.zones)),
        )
        root.target = now + self.plan.request_classes[kind].target_latency_s
        root.stop = now + self.plan.request_classes[kind].deadline_s
        root.heeds = what.random() < self.plan.clients.retry_advice_compliance
        root.within = self._within(tenant)
        self.roots.append(root)
        self._try(root)

    def _within(self, tenant: int) -> bool:
        """Whether a request is inside its tenant's share, seen over all nodes, with a second saved up."""
        if tenant < 0:
            return True
        now, quota = self.engine.now, self._quotas[tenant]
        saved = min(max(1.0, quota), self._saved[tenant] + quota * (now - self._saved_at[tenant]))
        self._saved_at[tenant] = now
        self._saved[tenant] = saved - 1.0 if saved >= 1.0 else saved
        return saved >= 1.0

    # tries

    def _try(self, root: Root) -> None:
        now = self.engine.now
        node = self._node(root)
        left = min(
            self.plan.clients.client_timeout * self.plan.request_classes[root.kind].deadline_s,
            root.stop - now,
        )
        if root.over or left <= 0.0:
            return
        root.tries += 1
        if node is None:
            self._again(root, UNREACHED)
            return
        there = self.plan.clients.latency_s
        self.engine.call_later(there, self._reach, root, node, left - there)

    def _node(self, root: Root) -> Node | None:
        """The layer before the nodes deals out tries; it notices a dead node late."""
        now, front = self.engine.now, self.world.front
        fit = [node for node in front if node.zone == root.zone and self._dealt(node, now)]
        fit = fit or [node for node in front if self._dealt(node, now)]
        if not fit:
            return None
        pull = list(accumulate(self._pull[node.number] for node in fit))
        return fit[bisect(pull, self._which.random() * pull[-1])] if pull[-1] else fit[0]

    def _dealt(self, node: Node, now: float) -> bool:
        if node.alive:
            self._noticed.pop(node.number, None)
            return True
        return now < self._noticed.setdefault(node.number, now + FRONT_NOTICES)

    def _reach(self, root: Root, node: Node, left: float) -> None:
        if not node.alive:
            self._again(root, UNREACHED)
            return
        attempt = root.tries
        request: list[Any] = []

        def told(answer: str, stay_away: float) -> None:
            self.engine.call_later(
                self.plan.clients.latency_s, self._answered, root, attempt, answer, stay_away
            )

        request.append(node.take(root.index, root.kind, 0, left, root.tenant, attempt > 1, told))
        slack = self.plan.rules.answer_slack_s
        self.engine.call_later(left + slack, self._patience_ends, root, attempt, node, request[0])

    def _patience_ends(self, root: Root, attempt: int, node: Node, request: Request) -> None:
        if not request.answered and node.alive:
            self.world.watch.lost(node, request)
            node.leave(request)
            if not root.over and root.tries == attempt:
                self._again(root, 0.0, "left")

    def _answered(self, root: Root, attempt: int, answer: str, stay_away: float) -> None:
        if root.over:
            return
        now = self.engine.now
        if answer == "served":
            root.over, root.answer, root.answered = True, "served", now
            return
        if root.tries != attempt:
            return
        unsafe = self.plan.request_classes[root.kind].idempotency == "effectful"
        if answer == "refused" or not unsafe:
            wait = self.plan.clients.backoff_s * 2 ** (attempt - 1) * (0.5 + self._wait.random())
            if root.heeds:
                wait = max(wait, stay_away)
            self._again(root, min(wait, LONGEST_BACKOFF), answer)
        else:
            root.over, root.answer, root.answered = True, answer, now

    def _again(self, root: Root, wait: float, answer: str = "unreached") -> None:
        now = self.engine.now
        root.answer, root.answered = answer, now
        free = answer == "unreached"  # a refused connection costs no try
        if not free and root.tries > self.plan.clients.max_retries or now + wait >= root.stop:
            root.over = True
            return
        self.engine.call_later(wait, self._try, root)
