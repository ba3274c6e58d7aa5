"""GOAWAY frames of an HTTP/2 connection, which are read and written beside h2. No I/O.

h2 would end a connection at a GOAWAY, though calls that are open on it may go on (RFC 9113, 6.8).
"""

from __future__ import annotations

from collections.abc import Callable

from hyperframe.frame import GoAwayFrame

PREFACE_BYTES = len(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
GOAWAY_FRAME_TYPE = 7
FRAME_HEAD_BYTES = 9
MAX_GOAWAY_BYTES = 4096  # a GOAWAY may carry debug data
MAX_STREAM_ID = 2**31 - 1  # in a GOAWAY that only announces the next one


def goaway_frame(last_stream_id: int, code: int) -> bytes:
    """The frame that names the last stream that was processed, and an error code."""
    return GoAwayFrame(0, last_stream_id=last_stream_id, error_code=int(code)).serialize()


def last_stream_id(payload: bytes) -> int:
    """The highest stream that the sender of a GOAWAY has processed."""
    return int.from_bytes(payload[:4], "big") & MAX_STREAM_ID


class GoawayFilter:
    """Extracts GOAWAY frames from the bytes of a connection, which may be split anywhere."""

    def __init__(self, client_side: bool) -> None:
        self._partial = b""  # frame at the end of what came
        self._skip = 0 if client_side else PREFACE_BYTES

    def extract(self, data: bytes, notify: Callable[[bytes], None]) -> bytes:
        """All other bytes; `notify` gets the payload of each GOAWAY. Raises ValueError if one is too long."""
        data = self._partial + data if self._partial else data
        at, start, pieces = 0, 0, []
        while True:
            step = min(self._skip, len(data) - at)
            at, self._skip = at + step, self._skip - step
            if self._skip or len(data) - at < FRAME_HEAD_BYTES:
                break
            length = int.from_bytes(data[at : at + 3], "big")
            if data[at + 3] != GOAWAY_FRAME_TYPE:
                self._skip = FRAME_HEAD_BYTES + length
                continue
            if length > MAX_GOAWAY_BYTES:
                raise ValueError(f"a GOAWAY of {length} bytes")
            end = at + FRAME_HEAD_BYTES + length
            if end > len(data):
                break
            pieces.append(data[start:at])
            notify(data[at + FRAME_HEAD_BYTES : end])
            at = start = end
        self._partial = data[at:]
        return b"".join([*pieces, data[start:at]]) if pieces else data[start:at]
