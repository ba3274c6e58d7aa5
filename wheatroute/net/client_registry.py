"""Registry of clients' open connections, with their limit. No I/O, but cancels tasks."""

import time

import trio

from wheatroute.net.client_connection import ClientConnection
from wheatroute.net.log import CloseReason
from wheatroute.net.shutdown import ShutdownState

RESERVED_RATIO = 0.1  # fraction of the connections reserved for clients that can only be rejected
MIN_RESERVED = 2
# Minimum age at which a connection without any request so far may be closed to make room for other clients.
MIN_SILENT_S = 0.25


class ClientRegistry:
    """Counts the open connections and keeps the idle ones ordered by idle time.

    `max_connections` includes the connections reserved for rejecting clients.
    """

    def __init__(self, max_connections: int, shutdown: ShutdownState) -> None:
        self.max_open = max_connections
        # Connections beyond this limit are reserved for clients that can only be rejected.
        self.max_clients = max_connections - max(MIN_RESERVED, int(max_connections * RESERVED_RATIO))
        self.open = 0
        # Connections without an open request, the longest idle one first.
        self._idle: dict[ClientConnection, None] = {}
        self._shutdown = shutdown
        self._closed = trio.Event()

    @property
    def idle(self) -> list[ClientConnection]:
        """The idle clients, the longest idle one first."""
        return list(self._idle)

    @property
    def must_announce_close(self) -> bool:
        """Whether responses have to tell clients to close their connections."""
        return self._shutdown.is_stopping or self.open > self.max_clients

    def add(self, client: ClientConnection) -> None:
        """Adds a new connection as idle."""
        self.open += 1
        self._idle[client] = None

    def remove(self, client: ClientConnection) -> None:
        """Removes a closed connection."""
        self._idle.pop(client, None)
        self.open -= 1
        self._closed.set()

    def mark_idle(self, client: ClientConnection) -> None:
        """Marks a client as idle from now on: it has no open request."""
        self._idle[client] = None

    def mark_busy(self, client: ClientConnection) -> None:
        """Marks a client as not idle: it has begun a request or is about to be closed."""
        self._idle.pop(client, None)

    def close_idle_client(self) -> None:
        """Closes a client that connected over `MIN_SILENT_S` ago and has sent nothing.

        If there is none, closes the longest idle one of the clients that have had a response. If silent
        clients were not closed first, hundreds of them would displace clients that send requests. Clients
        that have just connected are kept: a client whose connection is closed before its request was read
        sends the request once more on a new connection, but not a third time.
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
        """Waits until a connection is closed, at most `timeout_s`."""
        with trio.move_on_after(timeout_s):
            self._closed = trio.Event()
            await self._closed.wait()

    def close_reason(self) -> CloseReason:
        """Returns the reason to log when the node closes a connection without an open request."""
        if self._shutdown.is_stopping:
            return CloseReason.STOPPING
        if self.open >= self.max_clients:
            return CloseReason.NO_CAPACITY
        return CloseReason.CLOSE_REQUESTED
