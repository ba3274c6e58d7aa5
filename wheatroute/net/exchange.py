"""One request between its two sides, their only meeting place.

Owns what both sides know of a request: its message, its one final answer and its attempts. The client's side
makes it and writes its answer, the server's side settles it, neither holds a reference to the other. It must
never hold two answers, and never sends, retries or waits itself.
"""

from collections.abc import Callable
from math import inf

import trio


class Answer:
    """The final answer: served with a server's body, refused or failed."""

    __slots__ = ("status", "body", "kind", "stay_away")

    def __init__(self, status: int, body: bytes = b"", kind: bytes = b"", stay_away: float = 0.0) -> None:
        self.status, self.body, self.kind, self.stay_away = status, body, kind, stay_away


REFUSED, FAILED = 503, 502


def hinted(text: bytes | str) -> float:
    """A hint of a request's work; one that is no positive number is none."""
    try:
        work = float(text)
    except ValueError:
        return 0.0
    return work if 0.0 < work < inf else 0.0


class Attempt:
    """One attempt of a request: the scope it runs in, and whether it was called off."""

    __slots__ = ("server", "n", "scope", "withdrawn", "sent", "standing", "may_have_run")

    def __init__(self, server: int, n: int, sent: float, time_out: float) -> None:
        self.server, self.n, self.sent = server, n, sent
        self.scope = trio.CancelScope(deadline=trio.current_time() + time_out)
        self.withdrawn = False
        self.standing = 0  # how often the server's standing had changed when it was chosen
        self.may_have_run = False  # written whole, and no answer proves that it never ran


class Exchange:
    """One request."""

    __slots__ = (
        "number",
        "kind",
        "left",
        "tenant",
        "repeated",
        "work",
        "method",
        "target",
        "name",
        "key",
        "body",
        "deadline",
        "over",
        "answer",
        "attempts",
        "out",
        "when_settled",
        "has_left",
    )

    def __init__(self, method: bytes, target: bytes, name: bytes, key: bytes, body: bytes) -> None:
        self.method, self.target, self.name, self.key, self.body = method, target, name, key, body
        self.number = -1
        self.kind, self.left, self.tenant, self.repeated = 0, 0.0, -1, False
        self.work = 0.0  # hinted; 0 without a hint
        self.deadline = 0.0  # on the rounds' clock
        self.over = False
        self.answer: Answer | None = None
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts without an outcome
        self.when_settled: Callable[[], None] | None = None  # the client's side writes the answer
        self.has_left: Callable[[], bool] | None = None  # and knows whether the client is still there

    def settle(self, answer: Answer) -> bool:
        """Takes the final answer unless the request is over; tells whether it was taken."""
        if self.over:
            return False
        self.over, self.answer = True, answer
        if self.when_settled is not None:
            self.when_settled()
        return True

    def abandon(self) -> bool:
        """The client is gone: nothing more is owed; tells whether anything was."""
        owed, self.over = not self.over, True
        return owed
