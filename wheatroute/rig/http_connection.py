"""HTTP/1.1 on one connection, as the rig's own clients and servers read and write it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

import trio

from wheatroute.rig.addresses import LOOPBACK, Address

MAX_HEAD_BYTES = 65536
RECEIVE_BYTES = 65536
LISTEN_BACKLOG = 512
# a peer that hangs up, or what is no HTTP (a header that is no number)
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, ValueError)


class HttpMessage(NamedTuple):
    """A request or a response; the names of headers are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path of a request, with its query."""
        return self.start_line.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split(" ")[1])


class HttpConnection:
    """Messages on one connection; bodies have a `Content-Length`, or are empty."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self._buffer = b""

    async def read_message(self) -> HttpMessage | None:
        """The next message; None at the end of the stream, even within one, or if a head is too long."""
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
        """Sends a response; an underscore in a header's name stands for a hyphen."""
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
