"""Runs the agreement protocol in one process: exchanges with the store, applies versions, appends decisions.

A status never reports a version before the process acts on it. An expired confirmation is noticed within one
pass of the event loop: the follower is a trio instrument that checks the clock after each I/O wait, before
any task runs. Does I/O through its version store.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

import trio

from wheatroute.agreement.adapter import AdaptedVersion
from wheatroute.agreement.drain_notices import DrainNotices
from wheatroute.agreement.errors import HistoryError, VersionStoreError
from wheatroute.agreement.member import EffectiveVersions, Member
from wheatroute.agreement.records import StoredRecord, WithdrawRecord, parse_record
from wheatroute.agreement.version_store import (
    MAX_RECORDS_PER_READ,
    VersionStore,
    running_store,
    take_received_notices,
)

EXCHANGES_PER_TTL = 10.0  # exchanges with the store per time to live of a confirmation
MAX_EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_TIMEOUT_FRACTION = 0.4  # timeout of an exchange, as a fraction of a confirmation's time to live

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def clock() -> float:
    """Returns monotonic seconds, which include times of suspension if the system has such a clock."""
    return time.clock_gettime(_CLOCK)


class Adapter(Protocol):
    """Checks versions and adapts them to one process; see `adapter.VersionAdapter`."""

    def check(self, number: int, content: Any) -> str:
        """Returns why the process cannot use a version; an empty string if it can."""

    def adapt(self, effective: EffectiveVersions) -> AdaptedVersion:
        """Returns the settings for the effective versions."""


def status_read_interval_s(rank: int, exchange_interval_s: float) -> float:
    """Returns the minimum time in seconds between a process's reads of all statuses.

    The process of the lowest rank (0) may read them at each exchange. The others read them less often, every
    `rank` exchange intervals up to EXCHANGES_PER_TTL / 2, so that one of them decides if the first has
    stopped. If all read at each exchange, the number of statuses read would grow with the square of the
    number of processes.
    """
    return exchange_interval_s * min(rank, EXCHANGES_PER_TTL / 2)


class VersionFollower(trio.abc.Instrument):
    """Follows the versions in the store and applies them to one process.

    `apply(adapted, applies_to_pending)` makes the process act on settings at once; with `applies_to_pending`
    the settings also hold for requests that were accepted before. `after_change()` is called after an
    exchange that changed the effective versions. `server_list()` returns the source and revision of the
    server list in use. `apply_drains` is called with the entries of the server list whose state other
    processes' drain notices changed.
    """

    def __init__(
        self,
        store: VersionStore,
        member: Member,
        adapter: Adapter,
        apply: Callable[[AdaptedVersion, bool], None],
        after_change: Callable[[], None],
        server_list: Callable[[], tuple[str, int]],
        log: Any,
        drain_notices: DrainNotices | None = None,
        apply_drains: Callable[[list[dict[str, Any]]], None] = lambda servers: None,
    ) -> None:
        self._server_list, self._drain_notices, self._apply_drains = server_list, drain_notices, apply_drains
        self._next_status_read = 0.0
        self._store, self._member, self._adapter, self._log = store, member, adapter, log
        self._apply, self._after_change = apply, after_change
        # Before this time (see `clock`) the confirmation cannot have expired.
        self._confirmed_until = -1.0
        self._exchange_interval_s = min(
            MAX_EXCHANGE_INTERVAL_S, member.confirmation_ttl_s / EXCHANGES_PER_TTL
        )
        self._exchange_timeout_s = EXCHANGE_TIMEOUT_FRACTION * member.confirmation_ttl_s
        self._logged_phase = ""
        self._logged_unreadable: set[str] = set()
        self._exchange_lock = trio.Lock()  # held while an exchange is in flight
        self.has_left = False
        self._update_effective()

    @property
    def member(self) -> Member:
        """The state machine that this follower runs."""
        return self._member

    def after_io_wait(self, timeout: float) -> None:
        """Checks for expiry before any task runs, as the process may have been stopped during the wait."""
        if clock() >= self._confirmed_until and not self._member.effective.is_conservative:
            self._update_effective()

    def _update_effective(self) -> bool:
        """Applies the versions that the member may act on now; returns whether they changed."""
        before, effective = self._member.effective, self._member.permitted(clock())
        self._confirmed_until = self._member.confirmed_until
        if effective == before and self._logged_phase:
            return False
        # If the change only loosens limits, requests accepted before it keep the limits that applied then.
        is_looser = (
            not effective.is_conservative
            and effective.joint in (before.joint, 0)
            and effective.active in (before.active, before.joint)
        )
        self._apply(self._adapter.adapt(effective), not is_looser)
        self._member.set_effective(effective)
        self._log_effective(effective)
        return True

    def _log_effective(self, effective: EffectiveVersions) -> None:
        phase = "careful" if effective.is_conservative else "joint" if effective.joint else "in force"
        self._logged_phase = phase
        self._log.info(
            "settings",
            phase=phase,
            version=effective.active,
            joint=effective.joint,
            record=self._member.history.head,
            reason=self._member.conservative_reason,
        )

    async def run(self) -> None:
        """Follows the versions until cancelled or until `leave` is called."""
        trio.lowlevel.add_instrument(self)
        async with running_store(self._store):
            await self._follow()

    async def _follow(self) -> None:
        while True:
            has_changed = False
            try:
                async with self._exchange_lock:
                    if self.has_left:
                        return
                    with trio.fail_after(self._exchange_timeout_s):
                        has_changed = await self._exchange(clock())
            except (VersionStoreError, HistoryError, trio.TooSlowError) as error:
                self._record_failure(str(error) or "no response from the store in time")
            except Exception:
                # A defect here must not end the node: it continues to serve, and becomes conservative when
                # its confirmation expires.
                self._log.exception("unhandled-exception")
                self._record_failure("internal error, see the log")
            if not has_changed:
                await trio.sleep(self._exchange_interval_s)

    async def _exchange(self, sent_at: float) -> bool:
        """Exchanges with the store once; returns whether to exchange again without delay."""
        member, history = self._member, self._member.history
        member.server_list = self._server_list()
        records = await self._store.exchange(
            member.key, member.next_status(time.time()), history.head, history.head_digest
        )
        # If this process uses a relay, its confirmation counts from when the relay sent its exchange, if that
        # was earlier.
        sent_at = min(sent_at, getattr(self._store, "exchanged_at", sent_at))
        member.confirm(sent_at, records, len(records) < MAX_RECORDS_PER_READ)
        self._log_unreadable()
        self._check_versions()
        has_changed = self._update_effective()
        if has_changed:
            self._after_change()
        if self._drain_notices is not None:
            await self._exchange_drain_notices(self._drain_notices)
        return await self._decide() or has_changed or bool(records)

    def _log_unreadable(self) -> None:
        unreadable_keys: set[str] = getattr(self._store, "unreadable_keys", set())
        for key in sorted(unreadable_keys - self._logged_unreadable):
            self._logged_unreadable.add(key)
            self._log.warning("unreadable-entry-skipped", name=key)

    def _check_versions(self) -> None:
        for number in self._member.unchecked_versions():
            version = self._member.history.versions[number]
            error = self._adapter.check(number, version.content)
            self._member.record_check(number, error)
            if error:
                self._log.warning("settings-refused", version=number, error=error)

    async def _exchange_drain_notices(self, drain_notices: DrainNotices) -> None:
        """Applies received notices, and writes those that follow from this process's server list."""
        changed = drain_notices.receive(take_received_notices(self._store), clock())
        if changed:
            self._apply_drains(changed)
            states = ",".join(f"{entry['id']}:{entry['state']}" for entry in changed)
            self._log.info("drain-notices-applied", servers=states)
        notices, expired_ids = drain_notices.outgoing(clock())
        if notices or expired_ids:
            await self._store.write_drain_notices(notices, expired_ids)

    def _record_failure(self, reason: str) -> None:
        if reason != self._member.conservative_reason:
            self._log.warning("settings-unconfirmed", error=reason, record=self._member.history.head)
        self._member.record_failure(reason)

    async def _decide(self) -> bool:
        """Appends a decision if one is due; returns whether to exchange again without delay."""
        member = self._member
        if not member.history.pending or clock() < self._next_status_read:
            return False
        began = clock()
        statuses = await self._store.statuses()
        rank = member.rank(statuses)
        self._next_status_read = began + status_read_interval_s(rank, self._exchange_interval_s)
        record = member.next_decision(began, clock(), statuses)
        if record is None:
            return False
        # The higher its rank, the longer a process waits: normally the process of rank 0 appends the decision
        # and the others read it.
        await trio.sleep(min(1.0, rank * self._exchange_interval_s / EXCHANGES_PER_TTL))
        if await self._store.append(record):
            self._log_decision(record)
            await self._store.remove_statuses(member.expired_status_keys(began))
        return True

    def _log_decision(self, document: StoredRecord) -> None:
        record = parse_record(document)
        reason = record.reason if isinstance(record, WithdrawRecord) else ""
        self._log.info("settings-decided", kind=record.kind.value, version=record.version, reason=reason)

    async def leave(self) -> None:
        """Removes the process's status from the store when the process stops.

        Waits for an exchange in flight, which could otherwise write the status again after its removal.
        """
        self.has_left = True
        with trio.move_on_after(self._exchange_timeout_s):
            try:
                async with self._exchange_lock:
                    await self._store.remove_statuses([self._member.key])
            except VersionStoreError as error:
                self._log.warning("settings-unconfirmed", error=str(error))
