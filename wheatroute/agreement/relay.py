"""Exchanges with a version store on behalf of all processes of a machine.

The processes use a directory store, not the version store. In each exchange, the relay forwards their
statuses and copies the records that it reads into the directory. It also writes a file there, which holds the
time at which the exchange was sent, the heartbeats of the forwarded statuses, and all drain notices in the
store. A process's confirmation counts from the time in the file, on the clock that all processes of the
machine share. Invariants: the time in the file is never later than the sending of the exchange that returned
the records. A status is marked as forwarded only if it was written to the store before the records were read.
Does I/O.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import orjson
import trio

from wheatroute.agreement.adapter import AdaptedVersion
from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.documents import parse
from wheatroute.agreement.drain_notices import RETENTION_AGREEMENT_TIMES
from wheatroute.agreement.errors import MalformedDocumentError, VersionStoreError
from wheatroute.agreement.heartbeat import SeenHeartbeat, seen_heartbeat
from wheatroute.agreement.member import STATUS_EXPIRY_TTLS, EffectiveVersions, Member
from wheatroute.agreement.member_status import StoredStatus, parse_heartbeat
from wheatroute.agreement.notice import ForwardedNotice, StoredNotice, parse_notices
from wheatroute.agreement.records import StoredRecord
from wheatroute.agreement.version_follower import VersionFollower, clock
from wheatroute.agreement.version_store import VersionStore, running_store, take_received_notices
from wheatroute.balancing.settings import DecisionSettings

FRESHNESS_FILE = "fresh"  # name of the file in the directory store


class Freshness(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the freshness file in the directory store."""

    sent_at: float = msgspec.field(name="sent")  # when the exchange was sent; see `clock`
    notices: list[Any] = msgspec.field(name="words", default_factory=list)  # all notices in the store
    heartbeats: dict[str, int] = msgspec.field(name="rows")  # of the forwarded statuses, by status key


class RelayedDirectoryStore(DirectoryStore):
    """The directory store as the machine's processes use it.

    `exchanged_at` is when the relay sent the exchange whose result this process read last (see `clock`).
    """

    exchanged_at = 0.0

    def exchange_blocking(
        self, key: str, status: StoredStatus | None, after: int, expected_digest: str
    ) -> list[StoredRecord]:
        """Implements `VersionStore.exchange`.

        Raises `VersionStoreError` until the relay has forwarded this process's status.
        """
        # The freshness file is read before the records, so that they are at least as new as it states.
        freshness = self._read_freshness() if status is not None else None
        records = super().exchange_blocking(key, status, after, expected_digest)
        if status is not None:
            if freshness is None or key not in freshness.heartbeats or freshness.sent_at > clock():
                raise VersionStoreError(f"{self.path}: the relay has not forwarded this process's status yet")
            self.exchanged_at = freshness.sent_at
            self.received_notices[:] = [document for _, document in parse_notices(freshness.notices)]
        return records

    def append_blocking(self, record: StoredRecord) -> bool:
        """Returns False without appending: the relay decides, as it reads the statuses of all machines."""
        return False

    def _read_freshness(self) -> Freshness | None:
        try:
            document = orjson.loads((Path(self.path) / FRESHNESS_FILE).read_bytes())
            return parse(document, Freshness)
        except (OSError, orjson.JSONDecodeError, MalformedDocumentError):
            return None


