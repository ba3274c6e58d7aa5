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
READY = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nok\n"
NOT_READY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\nConnection: close\r\n\r\nno\n"


class ReadinessProbe:
    """Answers readiness probes, and counts those that fail because the node is stopping."""

    def __init__(self, node: EdgeNode) -> None:
        self._node = node
        self.failed_while_stopping = 0

    async def run(self, sock: socket.socket) -> None:
        """Answers probes on a listening socket until cancelled."""
        listener = trio.socket.from_stdlib_socket(sock)
        async with trio.open_nursery() as nursery:
            while True:
                with suppress(OSError):
                    connection, _ = await listener.accept()
                    nursery.start_soon(self._answer, connection)

    async def _answer(self, connection: trio.socket.SocketType) -> None:
        with connection, suppress(OSError), trio.move_on_after(READ_TIMEOUT_S):
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
