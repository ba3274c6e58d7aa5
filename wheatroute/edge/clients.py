"""Accepts clients' connections, reads their requests, and has each answered.

Does the accepting itself; reading and writing is done by `wheatroute.edge.connection`.
"""

from __future__ import annotations

import logging
import socket
from contextlib import suppress
from math import inf

import h11
import trio

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.edge.client_response import ClientDisconnectedError, ClientResponse
from wheatroute.edge.connection import OUT_OF_DESCRIPTORS, StreamConnection, tune
from wheatroute.edge.forwarding import Forwarder
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.request import ClientRequest
from wheatroute.net.connection import MalformedError

BODY_TIMEOUT_S = 20.0  # for a body, on top of the head's
LINGER_TIMEOUT_S = 0.5  # for a client to read its last response, while what it still sends is discarded
MAX_PIPELINED_BYTES = 65536  # that a client may send before its response is complete
ACCEPT_BACKOFF_S = 0.05  # while this process has no descriptors left
ERRORS_BY_STATUS = {413: ErrorKind.BODY_TOO_LARGE, 431: ErrorKind.HEAD_TOO_LARGE}


class _Client:
    """One client's connection."""

    def __init__(self, connection: StreamConnection) -> None:
        self.connection = connection
        self.is_busy = False  # a request is being read or answered
        self.idle_scope = trio.CancelScope()  # of its wait for the next request


