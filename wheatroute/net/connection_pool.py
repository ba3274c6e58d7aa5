"""Pool of connections to servers: opens, reuses and closes them; limits how many are open.

Does I/O, but sends and reads no messages. A connection is either idle and in the pool, or in use and in
exactly one `ConnectionHolder`.
"""

import errno
import socket
import time
from math import inf

import h11
import trio

from wheatroute.balancing.settings import DecisionSettings
from wheatroute.net.addresses import format_address
from wheatroute.net.clock import now
from wheatroute.net.connection import Connection
from wheatroute.net.log import CloseReason, Logger, log_closed_connection
from wheatroute.net.server_table import ServerTable

# Fraction of the servers' idle timeout after which this node closes an idle connection, so that it is not
# reused at the moment when the server closes it.
MAX_IDLE_RATIO = 0.9
# Delay before a connection is reused while servers send surplus responses (see `ConnectionPool.acquire`).
REUSE_DELAY_S = 0.02
SWEEPS_PER_IDLE_TIMEOUT = 30.0
MAX_SWEEP_INTERVAL_S = 1.0
_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK)


class ConnectFailedError(Exception):
    """No connection to a server was available; `reason` is NO_CAPACITY if this node was the cause."""

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class ConnectionHolder:
    """Holds the connection of an attempt or probe while it is in use.

    `close_reason` is logged if the connection is closed instead of being released to the pool.
    """

    __slots__ = ("connection", "close_reason")

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.close_reason = CloseReason.RESET

    @property
    def is_written(self) -> bool:
        """Whether the last message was completely written to the connection."""
        return self.connection is not None and self.connection.is_written


