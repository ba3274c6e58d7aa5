"""The figures of a node as stored, and what the difference of two of them says. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from math import floor, log
from typing import Any

from wheatroute.rollout.canary_analysis import Tally

FIGURES_FORMAT = 1
BUCKET_RATIO = 1.05  # of two neighbouring bounds of the duration histogram
MIN_DURATION_S = 1e-6
# positions of the counts of a request class and tenant
ENDED, IN_TIME, REJECTED, FAILED, MORE_ATTEMPTS, LEFT = range(6)
OUTCOME_COUNT = 6
RELATIVE_METRICS = frozenset({"cpu", "memory", "connections"})  # compared by their relative difference

Durations = dict[str, Counter[int]]  # by request class: how many requests were served in each bucket
# by request class: buckets of the median and of the 99th percentile
SlowThresholds = Mapping[str, tuple[int, int]]


def duration_bucket(seconds: float) -> int:
    """Return the number of a duration's histogram bucket."""
    return floor(log(max(MIN_DURATION_S, seconds)) / log(BUCKET_RATIO))


def total_durations(figures: Iterable[Mapping[str, Any]]) -> Durations:
    """Return what was served since the nodes' starts, summed over all figures."""
    totals: Durations = defaultdict(Counter)
    for one in figures:
        for name, counts in one["times"].items():
            totals[name].update({int(bucket): count for bucket, count in counts.items()})
    return totals


def durations_between(before: Mapping[str, Any], after: Mapping[str, Any]) -> Durations:
    """Return what one process served between two of its figures."""
    totals, totals_before = total_durations([after]), total_durations([before])
    return {name: counts - totals_before.get(name, Counter()) for name, counts in totals.items()}


def slow_thresholds(totals: Durations, totals_before: Durations) -> dict[str, tuple[int, int]]:
    """Return the buckets beyond which half, and a hundredth, of the requests since `totals_before` lie."""
    thresholds = {}
    for name, all_counts in totals.items():
        counts = all_counts - totals_before.get(name, Counter())
        total, beyond, found = sum(counts.values()), 0, [0, 0]
        if not total:
            continue
        for bucket in sorted(counts, reverse=True):
            for i, fraction in enumerate((0.5, 0.01)):
                if beyond <= fraction * total:
                    found[i] = bucket
            beyond += counts[bucket]
        thresholds[name] = found[0], found[1]
    return thresholds


def tallies_between(
    before: Mapping[str, Any], after: Mapping[str, Any], site: str, thresholds: SlowThresholds
) -> dict[str, Tally]:
    """Return by metric what a node did between two figures; nothing if its process has restarted."""
    tallies: dict[str, Tally] = defaultdict(Tally)
    if before["start"] != after["start"] or after["format"] != before["format"]:
        return tallies
    ended = _add_outcomes(tallies, before, after, site)
    _add_durations(tallies, before, after, thresholds)
    if ended:
        tallies["cpu"] = Tally(after["cpu"] - before["cpu"], ended)
        tallies["memory"] = Tally(after["memory"] * ended, ended)
        tallies["connections"] = Tally(after["connections"] * ended, ended)
    return tallies


def _add_outcomes(
    tallies: dict[str, Tally], before: Mapping[str, Any], after: Mapping[str, Any], site: str
) -> int:
    """Add the outcomes of requests, for the whole traffic and its parts; returns how many have ended."""
    counts_before = {(name, tenant): counts for name, tenant, *counts in before["cells"]}
    total_ended, max_worth = 0, max([1e-9, *after["worth"].values()])
    for name, tenant, *counts in after["cells"]:
        earlier = counts_before.get((name, tenant), [0] * len(counts))
        ended, in_time, rejected, failed, more_attempts, left = (
            count - count_before for count, count_before in zip(counts, earlier, strict=True)
        )
        total_ended += ended
        worth = after["worth"].get(name, 1.0) / max_worth
        outcomes = {
            "worth": Tally(worth * (ended - in_time), worth * ended),
            "refused": Tally(rejected, ended),
            "terminated": Tally(failed + left, ended),
            "relays": Tally(more_attempts, ended),
        }
        for part in ("", f" class={name}", f" tenant={tenant}", f" site={site}"):
            for metric, tally in outcomes.items():
                tallies[metric + part] += tally
    return total_ended


def _add_durations(
    tallies: dict[str, Tally],
    before: Mapping[str, Any],
    after: Mapping[str, Any],
    thresholds: SlowThresholds,
) -> None:
    for name, served in durations_between(before, after).items():
        total = served.total()
        for i, metric in enumerate(("slow", "slowest") if name in thresholds else ()):
            slow = sum(count for bucket, count in served.items() if bucket > thresholds[name][i])
            for part in ("", f" class={name}"):
                tallies[metric + part] += Tally(slow, total)
