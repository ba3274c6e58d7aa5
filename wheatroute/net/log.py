"""The node's log: logfmt lines on standard output, one for each closed connection and for each rare event.

No line is written per request, as a line costs as much as a request. Writing never blocks the node.
`docs/oncall.md` explains each event and reason. I/O: standard output.
"""

import os
import stat
import sys
import time
from enum import StrEnum
from typing import Protocol

from wheatroute.imports import without_package

with without_package("rich"):
    # structlog uses rich for tracebacks on terminals, at 3 MB and a seventh of a node's startup time.
    import structlog


class CloseReason(StrEnum):
    """Why a connection was closed; the values are written to the log."""

    PEER_CLOSED = "peer-closed"  # the peer closed it between requests
    CLOSE_REQUESTED = "close-requested"  # the peer sent "Connection: close" with its last message
    CLIENT_LEFT = "client-left"  # a client closed it with its request open
    MALFORMED = "malformed"  # what was received is not HTTP or breaks the protocol
    NO_REQUEST = "no-request"  # a client connected and sent nothing
    SLOW = "slow"  # a client sent part of a request and no more, or did not read its response in time
    RESET = "reset"  # a reset or another socket error
    CONNECTION_REFUSED = "connection-refused"  # a server refused the connection
    UNREACHABLE = "unreachable"  # a connection to a server was not established in time
    WITHDRAWN = "withdrawn"  # the attempt on it was withdrawn
    TIMED_OUT = "timed-out"  # the attempt on it exceeded its timeout
    IDLE_TIMEOUT = "idle-timeout"  # idle for nearly as long as its server keeps idle connections
    NO_CAPACITY = "no-capacity"  # closed or not opened, to stay within the limit of descriptors
    # The balancer or discovery had it closed, or a new connection replaced it (`ConnectionPool.acquire_new`).
    CLOSED_BY_NODE = "closed-by-node"
    STOPPING = "stopping"  # the node is stopping
    FAULT = "fault"  # an internal error of the node


class Logger(Protocol):
    """The logger interface that the node needs; fields are written as `name=value`."""

    def info(self, event: str, **fields: object) -> None:
        """Logs an event."""

    def warning(self, event: str, **fields: object) -> None:
        """Logs an event that an operator should look into."""

    def exception(self, event: str, **fields: object) -> None:
        """Logs the exception that is being handled."""


class LogWriter:
    """Writes lines to standard output; if that is a pipe, lines are dropped and counted while it is full.

    If writes waited for the pipe, a log reader that stalls would block the whole node.
    """

    def __init__(self) -> None:
        self._descriptor = sys.stdout.fileno()
        self._dropped = 0
        if stat.S_ISFIFO(os.fstat(self._descriptor).st_mode):
            os.set_blocking(self._descriptor, False)

    def msg(self, line: str) -> None:
        """Writes a line, with the number of lines dropped before it; called by structlog."""
        if self._dropped:
            line = f"{line} dropped_before={self._dropped}"
        try:
            os.write(self._descriptor, line.encode() + b"\n")
            self._dropped = 0
        except OSError:
            self._dropped += 1

    info = warning = error = exception = msg


def open_log(name: str) -> Logger:
    """Configures structlog and returns the logger; every line contains the node's name."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=LogWriter,
        cache_logger_on_first_use=True,
    )
    logger: Logger = structlog.get_logger().bind(node=name)
    return logger


def log_closed_connection(
    log: Logger, side: str, peer: str, reason: CloseReason, opened_at: float, messages: int
) -> None:
    """Logs that a connection was closed; `opened_at` is a time on the monotonic clock."""
    log.info(
        "connection-closed",
        side=side,
        peer=peer,
        reason=reason.value,
        seconds=round(time.monotonic() - opened_at, 3),
        messages=messages,
    )
