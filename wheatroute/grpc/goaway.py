"""GOAWAY frames of an HTTP/2 connection, which are read and written without h2. No I/O.

h2 would end the connection on a GOAWAY, although open calls may continue after it (RFC 9113, 6.8).
"""

from __future__ import annotations

from collections.abc import Callable

from hyperframe.frame import GoAwayFrame

PREFACE_BYTES = len(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
GOAWAY_FRAME_TYPE = 7
FRAME_HEADER_BYTES = 9
MAX_GOAWAY_BYTES = 4096  # payload; a GOAWAY may carry debug data
# The highest possible stream. A GOAWAY with it announces that the peer should open no more streams; a second
# GOAWAY then names the last stream that is processed.
MAX_STREAM_ID = 2**31 - 1


def goaway_frame(last_stream_id: int, code: int) -> bytes:
    """Returns a GOAWAY frame with the last stream that was processed and an HTTP/2 error code."""
    return GoAwayFrame(0, last_stream_id=last_stream_id, error_code=int(code)).serialize()


def last_stream_id(payload: bytes) -> int:
    """Returns the highest stream that the sender of a GOAWAY has processed or may yet process."""
    return int.from_bytes(payload[:4], "big") & MAX_STREAM_ID


class GoawayFilter:
    """Extracts GOAWAY frames from the bytes that a connection receives; a read may end inside a frame."""

    def __init__(self, client_side: bool) -> None:
        self._partial = b""  # incomplete frame at the end of the received bytes
        self._skip = 0 if client_side else PREFACE_BYTES  # bytes up to the next frame

    def extract(self, data: bytes, notify: Callable[[bytes], None]) -> bytes:
        """Returns `data` without GOAWAY frames, and calls `notify` with the payload of each of them.

        An incomplete frame is kept until the next call if it may be a GOAWAY.

        Raises `ValueError` for a GOAWAY that is too long.
        """
        data = self._partial + data if self._partial else data
        at, start, pieces = 0, 0, []
        while True:
            step = min(self._skip, len(data) - at)
            at, self._skip = at + step, self._skip - step
            if self._skip or len(data) - at < FRAME_HEADER_BYTES:
                break
            length = int.from_bytes(data[at : at + 3], "big")
            if data[at + 3] != GOAWAY_FRAME_TYPE:
                self._skip = FRAME_HEADER_BYTES + length
                continue
            if length > MAX_GOAWAY_BYTES:
                raise ValueError(f"GOAWAY frame of {length} bytes, at most {MAX_GOAWAY_BYTES} are accepted")
            end = at + FRAME_HEADER_BYTES + length
            if end > len(data):
                break
            pieces.append(data[start:at])
            notify(data[at + FRAME_HEADER_BYTES : end])
            at = start = end
        self._partial = data[at:]
        return b"".join([*pieces, data[start:at]]) if pieces else data[start:at]
