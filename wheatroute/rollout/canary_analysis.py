"""Canary analysis: tests whether nodes with a new version do worse than nodes with the old one. No I/O.

The verdict may be read at any time. A metric without enough data is reported as `UNSURE`, never as worse or
not worse. Both sides, the new nodes and the old ones, must have served during every interval that is added.

The statistic of a metric is a difference of differences. The ratio of bad events at the old nodes is
subtracted from the ratio at the new nodes *in the same seconds*, so that what affects both sides (a burst, a
failing server, a partitioned site) cancels out. From this difference, the same difference from before the
change is subtracted, since the two sides also differ in their traffic.

After the change the difference is a mean over blocks with an asymptotic confidence sequence (Waudby-Smith,
Arbour, Sinha, Kennedy, Ramdas: "Time-uniform central limit theory and asymptotic confidence sequences",
Annals of Statistics 2024, the normal mixture), which is valid at all times simultaneously. Before the change
a confidence interval is enough, since it is read only once. The risk of a stage is split over all metrics,
with half of it for the metrics of the whole traffic.

A sequential probability ratio test is not used: it needs the two rates to distinguish and the size of the
noise. Neither is known here, and the noise is not that of independent trials.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf, log, sqrt
from statistics import NormalDist
from typing import Any

# Total of a tally that each side must reach before a block is closed and the two sides are compared.
MIN_BLOCK_TOTAL = 20.0
# After this many intervals a block is closed even if its totals are smaller, unless one of them is 0.
MAX_BLOCK_INTERVALS = 10
# Blocks needed before any verdict, because the confidence sequence is only asymptotically valid.
MIN_BLOCKS = 8
# Number of blocks for which the confidence sequence is tightest.
TIGHTEST_BLOCKS = 60.0
# Fraction of a stage's risk for each of four groups of metrics: those of the whole traffic and those of its
# parts, each before and after the change.
RISK_PER_GROUP = 0.25
# Fraction of a margin that is allowed for drift: differences between the sides that have other causes than
# the change.
DRIFT_ALLOWANCE = 0.5


class Verdict(StrEnum):
    """The verdict on a stage or on one metric."""

    WORSE = "worse"
    NOT_WORSE = "not worse"
    UNSURE = "not enough seen"


@dataclass(frozen=True)
class Tally:
    """An amount of something bad (events, seconds, bytes) and the total to which it relates."""

    bad: float = 0.0
    total: float = 0.0

    def __add__(self, other: Tally) -> Tally:
        return Tally(self.bad + other.bad, self.total + other.total)

    @property
    def mean(self) -> float:
        """The bad amount per unit of the total; 0 if the total is 0."""
        return self.bad / self.total if self.total else 0.0


# Tallies by metric. A metric for a part of the traffic names that part after a space: "refused" covers the
# whole traffic, "refused class=buy" a part of it.
Tallies = Mapping[str, Tally]


def is_whole_traffic(metric: str) -> bool:
    """Returns whether a metric covers the whole traffic rather than a part of it."""
    return " " not in metric


def metric_name(metric: str) -> str:
    """Returns the metric without the part of the traffic: "refused" for "refused class=buy"."""
    return metric.split(" ", 1)[0]


@dataclass
class DifferenceSequence:
    """Mean and variance of the difference between the two sides in one metric, over blocks of intervals.

    The difference of a block is new minus old if `is_fraction`, otherwise the relative difference new / old -
    1.
    """

    is_fraction: bool = True
    count: int = 0
    mean: float = 0.0
    squared_deviations: float = 0.0  # sum over the blocks
    # Sum over the blocks of the variance that random sampling alone would cause.
    sampling_variance: float = 0.0
    new: Tally = Tally()
    old: Tally = Tally()
    # The block that is not closed yet: tallies of the new and the old side, and the number of intervals.
    _open_block: tuple[Tally, Tally, int] = (Tally(), Tally(), 0)

    def add(self, new: Tally, old: Tally) -> None:
        """Adds the tallies of both sides for one interval; closes the block if it is large or old enough."""
        block_new, block_old = self._open_block[0] + new, self._open_block[1] + old
        intervals = self._open_block[2] + 1
        smaller_total = min(block_new.total, block_old.total)
        if smaller_total < MIN_BLOCK_TOTAL and (intervals < MAX_BLOCK_INTERVALS or smaller_total <= 0.0):
            self._open_block = block_new, block_old, intervals
            return
        self._open_block = Tally(), Tally(), 0
        self._add_block(block_new, block_old)

    def _add_block(self, new: Tally, old: Tally) -> None:
        self.new, self.old = self.new + new, self.old + old
        if self.is_fraction:
            new_variance = _bernoulli_variance(self.new) / new.total
            self.sampling_variance += new_variance + _bernoulli_variance(self.old) / old.total
            difference = new.mean - old.mean
        else:
            difference = new.mean / old.mean - 1.0 if old.mean else 0.0
        # Welford's algorithm.
        self.count += 1
        mean_before = self.mean
        self.mean += (difference - mean_before) / self.count
        self.squared_deviations += (difference - mean_before) * (difference - self.mean)

    def sequence_radius(self, risk: float) -> float:
        """Returns half the width of the confidence sequence.

        `risk` is the probability that the true difference is ever outside the sequence. The result is
        infinite if there are fewer than `MIN_BLOCKS` blocks.
        """
        if self.count < MIN_BLOCKS:
            return inf
        variance = self._variance()
        tuning = (-2.0 * log(risk) + log(-2.0 * log(risk) + 1.0)) / TIGHTEST_BLOCKS
        scale = self.count * tuning + 1.0
        return sqrt(variance * 2.0 * scale / (self.count**2 * tuning) * log(sqrt(scale) / risk))

    def interval_radius(self, risk: float) -> float:
        """Returns half the width of the confidence interval at one time that was fixed in advance.

        `risk` is the probability that the true difference is outside the interval. The result is infinite if
        there are fewer than `MIN_BLOCKS` blocks.
        """
        if self.count < MIN_BLOCKS:
            return inf
        return sqrt(self._variance() / self.count) * NormalDist().inv_cdf(1.0 - risk / 2.0)

    def _variance(self) -> float:
        """Returns the variance of a block's difference, with that of random sampling as the lower bound.

        Without the bound, a rare event that has not happened yet would seem to have no variance.
        """
        return max(self.squared_deviations / (self.count - 1), self.sampling_variance / self.count)

    def to_stored(self) -> list[float]:
        """Returns the values for the store; the open block is left out."""
        return [
            float(self.is_fraction),
            self.count,
            self.mean,
            self.squared_deviations,
            self.sampling_variance,
            self.new.bad,
            self.new.total,
            self.old.bad,
            self.old.total,
        ]

    @staticmethod
    def from_stored(values: list[float]) -> DifferenceSequence:
        """Returns the sequence from the values that `to_stored` returned."""
        return DifferenceSequence(
            bool(values[0]),
            int(values[1]),
            values[2],
            values[3],
            values[4],
            Tally(values[5], values[6]),
            Tally(values[7], values[8]),
        )


def _bernoulli_variance(tally: Tally) -> float:
    """Returns the variance of one request's outcome.

    It is never zero, since one request of each outcome is added (Laplace's rule of succession).
    """
    fraction = (min(tally.bad, tally.total) + 1.0) / (tally.total + 2.0)
    return fraction * (1.0 - fraction)


@dataclass(frozen=True)
class Finding:
    """The verdict on one metric, with its evidence. Differences are new minus old."""

    metric: str
    verdict: Verdict
    difference_before: float  # mean difference before the change
    difference_after: float  # mean difference after the change
    # half the width of the confidence interval of `difference_after` minus `difference_before`
    radius: float
    margin: float  # how much worse the new side may be
    new: float  # mean of the new side after the change
    old: float  # mean of the old side after the change
    blocks: int  # number of blocks after the change

    @property
    def distance_to_margin(self) -> float:
        """How much the difference could still grow before it exceeds the margin with certainty."""
        return self.difference_before + self.margin + self.radius - self.difference_after

    @property
    def line(self) -> str:
        """The finding as one line of text, which is stored as evidence with a step."""
        return (
            f"{self.metric}: {self.verdict}: new {self.new:.4f}, old {self.old:.4f}; new minus old "
            f"{self.difference_after:+.4f}, before the change {self.difference_before:+.4f}, "
            f"+/- {self.radius:.4f}; margin {self.margin:.4f}; {self.blocks} blocks"
        )


@dataclass
class CanaryAnalysis:
    """Collects the differences between the two sides in one stage, and gives the verdict on it.

    `margins` holds by how much the new side may be worse, by metric name. `risk` is the probability of
    stopping a good version in this stage. The metrics in `relative_metrics` are compared by their relative
    difference.
    """

    margins: Mapping[str, float]
    risk: float
    relative_metrics: frozenset[str] = frozenset()
    before: dict[str, DifferenceSequence] = field(default_factory=dict)
    after: dict[str, DifferenceSequence] = field(default_factory=dict)

    def add_interval(self, new: Tallies, old: Tallies, is_changed: bool) -> None:
        """Adds the tallies of both sides for one interval.

        `is_changed` is true once the new side runs the new version. Only metrics that both sides have and
        that have a margin are added.
        """
        sequences = self.after if is_changed else self.before
        for metric in new.keys() & old.keys():
            name = metric_name(metric)
            if name in self.margins:
                if metric not in sequences:
                    sequences[metric] = DifferenceSequence(name not in self.relative_metrics)
                sequences[metric].add(new[metric], old[metric])

    def findings(self) -> list[Finding]:
        """Returns the findings on all metrics that were seen after the change, the worst first."""
        metrics = self.before.keys() | self.after.keys()
        whole_count = sum(map(is_whole_traffic, metrics))
        whole_risk = self.risk * (RISK_PER_GROUP / max(1, whole_count))
        part_risk = self.risk * (RISK_PER_GROUP / max(1, len(metrics) - whole_count))
        findings = [
            self._finding(metric, whole_risk if is_whole_traffic(metric) else part_risk)
            for metric in self.after
        ]
        return sorted(findings, key=lambda finding: finding.distance_to_margin)

    def _finding(self, metric: str, risk: float) -> Finding:
        after, before = self.after[metric], self.before.get(metric, DifferenceSequence())
        margin = self.margins[metric_name(metric)]
        radius = after.sequence_radius(risk) + before.interval_radius(risk)
        change = after.mean - before.mean
        if change - radius > DRIFT_ALLOWANCE * margin:
            verdict = Verdict.WORSE
        elif change + radius < margin:
            verdict = Verdict.NOT_WORSE
        else:
            verdict = Verdict.UNSURE
        return Finding(
            metric=metric,
            verdict=verdict,
            difference_before=before.mean,
            difference_after=after.mean,
            radius=radius,
            margin=margin,
            new=after.new.mean,
            old=after.old.mean,
            blocks=after.count,
        )

    def verdict(self, required: frozenset[str]) -> tuple[Verdict, list[Finding]]:
        """Returns the verdict on the stage, and the findings that support it.

        WORSE if any metric is worse, with only the findings on such metrics. If none is, the verdict comes
        with all findings: NOT_WORSE if `required` is not empty and all its metrics are known not to be worse,
        and UNSURE if not.
        """
        findings = self.findings()
        worse = [finding for finding in findings if finding.verdict == Verdict.WORSE]
        if worse:
            return Verdict.WORSE, worse
        not_worse = {finding.metric for finding in findings if finding.verdict == Verdict.NOT_WORSE}
        return (Verdict.NOT_WORSE if required and required <= not_worse else Verdict.UNSURE), findings

    def has_baseline(self, required: frozenset[str]) -> bool:
        """Returns whether each of the `required` metrics has enough blocks from before the change.

        Without them no verdict on the stage is possible, however long it is watched afterwards.
        """
        return all(metric in self.before and self.before[metric].count >= MIN_BLOCKS for metric in required)

    def baseline_to_stored(self) -> dict[str, Any]:
        """Returns the differences from before the change, for a controller that takes over later."""
        return {metric: sequence.to_stored() for metric, sequence in self.before.items()}
