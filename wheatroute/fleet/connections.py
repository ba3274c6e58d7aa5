"""Connections of a node to servers, including the idle ones that are kept for reuse. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from wheatroute.fleet.engine import Engine
from wheatroute.fleet.servers import Server

# Fraction of the servers' idle timeout after which an idle connection is no longer reused.
IDLE_TIMEOUT_MARGIN = 0.9


class IdleConnection(NamedTuple):
    """An open connection without a request, idle since the time `idle_since`."""

    idle_since: float
    incarnation: int  # of the server when it was opened


class ConnectionPool:
    """Counts connections at the servers and keeps idle ones; reuses the most recently used one first."""

    def __init__(self, engine: Engine, servers: list[Server], idle_timeout_s: float) -> None:
        self._engine = engine
        self._servers = servers
        self._max_idle_s = IDLE_TIMEOUT_MARGIN * idle_timeout_s
        self._idle: dict[int, list[IdleConnection]] = {}  # by server number, the last used one last

    def take_idle(self, server: Server) -> bool:
        """Takes the latest usable idle connection; closes those it finds unusable; False if none is left."""
        idle = self._idle.get(server.number)
        while idle:
            connection = idle.pop()
            is_same_process = connection.incarnation == server.incarnation
            if is_same_process and self._engine.now - connection.idle_since < self._max_idle_s:
                return True
            self.close(server, connection.incarnation)
        return False

    def open(self, server: Server) -> None:
        """Opens a connection, which costs the server some work."""
        server.open_connections += 1
        server.add_background_work(server.tier.connection_work_s)

    def release(self, server: Server, incarnation: int) -> None:
        """Returns a connection to the pool after its request has ended."""
        connection = IdleConnection(self._engine.now, incarnation)
        self._idle.setdefault(server.number, []).append(connection)

    def close_idle(self, number: int) -> None:
        """Closes all idle connections to a server."""
        for connection in self._idle.pop(number, ()):
            self.close(self._servers[number], connection.incarnation)

    def close_all_idle(self) -> None:
        """Closes all idle connections."""
        for number in list(self._idle):
            self.close_idle(number)

    @staticmethod
    def close(server: Server, incarnation: int) -> None:
        """Closes one connection; a connection to an earlier process is already closed."""
        if incarnation == server.incarnation:
            server.open_connections -= 1
