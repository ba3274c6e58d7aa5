"""The node's log: one line for each connection that ends, a code for its reason, and few other lines.

Owns the shape of the lines (logfmt on standard output) and the list of codes. It must never hold up the
node: no line for a request, none on the ordinary path. `docs/oncall.md` explains each code and line.
"""

import os
import stat
import sys
import time
from enum import StrEnum
from typing import Any

from wheatroute.imports import without

with without("rich"):
    # it makes tracebacks for terminals, at 3 MB and a seventh of a node's start
    import structlog


class Reason(StrEnum):
    """Why a connection ended."""

    CLOSED = "closed"  # the other side closed it between requests
    ASKED = "asked"  # the other side asked for it with its last message
    LEFT = "left"  # a client hung up with its request out
    MALFORMED = "malformed"  # what came is no HTTP or not what the protocol says
    SILENT = "silent"  # a client that came and asked nothing
    SLOW = "slow"  # part of a message and then silence
    BROKEN = "broken"  # a reset or another error of the socket
    REFUSED = "refused"  # a server refused the connection
    UNREACHED = "unreached"  # a connection to a server never came up
    WITHDRAWN = "withdrawn"  # the attempt on it was called off
    TIMED_OUT = "timed-out"  # the attempt on it ran out of time
    IDLE = "idle"  # idle for nearly as long as its server keeps it
    ROOM = "room"  # shut to stay inside the descriptors
    SHUT = "shut"  # the decisions, or a server's new address, asked for it
    STOPPING = "stopping"  # the node stops
    FAULT = "fault"  # a mistake of the node's own


class Lines:
    """Writes lines; where a pipe is full they are dropped and counted.

    Guards against a reader of the log that stands still, which would hold up the whole node.
    """

    def __init__(self) -> None:
        self._out = sys.stdout.fileno()
        self._dropped = 0
        if stat.S_ISFIFO(os.fstat(self._out).st_mode):
            os.set_blocking(self._out, False)

    def msg(self, line: str) -> None:
        if self._dropped:
            line = f"{line} dropped_before={self._dropped}"
        try:
            os.write(self._out, line.encode() + b"\n")
            self._dropped = 0
        except OSError:
            self._dropped += 1

    info = warning = error = exception = msg


def open_log(name: str) -> Any:
    """The node's logger; every line bears the node's name."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=Lines,
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(node=name)


def ended(log: Any, side: str, peer: str, reason: Reason, since: float, messages: int) -> None:
    """The one line of a connection: which side, with whom, why it ended, how long it was and carried what."""
    log.info(
        "connection",
        side=side,
        peer=peer,
        reason=reason.value,
        seconds=round(time.monotonic() - since, 3),
        messages=messages,
    )
