"""A gRPC client over HTTP/2 with minimal cost per call, comparable to a proxy's data plane.

Frames are encoded directly and header blocks are reused, so that benchmarks measure the processor and not its
client. It implements only the part of HTTP/2 (RFC 9113) that a well-behaved server requires, and must only
be used with our own servers; for all others use `wheatroute/grpc`.
"""

from __future__ import annotations

import socket
from typing import NamedTuple, Protocol

import trio
from hpack import Decoder, Encoder

from wheatroute.byte_stream import ByteStream
from wheatroute.grpc.messages import Assembler, Headers, frame_message

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
# Frame types.
DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY, WINDOW_UPDATE = 0, 1, 3, 4, 6, 7, 8
# Frame flags: ACK is a flag of SETTINGS and PING, END_STREAM of DATA and HEADERS, END_HEADERS of HEADERS.
END_STREAM, ACK, END_HEADERS = 1, 1, 4
FRAME_HEADER_BYTES = 9
INITIAL_WINDOW_BYTES = 65535
# When this many bytes have been read, the connection's window is enlarged by the number of bytes read.
WINDOW_UPDATE_BYTES = 1 << 14
CANCEL = 8  # error code of RST_STREAM
STATUS_RESET = -1  # in place of a gRPC status, for a call that was reset or whose connection ended
CONNECT_TIMEOUT_S = 5.0
FIRST_STREAM_IDS = 5  # header blocks of streams below this id are not reused


class CallListener(Protocol):
    """Handles the events of a call."""

    def on_message(self, message: bytes) -> None:
        """Handles a received message."""

    def on_end(self, status: int) -> None:
        """Handles the end of the call, with a gRPC status or `STATUS_RESET`."""


class _Call(NamedTuple):
    listener: CallListener
    assembler: Assembler


def encode_frame(frame_type: int, flags: int, stream_id: int, payload: bytes) -> bytes:
    """Returns an HTTP/2 frame (RFC 9113, section 4.1)."""
    return (
        len(payload).to_bytes(3, "big") + bytes((frame_type, flags)) + stream_id.to_bytes(4, "big") + payload
    )


class Http2Client:
    """Makes calls over one connection; all calls have the same request headers."""

    def __init__(self, address: tuple[str, int], headers: Headers) -> None:
        self.is_open = False
        self._address = address
        self._headers = headers
        self._header_block = b""
        self._encoder = Encoder()
        self._decoder = Decoder()
        self._next_stream_id = 1
        self._calls: dict[int, _Call] = {}  # open calls by stream id
        self._unacknowledged_bytes = 0  # data read since the last WINDOW_UPDATE
        self._window_bytes = INITIAL_WINDOW_BYTES  # the connection's window for data to the server
        self._stream: ByteStream

    async def connect(self) -> None:
        """Connects and sends the HTTP/2 preface; raises `OSError`."""
        self._stream = ByteStream(socket.create_connection(self._address, CONNECT_TIMEOUT_S))
        self._stream.write(PREFACE + encode_frame(SETTINGS, 0, 0, b""))
        self.is_open = True

    async def run(self) -> None:
        """Reads until the server closes the connection; then ends all calls."""
        buffer = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stream.pump)
            try:
                while data := await self._stream.read():
                    buffer = self._handle_frames(buffer + data)
            except OSError:
                pass
            self.is_open = False
            for call in list(self._calls.values()):
                call.listener.on_end(STATUS_RESET)
            self._calls.clear()
            nursery.cancel_scope.cancel()

    def _handle_frames(self, buffer: bytes) -> bytes:
        """Handles all complete frames; returns the remaining bytes."""
        start = 0
        while len(buffer) - start >= FRAME_HEADER_BYTES:
            payload_start = start + FRAME_HEADER_BYTES
            end = payload_start + int.from_bytes(buffer[start : start + 3], "big")
            if end > len(buffer):
                break
            frame_type, flags = buffer[start + 3], buffer[start + 4]
            stream_id = int.from_bytes(buffer[start + 5 : payload_start], "big")
            self._handle_frame(frame_type, flags, stream_id, buffer[payload_start:end])
            start = end
        return buffer[start:]

    def _handle_frame(self, frame_type: int, flags: int, stream_id: int, payload: bytes) -> None:
        if frame_type == DATA:
            self._handle_data(stream_id, payload, flags)
        elif frame_type == HEADERS:
            headers = dict(self._decoder.decode(payload, raw=True))
            if flags & END_STREAM:
                self._end_call(stream_id, int(headers.get(b"grpc-status", STATUS_RESET)))
        elif frame_type == RST_STREAM:
            self._end_call(stream_id, STATUS_RESET)
        elif frame_type == WINDOW_UPDATE:
            if not stream_id:
                self._window_bytes += int.from_bytes(payload, "big")
        elif frame_type in (SETTINGS, PING) and not flags & ACK:
            self._stream.write(encode_frame(frame_type, ACK, 0, payload if frame_type == PING else b""))
        elif frame_type == GOAWAY:
            self.is_open = False

    def _handle_data(self, stream_id: int, payload: bytes, flags: int) -> None:
        self._unacknowledged_bytes += len(payload)
        if self._unacknowledged_bytes >= WINDOW_UPDATE_BYTES:
            increment = self._unacknowledged_bytes.to_bytes(4, "big")
            self._stream.write(encode_frame(WINDOW_UPDATE, 0, 0, increment))
            self._unacknowledged_bytes = 0
        call = self._calls.get(stream_id)
        if call is not None:
            for message in call.assembler.feed(payload):
                call.listener.on_message(message)
        if flags & END_STREAM:
            self._end_call(stream_id, STATUS_RESET)

    def _end_call(self, stream_id: int, status: int) -> None:
        call = self._calls.pop(stream_id, None)
        if call is not None:
            call.listener.on_end(status)

    # Calls.

    def open_call(self, message: bytes, listener: CallListener) -> int:
        """Opens a call and sends its first message in the same write; returns the stream's id."""
        stream_id = self._next_stream_id
        self._next_stream_id += 2
        if stream_id < FIRST_STREAM_IDS:
            # The first header blocks fill the server's HPACK table; all later ones are identical.
            self._header_block = self._encoder.encode(self._headers)
        self._calls[stream_id] = _Call(listener, Assembler())
        data = frame_message(message)
        self._window_bytes -= len(data)
        self._stream.write(
            encode_frame(HEADERS, END_HEADERS, stream_id, self._header_block)
            + encode_frame(DATA, 0, stream_id, data)
        )
        return stream_id

    def send(self, stream_id: int, message: bytes) -> None:
        """Sends a message; raises `RuntimeError` if the server's flow-control window is exhausted."""
        data = frame_message(message)
        self._window_bytes -= len(data)
        if self._window_bytes < 0:
            raise RuntimeError("the server's flow-control window is exhausted")
        self._stream.write(encode_frame(DATA, 0, stream_id, data))

    def half_close(self, stream_id: int) -> None:
        """Ends the client's side of a call: no more messages are sent."""
        self._stream.write(encode_frame(DATA, END_STREAM, stream_id, b""))

    def cancel(self, stream_id: int) -> None:
        """Resets a call without notifying its listener."""
        if self._calls.pop(stream_id, None) is not None:
            self._stream.write(encode_frame(RST_STREAM, 0, stream_id, CANCEL.to_bytes(4, "big")))
