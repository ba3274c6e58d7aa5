"""The state of a client's connection that its reading task and the request handler share. No I/O.

A client has one request open at a time. Each connection has a task that reads within `scope`; cancelling the
scope makes the task check the state again.
"""

from math import inf

import trio

from wheatroute.net.connection import Connection
from wheatroute.net.exchange import Exchange
from wheatroute.net.log import CloseReason

# Time in which a client must send a complete request. It is below the 3 s for which, by the protocol, clients
# wait for an error response or a close.
REQUEST_TIMEOUT_S = 2.0


class ClientConnection:
    """Holds a connection, its open request, the deadline for receiving a request, and the reason to close it.

    `lag_s` is the longest time for which the connection may have been waiting to be accepted.
    """

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
        # Time on trio's clock by which a complete request must be received.
        self.request_deadline = trio.current_time() + REQUEST_TIMEOUT_S - lag_s
        self.scope = trio.CancelScope(deadline=self.request_deadline)
        self.exchange: Exchange | None = None  # exchange of the open request
        self.close_reason: CloseReason | None = None  # set once no more requests are handled
        self.has_partial_request = False
        self.is_close_requested = False  # whether to close it unless a request has arrived
        self.is_paused = False  # whether reading is paused because the client has pipelined too much
        self.discarded_reads = 0  # reads whose data was discarded after its last response

    def request_close(self) -> None:
        """Has the reading task close the connection unless a request has been received."""
        self.is_close_requested = True
        self.scope.cancel()

    def end(self, reason: CloseReason) -> None:
        """Has the reading task close the connection, with a reason for the log."""
        self.close_reason = reason
        self.scope.cancel()

    def begin_partial_request(self) -> None:
        """Starts the timeout for a partly received request; that of the first request began at the accept."""
        self.has_partial_request = True
        if self.connection.message_count:
            self.request_deadline = trio.current_time() + REQUEST_TIMEOUT_S
        self.scope.deadline = self.request_deadline

    def finish_request(self) -> None:
        """Stops the timeout, as the request was completely received."""
        self.has_partial_request = False
        self.scope.deadline = inf
