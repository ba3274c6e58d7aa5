"""A node's account of what became of the requests it took, and what two such accounts say. Free of I/O.

Owns the counts and the row in which a node tells them. A row holds sums since the node's start, so that one
that is lost or late costs nothing. It must never count a request before it has ended, nor twice.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from math import floor, log
from typing import Any

from wheatroute.balancing.settings import RequestClass
from wheatroute.net.exchange import REJECTED_STATUS, Exchange
from wheatroute.rollout.judge import Tally

FORMAT = 1  # of the row
OVERDUE = 0.3  # seconds after its deadline by which a request without an answer counts as lost
FINE = 1.05  # ratio of two neighbouring bounds of the times that are counted
ENDED, IN_TIME, REFUSALS, FAILED, MORE, LEFT = range(6)  # counted of a class and tenant
RATIOS = frozenset({"cpu", "memory", "connections"})


def bound(seconds: float) -> int:
    """The number of the time's count: all times between two neighbouring bounds have one."""
    return floor(log(max(1e-6, seconds)) / log(FINE))


class Account:
    """One node's. `names` and `tenants` are the node's numbers by name."""

    def __init__(
        self, names: Mapping[str, int], tenants: Mapping[str, int], kinds: Sequence[RequestClass]
    ) -> None:
        self._lost = 0  # by clients that have gone since
        self._open: dict[int, float] = {}  # requests without an end, and their deadlines
        self._cells: dict[tuple[int, int], list[int]] = defaultdict(lambda: [0] * 6)
        self._times: dict[int, Counter[int]] = defaultdict(Counter)
        self.agree(names, tenants, kinds)

    def agree(
        self, names: Mapping[str, int], tenants: Mapping[str, int], kinds: Sequence[RequestClass]
    ) -> None:
        """Other settings."""
        self._names = {number: name for name, number in names.items()}
        self._tenants = {number: name for name, number in tenants.items()}
        self._kinds = kinds

    def took(self, exchange: Exchange) -> None:
        """A request that is to have an answer."""
        if not exchange.is_complete:
            self._open[exchange.number] = exchange.deadline

    def settled(self, exchange: Exchange, now: float) -> None:
        """A request has its answer."""
        self._open.pop(exchange.number, None)
        cell = self._cells[exchange.request_class, exchange.tenant]
        cell[ENDED] += 1
        cell[MORE] += len(exchange.attempts) > 1
        status = exchange.response.status if exchange.response is not None else 0
        if status == 200:
            took = now - exchange.deadline + exchange.time_left_s
            cell[IN_TIME] += took <= self._kinds[exchange.request_class].target_latency
            self._times[exchange.request_class][bound(took)] += 1
        else:
            cell[REFUSALS if status == REJECTED_STATUS else FAILED] += 1

    def refused(self, exchange: Exchange) -> None:
        """A request that the entry had no room for."""
        cell = self._cells[exchange.request_class, exchange.tenant]
        cell[ENDED] += 1
        cell[REFUSALS] += 1

    def left(self, exchange: Exchange, now: float) -> None:
        """Its client is gone: nobody is there to be answered; one that waited too long had lost it."""
        self._lost += now > exchange.deadline + OVERDUE
        self._open.pop(exchange.number, None)
        cell = self._cells[exchange.request_class, exchange.tenant]
        cell[ENDED] += 1
        cell[LEFT] += 1

    def row(self, now: float) -> dict[str, Any]:
        """Sums since the start, by the names of classes and tenants."""
        lost = self._lost + sum(now > deadline + OVERDUE for deadline in self._open.values())
        cells = [
            [self._names.get(kind, f"class {kind}"), self._tenants.get(tenant, ""), *counts]
            for (kind, tenant), counts in self._cells.items()
        ]
        times = {
            self._names.get(kind, f"class {kind}"): {str(at): count for at, count in counts.items()}
            for kind, counts in self._times.items()
        }
        return {
            "format": FORMAT,
            "lost": lost,
            "cells": cells,
            "times": times,
            "worth": {name: self._kinds[number].value for number, name in self._names.items()},
        }


# what two rows of a node say

Thresholds = Mapping[str, tuple[int, int]]  # by type: the bounds of half and of a hundredth of its times


Times = dict[str, Counter[int]]  # by type: how many were served in each bound


def times(rows: Iterable[Mapping[str, Any]]) -> Times:
    """Of all that was served since the nodes' starts, over all rows."""
    out: Times = defaultdict(Counter)
    for row in rows:
        for name, counts in row["times"].items():
            out[name].update({int(at): count for at, count in counts.items()})
    return out


def times_between(before: Mapping[str, Any], after: Mapping[str, Any]) -> Times:
    """Of what one process served between two of its rows."""
    all_times, then = times([after]), times([before])
    return {name: counts - then.get(name, Counter()) for name, counts in all_times.items()}


def thresholds(served: Times, before: Times) -> dict[str, tuple[int, int]]:
    """The bounds beyond which half and a hundredth lie of what was served after `before` was."""
    out = {}
    for name, all_counts in served.items():
        counts = all_counts - before.get(name, Counter())
        whole, beyond, found = sum(counts.values()), 0, [0, 0]
        if not whole:
            continue
        for at in sorted(counts, reverse=True):
            for i, part in enumerate((0.5, 0.01)):
                if beyond <= part * whole:
                    found[i] = at
            beyond += counts[at]
        out[name] = found[0], found[1]
    return out


def tallies(
    before: Mapping[str, Any], after: Mapping[str, Any], site: str, slow: Thresholds
) -> dict[str, Tally]:
    """What a node did between two rows, for the whole traffic and its parts; nothing if it began anew."""
    out: dict[str, Tally] = defaultdict(Tally)
    if before["start"] != after["start"] or after["format"] != before["format"]:
        return out
    known = {(name, tenant): counts for name, tenant, *counts in before["cells"]}
    ended_all, most = 0, max([1e-9, *after["worth"].values()])
    for name, tenant, *counts in after["cells"]:
        was = known.get((name, tenant), [0] * len(counts))
        ended, in_time, refusals, failed, more, left = (
            now - then for now, then in zip(counts, was, strict=True)
        )
        ended_all += ended
        worth = after["worth"].get(name, 1.0) / most
        told = {
            "worth": Tally(worth * (ended - in_time), worth * ended),
            "refused": Tally(refusals, ended),
            "terminated": Tally(failed + left, ended),
            "relays": Tally(more, ended),
        }
        for part in ("", f" class={name}", f" tenant={tenant}", f" site={site}"):
            for what, tally in told.items():
                out[what + part] += tally
    for name, served in times_between(before, after).items():
        whole = served.total()
        for i, what in enumerate(("slow", "slowest") if name in slow else ()):
            tally = Tally(sum(count for at, count in served.items() if at > slow[name][i]), whole)
            for part in ("", f" class={name}"):
                out[what + part] += tally
    if ended_all:
        out["cpu"] = Tally(after["cpu"] - before["cpu"], ended_all)
        out["memory"] = Tally(after["memory"] * ended_all, ended_all)
        out["connections"] = Tally(after["connections"] * ended_all, ended_all)
    return out
