"""Whether new nodes do worse than old ones beside them: a test that may be looked at at any moment.

Owns the verdict on a stage and its evidence; free of I/O. It must never call worse or no worse what it has
not seen enough of, nor be fed seconds in which the two sides did not serve side by side.

What is compared: the share of something bad at the new nodes less the share at the old ones *in the same
seconds*, so that what both sides meet (a burst, a server that fails, a site cut off) takes itself out; less
the same difference from before the change, as nodes have unlike traffic. After the change it is a mean of
blocks with an asymptotic confidence sequence (Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas: "Time-uniform
central limit theory and asymptotic confidence sequences", Annals of Statistics 2024, the normal mixture),
which holds for all moments together; before it, an interval, as that is looked at once. The risk of a stage
is split over all that is looked at, half of it on the whole traffic. A sequential ratio test wants two points
to tell apart and the size of the noise; here neither is known, and noise is no coin's.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf, log, sqrt
from statistics import NormalDist
from typing import Any

BLOCK = 20.0  # of what is counted, on each side, before the two are compared
LONGEST = 10  # looks in a block: a side that sees less is compared by what there is, if there is anything
FIRST = 8  # blocks before anything is said: the sequence holds for many, not for few
USUAL = 60.0  # blocks for which the sequence is narrowest
EASED = 0.5  # of a margin that is allowed for drift between the sides that the change does not cause


class Verdict(StrEnum):
    """On a stage, or on one thing that is looked at."""

    WORSE = "worse"
    NOT_WORSE = "not worse"
    UNSURE = "not enough seen"


@dataclass(frozen=True)
class Tally:
    """So much that is bad, of so much; for a share the one is a part of the other."""

    bad: float = 0.0
    of: float = 0.0

    def __add__(self, other: Tally) -> Tally:
        return Tally(self.bad + other.bad, self.of + other.of)

    @property
    def mean(self) -> float:
        return self.bad / self.of if self.of else 0.0


Tallies = Mapping[str, Tally]  # by what is looked at: "refused type=buy"


@dataclass
class Sequence:
    """The differences of one thing, block by block."""

    share: bool = True
    count: int = 0
    mean: float = 0.0
    square: float = 0.0  # sum of squared deviations
    floor: float = 0.0  # sum of what chance alone gives
    new: Tally = Tally()
    old: Tally = Tally()
    _open: tuple[Tally, Tally, int] = (Tally(), Tally(), 0)

    def add(self, new: Tally, old: Tally) -> None:
        """One look's tallies of both sides."""
        mine, theirs, looks = self._open[0] + new, self._open[1] + old, self._open[2] + 1
        enough = min(mine.of, theirs.of) >= BLOCK or looks >= LONGEST and min(mine.of, theirs.of) > 0.0
        if not enough:
            self._open = mine, theirs, looks
            return
        self._open = Tally(), Tally(), 0
        self.new, self.old = self.new + mine, self.old + theirs
        if self.share:
            self.floor += _chance(self.new) / mine.of + _chance(self.old) / theirs.of
            value = mine.mean - theirs.mean
        else:
            value = mine.mean / theirs.mean - 1.0 if theirs.mean else 0.0
        self.count += 1
        before = self.mean
        self.mean += (value - before) / self.count
        self.square += (value - before) * (value - self.mean)

    def radius(self, risk: float) -> float:
        """Half the width of the sequence: the true mean lies within at all moments but with this risk."""
        if self.count < FIRST:
            return inf
        variance = self._variance()
        tuned = (-2.0 * log(risk) + log(-2.0 * log(risk) + 1.0)) / USUAL
        grown = self.count * tuned + 1.0
        return sqrt(variance * 2.0 * grown / (self.count**2 * tuned) * log(sqrt(grown) / risk))

    def interval(self, risk: float) -> float:
        """The same for one moment that was chosen ahead."""
        if self.count < FIRST:
            return inf
        return sqrt(self._variance() / self.count) * NormalDist().inv_cdf(1.0 - risk / 2.0)

    def _variance(self) -> float:
        """Guards against a rare thing that has not happened yet and so seems to have none."""
        return max(self.square / (self.count - 1), self.floor / self.count)

    def kept(self) -> list[float]:
        """As plain data, for the store."""
        return [
            float(self.share),
            self.count,
            self.mean,
            self.square,
            self.floor,
            self.new.bad,
            self.new.of,
            self.old.bad,
            self.old.of,
        ]

    @staticmethod
    def from_kept(told: list[float]) -> Sequence:
        return Sequence(
            bool(told[0]),
            int(told[1]),
            told[2],
            told[3],
            told[4],
            Tally(told[5], told[6]),
            Tally(told[7], told[8]),
        )


