"""The controller of rollouts: looks at all rows, asks the judge, adds the step that the progress says.

Owns the pace of looks and what was seen in this stage by this controller. Any number may run: a step is a
record that the place adds once, and one that dies leaves nothing that another needs but the store. It must
never judge by rows that stand still, nor add a step to a progress that it has not read to the end.
"""

from __future__ import annotations

import secrets
import time
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping
from typing import Any

import trio

from wheatroute.agreement.version_store import MAX_RECORDS_PER_READ, VersionStore, VersionStoreError
from wheatroute.agreement.versions import HistoryError
from wheatroute.rollout import account
from wheatroute.rollout.judge import Judge, Sequence, Tally, Verdict
from wheatroute.rollout.progress import Kind, Phase, RolloutProgress

LOOKS = 0.25  # seconds between two looks
STALE = 5.0  # seconds after which a row that stands still is nobody's
ANSWERS = 2.0  # seconds for the place
GONE = 40  # looks after which its row is dropped
SETTLING = 0.25  # of the time before a stage, in which it is found what is slow
RECENT = 24  # looks over which what is slow is taken from the nodes that serve unchanged
ENOUGH_TIMES = 40  # of a type in those looks, below which what was found before the stage stands
TAKE_OVER = 4  # looks without a word from the controllers before it, after which the next one acts


class Watch:
    """Rows of figures over time: what each node did between two looks.

    What is slow is what is slower than half of the answers of the nodes that serve unchanged, in the same
    seconds. By times of before the stage alone nearly all answers of both sides would count as slow once the
    machines are busier, and the two could not be told apart.
    """

    def __init__(self) -> None:
        self._recent: deque[account.Times] = deque(maxlen=RECENT)  # of the nodes that serve unchanged
        self._before: dict[tuple[str, str], dict[str, Any]] = {}
        self._beats: dict[tuple[str, str], tuple[int, float]] = {}
        self.slow: dict[str, tuple[int, int]] = {}
        self._settled: account.Times | None = None  # what had been served when the thresholds' time began

    def settle(self, rows: Iterable[Mapping[str, Any]], over: bool) -> None:
        """Takes what is slow from what is served until `over`: times of a start are nobody's measure."""
        served = account.times(rows)
        if self._settled is None:
            self._settled = served
        if over and not self.slow:
            self.slow = account.thresholds(served, self._settled)

    def begin(self) -> None:
        """Another stage comes: what is slow is found anew."""
        self.slow, self._settled = {}, None
        self._recent.clear()

    def fresh(self, rows: list[dict[str, Any]], now: float) -> dict[str, dict[str, Any]]:
        """By node, the row of the process that serves; one that stands still is left out."""
        found: dict[str, dict[str, Any]] = {}
        for row in rows:
            key = row["name"], row["start"]
            beat, since = self._beats.get(key, (-1, now))
            if beat != row["beat"]:
                beat, since = row["beat"], now
            self._beats[key] = beat, since
            if now - since < STALE and row["format"] == account.FORMAT and not row["stopping"]:
                found[row["name"]] = row if row["name"] not in found or row["ready"] else found[row["name"]]
        return found

    def did(
        self, rows: Mapping[str, dict[str, Any]], sites: Mapping[str, str], unchanged: set[str]
    ) -> dict[str, dict[str, Tally]]:
        """By node, since the look before; `unchanged` are the nodes that serve as before."""
        out = {}
        slow = self._slow_now(rows, unchanged)
        for name, row in rows.items():
            key = name, row["start"]
            if key in self._before:
                out[name] = account.tallies(self._before[key], row, sites.get(name, ""), slow)
        self._before = {(name, row["start"]): row for name, row in rows.items()}
        return out

    def _slow_now(self, rows: Mapping[str, dict[str, Any]], unchanged: set[str]) -> account.Thresholds:
        """Half of the times by the unchanged nodes' recent answers, where there are enough of them."""
        now: account.Times = defaultdict(Counter)
        for name in unchanged & rows.keys():
            row = rows[name]
            if before := self._before.get((name, row["start"])):
                for what, counts in account.times_between(before, row).items():
                    now[what].update(counts)
        self._recent.append(now)
        recent: account.Times = defaultdict(Counter)
        for times in self._recent:
            for what, counts in times.items():
                recent[what].update(counts)
        halves = account.thresholds(recent, {})
        return {
            what: (halves[what][0] if recent[what].total() >= ENOUGH_TIMES else half, hundredth)
            for what, (half, hundredth) in self.slow.items()
        }


