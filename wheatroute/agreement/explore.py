"""Every order of events for a few processes that agree: the shipped member before a small store.

Owns a world of processes, a store, puts and a clock of whole steps, and the question whether at any moment
two processes may act so that no version allows both. It drives `member.py` and `versions.py` as they are;
what it replaces is the digest of a record, by a shorter one. It must never pass over an order because it is
unlikely.

A process may be held up between any two of its steps for any time (that is SIGSTOP, a slow store and a lost
answer in one), a question's answer may be lost, a process may die and start anew, and it looks at the clock
before it acts, as `following.py` does.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wheatroute.agreement import versions
from wheatroute.agreement.member import Acts, Member
from wheatroute.agreement.versions import FORCE, History

EMPTY: dict[str, Any] = {"settings": {}}


def short(content: Any) -> str:
    """Tells records of one exploration apart, at a tenth of the cost."""
    named = "{before}/{kind}{version}"
    return named.format(**content) if "before" in content else "content"


@dataclass(frozen=True)
class Bounds:
    """What may happen, and how often."""

    processes: int = 3
    puts: int = 2
    deaths: int = 1
    steps: int = 3  # of the clock
    lasts: int = 1  # of these steps, how many a confirmation lasts
    judges: int = 9  # how many of the processes look at the rows
    refuses: tuple[tuple[int, int], ...] = ()  # process and version that it cannot use
    states: int = 10**9


@dataclass
class Process:
    """A member and where it is in its question."""

    member: Member
    sent: int | None = None  # its row is written, the records not read
    fresh: bool = False  # it was answered and has not looked at the rows since
    adds: dict[str, Any] | None = None  # a record that it is about to add
    lives: int = 0
    looked: tuple[int, Acts, Any] | None = None  # at a moment: what it would act on, and its part of the key

    def copy(self) -> Process:
        member = _copy(self.member)
        member.usable, member.unusable = set(member.usable), dict(member.unusable)
        return Process(member, self.sent, self.fresh, self.adds, self.lives)

    def look(self, now: int, far: int) -> tuple[int, Acts, Any]:
        """Kept, as a process that is in a state is never changed: the one that does something is a copy."""
        if self.looked is None or self.looked[0] != now:
            self.looked = now, self._acts(now), self._key(now, far)
        return self.looked

    def _acts(self, now: int) -> Acts:
        """What it would act on: it looks at the clock first."""
        acts = self.member.acts
        return acts if acts.careful else Acts(acts.in_force, acts.joint, self.member.may(now).careful)

    def _key(self, now: int, far: int) -> Any:
        member = self.member
        seen, since = member._put_seen
        pending = member.history.pending
        return (
            self.lives,
            member.history.mark,
            member.acts.in_force,
            member.acts.joint,
            member.acts.careful,
            len(member.unusable),
            max(0.0, member.until - now),
            -99 if self.sent is None else max(far, self.sent - now),
            self.fresh,
            "" if self.adds is None else short(self.adds),
            max(far, since - now) if pending and seen == pending else 99,
        )


def _copy(one: Any) -> Any:
    other = object.__new__(type(one))
    other.__dict__.update(one.__dict__)
    return other


@dataclass
class World:
    """One state."""

    now: int
    records: tuple[dict[str, Any], ...]
    rows: dict[str, dict[str, Any]]
    processes: list[Process]
    puts: int = 0
    deaths: int = 0

    def copy(self, only: int) -> World:
        """A state whose one process may be changed."""
        other = World(self.now, self.records, dict(self.rows), list(self.processes), self.puts, self.deaths)
        if only >= 0:
            other.processes[only] = self.processes[only].copy()
        return other


@dataclass
class Found:
    """What an exploration came to: `story` is the shortest way to a broken promise, if there is one."""

    states: int = 0
    depth: int = 0
    story: list[str] = field(default_factory=list)
    whole: bool = True


Maker = Callable[[str, str, float, float], Member]


class Explorer:
    """Breadth first, so that a story is a shortest one. `make` gives a member; faults are put in there."""

    def __init__(
        self, bounds: Bounds, make: Maker = Member, overwrites: bool = False, reads_first: bool = False
    ) -> None:
        self.bounds, self._make = bounds, make
        self._overwrites, self._reads_first = overwrites, reads_first

    def run(self) -> Found:
        kept, versions.digest = versions.digest, short
        try:
            return self._run()
        finally:
            versions.digest = kept

    def _run(self) -> Found:
        processes = [self._process(i, 0) for i in range(self.bounds.processes)]
        first = World(0, (), {}, processes)
        seen: dict[Any, tuple[Any, str]] = {self._key(first): (None, "")}
        front = deque([(first, 0)])
        found = Found()
        while front:
            world, depth = front.popleft()
            found.states, found.depth = found.states + 1, max(found.depth, depth)
            if found.states >= self.bounds.states:
                found.whole = False
                return found
            key = self._key(world)
            for what, after in self._next(world):
                trouble = self._broken(world, after)
                if trouble:
                    found.story = [*self._story(seen, key), what, trouble]
                    return found
                new = self._key(after)
                if new not in seen:
                    seen[new] = (key, what)
                    front.append((after, depth + 1))
        return found

    def _process(self, i: int, lives: int) -> Process:
        member = self._make(f"n{i}", str(lives), 1.0, 0.0)
        member.lasts = self.bounds.lasts
        return Process(member, lives=lives)

    @staticmethod
    def _story(seen: dict[Any, tuple[Any, str]], key: Any) -> list[str]:
        lines = []
        while key is not None:
            key, what = seen[key]
            lines.append(what)
        return lines[-2::-1]

    # what may happen

    def _next(self, world: World) -> list[tuple[str, World]]:
        out = []
        for i, process in enumerate(world.processes):
            if process.adds is None:  # it may ask again, too: then the answer before was lost
                out.append((f"n{i} asks", self._ask(world, i)))
            if process.sent is not None:
                out.append((f"n{i} is answered", self._answer(world, i)))
            if process.fresh and process.member.history.pending and i < self.bounds.judges:
                out.append((f"n{i} looks at the rows", self._look(world, i)))
            if process.adds is not None:
                what = f"n{i} adds {process.adds['kind']} {process.adds['version']}"
                out.append((what, self._add(world, i)))
            if world.deaths < self.bounds.deaths:
                out.append((f"n{i} dies and starts anew", self._die(world, i)))
        if world.puts < self.bounds.puts:
            out.append((f"version {world.puts + 1} is put", self._put(world)))
        if world.now < self.bounds.steps:
            after = world.copy(-1)
            after.now += 1
            out.append((f"moment {after.now}", after))
        return out

    def _ask(self, world: World, i: int) -> World:
        after = world.copy(i)
        process = after.processes[i]
        process.sent, process.fresh = world.now, False
        if self._reads_first:
            self._take(after, process, i)
        else:
            after.rows[process.member.key] = process.member.row(0.0)
        return after

    def _answer(self, world: World, i: int) -> World:
        after = world.copy(i)
        process = after.processes[i]
        if self._reads_first:
            after.rows[process.member.key] = process.member.row(0.0)
        else:
            self._take(after, process, i)
        process.sent, process.fresh = None, True
        return after

    def _take(self, world: World, process: Process, i: int) -> None:
        member = process.member
        new = list(world.records[member.history.head :])
        if new:
            member.history = member.history.copy()
        assert process.sent is not None
        member.answered(process.sent, new)
        for version in member.unchecked():
            member.checked(version, "not here" if (i, version) in self.bounds.refuses else "")
        member.acting(member.may(world.now))

    @staticmethod
    def _look(world: World, i: int) -> World:
        after = world.copy(i)
        process = after.processes[i]
        process.fresh = False
        process.adds = process.member.judge(world.now, world.now, list(world.rows.values()))
        return after

    def _add(self, world: World, i: int) -> World:
        after = world.copy(i)
        process = after.processes[i]
        assert process.adds is not None
        if process.adds["seq"] == len(world.records) + 1:
            after.records = (*world.records, process.adds)
        elif self._overwrites:
            after.records = (*world.records[: process.adds["seq"] - 1], process.adds)
        process.adds = None
        return after

    def _die(self, world: World, i: int) -> World:
        after = world.copy(i)
        after.deaths += 1
        after.processes[i] = self._process(i, world.processes[i].lives + 1)
        return after

    @staticmethod
    def _put(world: World) -> World:
        after = world.copy(-1)
        after.puts += 1
        history = History()
        for record in world.records:
            history.take(record)
        after.records = (*world.records, history.put(EMPTY, f"put{after.puts}", "", 0.0, ""))
        return after

    # what must hold

    def _broken(self, before: World, world: World) -> str:
        far = -self.bounds.lasts
        told = [one.look(world.now, far)[1] for one in world.processes]
        within: set[int] | None = None
        for acts in told:
            if not acts.careful:
                mine = {acts.in_force, acts.joint} if acts.joint else {acts.in_force}
                within = mine if within is None else within & mine
        if within is not None and not within:
            return "no version allows what all may do: " + "; ".join(
                f"n{i} "
                + (
                    "careful"
                    if one.careful
                    else f"on {one.in_force}" + (f" within {one.joint}" if one.joint else "")
                )
                for i, one in enumerate(told)
            )
        for i, (old, new) in enumerate(zip(before.processes, world.processes, strict=True)):
            if new.lives == old.lives and new.member.acts.in_force < old.member.acts.in_force:
                return f"n{i} went back from {old.member.acts.in_force} to {new.member.acts.in_force}"
        for record in world.records:
            refused = [
                i
                for i, version in self.bounds.refuses
                if record["kind"] == FORCE and record["version"] == version
            ]
            if refused and not self.bounds.deaths and not self.bounds.steps:
                return f"version {record['version']} is in force, which n{refused[0]} cannot use"
        return ""

    def _key(self, world: World) -> Any:
        """What tells two states apart for all that is to come; times count from now, names do not count."""
        now, far = world.now, -self.bounds.lasts
        rows = {
            key: (row["seq"], row["acts"][0], row["acts"][1], row["careful"], row["refuses"])
            for key, row in world.rows.items()
        }
        processes = [
            (
                one.look(now, far)[2],
                rows.pop(one.member.key, ()),
                i if self.bounds.refuses or i < self.bounds.judges < 9 else 99,
            )
            for i, one in enumerate(world.processes)
        ]
        processes.sort()
        return (
            self.bounds.steps - now,
            short(world.records[-1]) if world.records else "",
            tuple(sorted(rows.values())),
            tuple(processes),
            world.puts,
            world.deaths,
        )
