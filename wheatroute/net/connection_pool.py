"""Connections to servers: opened, kept while idle, reused and closed, within a limit of descriptors.

Does I/O. A connection is either idle, and then in the pool, or in use, and then in one `ConnectionHolder`.
It sends and reads no messages.
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

# of the time after which servers close idle connections, so that none is used as its server closes it
MAX_IDLE_RATIO = 0.9
REUSE_DELAY_S = 0.02  # before a connection is reused while servers send surplus responses
SWEEPS_PER_IDLE_TIME = 30.0
MAX_SWEEP_INTERVAL_S = 1.0
_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK)


class ConnectFailedError(Exception):
    """No connection to a server could be had; `reason` is NO_CAPACITY where this node was the cause."""

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class ConnectionHolder:
    """The connection of an attempt or probe while it is in use, and why it is closed unless released."""

    __slots__ = ("connection", "close_reason")

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.close_reason = CloseReason.RESET

    @property
    def is_written(self) -> bool:
        """Whether a message was completely written on the connection."""
        return self.connection is not None and self.connection.is_written


class ConnectionPool:
    """The connections to all servers.

    `max_connections` bounds them all, `max_response_bytes` a response on one of them.
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
        self._idle: dict[int, list[tuple[float, Connection]]] = {}  # by server, since when, latest at the end
        self._idle_suspect_until = -inf
        self._surplus_until = -inf
        self._open = 0
        self.update_settings(settings)

    def update_settings(self, settings: DecisionSettings) -> None:
        """Puts other settings in force."""
        self.connect_timeout_s: float = settings.connect_timeout_s or inf
        self._idle_timeout_s: float = settings.idle_timeout_s  # after which servers close idle connections

    @property
    def open(self) -> int:
        """The number of open connections."""
        return self._open

    @property
    def sweep_interval_s(self) -> float:
        """The time between two calls of `close_expired`."""
        return min(MAX_SWEEP_INTERVAL_S, self._idle_timeout_s / SWEEPS_PER_IDLE_TIME)

    # what was observed on connections

    def suspect_idle(self) -> None:
        """Notes that a connection was reset that had been idle: others may be dead too (`acquire_new`)."""
        self._idle_suspect_until = now() + self._idle_timeout_s

    def is_idle_suspected(self) -> bool:
        """Whether a connection that had been idle was reset of late."""
        return now() < self._idle_suspect_until

    def suspect_surplus_input(self) -> None:
        """Notes that bytes came which answer no request, or are no response: more of them may follow.

        Until that is unlikely, connections are reused after a delay (`REUSE_DELAY_S`).
        """
        self._surplus_until = now() + self._idle_timeout_s

    # acquiring and releasing

    async def acquire(self, server: int) -> Connection:
        """Returns the connection to a server that was used last, or a new one; raises ConnectFailedError.

        A surplus response may arrive some milliseconds after the first one. On a connection that is used
        again by then it would pass for the response to the next request, so while servers send such
        responses a connection waits for `REUSE_DELAY_S` before it is reused.
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
        """Returns a new connection instead of the one that is idle for longest, or an idle one if it fails.

        Servers and networks may drop idle connections without notice. What was written to such a connection
        may have run, so a request that is not idempotent would be lost; others are retried and use idle
        connections.
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
        """Takes a connection back if it can carry another message, else sets the reason to close it."""
        connection = holder.connection
        if connection is None:
            return
        if connection.has_unparsed_input:
            # bytes that answer no request would pass for the response to the next one
            holder.close_reason = CloseReason.MALFORMED
            self.suspect_surplus_input()
        elif connection.peer != format_address(self._servers.address(server)):
            # the server got another address while the connection was in use
            holder.close_reason = CloseReason.CLOSED_BY_NODE
        elif not connection.message_count or connection.start_next_message():
            self._idle.setdefault(server, []).append((now(), connection))
            holder.connection = None
        else:
            holder.close_reason = CloseReason.CLOSE_REQUESTED

    def discard(self, connection: Connection | None, reason: CloseReason) -> None:
        """Closes a connection, if there is one."""
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

    # connecting

    async def _connect(self, server: int) -> Connection:
        if self._open >= self._max_connections and not self._close_longest_idle():
            raise ConnectFailedError(CloseReason.NO_CAPACITY)
        address, began_at = self._servers.address(server), time.monotonic()
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no descriptor left
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
        """Connects a socket; returns 0 or the error number, EINPROGRESS if the time was over."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code in _IN_PROGRESS:
            with trio.move_on_after(self.connect_timeout_s):
                await trio.lowlevel.wait_writable(sock)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return code

    # closing idle connections

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
        """Closes connections that are idle for nearly too long, or that their servers have closed."""
        expired_before = now() - MAX_IDLE_RATIO * self._idle_timeout_s
        for idle in self._idle.values():
            for entry in idle[:]:
                idle_since, connection = entry
                if idle_since <= expired_before or not connection.is_reusable():
                    idle.remove(entry)
                    self._discard_idle(connection, idle_since)

    def _discard_idle(self, connection: Connection, idle_since: float) -> None:
        """Closes one that is idle for too long, that its server has closed, or that has surplus input."""
        if not connection.is_reusable() and not connection.is_closed_by_peer():
            self.suspect_surplus_input()
        is_expired = now() - idle_since >= MAX_IDLE_RATIO * self._idle_timeout_s
        self.discard(connection, CloseReason.IDLE_TIMEOUT if is_expired else CloseReason.PEER_CLOSED)

    def _close_longest_idle(self) -> bool:
        """Closes the connection that is idle for longest, to any server; returns whether there was one."""
        idle = min((idle for idle in self._idle.values() if idle), key=lambda idle: idle[0][0], default=None)
        if idle is None:
            return False
        self.discard(idle.pop(0)[1], CloseReason.NO_CAPACITY)
        return True
