"""Follows the nodes' figures over time: derives what each node did between two reads. No I/O.

A request is slow if it took longer than the median at the unchanged nodes in the same seconds. With
thresholds from before the stage alone, nearly all requests of both sides would count as slow once the
machines are busier, and the two sides could not be distinguished.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping

from wheatroute.agreement.heartbeat import SeenHeartbeat, seen_heartbeat
from wheatroute.rollout import figures
from wheatroute.rollout.canary_analysis import Tally
from wheatroute.rollout.statuses import NodeFigures

# Time without a new heartbeat after which the figures of a process are ignored.
STALE_FIGURES_S = 5.0
# Number of reads over which the median of the unchanged nodes is taken.
THRESHOLD_READS = 24
# Requests of a class needed in those reads; with fewer the median from before the stage is used.
MIN_THRESHOLD_REQUESTS = 40


class FiguresWatch:
    """The figures that one controller has read, and the thresholds of slow requests in the current stage."""

    def __init__(self) -> None:
        # For each of the last reads: durations at the unchanged nodes since the read before it.
        self._recent: deque[figures.Durations] = deque(maxlen=THRESHOLD_READS)
        # Figures of the previous read, by node and incarnation.
        self._before: dict[tuple[str, str], NodeFigures] = {}
        # Last heartbeats by node and incarnation.
        self._heartbeats: dict[tuple[str, str], SeenHeartbeat] = {}
        # Histogram buckets of the median and of the 99th percentile from before the stage, by request class.
        self.thresholds: dict[str, tuple[int, int]] = {}
        self._totals_at_begin: figures.Durations | None = None

    def measure_thresholds(self, reported: Iterable[NodeFigures], is_over: bool) -> None:
        """Sets the thresholds from the requests served between the first call and that with `is_over`.

        Requests served before the first call, while processes were starting, are ignored.
        """
        totals = figures.total_durations(node.requests for node in reported)
        if self._totals_at_begin is None:
            self._totals_at_begin = totals
        if is_over and not self.thresholds:
            self.thresholds = figures.slow_thresholds(totals, self._totals_at_begin)

    def begin_stage(self) -> None:
        """Clears the thresholds, so that they are measured again before the next stage."""
        self.thresholds, self._totals_at_begin = {}, None
        self._recent.clear()

    def live_figures(self, reported: list[NodeFigures], now: float) -> dict[str, NodeFigures]:
        """Returns the figures of each node's serving process, by node and without stale ones.

        Processes that are stopping are left out; if a node has several others, a ready one is preferred.
        """
        live: dict[str, NodeFigures] = {}
        for node in reported:
            process = node.process
            key = process.name, process.incarnation
            heartbeat = seen_heartbeat(self._heartbeats.get(key), process.heartbeat, now)
            self._heartbeats[key] = heartbeat
            if now - heartbeat.since < STALE_FIGURES_S and not process.is_stopping:
                if process.name not in live or process.is_ready:
                    live[process.name] = node
        return live

    def tallies_since_last(
        self, reported: Mapping[str, NodeFigures], sites: Mapping[str, str], unchanged: set[str]
    ) -> dict[str, dict[str, Tally]]:
        """Returns the tallies of each node since the last call, without nodes whose process is new.

        `sites` has the site of each node; the `unchanged` nodes run the old program.
        """
        tallies = {}
        thresholds = self._current_thresholds(reported, unchanged)
        for name, node in reported.items():
            key = name, node.process.incarnation
            if key in self._before:
                tallies[name] = figures.tallies_between(
                    self._before[key], node, sites.get(name, ""), thresholds
                )
        self._before = {(name, node.process.incarnation): node for name, node in reported.items()}
        return tallies

    def _current_thresholds(
        self, reported: Mapping[str, NodeFigures], unchanged: set[str]
    ) -> figures.SlowThresholds:
        """Returns the thresholds; for classes with enough recent requests, the median is the recent one."""
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
