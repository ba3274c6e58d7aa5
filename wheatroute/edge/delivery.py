"""State of one request while it is dispatched to servers. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wheatroute.cluster.configuration import Route
from wheatroute.edge.attempt import MIN_SERVER_ERROR, SUCCEEDED, EdgeAttempt, EdgeAttemptOutcome
from wheatroute.edge.request import ClientRequest


@dataclass(frozen=True)
class FinishedAttempt:
    """An attempt and its outcome: it received a first event or a complete response, or it failed."""

    attempt: EdgeAttempt
    outcome: EdgeAttemptOutcome

    @property
    def has_succeeded(self) -> bool:
        """Whether there is a response to forward; the attempt counts in its server's load until released."""
        return self.outcome in SUCCEEDED

    @property
    def is_server_error(self) -> bool:
        """Whether a complete response reports a failure of the server (status 500 and above)."""
        return self.outcome == EdgeAttemptOutcome.ANSWERED and self.attempt.status >= MIN_SERVER_ERROR


@dataclass
class Delivery:
    """One dispatch of a request, which may take several attempts."""

    request: ClientRequest
    route: Route
    is_client_waiting: Callable[[], bool]  # whether the client still waits for the response
    last_event_id: bytes | None  # event after which a stream is resumed, None for a new request
    attempted_ids: set[str]  # ids of servers that got an attempt since the request last waited for a server

    @property
    def target_s(self) -> float:
        """Latency target of the route, in seconds."""
        return self.route.target_ms / 1000.0

    @property
    def has_retries_left(self) -> bool:
        """Whether the request, if it may have run, may be sent to one more server.

        `Route.retries` is the maximum number of servers that a request may be sent to, including the first:
        with 1 it is not sent again.
        """
        return self.route.idempotent and self.request.sent_attempts < self.route.retries

    @property
    def is_hedgeable(self) -> bool:
        """Whether the next attempt may be hedged: only the first one of a new request on a hedged route."""
        request = self.request
        if self.last_event_id is not None or request.sent_attempts or request.table is None:
            return False
        return request.table.may_hedge(self.route)
