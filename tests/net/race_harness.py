"""Servers, list services and clients around a node, with hooks at named steps by which tests force races.

Steps of a server: `accepted`, `head` (the head of a request was read), `read` (the whole request was read),
`half` (half of the response was written), `last` (the whole response was written) and `closing`. Steps of a
node in this process: a connection to a server is established and nothing was written (`HeldConnections`),
and any method that `hook` is given. Tests wait for the step itself; a timeout only turns a hang into a
failure.
"""

import os
import socket
import struct
import time
from contextlib import contextmanager, suppress
from unittest import mock

import trio
from node_harness import OK

from wheatroute.net.connection_pool import ConnectionPool

RST = struct.pack("ii", 1, 0)


class Server:
    """A server; `on` maps steps to async functions that are called with the stream.

    `responses` are sent in turn, the last one repeatedly; None sends nothing. `heads` has the heads of all
    requests, `requests` only the requests that were read completely.
    """

    def __init__(self, *responses, name="s", on=None, buffer=0):
        self.responses, self.name, self.on = list(responses or (OK,)), name, on or {}
        self.heads, self.requests, self.connection_count = [], [], 0
        self.listener = socket.socket()
        if buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    @property
    def ids(self):
        """The ids of all requests that were read completely."""
        return [header_value(request, b"request-id") for request in self.requests]

    async def run(self):
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self.listener))
        await trio.serve_listeners(self._serve_connection, [listener])

    async def _step(self, name, stream):
        if name in self.on:
            await self.on[name](stream)

    async def _serve_connection(self, stream):
        self.connection_count += 1
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._step("accepted", stream)
            while (head := await read_until(stream, b"\r\n\r\n")) is not None:
                self.heads.append(head)
                await self._step("head", stream)
                length = int(header_value(head, b"content-length") or 0)
                head, _, body = head.partition(b"\r\n\r\n")
                while len(body) < length:
                    part = await stream.receive_some()
                    if not part:
                        return
                    body += part
                self.requests.append(head + b"\r\n\r\n" + body)
                await self._step("read", stream)
                response = self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
                if response is None:
                    continue
                half = len(response) // 2
                await stream.send_all(response[:half])
                await self._step("half", stream)
                await stream.send_all(response[half:])
                await self._step("last", stream)
            await self._step("closing", stream)


class ListService:
    """A list service: `answer(request_line)` returns the response, None to send nothing, or RST."""

    def __init__(self, answer, on=None):
        self.answer, self.on, self.requests, self.connection_count = answer, on or {}, [], 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def run(self):
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self.listener))
        await trio.serve_listeners(self._serve_connection, [listener])

    async def _serve_connection(self, stream):
        self.connection_count += 1
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while (head := await read_until(stream, b"\r\n\r\n")) is not None:
                self.requests.append(head.split(b"\r\n", 1)[0])
                answer = self.answer(self.requests[-1])
                if hasattr(answer, "__await__"):
                    answer = await answer
                if answer is RST:
                    reset(stream.socket)
                    return
                if answer is None:
                    await trio.sleep_forever()
                await stream.send_all(answer)
                if "last" in self.on:
                    await self.on["last"](stream)


class Client:
    """A client on a blocking socket: what a call does has reached the kernel when the call returns."""

    def __init__(self, port, linger=None):
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, message):
        self.sock.sendall(message)
        return self

    def leave(self):
        self.sock.close()

    def reset(self):
        reset(self.sock)

    def read_all(self):
        """Reads until the connection ends; blocks meanwhile."""
        self.sock.setblocking(True)
        data = b""
        while part := self.sock.recv(65536):
            data += part
        return data

    async def response(self):
        """Reads one complete message; returns (status, bytes), or None on a close or reset."""
        self.sock.setblocking(False)
        data = b""
        while True:
            head, found, body = data.partition(b"\r\n\r\n")
            if found and len(body) >= int(header_value(head, b"content-length") or 0):
                return int(head.split()[1]), data
            await trio.lowlevel.wait_readable(self.sock)
            try:
                part = self.sock.recv(65536)
            except ConnectionError:
                return None
            if not part:
                return None
            data += part


def send_now(stream, data):
    """Writes to a stream without yielding: the data is in the peer's socket on return."""
    with socket.socket(fileno=os.dup(stream.socket.fileno())) as sock:
        sock.send(data)


def reset(sock):
    """Closes a socket so that its peer receives a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RST)
    sock.close()


def header_value(message, name):
    """Returns the value of a message's header; None if it has none. `name` is in lower case."""
    for line in message.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        found, _, value = line.partition(b":")
        if found.strip().lower() == name:
            return value.strip()
    return None


async def read_until(stream, mark):
    """Reads until the data contains `mark` and returns all of it; None if the stream ends before."""
    data = b""
    while mark not in data:
        part = await stream.receive_some()
        if not part:
            return None
        data += part
    return data


async def wait_until(condition):
    """Waits until `condition()` holds, at most ten seconds."""
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.001)


class HeldConnections:
    """Holds the first `max_held` connections to servers, once established, until `released` is set.

    If `blocked` is given, it is called instead and blocks the whole node meanwhile. `buffer` is the size of
    the connections' send buffers in bytes; 0 keeps the default.
    """

    def __init__(self, max_held=1, buffer=0, blocked=None):
        self.max_held, self.buffer, self.blocked = max_held, buffer, blocked
        self.peers, self.released = [], trio.Event()

    def __enter__(self):
        connect = ConnectionPool._connect

        async def connect_and_wait(pool, server):
            connection = await connect(pool, server)
            if self.buffer:
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.buffer)
            if len(self.peers) < self.max_held:
                self.peers.append(connection.peer)
                if self.blocked is not None:
                    self.blocked()
                else:
                    await self.released.wait()
            return connection

        self.patch = mock.patch.object(ConnectionPool, "_connect", connect_and_wait)
        self.patch.start()
        return self

    def __exit__(self, *error):
        self.patch.stop()


@contextmanager
def hook(owner, name, before=None, after=None):
    """Calls `before` or `after` with the arguments of each call of a method."""
    real = getattr(owner, name)

    def hooked(*fields, **named):
        if before is not None:
            before(*fields)
        result = real(*fields, **named)
        if after is not None:
            after(*fields)
        return result

    with mock.patch.object(owner, name, hooked):
        yield


class EventLoopStall(trio.abc.Instrument):
    """Blocks the event loop once, from when `when()` holds before a wait for sockets until `over()` holds."""

    def __init__(self, when, over):
        self.when, self.over, self.stalled = when, over, False

    def before_io_wait(self, timeout):
        if not self.stalled and self.when():
            self.stalled = True
            while not self.over():
                time.sleep(0.001)


def new_request(node, *fields, **named_fields):
    """Returns the text of a new request and its id."""
    text = node.request_text(*fields, **named_fields)
    return text, header_value(text, b"request-id")
