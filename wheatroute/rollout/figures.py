"""Derives tallies for canary analysis from the difference between two reports of a node's figures. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from math import floor, log

from wheatroute.rollout.canary_analysis import Tally
from wheatroute.rollout.statuses import ClassOutcomes, NodeFigures, RequestFigures

BUCKET_RATIO = 1.05  # ratio of two neighbouring bounds of the duration histogram
MIN_DURATION_S = 1e-6
# Lower bound of the divisor that normalizes the values of requests, since all classes may have the value 0.
MIN_VALUE = 1e-9
# Metrics that are compared by their relative difference.
RELATIVE_METRICS = frozenset({"cpu", "memory", "connections"})

# Number of served requests by request class and histogram bucket.
Durations = dict[str, Counter[int]]
# Histogram buckets of the median and of the 99th percentile, by request class.
SlowThresholds = Mapping[str, tuple[int, int]]


def duration_bucket(seconds: float) -> int:
    """Returns the number of the histogram bucket for a duration."""
    return floor(log(max(MIN_DURATION_S, seconds)) / log(BUCKET_RATIO))


def total_durations(figures: Iterable[RequestFigures]) -> Durations:
    """Returns the number of requests served since the nodes' starts, summed over all nodes."""
    totals: Durations = defaultdict(Counter)
    for requests in figures:
        for name, counts in requests.durations.items():
            totals[name].update(counts)
    return totals


def durations_between(before: RequestFigures, after: RequestFigures) -> Durations:
    """Returns the number of requests that a process served between two of its reports."""
    totals, totals_before = total_durations([after]), total_durations([before])
    return {name: counts - totals_before.get(name, Counter()) for name, counts in totals.items()}


def slow_thresholds(totals: Durations, totals_before: Durations) -> dict[str, tuple[int, int]]:
    """Returns the buckets of the median and the 99th percentile, by request class.

    Only requests served since `totals_before` count; a class without such requests is left out.
    """
    thresholds = {}
    for name, all_counts in totals.items():
        counts = all_counts - totals_before.get(name, Counter())
        total, slower, buckets = sum(counts.values()), 0, [0, 0]
        if not total:
            continue
        for bucket in sorted(counts, reverse=True):
            for i, fraction in enumerate((0.5, 0.01)):
                if slower <= fraction * total:
                    buckets[i] = bucket
            slower += counts[bucket]
        thresholds[name] = buckets[0], buckets[1]
    return thresholds


def tallies_between(
    before: NodeFigures, after: NodeFigures, site: str, thresholds: SlowThresholds
) -> dict[str, Tally]:
    """Returns the tallies of a node between two reports, by metric; empty if its process has restarted."""
    tallies: dict[str, Tally] = defaultdict(Tally)
    if before.process.incarnation != after.process.incarnation:
        return tallies
    ended = _add_outcomes(tallies, before.requests, after.requests, site)
    _add_durations(tallies, before.requests, after.requests, thresholds)
    if ended:
        tallies["cpu"] = Tally(after.process.cpu_s - before.process.cpu_s, ended)
        # Memory and connections are levels, not sums over requests. Each is multiplied by the number of ended
        # requests, so that a mean over several nodes or reports is weighted by requests.
        tallies["memory"] = Tally(after.process.memory_bytes * ended, ended)
        tallies["connections"] = Tally(after.process.open_connections * ended, ended)
    return tallies


def _add_outcomes(tallies: dict[str, Tally], before: RequestFigures, after: RequestFigures, site: str) -> int:
    """Adds the outcomes of requests to `tallies`, for the whole traffic and for its parts.

    Returns how many requests have ended between the two reports.
    """
    earlier = {(totals.request_class, totals.tenant): totals for totals in before.outcomes}
    total_ended, max_value = 0, max([MIN_VALUE, *after.values.values()])
    for totals in after.outcomes:
        outcomes = totals.since(earlier.get((totals.request_class, totals.tenant), ClassOutcomes()))
        total_ended += outcomes.ended
        value = after.values.get(outcomes.request_class, 1.0) / max_value
        parts = (
            "",
            f" class={outcomes.request_class}",
            f" tenant={outcomes.tenant}",
            f" site={site}",
        )
        for metric, tally in _outcome_tallies(outcomes, value).items():
            for part in parts:
                tallies[metric + part] += tally
    return total_ended


def _outcome_tallies(outcomes: ClassOutcomes, value: float) -> dict[str, Tally]:
    """Returns the tallies of the outcomes of a class and tenant, by metric.

    `value` is the value of one request, relative to that of the most valuable class.
    """
    ended = outcomes.ended
    return {
        "worth": Tally(value * (ended - outcomes.in_time), value * ended),
        "refused": Tally(outcomes.rejected, ended),
        "terminated": Tally(outcomes.failed + outcomes.client_left, ended),
        "relays": Tally(outcomes.more_attempts, ended),
    }


def _add_durations(
    tallies: dict[str, Tally],
    before: RequestFigures,
    after: RequestFigures,
    thresholds: SlowThresholds,
) -> None:
    """Adds to `tallies` how many served requests were slower than each threshold."""
    for name, served in durations_between(before, after).items():
        total = served.total()
        for i, metric in enumerate(("slow", "slowest") if name in thresholds else ()):
            slow = sum(count for bucket, count in served.items() if bucket > thresholds[name][i])
            for part in ("", f" class={name}"):
                tallies[metric + part] += Tally(slow, total)
