"""Records of a request on its way to a server. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wheatroute.cluster.configuration import Route
from wheatroute.edge.attempt import MIN_SERVER_ERROR, SUCCEEDED, Attempt, Outcome
from wheatroute.edge.request import ClientRequest


@dataclass(frozen=True)
class FinishedAttempt:
    """An attempt whose first event or complete response is here, or that failed before."""

    attempt: Attempt
    outcome: Outcome

    @property
    def has_succeeded(self) -> bool:
        """Whether there is a response to forward; the attempt counts in its server's load until released."""
        return self.outcome in SUCCEEDED

    @property
    def is_server_error(self) -> bool:
        """Whether a complete response is a server's own failure."""
        return self.outcome == Outcome.ANSWERED and self.attempt.status >= MIN_SERVER_ERROR


@dataclass
class Delivery:
    """One request on its way to a server."""

    request: ClientRequest
    route: Route
    is_wanted: Callable[[], bool]  # whether its client still waits
    last_event_id: bytes | None  # after which a stream is resumed
    attempted_ids: set[str]  # servers that have had an attempt since the last wait

    @property
    def target_s(self) -> float:
        """The route's latency target."""
        return self.route.target_ms / 1000.0

    @property
    def has_retries_left(self) -> bool:
        """Whether a request that may have run may be sent to one more server.

        `Route.retries` is the most servers that it may be sent to, the first included: with 1 it isn't sent
        again.
        """
        return self.route.idempotent and self.request.sent_attempts < self.route.retries

    @property
    def is_hedgeable(self) -> bool:
        """Whether a hedge may be sent beside the next attempt: only the first of a hedged route."""
        request = self.request
        if self.last_event_id is not None or request.sent_attempts or request.table is None:
            return False
        return request.table.may_hedge(self.route)
