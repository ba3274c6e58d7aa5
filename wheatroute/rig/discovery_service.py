"""The discovery service of one node of the rig: tells it the servers by HTTP, with long polls for changes."""

from __future__ import annotations

import json
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

import trio

from wheatroute.rig.http_connection import HttpConnection

FULL_LIST = -1  # the version after which a node asks that has no list yet


class _VersionedEntry(NamedTuple):
    """An entry of the list, and the version of the list since which it is so."""

    entry: dict[str, Any]
    since: int


class DiscoveryService:
    """A list of servers with its version, as it is told to one node."""

    def __init__(self) -> None:
        self._version = 1
        self._entries: dict[str, _VersionedEntry] = {}  # by server
        self._previous: dict[str, _VersionedEntry] = {}  # what each entry was before its last change
        self._changed = trio.Event()

    def entry(self, server: str) -> dict[str, Any]:
        """The entry of a server."""
        return self._entries[server].entry

    def update(self, entry: dict[str, Any]) -> None:
        """Sets an entry of the list; its `id` names the server."""
        server = entry["id"]
        self._previous[server] = self._entries.get(server, _VersionedEntry(entry, 0))
        self._version += 1
        self._entries[server] = _VersionedEntry(entry, self._version)
        self._notify()

    def roll_back(self, versions: int) -> None:
        """Returns to an older state, as a service that was restored from a backup.

        A node that has a newer version is told the full list.
        """
        self._version -= versions
        for server, current in list(self._entries.items()):
            if current.since > self._version:
                self._entries[server] = self._previous[server]
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one connection of a node: `?after=VERSION&wait_ms=…` waits so long for a newer version."""
        connection = HttpConnection(stream)
        while (request := await connection.read_message()) is not None:
            query = dict(parse_qsl(urlsplit(request.path).query))
            after = int(query.get("after", FULL_LIST))
            if after == self._version:
                with trio.move_on_after(int(query.get("wait_ms", "0")) / 1000):
                    await self._changed.wait()
            await connection.send_response(200, self._response(after))

    def _response(self, after: int) -> bytes:
        if after > self._version:
            after = FULL_LIST
        servers = [one.entry for one in self._entries.values() if one.since > after]
        return json.dumps({"version": self._version, "full": after < 0, "servers": servers}).encode()
