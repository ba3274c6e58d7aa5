"""The states that the model checker searches: processes, a store and a clock. No I/O.

Times are in whole clock steps.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from wheatroute.agreement.member import EffectiveVersions, Member
from wheatroute.agreement.member_status import MemberStatus, StoredStatus, parse_status
from wheatroute.agreement.records import StoredRecord

MAX_PROCESSES = 9
# placeholders in the key of a state for a value that a process does not have
ANY_PROCESS, NOT_SENT, NO_PENDING_VERSION = 99, -99, 99


def short_digest(content: Any) -> str:
    """Returns a text that is unique for each record of one run, at a tenth of the cost of a digest."""
    template = "{before}/{kind}{version}"
    return template.format(**content) if "before" in content else "content"


@dataclass(frozen=True)
class Bounds:
    """Limits the events of a run: how many processes there are, and how often each event may happen."""

    processes: int = 3
    puts: int = 2
    restarts: int = 1
    clock_steps: int = 3
    ttl_steps: int = 1  # clock steps for which a confirmation is valid
    deciders: int = MAX_PROCESSES  # only this many processes, the first ones, read the statuses and decide
    rejections: tuple[tuple[int, int], ...] = ()  # (process, version that it cannot use)
    max_states: int = 10**9

    def distinguishes(self, process: int) -> bool:
        """Whether a process may behave differently from other processes in the same state."""
        return bool(self.rejections) or process < self.deciders < MAX_PROCESSES


class ProcessView(NamedTuple):
    """The effective versions of a process at a clock step, and its part of the state's key."""

    now: int
    effective: EffectiveVersions
    key: Any


@dataclass
class Process:
    """A member and the state of its exchange."""

    member: Member
    sent_at: int | None = None  # clock step at which the exchange in flight was sent; None if there is none
    has_new_response: bool = False  # whether the last exchange has a response and no statuses were read since
    to_append: StoredRecord | None = None  # a decision that the process is about to append
    incarnation: int = 0
    cached_view: ProcessView | None = None

    def copy(self) -> Process:
        """Returns a copy that may be changed."""
        member = _shallow_copy(self.member)
        member.usable, member.unusable = set(member.usable), dict(member.unusable)
        return Process(member, self.sent_at, self.has_new_response, self.to_append, self.incarnation)

    def view(self, now: int, earliest: int) -> ProcessView:
        """Returns the view of the process at a clock step.

        Times in the key are relative to the clock step; those before `earliest` are not distinguished. The
        view is cached, as the processes of a state are never modified: events modify copies.
        """
        if self.cached_view is None or self.cached_view.now != now:
            self.cached_view = ProcessView(now, self._effective(now), self._key(now, earliest))
        return self.cached_view

    def _effective(self, now: int) -> EffectiveVersions:
        """Returns the versions that the process would act on after a check of the clock."""
        effective = self.member.effective
        if effective.is_conservative:
            return effective
        is_conservative = self.member.permitted(now).is_conservative
        return EffectiveVersions(effective.active, effective.joint, is_conservative)

    def _key(self, now: int, earliest: int) -> Any:
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
            NOT_SENT if self.sent_at is None else max(earliest, self.sent_at - now),
            self.has_new_response,
            "" if self.to_append is None else short_digest(self.to_append),
            max(earliest, since - now) if pending and seen == pending else NO_PENDING_VERSION,
        )


def _shallow_copy(original: Any) -> Any:
    other = object.__new__(type(original))
    other.__dict__.update(original.__dict__)
    return other


@dataclass
class WorldState:
    """One state of the store, the processes and the clock."""

    now: int
    records: tuple[StoredRecord, ...]
    statuses: dict[str, StoredStatus]  # the statuses in the store, by key
    processes: list[Process]
    puts: int = 0
    restarts: int = 0

    def copy(self, changed: int) -> WorldState:
        """Returns a copy in which the process of number `changed` may be modified; -1 for none."""
        other = WorldState(
            self.now, self.records, dict(self.statuses), list(self.processes), self.puts, self.restarts
        )
        if changed >= 0:
            other.processes[changed] = self.processes[changed].copy()
        return other

    def key(self, bounds: Bounds) -> Any:
        """Returns a key that is equal for states with the same future.

        For this, it does not contain names of processes, and its times are relative to the clock step.
        """
        earliest = -bounds.ttl_steps
        statuses = {status.key: _status_part(status) for status in map(parse_status, self.statuses.values())}
        processes = [
            (
                process.view(self.now, earliest).key,
                statuses.pop(process.member.key, ()),
                i if bounds.distinguishes(i) else ANY_PROCESS,
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
    """Returns the fields of a status that other processes' decisions depend on."""
    return (
        status.applied_record,
        *status.versions,
        status.is_conservative,
        status.unusable_version,
    )
