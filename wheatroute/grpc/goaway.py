"""GOAWAY frames of an HTTP/2 connection, which are read and written beside h2.

h2 would end a connection at a GOAWAY, though calls that are open on it may still go on (RFC 9113, 6.8).
"""

from __future__ import annotations

from collections.abc import Callable

from hyperframe.frame import GoAwayFrame

PREFACE = len(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
GOAWAY = 7
FRAME_HEAD = 9  # bytes
LONGEST_GOAWAY = 4096  # bytes; it may carry a text
EVERY = 2**31 - 1  # the highest stream there can be: a GOAWAY that only announces the next one


def goaway(last: int, code: int) -> bytes:
    """The frame that says which stream was the last one taken, and why no more are."""
    return GoAwayFrame(0, last_stream_id=last, error_code=int(code)).serialize()


def last_stream(payload: bytes) -> int:
    """The highest stream that the sender of a GOAWAY has taken."""
    return int.from_bytes(payload[:4], "big") & EVERY


class GoawayFilter:
    """Takes GOAWAY frames out of what the other side sends, in bursts that end anywhere."""

    def __init__(self, client_side: bool) -> None:
        self._partial = b""  # of a frame that is not whole
        self._skip = 0 if client_side else PREFACE

    def taken_out(self, data: bytes, told: Callable[[bytes], None]) -> bytes:
        """All other bytes; `told` gets the payload of each GOAWAY. Raises ValueError if one is too long."""
        data = self._partial + data if self._partial else data
        at, start, parts = 0, 0, []
        while True:
            step = min(self._skip, len(data) - at)
            at, self._skip = at + step, self._skip - step
            if self._skip or len(data) - at < FRAME_HEAD:
                break
            length = int.from_bytes(data[at : at + 3], "big")
            if data[at + 3] != GOAWAY:
                self._skip = FRAME_HEAD + length
                continue
            if length > LONGEST_GOAWAY:
                raise ValueError(f"a GOAWAY of {length} bytes")
            end = at + FRAME_HEAD + length
            if end > len(data):
                break
            parts.append(data[start:at])
            told(data[at + FRAME_HEAD : end])
            at = start = end
        self._partial = data[at:]
        return b"".join([*parts, data[start:at]]) if parts else data[start:at]
