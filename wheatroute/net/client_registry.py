"""The open connections of clients, and their limit. No I/O besides cancelling tasks."""

import time

import trio

from wheatroute.net.client_connection import ClientConnection
from wheatroute.net.log import CloseReason
from wheatroute.net.shutdown import ShutdownState

RESERVED_RATIO = 0.1  # of the connections are for rejecting clients beyond the limit
MIN_RESERVED = 2
MIN_SILENT_S = 0.25  # a client that has just connected is not closed for others


class ClientRegistry:
    """Counts the open connections, and orders the idle ones by how long they are idle."""

    def __init__(self, max_connections: int, shutdown: ShutdownState) -> None:
        self.max_open = max_connections
        # the others are for clients that can only be rejected
        self.max_clients = max_connections - max(MIN_RESERVED, int(max_connections * RESERVED_RATIO))
        self.open = 0
        self._idle: dict[ClientConnection, None] = {}  # between two requests, idle for longest first
        self._shutdown = shutdown
        self._closed = trio.Event()

    @property
    def idle(self) -> list[ClientConnection]:
        """The idle clients."""
        return list(self._idle)

    @property
    def must_announce_close(self) -> bool:
        """Whether responses have to tell clients to close their connections."""
        return self._shutdown.is_stopping or self.open > self.max_clients

    def add(self, client: ClientConnection) -> None:
        """Adds a new connection, which is idle."""
        self.open += 1
        self._idle[client] = None

    def remove(self, client: ClientConnection) -> None:
        """Removes a connection that was closed."""
        self._idle.pop(client, None)
        self.open -= 1
        self._closed.set()

    def mark_idle(self, client: ClientConnection) -> None:
        """Notes that the client has no request open, as of now."""
        self._idle[client] = None

    def mark_busy(self, client: ClientConnection) -> None:
        """Notes that the client has begun a request, or is about to be closed."""
        self._idle.pop(client, None)

    def close_idle_client(self) -> None:
        """Closes a client that has connected and sent nothing, else the one that is idle for longest.

        Hundreds of silent clients would otherwise push out those that send requests. Clients that have just
        connected stay: a client that sees its connection closed before its request was read sends the
        request once more on a new connection, but not a third time.
        """
        longest_idle = None
        for client in self._idle:
            if client.connection.message_count:
                longest_idle = longest_idle or client
            elif (
                time.monotonic() - client.connection.opened_at > MIN_SILENT_S
                and not client.is_close_requested
            ):
                client.request_close()
                return
        if longest_idle is not None:
            longest_idle.request_close()

    async def wait_for_close(self, timeout_s: float) -> None:
        """Waits until a connection is closed, `timeout_s` at most."""
        with trio.move_on_after(timeout_s):
            self._closed = trio.Event()
            await self._closed.wait()

    def close_reason(self) -> CloseReason:
        """Returns why a connection without an open request is closed by the node."""
        if self._shutdown.is_stopping:
            return CloseReason.STOPPING
        if self.open >= self.max_clients:
            return CloseReason.NO_CAPACITY
        return CloseReason.CLOSE_REQUESTED
