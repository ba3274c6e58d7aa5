"""The listener for clients, and their connections."""

from __future__ import annotations

import errno
import logging
import socket
from contextlib import suppress

import h11
import trio

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.edge.answers import ClientAnswer, ClientGoneError
from wheatroute.edge.connection import StreamConnection, tune
from wheatroute.edge.forwarding import Forwarder
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.request import ClientRequest
from wheatroute.net.connection import MalformedError

BODY_TIME = 20.0  # seconds for a body, on top of the head's
LINGER = 0.5  # seconds for a client to take its last answer in, while what it still sends is thrown away
AHEAD = 65536  # bytes that a client may send ahead of its answer
ACCEPT_PAUSE = 0.05
STATUS_KINDS = {413: ErrorKind.BODY_TOO_LARGE, 431: ErrorKind.HEAD_TOO_LARGE}
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)


class _Client:
    """One client's connection."""

    def __init__(self, line: StreamConnection) -> None:
        self.line = line
        self.busy = False
        self.scope = trio.CancelScope()  # of its wait for the next request


class Clients:
    """All clients of this node."""

    def __init__(self, node: EdgeNode, forwarder: Forwarder, log: logging.Logger) -> None:
        self._node = node
        self._forwarder = forwarder
        self._log = log
        self._clients: set[_Client] = set()
        self._listener: socket.socket | None = None

    @property
    def busy(self) -> int:
        """Clients whose request is under way."""
        return sum(1 for client in self._clients if client.busy)

    async def run(self, listener: socket.socket) -> None:
        """Accepts until `close_listener`."""
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
                        await trio.sleep(ACCEPT_PAUSE)
                    continue
                sock.setblocking(False)
                nursery.start_soon(self._serve, sock, f"{peer[0]}:{peer[1]}")

    def close_listener(self) -> None:
        """Takes no more connections."""
        listener, self._listener = self._listener, None
        if listener is not None:
            trio.lowlevel.notify_closing(listener)
            listener.close()

    def close_idle(self) -> None:
        """Ends the connections that have no request under way."""
        for client in self._clients:
            if not client.busy:
                client.scope.cancel()

    async def _serve(self, sock: socket.socket, peer: str) -> None:
        tune(sock)
        line = StreamConnection(sock, h11.SERVER, peer)
        client = _Client(line)
        self._clients.add(client)
        try:
            while await self._one(client) and line.start_next_message():
                client.busy = False
                client.scope = trio.CancelScope()
        except (OSError, ClientGoneError):
            pass
        except Exception:
            self._log.exception("fault")
        finally:
            self._clients.discard(client)
            line.close()

    async def _one(self, client: _Client) -> bool:
        """One request and its answer; false if the connection is to end."""
        line = client.line
        limits = self._node.table.limits
        line.max_body_bytes = limits.max_body_bytes
        try:
            request = await self._read(client, limits.idle_timeout_ms / 1000, limits.header_timeout_ms / 1000)
        except MalformedError as error:
            if error.args and error.args[0] == "closed":
                return False
            kind = STATUS_KINDS.get(error.status, ErrorKind.BAD_REQUEST)
            await self._refuse(client, RequestError(kind, str(error)))
            return False
        except trio.TooSlowError:
            await self._refuse(client, RequestError(ErrorKind.REQUEST_TIMEOUT, "the request came too slowly"))
            return False
        if request is None:
            return False
        return await self._answer(client, request)

    async def _refuse(self, client: _Client, error: RequestError) -> None:
        """An answer to what is no whole request; the connection ends with it."""
        line = client.line
        if line.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        with trio.move_on_after(LINGER):
            await ClientAnswer(line, closing=True).refuse(b"", error)
            with suppress(OSError):
                line.sock.shutdown(socket.SHUT_WR)
            line.discards_input = True
            while await line.receive():
                pass

    async def _read(self, client: _Client, idle: float, head_time: float) -> ClientRequest | None:
        """The next whole request; None if the client is silent for too long, or gone."""
        line = client.line
        with client.scope, trio.move_on_after(idle):
            while not line.has_partial_message:
                if line.parse():
                    break
                if not await line.receive():
                    return None
            else:
                client.busy = True
        if not line.has_partial_message and line.http.their_state is h11.IDLE:
            return None
        client.busy = True
        received = trio.current_time()
        interim = False
        with trio.fail_after(head_time + BODY_TIME):
            while not line.parse():
                if line.http.they_are_waiting_for_100_continue and not interim:
                    interim = True
                    await line.send_interim()
                if line.http.their_state is not h11.SEND_BODY and trio.current_time() > received + head_time:
                    raise trio.TooSlowError
                limit = received + head_time if line.http.their_state is h11.IDLE else float("inf")
                with trio.move_on_at(limit) as scope:
                    if not await line.receive():
                        return None
                if scope.cancelled_caught:
                    raise trio.TooSlowError
        head = line.head
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        return ClientRequest(bytes(head.method), bytes(head.target), headers, line.body, received)

    async def _answer(self, client: _Client, request: ClientRequest) -> bool:
        """Has the request carried, while the client is watched; true if the connection can go on."""
        answer = ClientAnswer(client.line, closing=self._node.stopping)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, client, answer, nursery.cancel_scope)
            with suppress(ClientGoneError):
                await self._forwarder.handle(request, answer)
            nursery.cancel_scope.cancel()
        # a client that wasn't told of the end may be about to send: its connection ends once it is idle
        return answer.whole and not answer.closing

    @staticmethod
    async def _watch(client: _Client, answer: ClientAnswer, scope: trio.CancelScope) -> None:
        """Notices a client that goes while its request is under way."""
        line = client.line
        try:
            while len(line.http.trailing_data[0]) < AHEAD:
                if not await line.receive():
                    break
            else:
                return
        except OSError:
            pass
        answer.gone = True
        scope.cancel()
