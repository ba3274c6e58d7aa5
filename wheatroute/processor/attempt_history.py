"""Keeps the attempts of each request id and whether they may have run. No I/O.

A proxy that retries sends every attempt as a separate request with the same id. The history returns the
earlier attempts of an id. Invariants: an id is kept for as long as another attempt of it could arrive, and an
attempt that may have run is never treated as one that did not run. Servers are chosen elsewhere.
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
    """The state of an attempt."""

    UNDECIDED = 0
    # Includes attempts in flight.
    MAY_HAVE_RUN = 1
    NEVER_RAN = 2


class Rejection(IntEnum):
    """The reason why an attempt is rejected without a decision."""

    # The id is in use by a request of another class, or by an attempt that has no decision yet.
    CONFLICT = 0
    # An earlier attempt may have run, and the request must not run twice.
    MAY_HAVE_RUN = 1
    # The history is full, and none of its ids may be removed yet.
    HISTORY_FULL = 2


class RejectedError(Exception):
    """The attempt is rejected without a decision; `rejection` is the reason."""

    def __init__(self, rejection: Rejection) -> None:
        super().__init__(rejection.name)
        self.rejection = rejection


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt of a request: its server, the time of its decision (on `net.clock`) and its state."""

    server: int = UNKNOWN_SERVER
    decided_at: float = 0.0
    state: AttemptState = AttemptState.UNDECIDED


@dataclass(slots=True, eq=False)
class _RequestRecord:
    """All attempts of one request id."""

    request_class: int
    attempts: list[AttemptRecord]
    last_attempt_at: float
    # If the rules of the class have become looser since the first attempt, the strictest idempotency that it
    # had since then; if not, `IDEMPOTENT`, the least strict value.
    strictest: Idempotency = Idempotency.IDEMPOTENT


def retention_s(request_classes: Sequence[RequestClass]) -> float:
    """Returns how long an id is kept after its last attempt, in seconds.

    Another attempt may arrive until the deadline of the request, or the retry window of its key, has passed.
    """
    max_deadline_s = max(request_class.deadline for request_class in request_classes)
    return 2.0 * max_deadline_s + max(request_class.retry_window for request_class in request_classes)


class AttemptHistory:
    """The attempts of up to `max_ids` request ids, each kept for `retention_s` after its last attempt."""

    def __init__(self, request_classes: Sequence[RequestClass], retention_s: float, max_ids: int) -> None:
        self._request_classes = request_classes
        self._retention_s = retention_s
        self._max_ids = max_ids
        self._requests: dict[bytes, _RequestRecord] = {}
        # (time of an attempt, request id), oldest first; each id has one entry.
        self._attempt_times: deque[tuple[float, bytes]] = deque()

    def __len__(self) -> int:
        return len(self._requests)

    def update_settings(self, request_classes: Sequence[RequestClass], retention_s: float) -> None:
        """Applies new request classes; an id whose class was stricter before keeps the stricter rule."""
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
        """Adds an attempt and returns it with the earlier ones; raises `RejectedError`.

        `now` is a time of `net.clock`. `attempt_number` is the number that the proxy sent, 1 for a first
        attempt. If an earlier attempt may have run, non-idempotent requests are rejected, and so are
        keyed ones if that attempt is not recorded and a server might not recognise the repeat.
        """
        self._forget_expired(now)
        request = self._requests.get(request_id)
        if request is None:
            unrecorded_attempts = (
                self._unrecorded_attempts(request_class, now, time_left_s) if attempt_number > 1 else []
            )
            if len(self._requests) >= self._max_ids:
                raise RejectedError(Rejection.HISTORY_FULL)
            request = _RequestRecord(request_class, unrecorded_attempts, now)
            self._requests[request_id] = request
            self._attempt_times.append((now, request_id))
        earlier = self._earlier_attempts(request, request_class)
        attempt = AttemptRecord()
        request.attempts.append(attempt)
        request.last_attempt_at = now
        return attempt, earlier

    def record_decision(self, attempt: AttemptRecord, server: int, now: float) -> None:
        """Records the server of an attempt, which may have run unless `record_never_ran` is called later."""
        attempt.server = server
        attempt.decided_at = now
        attempt.state = AttemptState.MAY_HAVE_RUN

    def record_never_ran(self, attempt: AttemptRecord) -> None:
        """Records the proof that an attempt never ran."""
        attempt.state = AttemptState.NEVER_RAN

    def _earlier_attempts(self, request: _RequestRecord, request_class: int) -> tuple[EarlierAttempt, ...]:
        """Returns the earlier attempts that the decision must consider; raises `RejectedError`."""
        if request.request_class != request_class:
            raise RejectedError(Rejection.CONFLICT)
        if any(attempt.state == AttemptState.UNDECIDED for attempt in request.attempts):
            raise RejectedError(Rejection.CONFLICT)
        # Attempts that were rejected before a decision are left out: they were sent to no server.
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

    def _unrecorded_attempts(self, request_class: int, now: float, time_left_s: float) -> list[AttemptRecord]:
        """Returns a record for the first attempt of an unknown id whose attempt number is above 1.

        The history was lost in a restart of this process, and the first attempt may have run. Its server is
        unknown, so the request may be sent again only if every server would recognise the repeat, and only
        if the retry window is at least the deadline of the class, since the first attempt may be as old as
        that deadline. Raises `RejectedError` otherwise. Idempotent requests need no record.
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
        # The record is kept: otherwise the retry window would start at the second attempt.
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
            # The id had another attempt since its entry was added.
            attempt_times.append((last_attempt_at, request_id))
            if attempt_times[0][0] > attempt_times[-1][0]:
                break
