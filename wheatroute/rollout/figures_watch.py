"""Follows the nodes' figures over time: what each node did between two reads. No I/O.

A request is slow if it took longer than half of the requests at the nodes without the change, in the same
seconds. By thresholds from before the stage alone nearly all requests of both sides would count as slow once
the machines are busier, and the two sides could not be told apart.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping

from wheatroute.agreement.heartbeat import SeenHeartbeat, seen_heartbeat
from wheatroute.rollout import figures
from wheatroute.rollout.canary_analysis import Tally
from wheatroute.rollout.statuses import NodeFigures

STALE_FIGURES_S = 5.0  # without a new heartbeat, after which a process's figures do not count
THRESHOLD_READS = 24  # reads over which the median of the unchanged nodes is taken
MIN_THRESHOLD_REQUESTS = 40  # of a class in those reads; with fewer the median from before the stage counts


class FiguresWatch:
    """The figures that one controller has read in this stage."""

    def __init__(self) -> None:
        self._recent: deque[figures.Durations] = deque(maxlen=THRESHOLD_READS)  # of the unchanged nodes
        self._before: dict[tuple[str, str], NodeFigures] = {}  # by node and incarnation
        self._heartbeats: dict[tuple[str, str], SeenHeartbeat] = {}  # by node and incarnation
        self.thresholds: dict[str, tuple[int, int]] = {}
        self._totals_at_begin: figures.Durations | None = None

    def measure_thresholds(self, reported: Iterable[NodeFigures], is_over: bool) -> None:
        """Sets the thresholds, once `is_over`, from what was served since the first call.

        What was served before, as processes started, doesn't count.
        """
        totals = figures.total_durations(one.requests for one in reported)
        if self._totals_at_begin is None:
            self._totals_at_begin = totals
        if is_over and not self.thresholds:
            self.thresholds = figures.slow_thresholds(totals, self._totals_at_begin)

    def begin_stage(self) -> None:
        """Forgets the thresholds, to measure them again before the next stage."""
        self.thresholds, self._totals_at_begin = {}, None
        self._recent.clear()

    def live_figures(self, reported: list[NodeFigures], now: float) -> dict[str, NodeFigures]:
        """Returns by node the figures of the process that serves, without those that are stale."""
        live: dict[str, NodeFigures] = {}
        for one in reported:
            process = one.process
            key = process.name, process.incarnation
            heartbeat = seen_heartbeat(self._heartbeats.get(key), process.heartbeat, now)
            self._heartbeats[key] = heartbeat
            if now - heartbeat.since < STALE_FIGURES_S and not process.is_stopping:
                if process.name not in live or process.is_ready:
                    live[process.name] = one
        return live

    def tallies_since_last(
        self, reported: Mapping[str, NodeFigures], sites: Mapping[str, str], unchanged: set[str]
    ) -> dict[str, dict[str, Tally]]:
        """Returns by node what it did since the last call; `unchanged` are the nodes without the change."""
        tallies = {}
        thresholds = self._present_thresholds(reported, unchanged)
        for name, one in reported.items():
            key = name, one.process.incarnation
            if key in self._before:
                tallies[name] = figures.tallies_between(
                    self._before[key], one, sites.get(name, ""), thresholds
                )
        self._before = {(name, one.process.incarnation): one for name, one in reported.items()}
        return tallies

    def _present_thresholds(
        self, reported: Mapping[str, NodeFigures], unchanged: set[str]
    ) -> figures.SlowThresholds:
        """Returns the thresholds, with the recent median of the unchanged nodes where it is known."""
        served: figures.Durations = defaultdict(Counter)
        for name in unchanged & reported.keys():
            after = reported[name]
            if before := self._before.get((name, after.process.incarnation)):
                between = figures.durations_between(before.requests, after.requests)
                for request_class, counts in between.items():
                    served[request_class].update(counts)
        self._recent.append(served)
        recent: figures.Durations = defaultdict(Counter)
        for durations in self._recent:
            for request_class, counts in durations.items():
                recent[request_class].update(counts)
        medians = figures.slow_thresholds(recent, {})
        return {
            name: (
                medians[name][0] if recent[name].total() >= MIN_THRESHOLD_REQUESTS else median,
                percentile_99,
            )
            for name, (median, percentile_99) in self.thresholds.items()
        }
