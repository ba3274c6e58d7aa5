"""Accepts clients' connections, reads their requests, and passes each to the forwarder.

Connections are accepted here; `wheatroute.edge.client_session` reads requests and closes connections.
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
from wheatroute.edge.client_session import UNUSED_COST, ClientSession, RequestShedError
from wheatroute.edge.connection import OUT_OF_DESCRIPTORS, StreamConnection, set_socket_options
from wheatroute.edge.forwarding import Forwarder
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.request import ClientRequest
from wheatroute.net.connection import MalformedError

DISCONNECT_CHECK_INTERVAL_S = 0.05  # time between two checks for a disconnect once later requests wait unread
NEVER_CLOSED = (inf, inf)  # a closing cost above all others
ROOM_CHECK_INTERVAL_S = 0.02  # pause in accepting while no connection can be closed for a new one
ACCEPT_BACKOFF_S = 0.05  # pause in accepting while no file descriptors are left
REJECT_TIMEOUT_S = 0.5  # time for a client to accept an error response
ERRORS_BY_STATUS = {413: ErrorKind.BODY_TOO_LARGE, 431: ErrorKind.HEAD_TOO_LARGE}


class Clients:
    """Serves all client connections of this node."""

    def __init__(self, node: EdgeNode, forwarder: Forwarder, log: logging.Logger) -> None:
        self._node = node
        self._forwarder = forwarder
        self._log = log
        self._clients: dict[ClientSession, None] = {}  # in the order in which they connected
        self._closed = trio.Event()  # set when a connection is closed
        self._listener: socket.socket | None = None
        self._nursery: trio.Nursery

    @property
    def busy_count(self) -> int:
        """Number of clients with a request that is being read or answered."""
        return sum(1 for client in self._clients if client.is_busy)

    @property
    def open_count(self) -> int:
        """Number of clients whose connection is open."""
        return len(self._clients)

    # Accepting and closing connections

    async def run(self, listener: socket.socket) -> None:
        """Accepts and serves connections until `close_listener` is called."""
        async with trio.open_nursery() as self._nursery:
            self._listener = listener
            while self._listener is not None:
                try:
                    await trio.lowlevel.wait_readable(listener)
                    if self._is_full:
                        await self._make_room()
                    self._accept_waiting()
                except trio.ClosedResourceError:
                    return
                except OSError as error:
                    if error.errno in OUT_OF_DESCRIPTORS:
                        await trio.sleep(ACCEPT_BACKOFF_S)

    @property
    def _is_full(self) -> bool:
        return len(self._clients) >= self._node.connection_limits.clients

    async def _make_room(self) -> None:
        """Closes the connection that is the least loss, and waits until any is closed.

        A connection whose request is being answered is never closed for this; new ones then wait in the
        listener's backlog.
        """
        self._node.limit_log.record("connections")
        self._closed = trio.Event()
        if client := self._least_costly():
            client.close_early()
        with trio.move_on_after(ROOM_CHECK_INTERVAL_S):
            await self._closed.wait()

    def _least_costly(self) -> ClientSession | None:
        """Returns the client whose connection is the least loss, None if none may be closed.

        A crowd that only connects makes this the oldest one in most cases, without a look at the others.
        """
        least: ClientSession | None = None
        least_cost = NEVER_CLOSED
        for client in self._clients:
            cost = client.closing_cost
            if cost is not None and cost < least_cost:
                least, least_cost = client, cost
            if least_cost[0] == UNUSED_COST:
                break
        return least

    def _accept_waiting(self) -> None:
        """Accepts the connections that wait in the listener's backlog, as far as there is room for them."""
        while self._listener is not None and not self._is_full:
            try:
                sock, peer = self._listener.accept()
            except BlockingIOError:
                return
            sock.setblocking(False)
            set_socket_options(sock)
            connection = StreamConnection(sock, h11.SERVER, f"{peer[0]}:{peer[1]}")
            client = ClientSession(connection, self._node.memory)
            self._clients[client] = None
            self._nursery.start_soon(self._serve, client)

    def close_listener(self) -> None:
        """Closes the listener, so that no more connections are accepted."""
        with suppress(OSError):
            self._accept_waiting()
        listener, self._listener = self._listener, None
        if listener is not None:
            trio.lowlevel.notify_closing(listener)
            listener.close()

    def close_idle(self) -> None:
        """Closes the connections that have no request in progress."""
        for client in self._clients:
            if not client.is_busy:
                client.stop_waiting()

    async def _serve(self, client: ClientSession) -> None:
        try:
            while await self._serve_request(client) and client.start_next_request():
                pass
            if self._node.is_stopping and not client.has_cut_response:
                await client.linger()
        except (OSError, ClientDisconnectedError):
            pass
        except Exception:
            self._log.exception("unhandled-exception")
        finally:
            client.memory.close()
            client.connection.close()
            self._clients.pop(client, None)
            self._closed.set()

    # Reading and answering requests

    async def _serve_request(self, client: ClientSession) -> bool:
        """Reads and answers one request; returns False if the connection is to be closed."""
        result = await self._read_request(client)
        if isinstance(result, RequestError):
            # No frame or traceback refers to the request by now, so that its memory is free.
            await self._reject(client, result)
            return False
        if result is None:
            return False
        return await self._answer(client, result)

    async def _read_request(self, client: ClientSession) -> ClientRequest | RequestError | None:
        """Returns a request with its memory reserved, the error to reject it with, or None without one."""
        limits = self._node.table.limits
        client.connection.max_body_bytes = limits.max_body_bytes
        idle_timeout_s, head_timeout_s = limits.idle_timeout_ms / 1000, limits.header_timeout_ms / 1000
        try:
            with self._node.shutdown.time_limit() as shutdown:
                request = await client.read_request(idle_timeout_s, head_timeout_s)
        except MalformedError as error:
            if str(error) == "closed":
                return None
            kind = ERRORS_BY_STATUS.get(error.status, ErrorKind.BAD_REQUEST)
            return RequestError(kind, str(error))
        except trio.TooSlowError:
            return RequestError(ErrorKind.REQUEST_TIMEOUT, "the request was not received in time")
        except RequestShedError as error:
            return None if client.is_closing_early else RequestError(ErrorKind.OVERLOADED, str(error))
        if shutdown.cancelled_caught:
            return RequestError(ErrorKind.STOPPING, "this node ends") if client.is_busy else None
        if request is not None:
            try:
                client.reserve_answer(request)
            except RequestShedError as error:
                return RequestError(ErrorKind.OVERLOADED, str(error))
        return request

    async def _reject(self, client: ClientSession, error: RequestError) -> None:
        """Sends an error response to a malformed or incomplete request, and ends the connection."""
        connection = client.connection
        if connection.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        with client.drop_request():
            with trio.move_on_after(REJECT_TIMEOUT_S):
                await ClientResponse(connection, self._node.shutdown, is_last=True).send_error(b"", error)
            await client.drain_input()

    async def _answer(self, client: ClientSession, request: ClientRequest) -> bool:
        """Handles a request while watching for a disconnect; returns whether the connection can be reused."""
        self._log_late_request(client, request)
        response = ClientResponse(client.connection, self._node.shutdown)
        client.start_response(response)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_disconnect, client, response, nursery.cancel_scope)
            with suppress(ClientDisconnectedError):
                await self._forwarder.handle(request, response)
            nursery.cancel_scope.cancel()
        return response.is_complete and not response.is_last

    def _log_late_request(self, client: ClientSession, request: ClientRequest) -> None:
        """Logs a request that was read after the listener was closed, and what preceded it."""
        shutdown = self._node.shutdown
        if not shutdown.is_draining:
            return
        previous = client.last_response
        extra: dict[str, object] = {
            "request": request.header(b"request-id"),
            "stopping_ms": shutdown.elapsed_ms(trio.current_time()),
            "first_byte_ms": shutdown.elapsed_ms(request.received_at),
            "answered": client.connection.message_count,
        }
        if previous is not None and previous.begun_at is not None:
            extra["previous_begun_ms"] = shutdown.elapsed_ms(previous.begun_at)
            extra["previous_announced_close"] = previous.announced_close
        self._log.info("request-while-draining", extra=extra)

    @staticmethod
    async def _watch_disconnect(
        client: ClientSession, response: ClientResponse, scope: trio.CancelScope
    ) -> None:
        """Cancels a request when its client disconnects.

        A later request that arrives meanwhile is left unread: if the connection ends before its turn, the
        reset tells the client that it was not read.
        """
        connection = client.connection
        await trio.lowlevel.wait_readable(connection.sock)
        while not connection.is_closed_by_peer():
            await trio.sleep(DISCONNECT_CHECK_INTERVAL_S)
        response.is_client_disconnected = True
        scope.cancel()
