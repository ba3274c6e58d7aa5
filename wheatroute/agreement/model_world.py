"""A state of the world that the model checker searches: processes, a store and a clock. No I/O.

Times are whole clock steps.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from wheatroute.agreement.member import EffectiveVersions, Member
from wheatroute.agreement.member_status import MemberStatus, StoredStatus, parse_status
from wheatroute.agreement.records import StoredRecord

MAX_PROCESSES = 9
# in the key of a state, where a process has no such number
ANY_PROCESS, NOT_SENT, NO_PENDING_VERSION = 99, -99, 99


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
    deciders: int = MAX_PROCESSES  # how many of the processes read the statuses
    rejections: tuple[tuple[int, int], ...] = ()  # (process, version that it cannot use)
    max_states: int = 10**9

    def tells_apart(self, process: int) -> bool:
        """Whether a process differs from others by its number, and not only by its state."""
        return bool(self.rejections) or process < self.deciders < MAX_PROCESSES


class ProcessView(NamedTuple):
    """What a process would act on at a clock step, and its part of the state's key."""

    now: int
    effective: EffectiveVersions
    key: Any


@dataclass
class Process:
    """A member and the state of its exchange."""

    member: Member
    sent_at: int | None = None  # its status is written, the records not read
    has_new_answer: bool = False  # it has not read the statuses since its last answer
    to_append: StoredRecord | None = None  # a decision that it is about to append
    incarnation: int = 0
    cached_view: ProcessView | None = None

    def copy(self) -> Process:
        """Return a copy that may be changed."""
        member = _shallow_copy(self.member)
        member.usable, member.unusable = set(member.usable), dict(member.unusable)
        return Process(member, self.sent_at, self.has_new_answer, self.to_append, self.incarnation)

    def view(self, now: int, far: int) -> ProcessView:
        """Return what the process is at a clock step; times before `far`, relative to it, do not differ.

        Cached, as a process in a state is never changed: events change copies.
        """
        if self.cached_view is None or self.cached_view.now != now:
            self.cached_view = ProcessView(now, self._effective(now), self._key(now, far))
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
            NOT_SENT if self.sent_at is None else max(far, self.sent_at - now),
            self.has_new_answer,
            "" if self.to_append is None else short_digest(self.to_append),
            max(far, since - now) if pending and seen == pending else NO_PENDING_VERSION,
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

    def key(self, bounds: Bounds) -> Any:
        """Return what distinguishes the futures of two states; times are relative, names do not count."""
        far = -bounds.ttl_steps
        statuses = {status.key: _status_part(status) for status in map(parse_status, self.statuses.values())}
        processes = [
            (
                process.view(self.now, far).key,
                statuses.pop(process.member.key, ()),
                i if bounds.tells_apart(i) else ANY_PROCESS,
            )
            for i, process in enumerate(self.processes)
        ]
        processes.sort()
        return (
            bounds.clock_steps - self.now,
            short_digest(self.records[-1]) if self.records else "",
            tuple(sorted(statuses.values())),
            tuple(processes),
            self.puts,
            self.restarts,
        )


def _status_part(status: MemberStatus) -> tuple[int | bool, ...]:
    """Return the part of a status that others decide by."""
    return (
        status.applied_record,
        *status.versions,
        status.is_conservative,
        status.unusable_version,
    )
