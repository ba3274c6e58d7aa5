"""Accepts clients' connections, reads their requests, and passes each to the forwarder.

Connections are accepted here; `wheatroute.edge.connection` reads and writes.
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
from wheatroute.edge.connection import OUT_OF_DESCRIPTORS, StreamConnection, set_socket_options
from wheatroute.edge.forwarding import Forwarder
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.request import ClientRequest
from wheatroute.net.connection import MalformedError

BODY_TIMEOUT_S = 20.0  # time for the body of a request, in addition to the timeout of its head
# Time that a client has to read an error response before its connection is closed; its input is discarded.
LINGER_TIMEOUT_S = 0.5
# While a request is being answered, at most about this many bytes of later requests are read.
MAX_PIPELINED_BYTES = 65536
ACCEPT_BACKOFF_S = 0.05  # pause in accepting while no file descriptors are left
ERRORS_BY_STATUS = {413: ErrorKind.BODY_TOO_LARGE, 431: ErrorKind.HEAD_TOO_LARGE}


class _Client:
    """One client's connection."""

    def __init__(self, connection: StreamConnection) -> None:
        self.connection = connection
        self.is_busy = False  # whether a request is being read or answered
        self.idle_scope = trio.CancelScope()  # scope of the wait for the next request
        self.request: ClientRequest | None = None  # the request that is being answered
        self.response: ClientResponse | None = None  # its response; otherwise the response before


class Clients:
    """Serves all client connections of this node."""

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

    # Accepting and closing connections

    async def run(self, listener: socket.socket) -> None:
        """Accepts and serves connections until `close_listener` is called."""
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
        """Closes the listener, so that no more connections are accepted."""
        listener, self._listener = self._listener, None
        if listener is not None:
            trio.lowlevel.notify_closing(listener)
            listener.close()

    def close_idle(self) -> None:
        """Closes the connections that have no request in progress."""
        for client in self._clients:
            if not client.is_busy:
                client.idle_scope.cancel()

    # Observing a shutdown

    def _log_late_request(self, client: _Client, request: ClientRequest) -> None:
        """Logs a request that was read after the listener was closed, and what preceded it."""
        shutdown = self._node.shutdown
        if not shutdown.is_draining:
            return
        previous = client.response
        extra: dict[str, object] = {
            "request": request.header(b"request-id"),
            "stopping_ms": shutdown.elapsed_ms(trio.current_time()),
            "first_byte_ms": shutdown.elapsed_ms(request.received_at),
            "answered": client.connection.message_count,
        }
        if previous is not None and previous.begun_at is not None:
            extra["previous_begun_ms"] = shutdown.elapsed_ms(previous.begun_at)
            extra["previous_announced_close"] = previous.is_closing
        self._log.info("request-while-draining", extra=extra)

    def log_unanswered(self) -> None:
        """Logs each request that the end of the process cuts off."""
        shutdown, now = self._node.shutdown, trio.current_time()
        for client in self._clients:
            request, response = client.request, client.response
            if request is None or response is None or response.is_complete:
                continue
            self._log.warning(
                "request-cut",
                extra={
                    "request": request.id.decode("latin-1"),
                    "route": request.route.name if request.route is not None else "",
                    "received_ms": shutdown.elapsed_ms(request.received_at),
                    "stopping_ms": shutdown.elapsed_ms(now),
                    "sends": request.sent_attempts,
                    "has_begun": response.has_begun,
                },
            )

    async def _serve(self, sock: socket.socket, peer: str) -> None:
        set_socket_options(sock)
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
            self._log.exception("unhandled-exception")
        finally:
            self._clients.discard(client)
            connection.close()

    # Reading and answering requests

    async def _serve_request(self, client: _Client) -> bool:
        """Reads and answers one request; returns False if the connection is to be closed."""
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
            await self._reject(
                client, RequestError(ErrorKind.REQUEST_TIMEOUT, "the request was not received in time")
            )
            return False
        if request is None:
            return False
        return await self._answer(client, request)

    async def _reject(self, client: _Client, error: RequestError) -> None:
        """Sends an error response to a malformed or incomplete request, and ends the connection.

        Further input is read and discarded, because closing a socket with unread bytes resets the connection,
        and the client could lose the response (RFC 9112, 9.6).
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
        """Returns the next complete request, None if the client was idle for too long or has disconnected.

        Raises MalformedError if the request is malformed, or trio.TooSlowError if it is not complete in time
        after its first byte.
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
        """Waits for the start of a request; returns False after the idle timeout or a disconnect."""
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
        """Reads until a request is complete; returns False if the client closes the connection before.

        Raises MalformedError, or trio.TooSlowError if the head is not complete at the deadline.
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
        """Handles a request while watching for a disconnect; returns whether the connection can be reused."""
        self._log_late_request(client, request)
        response = ClientResponse(client.connection, is_closing=self._node.is_stopping)
        client.request, client.response = request, response
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_disconnect, client, response, nursery.cancel_scope)
            with suppress(ClientDisconnectedError):
                await self._forwarder.handle(request, response)
            nursery.cancel_scope.cancel()
        client.request = None
        # A client that got no `Connection: close` may be about to send another request, so its connection
        # stays open until it is idle, even if this node is stopping (see `close_idle`).
        return response.is_complete and not response.is_closing

    @staticmethod
    async def _watch_disconnect(client: _Client, response: ClientResponse, scope: trio.CancelScope) -> None:
        """Cancels a request when its client disconnects.

        Once the client has pipelined `MAX_PIPELINED_BYTES`, a disconnect is no longer detected.
        """
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
