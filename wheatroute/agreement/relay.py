"""A relay: one reader of a version store for all processes of a machine, which reads into a directory store.

The relay keeps the directory's records and a file that says how fresh they are: when its exchange was sent,
whose statuses it carried, and the drain notices. The processes read the directory and count their
confirmation from that moment, on the machine's one clock. A directory is never marked fresher than the
exchange it came from, and a status that was written after the records were read is not marked as carried.
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

FRESHNESS_FILE = "fresh"  # beside the records


class Freshness(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the file beside the records."""

    sent_at: float = msgspec.field(name="sent")  # when the exchange was sent; see `clock`
    notices: list[Any] = msgspec.field(name="words", default_factory=list)  # all that the store has
    heartbeats: dict[str, int] = msgspec.field(name="rows")  # by key of the statuses that it carried


class RelayedDirectoryStore(DirectoryStore):
    """The directory as a process sees it; `exchanged_at` is when the relay sent the exchange it read."""

    exchanged_at = 0.0

    def exchange_blocking(
        self, key: str, status: StoredStatus | None, after: int, expected_digest: str
    ) -> list[StoredRecord]:
        """See `VersionStore.exchange`; an error until the relay has carried this process's status."""
        # read before the records, which are then at least as new
        freshness = self._read_freshness() if status is not None else None
        records = super().exchange_blocking(key, status, after, expected_digest)
        if status is not None:
            if freshness is None or key not in freshness.heartbeats or freshness.sent_at > clock():
                raise VersionStoreError(f"{self.path}: the relay has not told of this process yet")
            self.exchanged_at = freshness.sent_at
            self.received_notices[:] = [document for _, document in parse_notices(freshness.notices)]
        return records

    def append_blocking(self, record: StoredRecord) -> bool:
        """Append nothing: the relay appends, as it reads the statuses of all machines."""
        return False

    def _read_freshness(self) -> Freshness | None:
        try:
            document = orjson.loads((Path(self.path) / FRESHNESS_FILE).read_bytes())
            return parse(document, Freshness)
        except (OSError, orjson.JSONDecodeError, MalformedDocumentError):
            return None


class RelayStore:
    """The store as the relay sees it: exchanges carry the machine's statuses and update the directory."""

    def __init__(
        self, store: VersionStore, directory: str, confirmation_ttl_s: float, agreement_time_s: float
    ) -> None:
        self._store, self._directory = store, DirectoryStore(directory)
        self._confirmation_ttl_s = confirmation_ttl_s
        self._retention_s = RETENTION_AGREEMENT_TIMES * agreement_time_s
        self._heartbeats: dict[str, SeenHeartbeat] = {}  # by key of the machine's statuses
        self._stored: dict[str, ForwardedNotice] = {}  # by server id: notices that the store has
        # by server id: the machine's notices that it does not have yet
        self._unsent: dict[str, ForwardedNotice] = {}
        # by server id: the order of a stored notice, and when it was first seen
        self._stored_since: dict[str, tuple[tuple[float, int], float]] = {}
        self.received_notices: list[StoredNotice] = []  # the relay itself acts on none
        self.path = directory

    @property
    def unreadable_keys(self) -> set[str]:
        """Keys of statuses and drain notices that could not be read, in the directory and in the store."""
        return self._directory.unreadable_keys | getattr(self._store, "unreadable_keys", set())

    async def run(self) -> None:
        """Run the store until cancelled."""
        async with running_store(self._store):
            await trio.sleep_forever()

    async def exchange(
        self, key: str, status: StoredStatus | None, after: int, expected_digest: str
    ) -> list[StoredRecord]:
        """Exchange with the store for the whole machine, and update the directory."""
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
        """Write the machine's drain notices into the store, unless it has later ones."""
        self._unsent |= _by_server(documents)
        later = {
            name: own
            for name, own in self._unsent.items()
            if name not in self._stored or own.notice.order > self._stored[name].notice.order
        }
        expired_ids = self._expired_ids(clock())
        if later or expired_ids:
            await self._store.write_drain_notices([own.document for own in later.values()], expired_ids)
        self._stored |= later
        self._unsent.clear()
        for name in expired_ids:
            del self._stored[name], self._stored_since[name]

    def _expired_ids(self, now: float) -> list[str]:
        """Return the ids of servers whose notices have expired.

        The relay removes them as processes only remove notices from their directory: where all machines
        have a relay, the store would otherwise grow with every server that ever left.
        """
        for name, (notice, _) in self._stored.items():
            if self._stored_since.get(name, (None, 0.0))[0] != notice.order:
                self._stored_since[name] = notice.order, now
        return [
            name
            for name, (_, since) in self._stored_since.items()
            if now - since > self._retention_s and name not in self._unsent
        ]

    def _live_statuses(self) -> list[StoredStatus]:
        """Return the statuses of the machine's processes, without those whose heartbeat has stood still.

        They are forwarded as they are, also with keys that this program does not know.
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
        carried = [parse_heartbeat(status) for status in statuses]
        freshness = Freshness(
            sent_at=sent_at,
            notices=[document for _, document in self._stored.values()],
            heartbeats={status.key: status.heartbeat for status in carried},
        )
        try:
            temporary.write_bytes(orjson.dumps(msgspec.to_builtins(freshness)))
            os.rename(temporary, Path(self.path) / FRESHNESS_FILE)
        except OSError as error:
            raise VersionStoreError(f"{self.path}: {error.strerror}") from error

    async def write_status(self, key: str, status: StoredStatus) -> None:
        """See `VersionStore.write_status`."""
        await self._store.write_status(key, status)

    async def statuses(self) -> list[StoredStatus]:
        """See `VersionStore.statuses`."""
        return await self._store.statuses()

    async def append(self, record: StoredRecord) -> bool:
        """See `VersionStore.append`."""
        return await self._store.append(record)

    async def remove_statuses(self, keys: list[str]) -> None:
        """See `VersionStore.remove_statuses`."""
        await self._store.remove_statuses(keys)

    async def write_drain_notices(self, notices: list[StoredNotice], expired_ids: list[str]) -> None:
        """See `VersionStore.write_drain_notices`."""
        await self._store.write_drain_notices(notices, expired_ids)


def _by_server(documents: list[StoredNotice]) -> dict[str, ForwardedNotice]:
    return {forwarded.notice.server_id: forwarded for forwarded in parse_notices(documents)}


class _NullAdapter:
    """The relay acts on no version, so it can use every one."""

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
    """Keep a directory up to date with a store until cancelled.

    `make_store` is given the time to live of a confirmation, in seconds. Raises `VersionStoreError` if the
    directory cannot be created.
    """
    DirectoryStore(directory).create()
    member = Member(name, secrets.token_hex(6), agreement_time_s)
    ttl_s = member.confirmation_ttl_s
    relay_store = RelayStore(make_store(ttl_s), directory, ttl_s, agreement_time_s)
    follower = VersionFollower(
        relay_store, member, _NullAdapter(), lambda adapted, binding: None, lambda: None, lambda: ("", 0), log
    )
    try:
        await follower.run()
    finally:
        with trio.CancelScope(shield=True):
            await follower.leave()
