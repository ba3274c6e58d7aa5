"""The state of one client's connection. No I/O of its own.

A client has one request open at a time. Each connection has a task that reads within `scope`; whoever wants
the task to look at the state again cancels that scope.
"""

from math import inf

import trio

from wheatroute.net.connection import Connection
from wheatroute.net.exchange import Exchange
from wheatroute.net.log import CloseReason

REQUEST_TIMEOUT_S = 2.0  # for a complete request; the protocol has clients wait 3 s for an error or a close


class ClientConnection:
    """One client's connection; it may have lain unaccepted for `lag_s`."""

    __slots__ = (
        "connection",
        "scope",
        "request_deadline",
        "exchange",
        "close_reason",
        "has_partial_request",
        "is_close_requested",
        "is_paused",
        "discarded_reads",
    )

    def __init__(self, connection: Connection, lag_s: float) -> None:
        self.connection = connection
        self.request_deadline = trio.current_time() + REQUEST_TIMEOUT_S - lag_s  # for the first request
        self.scope = trio.CancelScope(deadline=self.request_deadline)
        self.exchange: Exchange | None = None  # the open request
        self.close_reason: CloseReason | None = None  # set once no more requests are taken
        self.has_partial_request = False
        self.is_close_requested = False  # to be closed if nothing more has been received
        self.is_paused = False  # it pipelines so many requests that it is not read
        self.discarded_reads = 0  # since its last response

    def request_close(self) -> None:
        """Has the connection closed unless a request has been received by now."""
        self.is_close_requested = True
        self.scope.cancel()

    def end(self, reason: CloseReason) -> None:
        """Has the connection closed."""
        self.close_reason = reason
        self.scope.cancel()

    def begin_partial_request(self) -> None:
        """Sets the time for the rest of a request of which part came; a first one counts from the accept."""
        self.has_partial_request = True
        if self.connection.message_count:
            self.request_deadline = trio.current_time() + REQUEST_TIMEOUT_S
        self.scope.deadline = self.request_deadline

    def finish_request(self) -> None:
        """Ends the time for the rest of a request, which is complete."""
        self.has_partial_request = False
        self.scope.deadline = inf
