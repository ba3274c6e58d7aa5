"""Answers the platform's readiness probe, which asks whether this node should get new clients.

Does its own socket I/O. Each probe uses a separate connection.
"""

from __future__ import annotations

import socket
from contextlib import suppress

import trio

from wheatroute.edge.node import EdgeNode

READ_TIMEOUT_S = 2.0
MAX_PROBE_BYTES = 8192
MAX_PROBES = 16  # open connections
ACCEPT_BACKOFF_S = 0.05  # pause in accepting after an error
READY = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nok\n"
NOT_READY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\nConnection: close\r\n\r\nno\n"


class ReadinessProbe:
    """Answers readiness probes, and counts those that fail because the node is stopping."""

    def __init__(self, node: EdgeNode) -> None:
        self._node = node
        self.failed_while_stopping = 0
        self._probes: dict[trio.CancelScope, None] = {}  # open connections in the order in which they came

    async def run(self, sock: socket.socket) -> None:
        """Answers probes on a listening socket until cancelled."""
        listener = trio.socket.from_stdlib_socket(sock)
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    connection, _ = await listener.accept()
                except OSError:
                    await trio.sleep(ACCEPT_BACKOFF_S)
                    continue
                scope = trio.move_on_after(READ_TIMEOUT_S)
                self._probes[scope] = None
                nursery.start_soon(self._serve, connection, scope)
                await self._close_oldest()

    async def _close_oldest(self) -> None:
        """Closes the oldest connection if too many are open; a probe is answered long before its turn."""
        if len(self._probes) <= MAX_PROBES:
            return
        self._node.limit_log.record("probes")
        next(iter(self._probes)).cancel()
        while len(self._probes) > MAX_PROBES:
            await trio.lowlevel.checkpoint()

    async def _serve(self, connection: trio.socket.SocketType, scope: trio.CancelScope) -> None:
        try:
            await self._answer(connection, scope)
        finally:
            del self._probes[scope]

    async def _answer(self, connection: trio.socket.SocketType, scope: trio.CancelScope) -> None:
        with connection, suppress(OSError), scope:
            head = b""
            while b"\r\n\r\n" not in head:
                data = await connection.recv(1024)
                head += data
                if not data or len(head) > MAX_PROBE_BYTES:
                    return
            response = READY if self._node.is_ready else NOT_READY
            await trio.SocketStream(connection).send_all(response)
            if self._node.is_stopping:
                self.failed_while_stopping += 1
            connection.shutdown(socket.SHUT_WR)
            while await connection.recv(1024):
                pass
