"""Connections to servers that are kept for the next request."""

from __future__ import annotations

import errno

import trio

from wheatroute.edge.connection import StreamConnection, connect
from wheatroute.edge.instances import Server

CONNECT_TIMEOUT = 0.4  # seconds
KEEP = 0.9  # of the time after which a server closes an idle connection
LONGEST_IDLE = 60.0  # seconds, where a server doesn't say how long it keeps one
SHORTEST_IDLE = 0.5  # a connection that ends sooner is taken for one that broke
ROOM_USED = 0.9  # of a service's connections, divided evenly among the nodes
SMALLEST_ROOM = 2
MOST_ANSWERED = 200  # ids that a connection remembers; one that would need more is closed
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)


class UnreachableError(Exception):
    """No connection could be had; `own` is set where the reason lies on this machine."""

    def __init__(self, detail: str, own: bool = False) -> None:
        super().__init__(detail)
        self.own = own


class ConnectionPool:
    """Idle connections by server, the one used last at the end; and how many are in use."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._idle: dict[str, list[tuple[float, StreamConnection]]] = {}
        self._idle_time: dict[str, float] = {}  # by service, in seconds
        self._services: dict[str, str] = {}  # by server
        self._open: dict[str, int] = {}
        self.opened = 0  # connections made so far

    def room(self, server: Server, max_connections: int, nodes: int) -> bool:
        """Whether another request may have a connection, as the service's servers take only so many."""
        if self._idle.get(server.id):
            return True
        if max_connections <= 0:
            return True
        most = max(SMALLEST_ROOM, int(ROOM_USED * max_connections / max(1, nodes)))
        return self.open_to(server) < most

    def open_to(self, server: Server) -> int:
        """Connections to a server, idle ones included."""
        return self._open.get(server.id, 0)

    async def take(self, server: Server, request_id: bytes) -> StreamConnection:
        """The connection that was used last, or a new one; raises UnreachableError.

        One that has answered a request of this id before is passed over.
        """
        kept = self._idle.get(server.id, [])
        answered = [entry for entry in kept if request_id in entry[1].answered]
        kept[:] = [entry for entry in kept if request_id not in entry[1].answered]
        try:
            while kept:
                since, line = kept.pop()
                if self._fresh(server.id, since, line):
                    return line
                self.drop(server, line)
        finally:
            kept[:0] = answered
        return await self._connect(server)

    def _fresh(self, identity: str, since: float, line: StreamConnection) -> bool:
        """Whether an idle connection can still be used; learns how long the servers of a service keep one."""
        service = self._services[identity]
        most = self._idle_time.get(service, LONGEST_IDLE)
        age = trio.current_time() - since
        if line.is_reusable():
            return age < KEEP * most
        if SHORTEST_IDLE < age < most:
            self._idle_time[service] = age
        return False

    async def _connect(self, server: Server) -> StreamConnection:
        if sum(self._open.values()) >= self._most:
            self._make_room()
        self._open[server.id] = self._open.get(server.id, 0) + 1
        try:
            line = await connect(server.place, CONNECT_TIMEOUT)
        except (OSError, trio.TooSlowError) as error:
            self._closed(server.id)
            own = isinstance(error, OSError) and error.errno in NO_DESCRIPTOR
            raise UnreachableError(str(error) or "timeout", own) from error
        except BaseException:
            self._closed(server.id)
            raise
        self.opened += 1
        return line

    def note_keep_alive(self, server: Server, header: bytes) -> None:
        """A server told how long it keeps an idle connection, in seconds."""
        for part in header.decode("latin-1").split(","):
            name, _, value = part.strip().partition("=")
            if name.strip().lower() == "timeout" and value.strip().isdigit():
                self._idle_time[server.instance.service] = float(value)

    def keep(self, server: Server, line: StreamConnection) -> None:
        """Takes a connection back if it can carry another request."""
        if server.left or line.http.trailing_data[0] or not line.start_next_message():
            self.drop(server, line)
            return
        if len(line.answered) > MOST_ANSWERED:
            self.drop(server, line)
            return
        self._idle.setdefault(server.id, []).append((trio.current_time(), line))
        self._services[server.id] = server.instance.service

    def drop(self, server: Server, line: StreamConnection) -> None:
        """Closes a connection."""
        line.close()
        self._closed(server.id)

    def _closed(self, identity: str) -> None:
        self._open[identity] -= 1
        if not self._open[identity]:
            del self._open[identity]

    def close_idle(self, server: Server) -> None:
        """A server has left: what is idle to it goes."""
        for _, line in self._idle.pop(server.id, []):
            self.drop(server, line)
        if server.id not in self._open:
            self._services.pop(server.id, None)

    def sweep(self) -> None:
        """Closes what is idle for too long, or was closed by its server."""
        for identity, kept in list(self._idle.items()):
            for entry in kept[:]:
                if not self._fresh(identity, *entry):
                    kept.remove(entry)
                    entry[1].close()
                    self._closed(identity)
            if not kept:
                del self._idle[identity]

    def _make_room(self) -> None:
        """Closes the connection that is idle for longest, of any server."""
        found = [(kept[0][0], identity) for identity, kept in self._idle.items() if kept]
        if found:
            identity = min(found)[1]
            self._idle[identity].pop(0)[1].close()
            self._closed(identity)

    def close_all(self) -> None:
        """The node stops."""
        for kept in self._idle.values():
            for _, line in kept:
                line.close()
        self._idle.clear()
