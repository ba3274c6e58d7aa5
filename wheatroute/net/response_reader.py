"""Reads servers' responses and determines their outcomes. Does I/O on the connections that it is given."""

from dataclasses import dataclass
from math import inf

import trio

from wheatroute.balancing.interface import AttemptOutcome
from wheatroute.net.connection import Connection, MalformedError
from wheatroute.net.load_reports import parse_load_report
from wheatroute.net.log import Logger
from wheatroute.net.server_table import ServerTable

# Longest time without new data in a response that has begun, as a multiple of the connect timeout.
MAX_STALL_CONNECT_TIMEOUTS = 2.0
MAX_LOGGED_CHARACTERS = 80


@dataclass(slots=True)
class ServerResponse:
    """A complete response of a server; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def outcome(self) -> AttemptOutcome:
        """The outcome of the attempt; only the header "Not-Started: 1" proves that it never ran."""
        if self.status == 200:
            return AttemptOutcome.SERVED
        if self.status in (503, 504) and self.headers.get(b"not-started", b"").strip() == b"1":
            return AttemptOutcome.FULL
        return AttemptOutcome.ERROR if self.status >= 500 else AttemptOutcome.UNKNOWN


async def read_response(connection: Connection, connect_timeout_s: float) -> ServerResponse:
    """Reads a complete response; raises MalformedError if it is truncated, malformed or stalled."""
    while not connection.parse():
        # Without this timeout, a response that stops halfway would block the attempt, as the server may keep
        # the connection open.
        stall_timeout_s = inf
        if connection.has_partial_message:
            stall_timeout_s = MAX_STALL_CONNECT_TIMEOUTS * connect_timeout_s
        with trio.move_on_after(stall_timeout_s) as limit:
            await connection.receive()
        if limit.cancelled_caught:
            raise MalformedError(0, "the response made no progress")
    headers = dict(connection.head.headers)
    if b"content-length" not in headers and b"transfer-encoding" not in headers:
        # Such a response ends with its connection (RFC 9112, 6.3), so a truncated one would look complete.
        raise MalformedError(0, "the response has neither Content-Length nor Transfer-Encoding")
    return ServerResponse(connection.head.status_code, headers, connection.body)


class LoadReportReader:
    """Parses load reports and logs only the first malformed one of each server.

    A log line for each malformed report would cost more than handling the responses.
    """

    def __init__(self, servers: ServerTable, log: Logger) -> None:
        self._servers, self._log = servers, log
        self._malformed: set[int] = set()  # servers whose first malformed report was logged

    def read(self, server: int, load: bytes | None) -> dict[str, float] | None:
        """Returns the metrics of a report; None if there is no report or part of it is malformed."""
        if not load:
            return None
        report, malformed = parse_load_report(load.decode("latin-1"))
        if malformed and server not in self._malformed:
            self._malformed.add(server)
            peer = "{}:{}".format(*self._servers.address(server))
            self._log.warning("report-skipped", peer=peer, part=malformed[:MAX_LOGGED_CHARACTERS])
        return None if malformed else report

    def forget(self, server: int) -> None:
        """Removes a server, so that another one can use its number."""
        self._malformed.discard(server)
