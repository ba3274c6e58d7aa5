"""Pools connections to servers: opens them, and keeps idle ones for later requests.

Invariant: `connection_count` counts each open connection, idle or in use, until this module closes it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import trio

from wheatroute.cluster.memory_budget import MemoryBudget, MemoryExceededError
from wheatroute.edge.connection import OUT_OF_DESCRIPTORS
from wheatroute.edge.instances import Server
from wheatroute.edge.server_connection import ServerConnection, connect

CONNECT_TIMEOUT_S = 0.4
IDLE_TIMEOUT_FRACTION = 0.9  # fraction of a server's idle timeout for which connections are reused
DEFAULT_IDLE_TIMEOUT_S = 60.0  # idle timeout assumed for servers that do not announce one
MIN_IDLE_TIMEOUT_S = 0.5  # a connection that its server closes after a shorter idle time counts as broken
# All edge nodes together, in equal parts, use at most this fraction of the connections that a server accepts.
CAPACITY_FRACTION = 0.9
MIN_CAPACITY = 2  # connections to each server that a node may always open
# Time in which a server may read the rest of a request that it answered early; then its connection is closed.
FINISH_TIMEOUT_S = 10.0
MAX_ANSWERED_IDS = 200  # number of ids that a connection remembers; it is closed if it needs more


class ConnectError(Exception):
    """No connection could be opened; `is_local` is True if the reason lies on this machine."""

    def __init__(self, detail: str, is_local: bool = False) -> None:
        super().__init__(detail)
        self.is_local = is_local


@dataclass(slots=True)
class IdleConnection:
    """A connection without a request, and the time from which it has been idle."""

    since: float
    connection: ServerConnection


class StreamConnectionPool:
    """Pools the connections of one node by server, and reuses the most recently used idle one first.

    If `max_connections` are open, counted over all servers, the one that has been idle for longest is closed
    before a new one is opened. If none is idle, no server has capacity.
    """

    def __init__(
        self, max_connections: int, memory: MemoryBudget, on_limit: Callable[[], None] = lambda: None
    ) -> None:
        self._max_connections = max_connections
        self._on_limit = on_limit
        self._memory = memory
        self._idle: dict[str, list[IdleConnection]] = {}  # keyed by server id, most recently used last
        self._idle_timeout_s: dict[str, float] = {}  # idle timeout of each service's servers
        self._services: dict[str, str] = {}  # service name of each server id
        self._counts: dict[str, int] = {}  # number of open connections of each server id
        self._open_count = 0  # their sum
        # connections that were released although their request was not written whole
        self._add_unfinished, self._unfinished = trio.open_memory_channel[tuple[Server, ServerConnection]](
            inf
        )

    async def run(self) -> None:
        """Writes what is left of requests whose connections were released; runs until cancelled."""
        async with trio.open_nursery() as nursery:
            async for server, connection in self._unfinished:
                nursery.start_soon(self._finish_request, server, connection)

    async def _finish_request(self, server: Server, connection: ServerConnection) -> None:
        reservation = self._memory.open()
        try:
            reservation.resize(connection.unsent_bytes)
            with trio.move_on_after(FINISH_TIMEOUT_S):
                await connection.finish_request()
        except MemoryExceededError:
            pass
        finally:
            reservation.close()
        if connection.unsent_bytes:
            self.discard(server, connection)
        else:
            self.release(server, connection)

    def has_capacity(self, server: Server, max_connections: int, edge_node_count: int) -> bool:
        """Returns whether another request may have a connection to a server.

        `max_connections` is the number of connections that each server of the service accepts from all nodes,
        0 for no limit.
        """
        if self._idle.get(server.id):
            return True
        if self._open_count >= self._max_connections and not any(self._idle.values()):
            self._on_limit()
            return False
        if max_connections <= 0:
            return True
        capacity = int(CAPACITY_FRACTION * max_connections / max(1, edge_node_count))
        return self.connection_count(server) < max(MIN_CAPACITY, capacity)

    def connection_count(self, server: Server) -> int:
        """Returns the number of open connections to a server, including idle ones."""
        return self._counts.get(server.id, 0)

    async def acquire(self, server: Server, request_id: bytes) -> ServerConnection:
        """Returns the most recently used idle connection, or a new one; raises ConnectError.

        Connections that have answered a request with this id before are skipped.
        """
        idle = self._idle.get(server.id, [])
        passed_over = [entry for entry in idle if entry.connection.has_answered(request_id)]
        idle[:] = [entry for entry in idle if not entry.connection.has_answered(request_id)]
        try:
            while idle:
                entry = idle.pop()
                if self._is_reusable(server.id, entry):
                    return entry.connection
                self.discard(server, entry.connection)
        finally:
            idle[:0] = passed_over
        return await self._connect(server)

    def _is_reusable(self, server_id: str, entry: IdleConnection) -> bool:
        """Returns whether an idle connection is open and not about to be closed by its server.

        If the server has closed the connection sooner than the known idle timeout of its service, the time
        for which the connection was idle becomes the new idle timeout.
        """
        service = self._services[server_id]
        idle_timeout_s = self._idle_timeout_s.get(service, DEFAULT_IDLE_TIMEOUT_S)
        age_s = trio.current_time() - entry.since
        if entry.connection.is_reusable():
            return age_s < IDLE_TIMEOUT_FRACTION * idle_timeout_s
        if MIN_IDLE_TIMEOUT_S < age_s < idle_timeout_s:
            self._idle_timeout_s[service] = age_s
        return False

    async def _connect(self, server: Server) -> ServerConnection:
        if self._open_count >= self._max_connections:
            self._close_longest_idle()
        self._open_count += 1
        self._counts[server.id] = self._counts.get(server.id, 0) + 1
        try:
            return await connect(server.address, CONNECT_TIMEOUT_S)
        except (OSError, trio.TooSlowError) as error:
            self._uncount(server.id)
            is_local = isinstance(error, OSError) and error.errno in OUT_OF_DESCRIPTORS
            raise ConnectError(str(error) or "connect timed out", is_local) from error
        except BaseException:
            self._uncount(server.id)
            raise

    def record_keep_alive(self, server: Server, header: bytes) -> None:
        """Takes the idle timeout of a server's service from a `Keep-Alive` header (`timeout=SECONDS`)."""
        for parameter in header.decode("latin-1").split(","):
            name, _, value = parameter.strip().partition("=")
            if name.strip().lower() == "timeout" and value.strip().isdigit():
                self._idle_timeout_s[server.instance.service] = float(value)

    def release(self, server: Server, connection: ServerConnection) -> None:
        """Returns a connection to the pool: it becomes idle if it can be reused, else it is closed.

        If its request was answered before it was written whole, the rest is written first: the server may
        read it later.
        """
        if connection.unsent_bytes:
            self._add_unfinished.send_nowait((server, connection))
            return
        has_surplus_bytes = bool(connection.http.trailing_data[0])
        if server.has_left or has_surplus_bytes or not connection.start_next_message():
            self.discard(server, connection)
            return
        if connection.answered_count > MAX_ANSWERED_IDS:
            self.discard(server, connection)
            return
        self._idle.setdefault(server.id, []).append(IdleConnection(trio.current_time(), connection))
        self._services[server.id] = server.instance.service

    def discard(self, server: Server, connection: ServerConnection) -> None:
        """Closes a connection that `acquire` has returned."""
        connection.close()
        self._uncount(server.id)

    def _uncount(self, server_id: str) -> None:
        self._open_count -= 1
        self._counts[server_id] -= 1
        if not self._counts[server_id]:
            del self._counts[server_id]

    def close_idle(self, server: Server) -> None:
        """Closes the idle connections to a server that has left."""
        for entry in self._idle.pop(server.id, []):
            self.discard(server, entry.connection)
        if server.id not in self._counts:
            self._services.pop(server.id, None)

    def close_expired(self) -> None:
        """Closes connections that were idle for too long or that their servers have closed."""
        for server_id, idle in list(self._idle.items()):
            for entry in idle[:]:
                if not self._is_reusable(server_id, entry):
                    idle.remove(entry)
                    entry.connection.close()
                    self._uncount(server_id)
            if not idle:
                del self._idle[server_id]

    def _close_longest_idle(self) -> None:
        """Closes the connection that has been idle for longest, among those of all servers."""
        oldest = [(idle[0].since, server_id) for server_id, idle in self._idle.items() if idle]
        if oldest:
            server_id = min(oldest)[1]
            self._idle[server_id].pop(0).connection.close()
            self._uncount(server_id)