def _chance(whole: Tally) -> float:
    """Variance of one request's part in a share, never nothing: one more of each kind is thought seen."""
    share = (min(whole.bad, whole.of) + 1.0) / (whole.of + 2.0)
    return share * (1.0 - share)


@dataclass(frozen=True)
class Finding:
    """One thing that was looked at, with its evidence."""

    what: str
    verdict: Verdict
    before: float  # difference before the change
    now: float
    radius: float  # of both together
    margin: float
    new: float  # the share, or figure, at each side
    old: float
    blocks: int

    @property
    def line(self) -> str:
        return (
            f"{self.what}: {self.verdict}: new {self.new:.4f}, old {self.old:.4f}; new less old "
            f"{self.now:+.4f}, before the change {self.before:+.4f}, within {self.radius:.4f}; "
            f"margin {self.margin:.4f}; {self.blocks} blocks"
        )


@dataclass
class Judge:
    """One stage. `margins` is by how much what may be worse, by the first word of what is looked at; `risk`
    that of one wrong stop in this stage. Things whose first word is in `ratios` are compared as ratios."""

    margins: Mapping[str, float]
    risk: float
    ratios: frozenset[str] = frozenset()
    before: dict[str, Sequence] = field(default_factory=dict)
    after: dict[str, Sequence] = field(default_factory=dict)

    def look(self, new: Tallies, old: Tallies, changed: bool) -> None:
        """What both sides did since the look before; `changed` once the new side serves with the change."""
        kept = self.after if changed else self.before
        for what in new.keys() & old.keys():
            name = what.split(" ", 1)[0]
            if name in self.margins:
                if what not in kept:
                    kept[what] = Sequence(name not in self.ratios)
                kept[what].add(new[what], old[what])

    def findings(self) -> list[Finding]:
        """All that is looked at, the worst first."""
        known = self.before.keys() | self.after.keys()
        whole = sum(" " not in what for what in known)
        # half the risk on the whole traffic, half on its parts; of each half one half before the change
        shares = {True: 0.25 / max(1, whole), False: 0.25 / max(1, len(known) - whole)}
        found = [self._finding(what, self.risk * shares[" " not in what]) for what in self.after]
        return sorted(found, key=lambda one: one.before + one.margin + one.radius - one.now)

    def _finding(self, what: str, risk: float) -> Finding:
        after, before = self.after[what], self.before.get(what, Sequence())
        margin = self.margins[what.split(" ", 1)[0]]
        radius = after.radius(risk) + before.interval(risk)
        change = after.mean - before.mean
        verdict = (
            Verdict.WORSE
            if change - radius > EASED * margin
            else Verdict.NOT_WORSE
            if change + radius < margin
            else Verdict.UNSURE
        )
        return Finding(
            what,
            verdict,
            before.mean,
            after.mean,
            radius,
            margin,
            after.new.mean,
            after.old.mean,
            after.count,
        )

    def verdict(self, wanted: frozenset[str]) -> tuple[Verdict, list[Finding]]:
        """Worse if anything is; no worse once all of `wanted` is known to be no worse."""
        findings = self.findings()
        worse = [one for one in findings if one.verdict == Verdict.WORSE]
        if worse:
            return Verdict.WORSE, worse
        known = {one.what for one in findings if one.verdict == Verdict.NOT_WORSE}
        return (Verdict.NOT_WORSE if wanted and wanted <= known else Verdict.UNSURE), findings

    def seen_before(self, wanted: frozenset[str]) -> bool:
        """Whether enough was seen before the change; without it nothing can be judged after."""
        return all(what in self.before and self.before[what].count >= FIRST for what in wanted)

    def kept(self) -> dict[str, Any]:
        """What was seen before the change, for another that goes on."""
        return {what: one.kept() for what, one in self.before.items()}
