"""Tests of the attempt history: which attempts of a request id are allowed after earlier ones. No I/O."""

import pytest

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency
from wheatroute.balancing.settings import RequestClass
from wheatroute.processor.attempt_history import AttemptHistory, RejectedError, Rejection

REQUEST_CLASSES = [
    RequestClass(
        idempotency=idempotency, deduplication_group=DeduplicationGroup.ALL, retry_window=5.0, deadline=2.0
    )
    for idempotency in (Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NON_IDEMPOTENT)
]


def rejection_of(history, *attempt):
    with pytest.raises(RejectedError) as caught:
        history.begin_attempt(*attempt)
    return caught.value.rejection


def test_an_id_is_kept_as_long_as_another_attempt_can_arrive():
    history = AttemptHistory(REQUEST_CLASSES, 4.0, 100)
    attempt, _ = history.begin_attempt(b"a", 2, 0.0, 2.0, 1)
    history.record_decision(attempt, 3, 0.1)
    assert rejection_of(history, b"a", 2, 3.0, 2.0, 2) == Rejection.MAY_HAVE_RUN
    assert history.begin_attempt(b"b", 0, 4.1, 2.0, 1)[1] == () and len(history) == 1
    # An id with repeated attempts is kept, and no other.
    for n in range(500):
        try:
            attempt, earlier = history.begin_attempt(b"c", 0, 5.0 + n, 2.0, 1)
            history.record_decision(attempt, n, 5.0 + n)
            assert len(earlier) == n
        except RejectedError:
            raise AssertionError("an idempotent request may always have another attempt") from None
        if n > 3:
            break
    assert history.begin_attempt(b"a", 2, 60.0, 2.0, 1)[1] == () and len(history) == 1


def test_a_full_history_rejects_new_ids_and_keeps_the_others():
    history = AttemptHistory(REQUEST_CLASSES, 4.0, 2)
    for name in (b"a", b"b"):
        history.record_decision(history.begin_attempt(name, 2, 0.0, 2.0, 1)[0], 0, 0.0)
    assert rejection_of(history, b"c", 0, 0.1, 2.0, 1) == Rejection.HISTORY_FULL
    assert rejection_of(history, b"a", 2, 0.2, 2.0, 2) == Rejection.MAY_HAVE_RUN
    assert history.begin_attempt(b"c", 0, 4.5, 2.0, 1)


def test_earlier_attempts_are_returned_with_server_time_and_whether_they_may_have_run():
    history = AttemptHistory(REQUEST_CLASSES, 9.0, 9)
    first, _ = history.begin_attempt(b"a", 1, 0.0, 2.0, 1)
    history.record_decision(first, 3, 0.1)
    history.record_never_ran(first)
    second, earlier = history.begin_attempt(b"a", 1, 0.2, 1.8, 2)
    assert earlier == ((3, 0.1, False),)
    history.record_decision(second, 4, 0.3)
    assert history.begin_attempt(b"a", 1, 0.4, 1.6, 3)[1] == ((3, 0.1, False), (4, 0.3, True))
    # The third attempt has no decision yet.
    assert rejection_of(history, b"a", 1, 0.5, 1.5, 4) == Rejection.CONFLICT


def test_an_unrecorded_first_attempt_starts_the_retry_window_of_later_attempts():
    history = AttemptHistory(REQUEST_CLASSES, 9.0, 9)
    second, earlier = history.begin_attempt(b"a", 1, 10.0, 1.5, 2)
    assert earlier == ((-1, 9.5, True),)
    history.record_decision(second, 3, 10.1)
    assert history.begin_attempt(b"a", 1, 11.0, 0.5, 3)[1] == ((-1, 9.5, True), (3, 10.1, True))


def test_an_attempt_that_never_ran_does_not_restrict_later_ones():
    history = AttemptHistory(REQUEST_CLASSES, 9.0, 9)
    for n in range(5):
        attempt, earlier = history.begin_attempt(b"a", 2, n * 0.1, 2.0, n + 1 if n else 1)
        assert earlier == ()
        history.record_never_ran(attempt)
