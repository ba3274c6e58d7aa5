"""Drain notices: which servers are about to end, as any process of the installation was told. No I/O.

A notice names a server by its id and the start of its process, says whether that process leaves or has
returned, and has a turn, so that of two notices the later one is known. By the others' notices a process
whose own server list is silent or lags learns of a drain, of a restart under the same id, and of an address
that another server has taken over. A server is never taken out because some list does not name it: a wrong
list at one node would otherwise empty the others'.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from wheatroute.agreement.notice import Notice, StoredNotice, parse_notices

RETENTION_AGREEMENT_TIMES = 360.0  # how long a notice stays stored, in agreement times
MAX_REMEMBERED_ADDRESSES = 4096  # addresses for which the last server there is remembered

ListEntry = dict[str, Any]  # a server as a server list has it


def _is_list_entry(value: Any) -> bool:
    return (
        isinstance(value, dict)
        and isinstance(value.get("id"), str)
        and isinstance(value.get("started_ms", 0), int | float)
    )


class DrainNotices:
    """The notices that one process knows of, applied to the messages of its own server list."""

    def __init__(self, agreement_time_s: float) -> None:
        self._retention_s = RETENTION_AGREEMENT_TIMES * agreement_time_s
        self._own_list: dict[str, ListEntry] = {}
        self._last_at_address: dict[str, tuple[str, float]] = {}  # server id and its start
        self._stored: dict[str, Notice] = {}  # as the store has them
        self._unsent: dict[str, Notice] = {}  # own ones, until the store has them
        self._returned: dict[str, Notice] = {}  # of servers that the own list took back
        # by server id: the order of a stored notice, and when it was first read
        self._stored_since: dict[str, tuple[tuple[float, int], float]] = {}

    def filter_message(self, document: Any) -> Any:
        """Take a message of the own server list; returns it with the others' notices applied."""
        if (
            not isinstance(document, dict)
            or document.get("heard")
            or not isinstance(document.get("servers"), list)
        ):
            return document
        if document.get("full"):
            named = {entry["id"] for entry in document["servers"] if _is_list_entry(entry)}
            self._own_list = {name: entry for name, entry in self._own_list.items() if name in named}
        for entry in document["servers"]:
            if _is_list_entry(entry):
                self._take_entry(entry)
        self._prune()
        servers = [
            self._effective_entry(entry) if _is_list_entry(entry) else entry for entry in document["servers"]
        ]
        return document | {"servers": servers}

    def receive(self, documents: Iterable[Any], now: float) -> list[ListEntry]:
        """Take notices from the store; returns the list entries that change by them."""
        changed = []
        for notice, _ in parse_notices(documents):
            name, entry = notice.server_id, self._own_list.get(notice.server_id)
            state_before = entry and self._effective_entry(entry)["state"]
            self._stored[name] = notice
            returned = self._returned.get(name)
            if notice.is_leaving and returned and returned.order >= notice.order:
                self._unsent[name] = returned  # the notice's author had not heard of the return
            if self._stored_since.get(name, (None, 0.0))[0] != notice.order:
                self._stored_since[name] = notice.order, now
            if entry and self._effective_entry(entry)["state"] != state_before:
                changed.append(self._effective_entry(entry))
        return changed

    def outgoing(self, now: float) -> tuple[list[StoredNotice], list[str]]:
        """Return the notices to write into the store, and the ids of servers whose notices have expired."""
        unsent = []
        for name, notice in list(self._unsent.items()):
            stored = self._stored.get(name)
            if stored is not None and stored.order >= notice.order:
                del self._unsent[name]
            else:
                unsent.append(notice.to_stored())
        expired = [name for name, (_, since) in self._stored_since.items() if now - since > self._retention_s]
        for name in expired:
            del self._stored_since[name]
        return unsent, expired

    def _take_entry(self, entry: ListEntry) -> None:
        """Take an entry of the own list, and create the notices that follow from it."""
        name, state = entry["id"], entry.get("state", "in_service")
        started = entry.get("started_ms", 0)
        before, address = self._own_list.get(name), entry.get("addr")
        if state == "terminated":
            self._own_list.pop(name, None)
            return
        self._own_list[name] = entry | {"state": state}
        started_before = before.get("started_ms", 0) if before is not None else 0
        if state != "in_service":
            if before is None or before["state"] == "in_service" or started_before != started:
                self._create_notice(name, started, is_leaving=True)
        elif before is not None and started_before < started:
            self._create_notice(name, started_before, is_leaving=True)
        elif before is not None and before["state"] != "in_service" and started_before == started:
            self._returned[name] = self._create_notice(name, started, is_leaving=False)
        if isinstance(address, str):
            self._take_address(address, name, started)

    def _take_address(self, address: str, name: str, started: float) -> None:
        """Note that a server is at an address: one that was there before and is not listed has left."""
        last = self._last_at_address.pop(address, None)
        if last is not None and last[0] != name and last[0] not in self._own_list:
            self._create_notice(*last, is_leaving=True)
        self._last_at_address[address] = name, started

    def _create_notice(self, name: str, started: float, is_leaving: bool) -> Notice:
        known = [notices[name] for notices in (self._stored, self._unsent) if name in notices]
        newest = max(known, key=lambda notice: notice.order, default=None)
        turn = 1
        if newest is not None and newest.started_ms == started:
            # a notice that says the same exists already
            turn = newest.turn if newest.is_leaving == is_leaving else newest.turn + 1
        notice = Notice(name, started, is_leaving, turn)
        if is_leaving if newest is None else notice.order > newest.order:
            self._unsent[name] = notice
        return notice

    def _effective_entry(self, entry: ListEntry) -> ListEntry:
        """Return an entry as this process acts on it."""
        notice, returned = self._stored.get(entry["id"]), self._returned.get(entry["id"])
        state, started = entry.get("state", "in_service"), entry.get("started_ms", 0)
        if notice is None or not notice.is_leaving or state != "in_service" or notice.started_ms < started:
            return entry
        if returned is not None and returned.order >= notice.order:
            return entry
        return entry | {"state": "terminating"}

    def _prune(self) -> None:
        """Forget servers that are neither listed nor noticed, so that memory stays bounded."""
        while len(self._last_at_address) > MAX_REMEMBERED_ADDRESSES:
            del self._last_at_address[next(iter(self._last_at_address))]
        for notices in (self._stored, self._returned):
            unneeded = [
                name for name in notices if name not in self._own_list and name not in self._stored_since
            ]
            for name in unneeded:
                del notices[name]
