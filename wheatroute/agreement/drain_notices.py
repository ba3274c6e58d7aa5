"""Shares drain notices between processes: which servers any process's server list reports as leaving. No I/O.

A notice identifies a server by its id and the start time of its process, says whether that process is leaving
or has returned, and has a revision, which shows which of two notices is the later one. A process whose own
server list is silent or lags learns from other processes' notices that a server drains, that it has restarted
under the same id, or that another server now has its address. A server is never removed merely because some
process's list does not contain it: if it were, a wrong list at one node would empty the lists of the others.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from wheatroute.agreement.notice import Notice, StoredNotice, parse_notices

RETENTION_AGREEMENT_TIMES = 360.0  # how long a notice is kept in the store, in agreement times
MAX_REMEMBERED_ADDRESSES = 4096  # maximum number of addresses for which the last server is remembered

ListEntry = dict[str, Any]  # an entry of a server list


def _is_list_entry(value: Any) -> bool:
    return (
        isinstance(value, dict)
        and isinstance(value.get("id"), str)
        and isinstance(value.get("started_ms", 0), int | float)
    )


class DrainNotices:
    """Keeps the notices that one process knows of, and applies them to the messages of its server list."""

    def __init__(self, agreement_time_s: float) -> None:
        self._retention_s = RETENTION_AGREEMENT_TIMES * agreement_time_s
        self._own_list: dict[str, ListEntry] = {}  # entries of this process's server list, by server id
        # The last server at each address: its id, and the start of its process (Unix time in ms).
        self._last_at_address: dict[str, tuple[str, float]] = {}
        # All notices below are by server id.
        self._stored: dict[str, Notice] = {}  # notices as last read from the store
        self._unsent: dict[str, Notice] = {}  # notices of this process that are not in the store yet
        # Notices by which this process states that a server is back in service.
        self._returned: dict[str, Notice] = {}
        # For each stored notice: its order, and when it was first read (seconds, the caller's clock).
        self._stored_since: dict[str, tuple[tuple[float, int], float]] = {}

    def filter_message(self, document: Any) -> Any:
        """Processes a message of this process's server list; returns it with others' notices applied.

        A message with the key "heard" already comes from other processes' notices (see
        `Discovery.apply_reported_states`), so it is returned unchanged.
        """
        if (
            not isinstance(document, dict)
            or document.get("heard")
            or not isinstance(document.get("servers"), list)
        ):
            return document
        if document.get("full"):
            named = {entry["id"] for entry in document["servers"] if _is_list_entry(entry)}
            self._own_list = {
                server_id: entry for server_id, entry in self._own_list.items() if server_id in named
            }
        for entry in document["servers"]:
            if _is_list_entry(entry):
                self._process_entry(entry)
        self._prune()
        servers = [
            self._effective_entry(entry) if _is_list_entry(entry) else entry for entry in document["servers"]
        ]
        return document | {"servers": servers}

    def receive(self, documents: Iterable[Any], now: float) -> list[ListEntry]:
        """Processes notices from the store; returns the list entries whose state they change."""
        changed = []
        for notice, _ in parse_notices(documents):
            server_id, entry = notice.server_id, self._own_list.get(notice.server_id)
            state_before = entry and self._effective_entry(entry)["state"]
            self._stored[server_id] = notice
            returned = self._returned.get(server_id)
            if notice.is_leaving and returned and returned.order >= notice.order:
                # The author of the notice did not know that the server had returned.
                self._unsent[server_id] = returned
            if self._stored_since.get(server_id, (None, 0.0))[0] != notice.order:
                self._stored_since[server_id] = notice.order, now
            if entry and self._effective_entry(entry)["state"] != state_before:
                changed.append(self._effective_entry(entry))
        return changed

    def outgoing(self, now: float) -> tuple[list[StoredNotice], list[str]]:
        """Returns the notices to write to the store, and the ids of servers whose notices have expired."""
        unsent = []
        for server_id, notice in list(self._unsent.items()):
            stored = self._stored.get(server_id)
            if stored is not None and stored.order >= notice.order:
                del self._unsent[server_id]
            else:
                unsent.append(notice.to_stored())
        expired = [
            server_id
            for server_id, (_, since) in self._stored_since.items()
            if now - since > self._retention_s
        ]
        for server_id in expired:
            del self._stored_since[server_id]
        return unsent, expired

    def _process_entry(self, entry: ListEntry) -> None:
        """Processes an entry of this process's server list, and creates the notices that follow from it."""
        server_id, state = entry["id"], entry.get("state", "in_service")
        started = entry.get("started_ms", 0)
        before, address = self._own_list.get(server_id), entry.get("addr")
        if state == "terminated":
            self._own_list.pop(server_id, None)
            return
        self._own_list[server_id] = entry | {"state": state}
        started_before = before.get("started_ms", 0) if before is not None else 0
        if state != "in_service":
            if before is None or before["state"] == "in_service" or started_before != started:
                self._create_notice(server_id, started, is_leaving=True)
        elif before is not None and started_before < started:
            self._create_notice(server_id, started_before, is_leaving=True)
        elif before is not None and before["state"] != "in_service" and started_before == started:
            self._returned[server_id] = self._create_notice(server_id, started, is_leaving=False)
        if isinstance(address, str):
            self._record_address(address, server_id, started)

    def _record_address(self, address: str, server_id: str, started: float) -> None:
        """Records the server at an address.

        If the previous server at the address is no longer listed, it has left, and a notice says so.
        """
        last = self._last_at_address.pop(address, None)
        if last is not None and last[0] != server_id and last[0] not in self._own_list:
            self._create_notice(*last, is_leaving=True)
        self._last_at_address[address] = server_id, started

    def _create_notice(self, server_id: str, started: float, is_leaving: bool) -> Notice:
        """Creates a notice, and schedules it for the store if it is news to other processes."""
        known = [notices[server_id] for notices in (self._stored, self._unsent) if server_id in notices]
        newest = max(known, key=lambda notice: notice.order, default=None)
        revision = 1
        if newest is not None and newest.started_ms == started:
            # The revision increases only if the server's process leaves or returns. If that is noticed once
            # more, it stays.
            revision = newest.revision if newest.is_leaving == is_leaving else newest.revision + 1
        notice = Notice(server_id, started, is_leaving, revision)
        # If there is no earlier notice, other processes know the server as in service, so only a notice that
        # it leaves is news.
        if is_leaving if newest is None else notice.order > newest.order:
            self._unsent[server_id] = notice
        return notice

    def _effective_entry(self, entry: ListEntry) -> ListEntry:
        """Returns an entry with the stored notice about its server applied."""
        notice, returned = self._stored.get(entry["id"]), self._returned.get(entry["id"])
        state, started = entry.get("state", "in_service"), entry.get("started_ms", 0)
        if notice is None or not notice.is_leaving or state != "in_service" or notice.started_ms < started:
            return entry
        if returned is not None and returned.order >= notice.order:
            return entry
        return entry | {"state": "terminating"}

    def _prune(self) -> None:
        """Forgets servers that are neither listed nor in a stored notice, so that memory stays bounded."""
        while len(self._last_at_address) > MAX_REMEMBERED_ADDRESSES:
            del self._last_at_address[next(iter(self._last_at_address))]
        for notices in (self._stored, self._returned):
            unneeded = [
                server_id
                for server_id in notices
                if server_id not in self._own_list and server_id not in self._stored_since
            ]
            for server_id in unneeded:
                del notices[server_id]
