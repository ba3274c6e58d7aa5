"""An explicit-state model checker of the agreement: every order of events for a few processes and one store.

It runs `member.py` and `versions.py` as they are, in a world of processes, a store, puts and a clock of
whole steps, and checks at each state that some version allows what all processes may do. Only the digest of
a record is replaced, by a shorter one. No order of events is left out for being unlikely.

A process may be held up between any two of its steps for any time (which covers SIGSTOP, a slow store and a
lost answer), the answer of an exchange may be lost, a process may die and restart, and it checks the clock
before it acts, as `version_follower.py` does. No I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wheatroute.agreement import versions
from wheatroute.agreement.member import EffectiveVersions, Member
from wheatroute.agreement.member_status import StoredStatus, parse_status
from wheatroute.agreement.records import RecordKind, StoredRecord, parse_header
from wheatroute.agreement.versions import History

EMPTY: dict[str, Any] = {"settings": {}}


def short_digest(content: Any) -> str:
    """Return what tells records of one run apart, at a tenth of the cost of a digest."""
    named = "{before}/{kind}{version}"
    return named.format(**content) if "before" in content else "content"


@dataclass(frozen=True)
class Bounds:
    """Which events may happen, and how often."""

    processes: int = 3
    puts: int = 2
    restarts: int = 1
    clock_steps: int = 3
    ttl_steps: int = 1  # clock steps for which a confirmation is valid
    deciders: int = 9  # how many of the processes read the statuses
    rejections: tuple[tuple[int, int], ...] = ()  # (process, version that it cannot use)
    max_states: int = 10**9


@dataclass
class Process:
    """A member and the state of its exchange."""

    member: Member
    sent_at: int | None = None  # its status is written, the records not read
    has_new_answer: bool = False  # it has not read the statuses since its last answer
    to_append: StoredRecord | None = None  # a decision that it is about to append
    incarnation: int = 0
    # at a clock step: what it would act on, and its part of the state key
    cached_view: tuple[int, EffectiveVersions, Any] | None = None

    def copy(self) -> Process:
        """Return a copy that may be changed."""
        member = _shallow_copy(self.member)
        member.usable, member.unusable = set(member.usable), dict(member.unusable)
        return Process(member, self.sent_at, self.has_new_answer, self.to_append, self.incarnation)

    def view(self, now: int, far: int) -> tuple[int, EffectiveVersions, Any]:
        """Return what it would act on at a clock step, and its part of the state key.

        Cached, as a process in a state is never changed: events change copies.
        """
        if self.cached_view is None or self.cached_view[0] != now:
            self.cached_view = now, self._effective(now), self._key(now, far)
        return self.cached_view

    def _effective(self, now: int) -> EffectiveVersions:
        """Return what it would act on, after a check of the clock."""
        effective = self.member.effective
        if effective.is_conservative:
            return effective
        is_conservative = self.member.permitted(now).is_conservative
        return EffectiveVersions(effective.active, effective.joint, is_conservative)

    def _key(self, now: int, far: int) -> Any:
        member = self.member
        seen, since = member._pending_since
        pending = member.history.pending
        return (
            self.incarnation,
            member.history.head_digest,
            member.effective.active,
            member.effective.joint,
            member.effective.is_conservative,
            len(member.unusable),
            max(0.0, member.confirmed_until - now),
            -99 if self.sent_at is None else max(far, self.sent_at - now),
            self.has_new_answer,
            "" if self.to_append is None else short_digest(self.to_append),
            max(far, since - now) if pending and seen == pending else 99,
        )


def _shallow_copy(original: Any) -> Any:
    other = object.__new__(type(original))
    other.__dict__.update(original.__dict__)
    return other


@dataclass
class WorldState:
    """One state of the world."""

    now: int
    records: tuple[StoredRecord, ...]
    statuses: dict[str, StoredStatus]  # by key
    processes: list[Process]
    puts: int = 0
    restarts: int = 0

    def copy(self, changed: int) -> WorldState:
        """Return a state in which one process may be changed; -1 for none."""
        other = WorldState(
            self.now, self.records, dict(self.statuses), list(self.processes), self.puts, self.restarts
        )
        if changed >= 0:
            other.processes[changed] = self.processes[changed].copy()
        return other


@dataclass
class CheckResult:
    """The result of a run: `counterexample` is a shortest path to a violation, if there is one."""

    states: int = 0
    depth: int = 0
    counterexample: list[str] = field(default_factory=list)
    is_complete: bool = True


MemberFactory = Callable[[str, str, float, float], Member]


class ModelChecker:
    """Searches breadth first, so that a counterexample is a shortest one.

    `make_member` may return members with a fault, to show that it is found. With `overwrites` the store
    replaces records, with `reads_first` processes read the records before they write their status.
    """

    def __init__(
        self,
        bounds: Bounds,
        make_member: MemberFactory = Member,
        overwrites: bool = False,
        reads_first: bool = False,
    ) -> None:
        self.bounds, self._make_member = bounds, make_member
        self._overwrites, self._reads_first = overwrites, reads_first

    def run(self) -> CheckResult:
        """Check all states within the bounds, or up to the first violation."""
        original, versions.digest = versions.digest, short_digest
        try:
            return self._run()
        finally:
            versions.digest = original

    def _run(self) -> CheckResult:
        processes = [self._process(i, 0) for i in range(self.bounds.processes)]
        first = WorldState(0, (), {}, processes)
        seen: dict[Any, tuple[Any, str]] = {self._key(first): (None, "")}
        queue = deque([(first, 0)])
        found = CheckResult()
        while queue:
            world, depth = queue.popleft()
            found.states, found.depth = found.states + 1, max(found.depth, depth)
            if found.states >= self.bounds.max_states:
                found.is_complete = False
                return found
            key = self._key(world)
            for event, after in self._successors(world):
                violation = self._violation(world, after)
                if violation:
                    found.counterexample = [*self._path_to(seen, key), event, violation]
                    return found
                new = self._key(after)
                if new not in seen:
                    seen[new] = (key, event)
                    queue.append((after, depth + 1))
        return found

    def _process(self, i: int, incarnation: int) -> Process:
        member = self._make_member(f"n{i}", str(incarnation), 1.0, 0.0)
        member.confirmation_ttl_s = self.bounds.ttl_steps
        return Process(member, incarnation=incarnation)

    @staticmethod
    def _path_to(seen: dict[Any, tuple[Any, str]], key: Any) -> list[str]:
        lines = []
        while key is not None:
            key, event = seen[key]
            lines.append(event)
        return lines[-2::-1]

    def _successors(self, world: WorldState) -> list[tuple[str, WorldState]]:
        """Return every event that may happen next, with the state after it."""
        out = []
        for i, process in enumerate(world.processes):
            if process.to_append is None:  # also while one is in flight: its answer was lost then
                out.append((f"n{i} sends its status", self._send(world, i)))
            if process.sent_at is not None:
                out.append((f"n{i} is answered", self._receive(world, i)))
            if process.has_new_answer and process.member.history.pending and i < self.bounds.deciders:
                out.append((f"n{i} reads the statuses", self._read_statuses(world, i)))
            if process.to_append is not None:
                header = parse_header(process.to_append)
                out.append((f"n{i} appends {header.kind} {header.version}", self._append(world, i)))
            if world.restarts < self.bounds.restarts:
                out.append((f"n{i} restarts", self._restart(world, i)))
        if world.puts < self.bounds.puts:
            out.append((f"version {world.puts + 1} is put", self._put(world)))
        if world.now < self.bounds.clock_steps:
            after = world.copy(-1)
            after.now += 1
            out.append((f"clock step {after.now}", after))
        return out

    def _send(self, world: WorldState, i: int) -> WorldState:
        after = world.copy(i)
        process = after.processes[i]
        process.sent_at, process.has_new_answer = world.now, False
        if self._reads_first:
            self._apply_records(after, process, i)
        else:
            after.statuses[process.member.key] = process.member.next_status(0.0)
        return after

    def _receive(self, world: WorldState, i: int) -> WorldState:
        after = world.copy(i)
        process = after.processes[i]
        if self._reads_first:
            after.statuses[process.member.key] = process.member.next_status(0.0)
        else:
            self._apply_records(after, process, i)
        process.sent_at, process.has_new_answer = None, True
        return after

    def _apply_records(self, world: WorldState, process: Process, i: int) -> None:
        member = process.member
        new = list(world.records[member.history.head :])
        if new:
            member.history = member.history.copy()
        assert process.sent_at is not None
        member.confirm(process.sent_at, new)
        for version in member.unchecked_versions():
            member.record_check(version, "not here" if (i, version) in self.bounds.rejections else "")
        member.set_effective(member.permitted(world.now))

    @staticmethod
    def _read_statuses(world: WorldState, i: int) -> WorldState:
        after = world.copy(i)
        process = after.processes[i]
        process.has_new_answer = False
        process.to_append = process.member.next_decision(world.now, world.now, list(world.statuses.values()))
        return after

    def _append(self, world: WorldState, i: int) -> WorldState:
        after = world.copy(i)
        process = after.processes[i]
        assert process.to_append is not None
        number = parse_header(process.to_append).number
        assert isinstance(number, int)
        if number == len(world.records) + 1:
            after.records = (*world.records, process.to_append)
        elif self._overwrites:
            after.records = (*world.records[: number - 1], process.to_append)
        process.to_append = None
        return after

    def _restart(self, world: WorldState, i: int) -> WorldState:
        after = world.copy(i)
        after.restarts += 1
        after.processes[i] = self._process(i, world.processes[i].incarnation + 1)
        return after

    @staticmethod
    def _put(world: WorldState) -> WorldState:
        after = world.copy(-1)
        after.puts += 1
        history = History()
        for record in world.records:
            history.apply(record)
        after.records = (*world.records, history.put_record(EMPTY, f"put{after.puts}", "", 0.0, ""))
        return after

    def _violation(self, before: WorldState, world: WorldState) -> str:
        """Return which invariant a step breaks; empty for none."""
        far = -self.bounds.ttl_steps
        effective = [process.view(world.now, far)[1] for process in world.processes]
        allowing: set[int] | None = None  # versions that allow what all processes may do
        for one in effective:
            if not one.is_conservative:
                limits = {one.active, one.joint} if one.joint else {one.active}
                allowing = limits if allowing is None else allowing & limits
        if allowing is not None and not allowing:
            return "no version allows what all may do: " + "; ".join(
                f"n{i} "
                + (
                    "conservative"
                    if one.is_conservative
                    else f"on {one.active}" + (f" within {one.joint}" if one.joint else "")
                )
                for i, one in enumerate(effective)
            )
        for i, (old, new) in enumerate(zip(before.processes, world.processes, strict=True)):
            if (
                new.incarnation == old.incarnation
                and new.member.effective.active < old.member.effective.active
            ):
                return f"n{i} went back from {old.member.effective.active} to {new.member.effective.active}"
        for record in map(parse_header, world.records):
            refused = [
                i
                for i, version in self.bounds.rejections
                if record.kind == RecordKind.ACTIVATE and record.version == version
            ]
            if refused and not self.bounds.restarts and not self.bounds.clock_steps:
                return f"version {record.version} is in force, which n{refused[0]} cannot use"
        return ""

    def _key(self, world: WorldState) -> Any:
        """Return what distinguishes the futures of two states; times are relative, names do not count."""
        now, far = world.now, -self.bounds.ttl_steps
        statuses = {
            status.key: (
                status.applied_record,
                *status.versions,
                status.is_conservative,
                status.unusable_version,
            )
            for status in map(parse_status, world.statuses.values())
        }
        processes = [
            (
                one.view(now, far)[2],
                statuses.pop(one.member.key, ()),
                i if self.bounds.rejections or i < self.bounds.deciders < 9 else 99,
            )
            for i, one in enumerate(world.processes)
        ]
        processes.sort()
        return (
            self.bounds.clock_steps - now,
            short_digest(world.records[-1]) if world.records else "",
            tuple(sorted(statuses.values())),
            tuple(processes),
            world.puts,
            world.restarts,
        )