class RelayStore:
    """The version store as the relay uses it: an exchange forwards all statuses and updates the directory."""

    def __init__(
        self, store: VersionStore, directory: str, confirmation_ttl_s: float, agreement_time_s: float
    ) -> None:
        self._store, self._directory = store, DirectoryStore(directory)
        self._confirmation_ttl_s = confirmation_ttl_s
        self._retention_s = RETENTION_AGREEMENT_TIMES * agreement_time_s
        self._heartbeats: dict[str, SeenHeartbeat] = {}  # of the statuses in the directory, by status key
        self._stored: dict[str, ForwardedNotice] = {}  # notices in the store, by server id
        # Notices of the machine's processes that are not in the store yet, by server id.
        self._unsent: dict[str, ForwardedNotice] = {}
        # For each stored notice, by server id: its order, and when the relay first saw it (see `clock`).
        self._stored_since: dict[str, tuple[tuple[float, int], float]] = {}
        self.received_notices: list[StoredNotice] = []  # stays empty: a relay applies no notices
        self.path = directory

    @property
    def unreadable_keys(self) -> set[str]:
        """Keys of malformed statuses and drain notices in the directory and in the store."""
        return self._directory.unreadable_keys | getattr(self._store, "unreadable_keys", set())

    async def run(self) -> None:
        """Runs the underlying store until cancelled."""
        async with running_store(self._store):
            await trio.sleep_forever()

    async def exchange(
        self, key: str, status: StoredStatus | None, after: int, expected_digest: str
    ) -> list[StoredRecord]:
        """Exchanges with the store for the whole machine, and updates the directory."""
        statuses = await trio.to_thread.run_sync(self._live_statuses)
        sent_at = clock()
        entry = {"name": status["name"], "rows": [status, *statuses]} if status is not None else None
        records = await self._store.exchange(key, entry, after, expected_digest)
        received = take_received_notices(self._store)
        self._stored |= _by_server(received)
        own = await trio.to_thread.run_sync(self._directory.changed_drain_notices_blocking)
        await self._forward_notices(own)
        await trio.to_thread.run_sync(self._update_directory, records, sent_at, statuses)
        return records

    async def _forward_notices(self, documents: list[StoredNotice]) -> None:
        """Writes the machine's drain notices to the store, except where the store has newer ones."""
        self._unsent |= _by_server(documents)
        newer = {
            server_id: own
            for server_id, own in self._unsent.items()
            if server_id not in self._stored or own.notice.order > self._stored[server_id].notice.order
        }
        expired_ids = self._expired_ids(clock())
        if newer or expired_ids:
            await self._store.write_drain_notices([own.document for own in newer.values()], expired_ids)
        self._stored |= newer
        self._unsent.clear()
        for server_id in expired_ids:
            del self._stored[server_id], self._stored_since[server_id]

    def _expired_ids(self, now: float) -> list[str]:
        """Returns the ids of servers whose notices have expired.

        The relay removes these notices from the store, because its machine's processes remove them only from
        the directory. If the relays did not and every machine had one, the store would grow with every server
        that ever left.
        """
        for server_id, (notice, _) in self._stored.items():
            if self._stored_since.get(server_id, (None, 0.0))[0] != notice.order:
                self._stored_since[server_id] = notice.order, now
        return [
            server_id
            for server_id, (_, since) in self._stored_since.items()
            if now - since > self._retention_s and server_id not in self._unsent
        ]

    def _live_statuses(self) -> list[StoredStatus]:
        """Returns the statuses of the machine's processes, without those whose heartbeat has stopped.

        The statuses are forwarded unchanged, including keys that this program does not know.
        """
        now, live, heartbeats = clock(), [], {}
        for document in self._directory.statuses_blocking():
            status = parse_heartbeat(document)
            heartbeat = seen_heartbeat(self._heartbeats.get(status.key), status.heartbeat, now)
            heartbeats[status.key] = heartbeat
            if now - heartbeat.since < STATUS_EXPIRY_TTLS * self._confirmation_ttl_s:
                live.append(document)
        self._heartbeats = heartbeats
        return live

    def _update_directory(
        self, records: list[StoredRecord], sent_at: float, statuses: list[StoredStatus]
    ) -> None:
        for record in records:
            self._directory.append_blocking(record)
        temporary = Path(self.path) / f".{secrets.token_hex(6)}"
        forwarded = [parse_heartbeat(status) for status in statuses]
        freshness = Freshness(
            sent_at=sent_at,
            notices=[document for _, document in self._stored.values()],
            heartbeats={status.key: status.heartbeat for status in forwarded},
        )
        try:
            temporary.write_bytes(orjson.dumps(msgspec.to_builtins(freshness)))
            os.rename(temporary, Path(self.path) / FRESHNESS_FILE)
        except OSError as error:
            raise VersionStoreError(f"{self.path}: {error.strerror}") from error

    async def write_status(self, key: str, status: StoredStatus) -> None:
        """Implements `VersionStore.write_status`."""
        await self._store.write_status(key, status)

    async def statuses(self) -> list[StoredStatus]:
        """Implements `VersionStore.statuses`."""
        return await self._store.statuses()

    async def append(self, record: StoredRecord) -> bool:
        """Implements `VersionStore.append`."""
        return await self._store.append(record)

    async def remove_statuses(self, keys: list[str]) -> None:
        """Implements `VersionStore.remove_statuses`."""
        await self._store.remove_statuses(keys)

    async def write_drain_notices(self, notices: list[StoredNotice], expired_ids: list[str]) -> None:
        """Implements `VersionStore.write_drain_notices`."""
        await self._store.write_drain_notices(notices, expired_ids)


def _by_server(documents: list[StoredNotice]) -> dict[str, ForwardedNotice]:
    return {forwarded.notice.server_id: forwarded for forwarded in parse_notices(documents)}


class _NullAdapter:
    """Accepts every version, as the relay applies none."""

    def check(self, number: int, content: Any) -> str:
        return ""

    def adapt(self, effective: EffectiveVersions) -> AdaptedVersion:
        return AdaptedVersion({}, {}, DecisionSettings(), {})


async def run_relay(
    make_store: Callable[[float], VersionStore],
    directory: str,
    name: str,
    agreement_time_s: float,
    log: Any,
) -> None:
    """Runs a relay that updates `directory` from a version store, until cancelled.

    `make_store` receives the time to live of a confirmation in seconds. Raises `VersionStoreError` if the
    directory cannot be created.
    """
    DirectoryStore(directory).create()
    member = Member(name, secrets.token_hex(6), agreement_time_s)
    ttl_s = member.confirmation_ttl_s
    relay_store = RelayStore(make_store(ttl_s), directory, ttl_s, agreement_time_s)
    follower = VersionFollower(
        relay_store,
        member,
        _NullAdapter(),
        lambda adapted, applies_to_pending: None,
        lambda: None,
        lambda: ("", 0),
        log,
    )
    try:
        await follower.run()
    finally:
        with trio.CancelScope(shield=True):
            await follower.leave()
