"""The agreement protocol's state machine in one process. No I/O.

It decides which versions of the settings the process may act on, until when, and when to activate a version.
Its inputs are the results of exchanges with the store and their times, in seconds on a monotonic clock. It
never acts on a version after its confirmation has expired, and never reverts to a state before a record that
it has applied. It activates a version only once every process with an unexpired confirmation is joint or
conservative.
A process is joint while it keeps the limits of a pending version too, and conservative while it cannot tell
which version is active (see `joint_settings`).

Why this is safe: A process writes its status, then reads the records, and acts on them until
`confirmation_ttl_s` after it *sent* the status, less the clock drift. Records are only appended, one at a
time. Once a process has read that a version was put (the record that puts it is "the put" below), it is joint
or conservative, and never acts on the old version alone. A confirmation from before the put ends at most one
time to live after the put, also in a process that is stopped, partitioned in one direction, or restarting. A
version is activated when the statuses show that every process has read the put, or one time to live (plus the
drift) after the deciding process has read the put. If the deciding process does not see a process's status,
that process writes it only after the statuses were read. It reads the records after writing it, so it reads
the put.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from wheatroute.agreement.heartbeat import SeenHeartbeat, seen_heartbeat
from wheatroute.agreement.member_status import MemberStatus, StoredStatus, parse_heartbeat, parse_status
from wheatroute.agreement.records import ActivateRecord, StoredRecord, VersionRecord, WithdrawRecord
from wheatroute.agreement.versions import History

MAX_CLOCK_DRIFT = 0.01  # relative difference between the rates of two processes' monotonic clocks
STATUS_EXPIRY_TTLS = 3.0  # a status whose heartbeat has not changed for this many times to live is removed
# time to live of a confirmation, as a fraction of the agreement time; the rest is for messages in flight
CONFIRMATION_FRACTION = 0.85


@dataclass(frozen=True)
class EffectiveVersions:
    """The versions that a process acts on.

    `active` is 0 for the settings of the process's own file. `joint` is a pending version whose limits the
    process keeps in addition to those of the active one, or 0. While `is_conservative`, the process restricts
    itself to what every version allows.
    """

    active: int = 0
    joint: int = 0
    is_conservative: bool = True


class _SeenStatus(NamedTuple):
    """A status as read last: its heartbeat, and the time to live of that process's confirmations."""

    heartbeat: SeenHeartbeat
    ttl_s: float