class Clients:
    """All clients of this node."""

    def __init__(self, node: EdgeNode, forwarder: Forwarder, log: logging.Logger) -> None:
        self._node = node
        self._forwarder = forwarder
        self._log = log
        self._clients: set[_Client] = set()
        self._listener: socket.socket | None = None

    @property
    def busy_count(self) -> int:
        """Number of clients with a request that is being read or answered."""
        return sum(1 for client in self._clients if client.is_busy)

    # connections

    async def run(self, listener: socket.socket) -> None:
        """Accept connections until `close_listener`."""
        self._listener = listener
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    sock, peer = listener.accept()
                except BlockingIOError:
                    try:
                        await trio.lowlevel.wait_readable(listener)
                    except trio.ClosedResourceError:
                        return
                    continue
                except OSError as error:
                    if listener.fileno() < 0:
                        return
                    if error.errno in OUT_OF_DESCRIPTORS:
                        await trio.sleep(ACCEPT_BACKOFF_S)
                    continue
                sock.setblocking(False)
                nursery.start_soon(self._serve, sock, f"{peer[0]}:{peer[1]}")

    def close_listener(self) -> None:
        """Accept no more connections."""
        listener, self._listener = self._listener, None
        if listener is not None:
            trio.lowlevel.notify_closing(listener)
            listener.close()

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for client in self._clients:
            if not client.is_busy:
                client.idle_scope.cancel()

    async def _serve(self, sock: socket.socket, peer: str) -> None:
        tune(sock)
        connection = StreamConnection(sock, h11.SERVER, peer)
        client = _Client(connection)
        self._clients.add(client)
        try:
            while await self._serve_request(client) and connection.start_next_message():
                client.is_busy = False
                client.idle_scope = trio.CancelScope()
        except (OSError, ClientDisconnectedError):
            pass
        except Exception:
            self._log.exception("fault")
        finally:
            self._clients.discard(client)
            connection.close()

    # requests

    async def _serve_request(self, client: _Client) -> bool:
        """Read and answer one request; return False if the connection is to end."""
        limits = self._node.table.limits
        client.connection.max_body_bytes = limits.max_body_bytes
        idle_timeout_s, head_timeout_s = limits.idle_timeout_ms / 1000, limits.header_timeout_ms / 1000
        try:
            request = await self._read_request(client, idle_timeout_s, head_timeout_s)
        except MalformedError as error:
            if str(error) == "closed":
                return False
            kind = ERRORS_BY_STATUS.get(error.status, ErrorKind.BAD_REQUEST)
            await self._reject(client, RequestError(kind, str(error)))
            return False
        except trio.TooSlowError:
            await self._reject(client, RequestError(ErrorKind.REQUEST_TIMEOUT, "the request came too slowly"))
            return False
        if request is None:
            return False
        return await self._answer(client, request)

    async def _reject(self, client: _Client, error: RequestError) -> None:
        """Answer what is not a complete request, and end the connection.

        What the client still sends is read and discarded: closing a socket with unread bytes resets the
        connection, by which the client could lose the response (RFC 9112, 9.6).
        """
        connection = client.connection
        if connection.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        with trio.move_on_after(LINGER_TIMEOUT_S):
            await ClientResponse(connection, is_closing=True).send_error(b"", error)
            with suppress(OSError):
                connection.sock.shutdown(socket.SHUT_WR)
            connection.discards_input = True
            while await connection.receive():
                pass

    async def _read_request(
        self, client: _Client, idle_timeout_s: float, head_timeout_s: float
    ) -> ClientRequest | None:
        """Return the next complete request; None if the client was idle for too long, or is gone.

        Raises MalformedError, and trio.TooSlowError if the request takes too long after its first byte.
        """
        if not await self._wait_for_first_byte(client, idle_timeout_s):
            return None
        client.is_busy = True
        received_at = trio.current_time()
        with trio.fail_after(head_timeout_s + BODY_TIMEOUT_S):
            if not await self._read_message(client.connection, received_at + head_timeout_s):
                return None
        connection = client.connection
        head = connection.head
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        return ClientRequest(bytes(head.method), bytes(head.target), headers, connection.body, received_at)

    @staticmethod
    async def _wait_for_first_byte(client: _Client, idle_timeout_s: float) -> bool:
        """Wait until part of a request is here; return False at the idle timeout or the connection's end."""
        connection = client.connection
        with client.idle_scope, trio.move_on_after(idle_timeout_s):
            while not connection.has_partial_message:
                if connection.parse():
                    break
                if not await connection.receive():
                    return False
            else:
                client.is_busy = True
        return connection.has_partial_message or connection.http.their_state is not h11.IDLE

    @staticmethod
    async def _read_message(connection: StreamConnection, head_deadline: float) -> bool:
        """Read until a request is complete; return False if the client has closed the connection before.

        Raises MalformedError, and trio.TooSlowError if its head isn't complete at the deadline.
        """
        has_sent_continue = False
        while not connection.parse():
            if connection.http.they_are_waiting_for_100_continue and not has_sent_continue:
                has_sent_continue = True
                await connection.send_interim()
            is_reading_body = connection.http.their_state is h11.SEND_BODY
            if not is_reading_body and trio.current_time() > head_deadline:
                raise trio.TooSlowError
            deadline = head_deadline if connection.http.their_state is h11.IDLE else inf
            with trio.move_on_at(deadline) as scope:
                if not await connection.receive():
                    return False
            if scope.cancelled_caught:
                raise trio.TooSlowError
        return True

    async def _answer(self, client: _Client, request: ClientRequest) -> bool:
        """Have a request answered, while its client is watched; return True if the connection can go on."""
        response = ClientResponse(client.connection, is_closing=self._node.is_stopping)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_disconnect, client, response, nursery.cancel_scope)
            with suppress(ClientDisconnectedError):
                await self._forwarder.handle(request, response)
            nursery.cancel_scope.cancel()
        # without `Connection: close` the client may be about to send: its connection ends once it is idle
        return response.is_complete and not response.is_closing

    @staticmethod
    async def _watch_disconnect(client: _Client, response: ClientResponse, scope: trio.CancelScope) -> None:
        """Cancel a request when its client disconnects."""
        connection = client.connection
        try:
            while len(connection.http.trailing_data[0]) < MAX_PIPELINED_BYTES:
                if not await connection.receive():
                    break
            else:
                return
        except OSError:
            pass
        response.is_client_disconnected = True
        scope.cancel()
