"""One request of a client, its attempts and its one final response: what both sides of the node share.

The downstream side creates an exchange and writes its response; the upstream side completes it. Neither
holds a reference to the other. Invariant: an exchange takes one final response, and none after its client
has gone. No I/O: nothing here sends, retries or waits.
"""

from collections.abc import Callable
from math import inf

import trio

REJECTED_STATUS = 503  # Service Unavailable: the request did not run, sending it again is harmless
FAILED_STATUS = 502  # Bad Gateway: the request may have run


class Response:
    """The final response: served with a server's body, rejected or failed.

    `retry_after_s` is for the Retry-After header; 0 sends none.
    """

    __slots__ = ("status", "body", "content_type", "retry_after_s")

    def __init__(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_s: float = 0.0
    ) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type
        self.retry_after_s = retry_after_s


def parse_work_hint(text: bytes | str) -> float:
    """Returns the hinted cost of a request, or 0.0 where the hint is no positive finite number."""
    try:
        work = float(text)
    except ValueError:
        return 0.0
    return work if 0.0 < work < inf else 0.0


class Attempt:
    """One sending of a request to a server.

    `sent_at` is on the clock of `clock.now`; the scope is cancelled after `timeout_s` or when it is
    withdrawn.
    """

    __slots__ = (
        "server",
        "number",
        "scope",
        "is_withdrawn",
        "sent_at",
        "server_generation",
        "may_have_run",
    )

    def __init__(self, server: int, number: int, sent_at: float, timeout_s: float) -> None:
        self.server = server
        self.number = number
        self.sent_at = sent_at
        self.scope = trio.CancelScope(deadline=trio.current_time() + timeout_s)
        self.is_withdrawn = False
        self.server_generation = 0  # of the server when it was selected, see `ServerTable`
        self.may_have_run = False  # completely written, and no response proves that it never ran


class Exchange:
    """One request, its attempts and its final response."""

    __slots__ = (
        "number",
        "request_class",
        "time_left_s",
        "tenant",
        "is_client_retry",
        "work_hint",
        "method",
        "target",
        "request_id",
        "idempotency_key",
        "body",
        "deadline",
        "is_complete",
        "response",
        "attempts",
        "attempts_in_flight",
        "on_response",
        "is_client_gone",
    )

    def __init__(
        self, method: bytes, target: bytes, request_id: bytes, idempotency_key: bytes, body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.request_id = request_id
        self.idempotency_key = idempotency_key
        self.body = body
        self.number = -1  # given by `BalancerDriver.add_request`
        self.request_class = 0
        self.time_left_s = 0.0  # when it was received
        self.tenant = -1
        self.is_client_retry = False
        self.work_hint = 0.0  # 0 without a hint
        self.deadline = 0.0  # on the clock of `clock.now`
        self.is_complete = False  # it has its response, or its client has gone
        self.response: Response | None = None
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0  # without an outcome
        self.on_response: Callable[[], None] | None = None  # set by the side that writes the response
        self.is_client_gone: Callable[[], bool] | None = None  # set by the side that knows the client

    def complete(self, response: Response) -> bool:
        """Takes the final response unless the exchange is complete; returns whether it was taken."""
        if self.is_complete:
            return False
        self.is_complete, self.response = True, response
        if self.on_response is not None:
            self.on_response()
        return True

    def abandon(self) -> bool:
        """Completes the exchange without a response, as its client has gone; returns whether it was open."""
        was_open, self.is_complete = not self.is_complete, True
        return was_open