class Controller:
    """One of them. `look` is one turn."""

    def __init__(self, place: VersionStore, log: Any) -> None:
        self._place, self._log = place, log
        self.progress = RolloutProgress()
        self.name = secrets.token_hex(6)
        self._watch = Watch()
        self._judge: Judge | None = None
        self._since = 0.0  # when this stage's watching began here
        self._record_at = 0.0  # when the last record was read here
        self._beat = 0
        self._others: dict[str, tuple[int, int]] = {}  # controllers: beat, and looks without another
        self._silent: list[str] = []  # rows of controllers that are gone
        self.findings: list[str] = []

    async def run(self) -> None:
        while True:
            try:
                with trio.fail_after(ANSWERS):
                    await self.look(time.monotonic())
            except (VersionStoreError, HistoryError, trio.TooSlowError) as trouble:
                self._log.warning("place", trouble=str(trouble) or "does not answer")
            await trio.sleep(LOOKS)

    async def look(self, now: float) -> None:
        """Reads all there is; adds the next step if there is one and it is this controller's turn."""
        self._beat += 1
        row = {
            "row": "controller",
            "name": "controller",
            "start": self.name,
            "beat": self._beat,
            "findings": self.findings[:20],
            "head": self.progress.head,
        }
        records = await self._place.exchange(
            f"controller.{self.name}", row, self.progress.head, self.progress.mark
        )
        for record in records:
            self.progress.take(record)
            self._began(record, now)
        if len(records) >= MAX_RECORDS_PER_READ:
            return
        rows = await self._place.statuses()
        supervisors = {one["name"]: one for one in rows if one.get("row") == "keeper"}
        figures = self._watch.fresh([one for one in rows if one.get("row") == "figures"], now)
        if self.progress.plan is None or self.progress.phase in (Phase.NONE, Phase.ENDED):
            return
        self._see(supervisors, figures, now)
        verdict, evidence = self._verdict()
        first = self._first([one for one in rows if one.get("row") == "controller"])
        watched = now - self._since if self._since else 0.0
        step = self.progress.step(
            supervisors,
            watched,
            now - self._record_at,
            verdict,
            evidence,
            self._broken(supervisors, figures),
            self._seen_before(),
        )
        if self._silent:
            await self._place.remove_statuses(self._silent)
        if step is None or not first:
            return
        if step["kind"] == Kind.STAGE and self._judge is not None:
            step |= {"seen": self._judge.kept(), "slow": self._slow()}
        if await self._place.append(step):
            self._log.info(
                "step",
                **{key: value for key, value in step.items() if key in ("kind", "stage", "reason", "how")},
            )

    def _slow(self) -> dict[str, list[int]]:
        return {name: list(bounds) for name, bounds in self._watch.slow.items()}

    def _first(self, rows: list[dict[str, Any]]) -> bool:
        """Whether no controller that still speaks goes before this one: only so that not all try the same."""
        others = {}
        for one in rows:
            beat, looks = self._others.get(one["start"], (-1, 0))
            others[one["start"]] = (beat, looks + 1) if beat == one["beat"] else (one["beat"], 0)
        self._others = others
        self._silent = [f"controller.{start}" for start, (_, looks) in others.items() if looks >= GONE]
        return self.name <= min(
            [start for start, (_, looks) in others.items() if looks < TAKE_OVER], default=self.name
        )

    def _began(self, record: dict[str, Any], now: float) -> None:
        """A record was read: what is watched begins anew."""
        self._record_at, plan = now, self.progress.plan
        kind = record["kind"]
        if plan is None or kind == Kind.HOLD:
            return
        if kind in (Kind.START, Kind.PASS, Kind.GO):
            self._judge, self._since, self.findings = self._new_judge(), 0.0, []
            self._watch.begin()
        elif kind == Kind.STAGE:
            judge = self._new_judge()
            judge.before = {what: Sequence.from_kept(told) for what, told in record.get("seen", {}).items()}
            if record.get("slow"):
                self._watch.slow = {
                    name: (int(one), int(other)) for name, (one, other) in record["slow"].items()
                }
            self._judge, self._since = judge, 0.0

    def _new_judge(self) -> Judge:
        plan = self.progress.plan
        assert plan is not None
        # one that takes over begins to see anew: half of the risk is left for that
        return Judge(plan.margins, plan.risk / (2.0 * len(plan.stages)), account.RATIOS)

    def _sides(self) -> tuple[set[str], set[str]]:
        """Nodes of the stage that is watched, or comes next, and those that serve unchanged beside them."""
        progress, plan = self.progress, self.progress.plan
        assert plan is not None
        at = progress.stage + (progress.phase == Phase.BEFORE)
        if at >= len(plan.stages):
            return set(), set()
        return set(plan.stages[at].nodes), {name for stage in plan.stages[at + 1 :] for name in stage.nodes}

    def _see(
        self, supervisors: Mapping[str, dict[str, Any]], figures: Mapping[str, dict[str, Any]], now: float
    ) -> None:
        """Feeds the judge with what both sides did since the look before."""
        progress, plan = self.progress, self.progress.plan
        if progress.phase == Phase.BEFORE and plan is not None:
            settled = self._since and now - self._since >= SETTLING * plan.before
            self._watch.settle(figures.values(), bool(settled))
        mine, others = self._sides()
        did = self._watch.did(figures, {name: one["site"] for name, one in supervisors.items()}, others)
        if self._judge is None or progress.phase not in (Phase.BEFORE, Phase.STAGE):
            return
        in_stage = progress.phase == Phase.STAGE
        if in_stage and not progress.changed(supervisors):
            return
        if not all(name in figures for name in mine):
            return
        self._since = self._since or now
        steady = self._steady() if in_stage and not others else None
        new, old = _sum(did, mine), _sum(did, others)
        if steady is not None:
            old = {what: Tally(one.of * steady[what], one.of) for what, one in new.items() if what in steady}
        elif not others:
            old = new  # nobody serves unchanged beside the last stage: before it, it is its own measure
        if new and old:
            self._judge.look(new, old, in_stage)

    def _steady(self) -> dict[str, float]:
        """What the nodes of the last stage did before it: there is nobody else to compare them with."""
        assert self._judge is not None
        return {what: one.new.mean for what, one in self._judge.before.items()}

    def _verdict(self) -> tuple[Verdict, list[str]]:
        plan = self.progress.plan
        if self._judge is None or plan is None or self.progress.phase != Phase.STAGE:
            return Verdict.UNSURE, []
        verdict, findings = self._judge.verdict(frozenset(plan.watched))
        self.findings = [one.line for one in findings]
        return verdict, self.findings[:20]

    def _seen_before(self) -> bool:
        plan, judge = self.progress.plan, self._judge
        return judge is not None and plan is not None and judge.seen_before(frozenset(plan.watched))

    def _broken(
        self, supervisors: Mapping[str, dict[str, Any]], figures: Mapping[str, dict[str, Any]]
    ) -> str:
        """What stops a rollout without statistics, at a node that runs the new program or was to."""
        plan, progress = self.progress.plan, self.progress
        if plan is None or progress.phase == Phase.BACK:
            return ""
        for name, one in supervisors.items():
            if [progress.number, plan.new] in one["failed"]:
                return f"{name}: {one['trouble'] or plan.new + ' failed'}"
        for name, row in figures.items():
            if row["program"] == plan.new and progress.target(name) == plan.new and row["lost"]:
                return f"{name}: {row['lost']} requests lost by {plan.new}"
        return ""


def _sum(did: Mapping[str, Mapping[str, Tally]], names: set[str]) -> dict[str, Tally]:
    out: dict[str, Tally] = defaultdict(Tally)
    for name in names & did.keys():
        for what, tally in did[name].items():
            out[what] += tally
    return dict(out)
