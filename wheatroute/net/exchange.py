"""The exchange: one request of a client with its attempts and its final response.

The downstream side creates an exchange and writes its response; the upstream side completes it. Neither
holds a reference to the other. Invariant: an exchange accepts one final response, and none after its client
has disconnected. No I/O: nothing here sends, retries or waits.
"""

from collections.abc import Callable
from math import inf

import trio

REJECTED_STATUS = 503  # Service Unavailable: the request did not run and may safely be sent again
FAILED_STATUS = 502  # Bad Gateway: the request may have run


class Response:
    """The final response to a client: a server's response, a rejection or a failure.

    `retry_after_s` is the value of the Retry-After header; 0 omits the header.
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
    """Returns the cost that a work hint gives for a request; 0.0 if it is not a positive finite number."""
    try:
        work = float(text)
    except ValueError:
        return 0.0
    return work if 0.0 < work < inf else 0.0


class Attempt:
    """One attempt to have a request served by a server.

    `sent_at` is a time on the clock of `clock.now`. The cancel scope expires after `timeout_s`, and is
    cancelled when the attempt is withdrawn.
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
        # The server's generation when it was selected, see `ServerTable`.
        self.server_generation = 0
        # Whether the request was completely written and no response proves that it never ran.
        self.may_have_run = False


class Exchange:
    """One request of a client, its attempts and its final response."""

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
        self.number = -1  # set by `BalancerDriver.add_request`
        self.request_class = 0
        self.time_left_s = 0.0  # time to the deadline when the request was received
        self.tenant = -1  # -1 for an unknown tenant
        self.is_client_retry = False
        self.work_hint = 0.0  # expected cost, 0 if the client gave no hint
        self.deadline = 0.0  # time on the clock of `clock.now`
        self.is_complete = False  # whether it has its response, or its client has disconnected
        self.response: Response | None = None
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0  # attempts without an outcome
        # Both callbacks are set by the downstream side, which owns the client's connection.
        self.on_response: Callable[[], None] | None = None
        self.is_client_gone: Callable[[], bool] | None = None

    def complete(self, response: Response) -> bool:
        """Sets the final response unless the exchange is complete; returns whether it was set."""
        if self.is_complete:
            return False
        self.is_complete, self.response = True, response
        if self.on_response is not None:
            self.on_response()
        return True

    def abandon(self) -> bool:
        """Completes the exchange without a response, for a client that has disconnected.

        Returns whether the exchange was incomplete before.
        """
        was_open, self.is_complete = not self.is_complete, True
        return was_open