class Member:
    """Tracks the history, the confirmation and the effective versions of one process.

    `agreement_time_s` bounds how long a change may take to reach all processes.
    """

    def __init__(
        self, name: str, incarnation: str, agreement_time_s: float, max_clock_drift: float = MAX_CLOCK_DRIFT
    ) -> None:
        self.history = History()
        self.name, self.incarnation = name, incarnation
        self.confirmation_ttl_s = CONFIRMATION_FRACTION * agreement_time_s
        self.max_clock_drift = max_clock_drift
        self.unusable: dict[int, str] = {}  # versions that this process cannot use, with the reason
        self.usable: set[int] = {0}  # versions that this process has checked and can use
        self.effective = EffectiveVersions()
        self.confirmed_at = -inf  # when the newest complete exchange was sent; monotonic seconds
        self.conservative_reason = "not confirmed yet"
        self.server_list = ("", 0)  # source and revision of the server list in use
        self._heartbeat = 0
        self._seen_statuses: dict[str, _SeenStatus] = {}  # all processes' statuses as last read, by key
        self._pending_since = (0, inf)  # the pending version, and when it was first seen

    @property
    def key(self) -> str:
        """The key of this process's status in the store."""
        return f"{self.name}.{self.incarnation}"

    @property
    def confirmed_until(self) -> float:
        """When the current confirmation expires, in monotonic seconds."""
        return self.confirmed_at + self.confirmation_ttl_s * (1.0 - self.max_clock_drift)

    def next_status(self, unix_time: float) -> StoredStatus:
        """Returns this process's status with the next heartbeat; `unix_time` is for display only."""
        self._heartbeat += 1
        pending = self.history.pending
        status = MemberStatus(
            name=self.name,
            incarnation=self.incarnation,
            heartbeat=self._heartbeat,
            applied_record=self.history.head,
            versions=(self.effective.active, self.effective.joint),
            is_conservative=self.effective.is_conservative,
            unusable_version=pending if pending in self.unusable else 0,
            reason=self._status_reason(),
            confirmation_ttl_s=self.confirmation_ttl_s,
            server_list=self.server_list,
            written_at=unix_time,
        )
        return status.to_stored()

    def _status_reason(self) -> str:
        unusable = self.unusable.get(self.history.pending) or self.unusable.get(self.history.active)
        if unusable:
            return unusable
        return self.conservative_reason if self.effective.is_conservative else ""

    def confirm(self, sent_at: float, records: list[StoredRecord], is_complete: bool = True) -> None:
        """Applies the records that an exchange sent at `sent_at` returned: those after this history's head.

        If `is_complete` is not set, the store may have more records, and the exchange confirms nothing.
        Records of another history confirm nothing either: for them it raises `HistoryError`.
        """
        for record in records:
            self.history.apply(record)
        if is_complete:
            self.confirmed_at, self.conservative_reason = max(self.confirmed_at, sent_at), ""

    def record_failure(self, reason: str) -> None:
        """Records why an exchange failed or returned another history's records."""
        self.conservative_reason = reason

    def unchecked_versions(self) -> list[int]:
        """Returns the active and pending versions for which `record_check` has not been called yet."""
        needed = [self.history.active, self.history.pending]
        return [number for number in needed if number not in self.usable and number not in self.unusable]

    def record_check(self, version: int, error: str = "") -> None:
        """Records whether this process can use a version; `error` says why it cannot, empty if it can."""
        if error:
            self.unusable[version] = error
        else:
            self.usable.add(version)

    def permitted(self, now: float) -> EffectiveVersions:
        """Returns the versions that this process may act on now.

        The caller must act on them before it writes the next status.
        """
        history = self.history
        active = history.active if history.active in self.usable else self.effective.active
        joint = history.pending if history.pending in self.usable else 0
        # A process that cannot use the pending version stays conservative until that version is withdrawn:
        # it cannot know when the version becomes active in the other processes.
        needed = (history.active, history.pending)
        is_conservative = now >= self.confirmed_until or any(number not in self.usable for number in needed)
        if is_conservative and not self.conservative_reason:
            reasons = [self.unusable[number] for number in needed if number in self.unusable]
            self.conservative_reason = reasons[0] if reasons else "not confirmed in time"
        return EffectiveVersions(active, joint, is_conservative)

    def set_effective(self, effective: EffectiveVersions) -> None:
        """Records that the process now acts on these versions."""
        self.effective = effective

    def next_decision(
        self, read_began: float, read_ended: float, statuses: list[StoredStatus]
    ) -> StoredRecord | None:
        """Returns the decision record to append, or None if no decision is due.

        `statuses` are those of all processes, read between `read_began` and `read_ended`. The caller must
        have completed an exchange just before it read them, so that the pending version known here is that in
        the store. Raises `MalformedDocumentError` for a malformed status.
        """
        decision = self._decide(read_began, read_ended, [parse_status(status) for status in statuses])
        return self.history.encode(decision) if decision is not None else None

    def _decide(
        self, read_began: float, read_ended: float, statuses: list[MemberStatus]
    ) -> VersionRecord | None:
        pending = self.history.pending
        self._track_heartbeats(read_ended, statuses)
        if not pending or read_ended >= self.confirmed_until:
            return None
        if self._pending_since[0] != pending:
            self._pending_since = (pending, read_ended)
        for status in statuses:
            if status.unusable_version == pending:
                reason = f"{status.name}: {status.reason}"
                return WithdrawRecord(version=pending, decided_by=self.name, reason=reason)
        is_listed = any(status.key == self.key for status in statuses)
        max_ttl_s = max([self.confirmation_ttl_s, *(status.confirmation_ttl_s for status in statuses)])
        has_expired = read_began - self._pending_since[1] >= max_ttl_s * (1.0 + self.max_clock_drift)
        if is_listed and self._all_have_read_pending(statuses) or has_expired:
            return ActivateRecord(version=pending, decided_by=self.name)
        return None

    def _all_have_read_pending(self, statuses: list[MemberStatus]) -> bool:
        return all(
            status.applied_record >= self.history.pending_record
            and (status.is_conservative or status.versions[1] == self.history.pending)
            for status in statuses
        )

    def rank(self, statuses: list[StoredStatus]) -> int:
        """Returns this process's position, from 0, among all processes in the order of their keys.

        The process of the lowest rank decides first. If it does not, a process of a higher rank does.
        """
        keys = sorted(parse_heartbeat(status).key for status in statuses)
        return keys.index(self.key) if self.key in keys else len(keys)

    def expired_status_keys(self, read_began: float) -> list[str]:
        """Returns the keys of statuses that can be removed because their heartbeat has stopped.

        Considers the statuses that were passed to the last call of `next_decision`.
        """
        return [
            key
            for key, seen in self._seen_statuses.items()
            if read_began - seen.heartbeat.since > STATUS_EXPIRY_TTLS * seen.ttl_s
        ]

    def _track_heartbeats(self, read_ended: float, statuses: list[MemberStatus]) -> None:
        seen_statuses = {}
        for status in statuses:
            last = self._seen_statuses.get(status.key)
            heartbeat = seen_heartbeat(last.heartbeat if last else None, status.heartbeat, read_ended)
            seen_statuses[status.key] = _SeenStatus(heartbeat, status.confirmation_ttl_s)
        self._seen_statuses = seen_statuses
