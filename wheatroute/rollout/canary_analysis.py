"""Canary analysis: whether nodes with a new version do worse than the old ones beside them. No I/O.

The result may be read at any moment. What has not been seen enough is never called worse or not worse. Both
sides must have served during all intervals that are added.

What is compared is the ratio of something bad at the new nodes less the ratio at the old ones *in the same
seconds*, so that what both sides meet (a burst, a failing server, a site cut off) cancels out; less the
same difference from before the change, as nodes have unlike traffic. After the change it is a mean of
blocks with an asymptotic confidence sequence (Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas: "Time-uniform
central limit theory and asymptotic confidence sequences", Annals of Statistics 2024, the normal mixture),
which holds for all moments together; before it, a confidence interval, as that is read once. The risk of a
stage is split over all metrics, half of it on the whole traffic. A sequential probability ratio test needs
two rates to tell apart and the size of the noise; here neither is known, and the noise is not that of
independent trials.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf, log, sqrt
from statistics import NormalDist
from typing import Any

MIN_BLOCK_TOTAL = 20.0  # of what is counted, on each side, before the two are compared
MAX_BLOCK_INTERVALS = 10  # then a side with less is compared by what there is, if there is anything
MIN_BLOCKS = 8  # before any verdict: the confidence sequence is asymptotic
TIGHTEST_BLOCKS = 60.0  # number of blocks for which the confidence sequence is tightest
# of a stage's risk: for the whole traffic and for its parts, each before and after the change
RISK_PER_GROUP = 0.25
DRIFT_ALLOWANCE = 0.5  # part of a margin, for drift between the sides that the change does not cause


class Verdict(StrEnum):
    """On a stage, or on one metric."""

    WORSE = "worse"
    NOT_WORSE = "not worse"
    UNSURE = "not enough seen"


@dataclass(frozen=True)
class Tally:
    """An amount of something bad, and the total that it is compared with."""

    bad: float = 0.0
    total: float = 0.0

    def __add__(self, other: Tally) -> Tally:
        return Tally(self.bad + other.bad, self.total + other.total)

    @property
    def mean(self) -> float:
        """The bad amount per unit of the total; 0 without any."""
        return self.bad / self.total if self.total else 0.0


Tallies = Mapping[str, Tally]  # by metric and part of the traffic: "refused class=buy"


def is_whole_traffic(metric: str) -> bool:
    """Whether a metric is of the whole traffic, and not of a part of it."""
    return " " not in metric


def metric_name(metric: str) -> str:
    """Return the metric without the part of the traffic: "refused" of "refused class=buy"."""
    return metric.split(" ", 1)[0]


@dataclass
class DifferenceSequence:
    """The differences between both sides in one metric, block by block.

    With `is_fraction` a difference is that of two fractions, otherwise the relative difference of two values.
    """

    is_fraction: bool = True
    count: int = 0
    mean: float = 0.0
    squared_deviations: float = 0.0  # sum
    sampling_variance: float = 0.0  # sum of the variance that random sampling alone gives
    new: Tally = Tally()
    old: Tally = Tally()
    _open_block: tuple[Tally, Tally, int] = (Tally(), Tally(), 0)  # new, old, intervals

    def add(self, new: Tally, old: Tally) -> None:
        """Add the tallies of both sides in one interval."""
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
        # Welford's algorithm
        self.count += 1
        mean_before = self.mean
        self.mean += (difference - mean_before) / self.count
        self.squared_deviations += (difference - mean_before) * (difference - self.mean)

    def sequence_radius(self, risk: float) -> float:
        """Return half the width of the confidence sequence, which holds at all moments but with this risk."""
        if self.count < MIN_BLOCKS:
            return inf
        variance = self._variance()
        tuning = (-2.0 * log(risk) + log(-2.0 * log(risk) + 1.0)) / TIGHTEST_BLOCKS
        scale = self.count * tuning + 1.0
        return sqrt(variance * 2.0 * scale / (self.count**2 * tuning) * log(sqrt(scale) / risk))

    def interval_radius(self, risk: float) -> float:
        """Return half the width of the confidence interval for one moment that was chosen in advance."""
        if self.count < MIN_BLOCKS:
            return inf
        return sqrt(self._variance() / self.count) * NormalDist().inv_cdf(1.0 - risk / 2.0)

    def _variance(self) -> float:
        """Return the variance of a block, at least that of random sampling.

        A rare event that has not happened yet would otherwise seem to have no variance.
        """
        return max(self.squared_deviations / (self.count - 1), self.sampling_variance / self.count)

    def to_stored(self) -> list[float]:
        """Return plain data for the store, without the open block."""
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
        """Return the sequence that `to_stored` gave the values of."""
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
    """Return the variance of one request, never zero: one more of each outcome is added (Laplace's rule)."""
    fraction = (min(tally.bad, tally.total) + 1.0) / (tally.total + 2.0)
    return fraction * (1.0 - fraction)


@dataclass(frozen=True)
class Finding:
    """The verdict on one metric with its evidence."""

    metric: str
    verdict: Verdict
    difference_before: float  # before the change
    difference_after: float
    radius: float  # of both together
    margin: float
    new: float  # mean at each side
    old: float
    blocks: int

    @property
    def distance_to_margin(self) -> float:
        """How much larger the change could be before it exceeds the margin for certain."""
        return self.difference_before + self.margin + self.radius - self.difference_after

    @property
    def line(self) -> str:
        """The finding as text, as it is stored with a step."""
        return (
            f"{self.metric}: {self.verdict}: new {self.new:.4f}, old {self.old:.4f}; new less old "
            f"{self.difference_after:+.4f}, before the change {self.difference_before:+.4f}, "
            f"within {self.radius:.4f}; margin {self.margin:.4f}; {self.blocks} blocks"
        )


@dataclass
class CanaryAnalysis:
    """The analysis of one stage.

    `margins` has by metric name how much worse the new side may be, `risk` is the probability of stopping a
    good version in this stage, and metrics in `relative_metrics` are compared by their relative difference.
    """

    margins: Mapping[str, float]
    risk: float
    relative_metrics: frozenset[str] = frozenset()
    before: dict[str, DifferenceSequence] = field(default_factory=dict)
    after: dict[str, DifferenceSequence] = field(default_factory=dict)

    def add_interval(self, new: Tallies, old: Tallies, is_changed: bool) -> None:
        """Add what both sides did in an interval; `is_changed` once the new side runs the change."""
        sequences = self.after if is_changed else self.before
        for metric in new.keys() & old.keys():
            name = metric_name(metric)
            if name in self.margins:
                if metric not in sequences:
                    sequences[metric] = DifferenceSequence(name not in self.relative_metrics)
                sequences[metric].add(new[metric], old[metric])

    def findings(self) -> list[Finding]:
        """Return the findings on all metrics, the worst first."""
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
        """Return WORSE if any metric is, NOT_WORSE once all `required` ones are known not to be."""
        findings = self.findings()
        worse = [finding for finding in findings if finding.verdict == Verdict.WORSE]
        if worse:
            return Verdict.WORSE, worse
        not_worse = {finding.metric for finding in findings if finding.verdict == Verdict.NOT_WORSE}
        return (Verdict.NOT_WORSE if required and required <= not_worse else Verdict.UNSURE), findings

    def has_baseline(self, required: frozenset[str]) -> bool:
        """Whether enough was seen before the change; without it no verdict is possible after."""
        return all(metric in self.before and self.before[metric].count >= MIN_BLOCKS for metric in required)

    def baseline_to_stored(self) -> dict[str, Any]:
        """Return what was seen before the change, for another controller that continues."""
        return {metric: sequence.to_stored() for metric, sequence in self.before.items()}
