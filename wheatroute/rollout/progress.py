"""The progress of a rollout: its records, what each node is to run by them, and which step comes next.

Owns the chain of steps; free of I/O. A step is a record under the next number, which a place adds once: so
two controllers, or one that died between two steps and the one after it, never do a step twice. It must never
begin a rollout beside another, go on from a stage that was not judged, or leave a node without a program.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from wheatroute.agreement.versions import HistoryError, digest
from wheatroute.rollout.judge import Verdict
from wheatroute.rollout.plan import Plan, checked

FORMAT = 1  # of a record


class Kind(StrEnum):
    """Of a record."""

    START = "start"
    STAGE = "stage"  # the nodes of the next stage change
    PASS = "pass"  # it was judged
    HOLD = "hold"
    GO = "go"
    BACK = "back"
    END = "end"


class Phase(StrEnum):
    """Where a rollout is."""

    NONE = "none"
    BEFORE = "before a stage"
    STAGE = "in a stage"
    HELD = "held"
    BACK = "going back"
    ENDED = "ended"


@dataclass
class RolloutProgress:
    """All rollouts of an installation, one after the other; what is asked of it is of the last one."""

    head: int = 0
    mark: str = ""
    records: list[dict[str, Any]] = field(default_factory=list)
    phase: Phase = Phase.NONE
    plan: Plan | None = None
    number: int = 0  # of the rollout
    stage: int = -1  # the one under way, or judged last
    judged: bool = False  # that stage was passed
    reason: str = ""
    _asked: int = -1  # the stage after which a person has said go
    _unseen: bool = False  # held as too little was seen before the next stage
    _unseen_after: int = -2  # the stage after which a person has said go all the same, -1 before the first

    def next(self, kind: Kind, **more: Any) -> dict[str, Any]:
        """A record that would go on from here."""
        return {"format": FORMAT, "seq": self.head + 1, "before": self.mark, "kind": str(kind)} | more

    def take(self, record: dict[str, Any]) -> None:
        """The next record; raises `HistoryError` and stays as it was if it is not that."""
        if record.get("format") != FORMAT:
            raise HistoryError(
                f"record {self.head + 1} has form {record.get('format')!r}, this program knows {FORMAT}"
            )
        if record.get("seq") != self.head + 1 or record.get("before") != self.mark:
            raise HistoryError(f"record {record.get('seq')!r} does not follow record {self.head}")
        kind = record.get("kind")
        if kind not in list(Kind):
            raise HistoryError(f"record {self.head + 1}: {kind!r} is nothing that this program knows")
        wrong = self._wrong(Kind(kind), record)
        if wrong:
            raise HistoryError(f"record {self.head + 1}: {wrong}")
        self._apply(Kind(kind), record)
        self.head, self.mark = record["seq"], digest(record)
        self.records.append(record)

    def _wrong(self, kind: Kind, record: dict[str, Any]) -> str:
        under_way = self.phase not in (Phase.NONE, Phase.ENDED)
        if kind == Kind.START:
            return "another rollout is under way" if under_way else ""
        if not under_way:
            return f"{kind}, and no rollout is under way"
        if kind in (Kind.STAGE, Kind.PASS) and record.get("stage") != self.stage + (kind == Kind.STAGE):
            return f"{kind} {record.get('stage')!r} out of its order"
        allowed = {
            Kind.STAGE: (Phase.BEFORE,),
            Kind.PASS: (Phase.STAGE,),
            Kind.GO: (Phase.HELD,),
            Kind.HOLD: (Phase.BEFORE, Phase.STAGE),
            Kind.BACK: (Phase.BEFORE, Phase.STAGE, Phase.HELD),
            Kind.END: (Phase.BACK, Phase.BEFORE),
        }[kind]
        return "" if self.phase in allowed else f"{kind} while {self.phase}"

    def _apply(self, kind: Kind, record: dict[str, Any]) -> None:
        if kind == Kind.START:
            self.plan, self.number = checked(record["plan"]), record["seq"]
            self.phase, self.stage, self.judged, self.reason = Phase.BEFORE, -1, False, ""
            self._asked, self._unseen, self._unseen_after = -1, False, -2
        elif kind == Kind.STAGE:
            self.phase, self.stage, self.judged = Phase.STAGE, record["stage"], False
        elif kind == Kind.PASS:
            self.phase, self.judged = Phase.BEFORE, True
        elif kind == Kind.HOLD:
            self.phase, self.reason, self._unseen = Phase.HELD, record["reason"], record.get("unseen", False)
        elif kind == Kind.GO:
            # what was held in a stage counts as passed: a person has looked at the evidence
            self.phase, self.judged, self.reason, self._asked = Phase.BEFORE, True, "", self.stage
            self._unseen_after = self.stage if self._unseen else self._unseen_after
        elif kind == Kind.BACK:
            self.phase, self.reason = Phase.BACK, record["reason"]
        else:
            self.phase = Phase.ENDED

    # what follows from it

    def target(self, node: str) -> str | None:
        """The program that a node is to run; None where no rollout says."""
        if self.plan is None:
            return None
        for i, stage in enumerate(self.plan.stages):
            if node in stage.nodes:
                taken_back = self.phase == Phase.BACK or self.phase == Phase.ENDED and bool(self.reason)
                return self.plan.new if i <= self.stage and not taken_back else self.plan.old
        return None

    def order(self) -> list[str]:
        """Nodes in the order in which they change."""
        return [name for stage in self.plan.stages for name in stage.nodes] if self.plan else []

    def may_change(self, node: str, rows: Mapping[str, Mapping[str, Any]]) -> bool:
        """Whether it is a node's turn, by the supervisors' rows: never more than `away` of them at once.

        A node that could not change counts as done: it serves on with the program that it had.
        """
        if self.plan is None:
            return False
        ahead = [
            name
            for name in self.order()[: self.order().index(node)]
            if name in rows
            and rows[name]["runs"] != self.target(name)
            and [self.number, self.target(name)] not in rows[name]["failed"]
        ]
        changing = [name for name in self.order() if name != node and name in rows and rows[name]["changing"]]
        return len(ahead) < self.plan.away and len(changing) < self.plan.away

    def changed(self, rows: Mapping[str, Mapping[str, Any]]) -> bool:
        """Whether every node that is to have changed has."""
        return all(
            name in rows and rows[name]["runs"] == self.target(name) and not rows[name]["changing"]
            for name in self.order()
        )

    def mixed(self, rows: Mapping[str, Mapping[str, Any]]) -> list[str] | None:
        """Nodes that could not go back; None while some have not tried yet."""
        out = []
        for name in self.order():
            if name not in rows or rows[name]["changing"]:
                return None
            if rows[name]["runs"] != self.target(name):
                if [self.number, self.target(name)] not in rows[name]["failed"]:
                    return None
                out.append(name)
        return out

    def step(
        self,
        rows: Mapping[str, Mapping[str, Any]],
        watched: float,
        waited: float,
        verdict: Verdict,
        evidence: list[str],
        broken: str,
        seen_before: bool,
    ) -> dict[str, Any] | None:
        """The record that comes next, if one does.

        `watched` is for how long, seconds, this stage's nodes have served changed, or both sides before it;
        `waited` since the last record; `broken` a broken rule or crash of a new process; `seen_before`
        whether enough was seen of both sides before the stage for it to be judged at all.
        """
        plan = self.plan
        if plan is None or self.phase in (Phase.NONE, Phase.ENDED, Phase.HELD):
            return None
        if self.phase == Phase.BACK:
            mixed = self.mixed(rows)
            return None if mixed is None else self.next(Kind.END, how="taken back", mixed=mixed)
        if broken:
            return self.next(Kind.BACK, reason=broken, evidence=[])
        if self.phase == Phase.BEFORE:
            return self._before(plan, watched, seen_before)
        stage = plan.stages[self.stage]
        if not self.changed(rows):
            if waited <= plan.patience * (2.0 + len(stage.nodes) / plan.away):
                return None
            late = [name for name in stage.nodes if name not in rows or rows[name]["runs"] != plan.new]
            return self.next(Kind.BACK, reason=f"not changed in time: {', '.join(late)}", evidence=[])
        if verdict == Verdict.WORSE:
            return self.next(Kind.BACK, reason=evidence[0], evidence=evidence)
        if watched < stage.least:
            return None
        if verdict == Verdict.NOT_WORSE:
            return self.next(Kind.PASS, stage=self.stage, evidence=evidence)
        if watched < stage.most:
            return None
        if plan.unsure == "go":
            return self.next(Kind.PASS, stage=self.stage, evidence=evidence)
        return self._unsure(plan, f"not enough seen in {stage.most:g} s", evidence)

    def _unsure(self, plan: Plan, reason: str, evidence: list[str]) -> dict[str, Any]:
        kind = Kind.HOLD if plan.unsure == "hold" else Kind.BACK
        return self.next(kind, reason=reason, evidence=evidence)

    def _before(self, plan: Plan, watched: float, seen_before: bool) -> dict[str, Any] | None:
        if self.stage >= 0 and plan.stages[self.stage].ask and self._asked < self.stage:
            return self.next(
                Kind.HOLD, reason=f"a person is asked after {plan.stages[self.stage].name}", evidence=[]
            )
        if self.stage + 1 == len(plan.stages):
            return self.next(Kind.END, how="done")
        if watched < plan.before:
            return None
        if seen_before or self._unseen_after == self.stage:
            return self.next(Kind.STAGE, stage=self.stage + 1)
        # a stage that began now could never be judged, however long it were watched
        longest = plan.before + plan.stages[self.stage + 1].most
        if watched < longest:
            return None
        if plan.unsure == "go":
            return self.next(Kind.STAGE, stage=self.stage + 1)
        return self._unsure(plan, f"not enough seen before the stage in {longest:g} s", []) | {"unseen": True}
