"""The attempts of each request id, and whether they may have run. No I/O.

A proxy that retries sends every attempt as a request of its own, under the same id. The history says which
attempts came before. Invariants: an id is kept for as long as a further attempt of it could still come, and
no attempt that may have run counts as one that never ran. Servers are chosen elsewhere.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from wheatroute.balancing.interface import DeduplicationGroup, EarlierAttempt, Idempotency
from wheatroute.balancing.settings import RequestClass

UNKNOWN_SERVER = -1


class AttemptState(IntEnum):
    """What became of an attempt."""

    UNDECIDED = 0
    MAY_HAVE_RUN = 1  # also while it is in flight
    NEVER_RAN = 2


class Rejection(IntEnum):
    """Why an attempt gets no server."""

    CONFLICT = 0  # its id belongs to another request, or to an attempt that is not decided yet
    MAY_HAVE_RUN = 1  # an earlier attempt may have run, and must not run again
    HISTORY_FULL = 2  # no further id can be kept, and none of those kept may be forgotten


class RejectedError(Exception):
    """An attempt gets no server."""

    def __init__(self, rejection: Rejection) -> None:
        super().__init__(rejection.name)
        self.rejection = rejection


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt of a request: where it was sent and when."""

    server: int = UNKNOWN_SERVER
    decided_at: float = 0.0
    state: AttemptState = AttemptState.UNDECIDED


@dataclass(slots=True, eq=False)
class _RequestRecord:
    """All attempts under one id."""

    request_class: int
    attempts: list[AttemptRecord]
    last_attempt_at: float
    # the strictest rules that its class has had since its first attempt, where they are looser by now
    strictest: Idempotency = Idempotency.IDEMPOTENT


def retention_s(request_classes: Sequence[RequestClass]) -> float:
    """Returns how long an id is kept, in seconds.

    It may come again for as long as its request, or the retry window of its key, lasts.
    """
    max_deadline_s = max(request_class.deadline for request_class in request_classes)
    return 2.0 * max_deadline_s + max(request_class.retry_window for request_class in request_classes)


class AttemptHistory:
    """The attempts of each id, kept for `retention_s` after the last one; of `max_ids` ids at most."""

    def __init__(self, request_classes: Sequence[RequestClass], retention_s: float, max_ids: int) -> None:
        self._request_classes = request_classes
        self._retention_s = retention_s
        self._max_ids = max_ids
        self._requests: dict[bytes, _RequestRecord] = {}
        self._attempt_times: deque[tuple[float, bytes]] = deque()  # the oldest first

    def __len__(self) -> int:
        return len(self._requests)

    def update_settings(self, request_classes: Sequence[RequestClass], retention_s: float) -> None:
        """Takes other rules; an id whose class had stricter ones keeps to them."""
        for request in self._requests.values():
            earlier_rules = self._request_classes[request.request_class].idempotency
            strictest = max(earlier_rules, request.strictest)
            if strictest > request_classes[request.request_class].idempotency:
                request.strictest = strictest
        self._request_classes = request_classes
        self._retention_s = max(self._retention_s, retention_s)

    def begin_attempt(
        self, request_id: bytes, request_class: int, now: float, time_left_s: float, attempt_number: int
    ) -> tuple[AttemptRecord, tuple[EarlierAttempt, ...]]:
        """Adds an attempt; returns it with those before it. Raises `RejectedError`.

        `attempt_number` is what the proxy says, 1 for a first attempt. Where an earlier attempt may have
        run, non-idempotent requests are rejected, and keyed ones whose group is not known any more.
        """
        self._forget_expired(now)
        request = self._requests.get(request_id)
        if request is None:
            lost_attempts = self._lost_attempts(request_class, now, time_left_s) if attempt_number > 1 else []
            if len(self._requests) >= self._max_ids:
                raise RejectedError(Rejection.HISTORY_FULL)
            request = _RequestRecord(request_class, lost_attempts, now)
            self._requests[request_id] = request
            self._attempt_times.append((now, request_id))
        earlier = self._earlier_attempts(request, request_class)
        attempt = AttemptRecord()
        request.attempts.append(attempt)
        request.last_attempt_at = now
        return attempt, earlier

    def record_decision(self, attempt: AttemptRecord, server: int, now: float) -> None:
        """Notes an attempt's server. From here on it may have run, until it is proven that it did not."""
        attempt.server = server
        attempt.decided_at = now
        attempt.state = AttemptState.MAY_HAVE_RUN

    def record_never_ran(self, attempt: AttemptRecord) -> None:
        """Notes that an attempt provably never ran."""
        attempt.state = AttemptState.NEVER_RAN

    def _earlier_attempts(self, request: _RequestRecord, request_class: int) -> tuple[EarlierAttempt, ...]:
        """Returns the attempts that count for the decision; raises `RejectedError`."""
        if request.request_class != request_class:
            raise RejectedError(Rejection.CONFLICT)
        if any(attempt.state == AttemptState.UNDECIDED for attempt in request.attempts):
            raise RejectedError(Rejection.CONFLICT)
        # an attempt that was rejected before a decision was sent nowhere
        earlier = tuple(
            (attempt.server, attempt.decided_at, attempt.state == AttemptState.MAY_HAVE_RUN)
            for attempt in request.attempts
            if attempt.server != UNKNOWN_SERVER or attempt.state == AttemptState.MAY_HAVE_RUN
        )
        idempotency = self._request_classes[request_class].idempotency
        is_repeat_forbidden = idempotency == Idempotency.NON_IDEMPOTENT or idempotency < request.strictest
        if is_repeat_forbidden and any(may_have_run for *_, may_have_run in earlier):
            raise RejectedError(Rejection.MAY_HAVE_RUN)
        return earlier

    def _lost_attempts(self, request_class: int, now: float, time_left_s: float) -> list[AttemptRecord]:
        """Returns what stands for the first attempt of an unknown id whose attempt is not its first.

        This process was restarted, and the first attempt may have run. Its server is not known, so only
        what any server would recognise may be sent again, and only if the retry window is as long as the
        deadline of this class: the first attempt cannot be older than that. Raises `RejectedError`.
        """
        rules = self._request_classes[request_class]
        if rules.idempotency == Idempotency.IDEMPOTENT:
            return []
        is_recognised_by_all = (
            rules.idempotency == Idempotency.KEYED and rules.deduplication_group == DeduplicationGroup.ALL
        )
        if not is_recognised_by_all or rules.retry_window < rules.deadline:
            raise RejectedError(Rejection.MAY_HAVE_RUN)
        elapsed_s = max(0.0, rules.deadline - time_left_s)
        # kept as well, or the window would count from the second attempt
        return [AttemptRecord(decided_at=now - elapsed_s, state=AttemptState.MAY_HAVE_RUN)]

    def _forget_expired(self, now: float) -> None:
        oldest_kept = now - self._retention_s
        attempt_times = self._attempt_times
        while attempt_times and attempt_times[0][0] <= oldest_kept:
            _, request_id = attempt_times.popleft()
            last_attempt_at = self._requests[request_id].last_attempt_at
            if last_attempt_at <= oldest_kept:
                del self._requests[request_id]
                continue
            attempt_times.append((last_attempt_at, request_id))  # there was another attempt since
            if attempt_times[0][0] > attempt_times[-1][0]:
                break
