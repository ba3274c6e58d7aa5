"""The discovery service of one node of the rig: serves the list of servers by HTTP, with long polling."""

from __future__ import annotations

import json
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit

import trio

from wheatroute.rig.http_connection import HttpConnection

IN_SERVICE, TERMINATING = "in_service", "terminating"  # states of a server
NO_VERSION = -1  # the version that a node sends while it has no list


class ServerEntry(NamedTuple):
    """An entry of the list of servers; the fields are the keys of the service's JSON."""

    id: str
    addr: str
    zone: str
    cell: int
    kind: str = "toy"
    state: str = IN_SERVICE
    weight: float = 1.0
    started_ms: int = 0


class _VersionedEntry(NamedTuple):
    """An entry of the list, and the version of the list in which the entry changed last."""

    entry: ServerEntry
    since: int


class DiscoveryService:
    """A versioned list of servers, as it is served to one node."""

    def __init__(self) -> None:
        self._version = 1
        self._entries: dict[str, _VersionedEntry] = {}  # by server
        self._previous: dict[str, _VersionedEntry] = {}  # by server: the entry before its last change
        self._changed = trio.Event()

    def entry(self, server: str) -> ServerEntry:
        """Returns the entry of a server."""
        return self._entries[server].entry

    def update(self, entry: ServerEntry) -> None:
        """Sets the entry of a server, in a new version of the list."""
        server = entry.id
        self._previous[server] = self._entries.get(server, _VersionedEntry(entry, 0))
        self._version += 1
        self._entries[server] = _VersionedEntry(entry, self._version)
        self._notify()

    def roll_back(self, versions: int) -> None:
        """Goes back by a number of versions, like a service that was restored from a backup.

        A node that has a newer version then gets the full list.
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
        """Serves one connection of a node.

        A request with the query `after=VERSION&wait_ms=MS` waits up to MS milliseconds for a version other
        than VERSION.
        """
        connection = HttpConnection(stream)
        while (request := await connection.read_message()) is not None:
            query = dict(parse_qsl(urlsplit(request.path).query))
            after = int(query.get("after", NO_VERSION))
            if after == self._version:
                with trio.move_on_after(int(query.get("wait_ms", "0")) / 1000):
                    await self._changed.wait()
            await connection.send_response(200, self._response(after))

    def _response(self, after: int) -> bytes:
        if after > self._version:
            after = NO_VERSION
        servers = [
            versioned.entry._asdict() for versioned in self._entries.values() if versioned.since > after
        ]
        return json.dumps({"version": self._version, "full": after < 0, "servers": servers}).encode()
