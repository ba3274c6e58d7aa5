"""HTTP/2 as a proxy's data plane writes it: frames by hand, header blocks kept, next to no cost a call.

Owns one connection for the stand-in proxy, so that what is measured is the processor and not its client. It
knows as much of HTTP/2 as calls of a well-behaved server need; what it does not know ends the connection. It
must never be used where the other side is not ours: `wheatroute/grpc` is for that.
"""

from __future__ import annotations

import socket
from typing import Protocol

import trio
from hpack import Decoder, Encoder

from wheatroute.byte_stream import ByteStream
from wheatroute.grpc.messages import Assembler, Headers, frame_message

DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY, WINDOW_UPDATE = 0, 1, 3, 4, 6, 7, 8
END_STREAM, ACK, END_HEADERS = 1, 1, 4
REFRESH = 1 << 14  # bytes read after which the other side may send as many more


class Told(Protocol):
    """Who is told of what comes on a call."""

    def message(self, message: bytes) -> None:
        """A message came."""

    def over(self, status: int) -> None:
        """The call has ended, with -1 where it was reset."""


def frame(kind: int, flags: int, number: int, payload: bytes) -> bytes:
    """An HTTP/2 frame (RFC 9113, 4.1)."""
    return len(payload).to_bytes(3, "big") + bytes((kind, flags)) + number.to_bytes(4, "big") + payload


class Lean:
    """One connection; calls are told of messages and of their status, -1 where it was reset."""

    def __init__(self, place: tuple[str, int], head: Headers) -> None:
        self._place, self._head = place, head
        self._block = b""
        self._encoder, self._decoder = Encoder(), Decoder()
        self._next = 1
        self._calls: dict[int, tuple[Told, Assembler]] = {}
        self._read = 0
        self._window = 65535  # of the connection, towards the other side
        self.up = False
        self.stream: ByteStream

    async def connect(self) -> None:
        """Connects and sends the preface."""
        sock = socket.create_connection(self._place, 5)
        self.stream = ByteStream(sock)
        self.stream.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(SETTINGS, 0, 0, b""))
        self.up = True

    async def run(self) -> None:
        """Reads until the other side hangs up; all calls are told."""
        buffer = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.stream.pump)
            try:
                while data := await self.stream.read():
                    buffer = self._take(buffer + data)
            except OSError:
                pass
            self.up = False
            for told, _ in list(self._calls.values()):
                told.over(-1)
            self._calls.clear()
            nursery.cancel_scope.cancel()

    def _take(self, buffer: bytes) -> bytes:
        at = 0
        while len(buffer) - at >= 9:
            end = at + 9 + int.from_bytes(buffer[at : at + 3], "big")
            if end > len(buffer):
                break
            kind, flags = buffer[at + 3], buffer[at + 4]
            self._frame(kind, flags, int.from_bytes(buffer[at + 5 : at + 9], "big"), buffer[at + 9 : end])
            at = end
        return buffer[at:]

    def _frame(self, kind: int, flags: int, number: int, payload: bytes) -> None:
        if kind == DATA:
            self._data(number, payload, flags)
        elif kind == HEADERS:
            headers = dict(self._decoder.decode(payload, raw=True))
            if flags & END_STREAM:
                self._over(number, int(headers.get(b"grpc-status", b"-1")))
        elif kind == RST_STREAM:
            self._over(number, -1)
        elif kind == WINDOW_UPDATE:
            self._window += int.from_bytes(payload, "big") if not number else 0
        elif kind in (SETTINGS, PING) and not flags & ACK:
            self.stream.write(frame(kind, ACK, 0, payload if kind == PING else b""))
        elif kind == GOAWAY:
            self.up = False

    def _data(self, number: int, payload: bytes, flags: int) -> None:
        self._read += len(payload)
        if self._read >= REFRESH:
            self.stream.write(frame(WINDOW_UPDATE, 0, 0, self._read.to_bytes(4, "big")))
            self._read = 0
        call = self._calls.get(number)
        if call is not None:
            for message in call[1].feed(payload):
                call[0].message(message)
        if flags & END_STREAM:
            self._over(number, -1)

    def _over(self, number: int, status: int) -> None:
        call = self._calls.pop(number, None)
        if call is not None:
            call[0].over(status)

    # calls

    def open(self, message: bytes, told: Told) -> int:
        """Opens a call with its first message, in one write."""
        number, self._next = self._next, self._next + 2
        if number < 5:
            # the first blocks fill the other side's table, from then on each is the same
            self._block = self._encoder.encode(self._head)
        self._calls[number] = (told, Assembler())
        data = frame_message(message)
        self._window -= len(data)
        self.stream.write(frame(HEADERS, END_HEADERS, number, self._block) + frame(DATA, 0, number, data))
        return number

    def send(self, number: int, message: bytes) -> None:
        """Sends a message; raises `RuntimeError` where the peer's window is used up."""
        data = frame_message(message)
        self._window -= len(data)
        if self._window < 0:
            raise RuntimeError("the other side's window is used up")
        self.stream.write(frame(DATA, 0, number, data))

    def half_close(self, number: int) -> None:
        """Ends the request."""
        self.stream.write(frame(DATA, END_STREAM, number, b""))

    def cancel(self, number: int) -> None:
        """Resets the call."""
        if self._calls.pop(number, None) is not None:
            self.stream.write(frame(RST_STREAM, 0, number, (8).to_bytes(4, "big")))