class ConnectionPool:
    """Holds the idle connections to all servers and counts all open ones.

    `max_connections` limits the open connections to all servers together, `max_response_bytes` the size of a
    single response.
    """

    def __init__(
        self,
        settings: DecisionSettings,
        max_connections: int,
        max_response_bytes: int,
        servers: ServerTable,
        log: Logger,
    ) -> None:
        self._max_connections = max_connections
        self._max_response_bytes = max_response_bytes
        self._servers = servers
        self._log = log
        # By server: (time since when it has been idle, connection), the most recently used one last.
        self._idle: dict[int, list[tuple[float, Connection]]] = {}
        self._idle_suspect_until = -inf
        self._surplus_until = -inf
        self._open = 0
        self.update_settings(settings)

    def update_settings(self, settings: DecisionSettings) -> None:
        """Uses the connect timeout and idle timeout of these settings from now on."""
        self.connect_timeout_s: float = settings.connect_timeout_s or inf
        # Idle time in seconds after which servers close their connections.
        self._idle_timeout_s: float = settings.idle_timeout_s

    @property
    def open(self) -> int:
        """The number of open connections."""
        return self._open

    @property
    def sweep_interval_s(self) -> float:
        """The time between two calls of `close_expired`, in seconds."""
        return min(MAX_SWEEP_INTERVAL_S, self._idle_timeout_s / SWEEPS_PER_IDLE_TIMEOUT)

    # Faults observed on connections.

    def suspect_idle(self) -> None:
        """Records that a reused connection was reset: other idle ones may be dead too (see `acquire_new`)."""
        self._idle_suspect_until = now() + self._idle_timeout_s

    def is_idle_suspected(self) -> bool:
        """Returns whether a reused connection was reset within the last idle timeout."""
        return now() < self._idle_suspect_until

    def suspect_surplus_input(self) -> None:
        """Records that a server sent an unsolicited or malformed response: more of them may follow.

        For the length of one idle timeout, a connection that has become idle is reused only after
        `REUSE_DELAY_S`.
        """
        self._surplus_until = now() + self._idle_timeout_s

    # Acquiring and releasing connections.

    async def acquire(self, server: int) -> Connection:
        """Returns the most recently used idle connection, or a new one; raises ConnectFailedError.

        A server that sends a surplus response may do so some milliseconds after the proper one. If the
        connection were already in use again, the surplus response would be taken for the response to the next
        request. While servers send such responses, a connection is therefore reused only after
        `REUSE_DELAY_S`.
        """
        idle = self._idle.get(server, [])
        moment = now()
        for i in reversed(range(len(idle))):
            if moment < self._surplus_until and moment - idle[i][0] < REUSE_DELAY_S:
                continue
            idle_since, connection = idle.pop(i)
            if moment - idle_since < MAX_IDLE_RATIO * self._idle_timeout_s and connection.is_reusable():
                return connection
            self._discard_idle(connection, idle_since)
        return await self._connect(server)

    async def acquire_new(self, server: int) -> Connection:
        """Returns a new connection and closes the server's longest idle one; reuses one if connecting fails.

        It is for requests that cannot always be retried. Servers and networks may drop idle connections
        without notice. A request written to such a connection counts as one that may have run, so it could
        not be sent again. Idempotent requests are retried, and therefore use idle connections (`acquire`).
        """
        if not self._idle.get(server):
            return await self._connect(server)
        try:
            connection = await self._connect(server)
        except ConnectFailedError:
            return await self.acquire(server)
        if idle := self._idle.get(server):
            self.discard(idle.pop(0)[1], CloseReason.CLOSED_BY_NODE)
        return connection

    def release(self, server: int, holder: ConnectionHolder) -> None:
        """Returns a connection to the pool if it can carry another message.

        If it cannot, it stays in the holder, with the reason to close it.
        """
        connection = holder.connection
        if connection is None:
            return
        if connection.has_unparsed_input:
            # Unsolicited bytes would be taken for the response to the next request.
            holder.close_reason = CloseReason.MALFORMED
            self.suspect_surplus_input()
        elif connection.peer != format_address(self._servers.address(server)):
            # The server's address changed while the connection was in use.
            holder.close_reason = CloseReason.CLOSED_BY_NODE
        elif not connection.message_count or connection.start_next_message():
            self._idle.setdefault(server, []).append((now(), connection))
            holder.connection = None
        else:
            holder.close_reason = CloseReason.CLOSE_REQUESTED

    def discard(self, connection: Connection | None, reason: CloseReason) -> None:
        """Closes and logs a connection that is not in the pool; does nothing for None."""
        if connection is not None:
            self._open -= 1
            connection.close()
            log_closed_connection(
                self._log,
                "server",
                connection.peer,
                reason,
                connection.opened_at,
                connection.message_count,
            )

    # Opening connections.

    async def _connect(self, server: int) -> Connection:
        if self._open >= self._max_connections and not self._close_longest_idle():
            raise ConnectFailedError(CloseReason.NO_CAPACITY)
        address, began_at = self._servers.address(server), time.monotonic()
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # out of file descriptors
            raise ConnectFailedError(CloseReason.NO_CAPACITY) from error
        sock.setblocking(False)
        self._open += 1
        failure: CloseReason | None = CloseReason.UNREACHABLE
        try:
            code = await self._establish(sock, address)
            if code == 0:
                connection = Connection(sock, h11.CLIENT, format_address(address))
                connection.max_body_bytes = self._max_response_bytes
                failure = None
                return connection
            failure = (
                CloseReason.CONNECTION_REFUSED if code == errno.ECONNREFUSED else CloseReason.UNREACHABLE
            )
            raise ConnectFailedError(failure)
        except OSError as error:
            raise ConnectFailedError(CloseReason.UNREACHABLE) from error
        finally:
            if failure is not None:
                self._open -= 1
                sock.close()
                log_closed_connection(self._log, "server", format_address(address), failure, began_at, 0)

    async def _establish(self, sock: socket.socket, address: tuple[str, int]) -> int:
        """Connects a socket; returns 0 or an error number (after a timeout EINPROGRESS or EWOULDBLOCK)."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code in _IN_PROGRESS:
            with trio.move_on_after(self.connect_timeout_s):
                await trio.lowlevel.wait_writable(sock)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return code

    # Closing idle connections.

    def close_idle(self, server: int) -> None:
        """Closes the idle connections to a server."""
        for _, connection in self._idle.pop(server, []):
            self.discard(connection, CloseReason.CLOSED_BY_NODE)

    def close_all_idle(self) -> None:
        """Closes all idle connections as the node stops."""
        for idle in self._idle.values():
            for _, connection in idle:
                self.discard(connection, CloseReason.STOPPING)
        self._idle.clear()

    def close_expired(self) -> None:
        """Closes idle connections that are near the servers' idle timeout or can no longer be reused."""
        expired_before = now() - MAX_IDLE_RATIO * self._idle_timeout_s
        for idle in self._idle.values():
            for entry in idle[:]:
                idle_since, connection = entry
                if idle_since <= expired_before or not connection.is_reusable():
                    idle.remove(entry)
                    self._discard_idle(connection, idle_since)

    def _discard_idle(self, connection: Connection, idle_since: float) -> None:
        """Closes a connection that was idle for too long, was closed by its server or has surplus input."""
        if not connection.is_reusable() and not connection.is_closed_by_peer():
            self.suspect_surplus_input()
        is_expired = now() - idle_since >= MAX_IDLE_RATIO * self._idle_timeout_s
        self.discard(connection, CloseReason.IDLE_TIMEOUT if is_expired else CloseReason.PEER_CLOSED)

    def _close_longest_idle(self) -> bool:
        """Closes the longest idle connection of all servers; returns whether there was one."""
        idle = min((idle for idle in self._idle.values() if idle), key=lambda idle: idle[0][0], default=None)
        if idle is None:
            return False
        self.discard(idle.pop(0)[1], CloseReason.NO_CAPACITY)
        return True
