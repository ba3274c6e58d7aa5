"""HTTP/1.1 on one connection, for the rig's own clients and servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

import trio

from wheatroute.rig.addresses import LOOPBACK, Address

MAX_HEAD_BYTES = 65536
RECEIVE_BYTES = 65536
LISTEN_BACKLOG = 512
# The peer closed the connection or sent invalid HTTP (ValueError: `Content-Length` is not a number).
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, ValueError)


class HttpMessage(NamedTuple):
    """A request or a response; header names are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path of a request, with its query."""
        return self.start_line.split(" ")[1]

    @property
    def status(self) -> int:
        """The HTTP status code of a response."""
        return int(self.start_line.split(" ")[1])


class HttpConnection:
    """Reads and writes messages on one connection; a body has a `Content-Length`, or is empty."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self._buffer = b""

    async def read_message(self) -> HttpMessage | None:
        """Returns the next message.

        Returns None if the stream ends, even within a message, or if the head of a message is too long.
        Raises one of `CONNECTION_ERRORS` if the connection breaks or the message is invalid.
        """
        while b"\r\n\r\n" not in self._buffer:
            if len(self._buffer) > MAX_HEAD_BYTES or not await self._read_more():
                return None
        head, self._buffer = self._buffer.split(b"\r\n\r\n", 1)
        start_line, *lines = head.decode("latin-1").split("\r\n")
        fields = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in fields}
        length = int(headers.get("content-length", "0"))
        while len(self._buffer) < length:
            if not await self._read_more():
                return None
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return HttpMessage(start_line, headers, body)

    async def _read_more(self) -> bool:
        data = await self.stream.receive_some(RECEIVE_BYTES)
        self._buffer += data
        return bool(data)

    async def send_response(self, status: int, body: bytes, **headers: str) -> None:
        """Sends a response; underscores in the names of headers become hyphens."""
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        await self.stream.send_all("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def listen(handler: Callable[[trio.SocketStream], Awaitable[None]], nursery: trio.Nursery) -> Address:
    """Serves connections on a port that the kernel chooses, until the nursery ends; returns the address."""
    listeners = await trio.open_tcp_listeners(0, host=LOOPBACK, backlog=LISTEN_BACKLOG)
    address: Address = listeners[0].socket.getsockname()

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            with suppress(*CONNECTION_ERRORS):
                await handler(stream)

    nursery.start_soon(lambda: trio.serve_listeners(serve, listeners, handler_nursery=nursery))
    return address
