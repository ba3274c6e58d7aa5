"""Rule two across the tries of a proxy, without I/O."""

import pytest

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency
from wheatroute.balancing.settings import RequestClass
from wheatroute.processor.accounts import Accounts, Refusal, RefusedError
from wheatroute.processor.service import WorkerSupervisor

KINDS = [
    RequestClass(
        idempotency=idempotency, deduplication_group=DeduplicationGroup.ALL, retry_window=5.0, deadline=2.0
    )
    for idempotency in (Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NON_IDEMPOTENT)
]


def refused(accounts, *what):
    with pytest.raises(RefusedError) as caught:
        accounts.take(*what)
    return caught.value.refusal


def test_an_id_is_remembered_for_as_long_as_a_further_try_can_come():
    accounts = Accounts(KINDS, 4.0, 100)
    one, _ = accounts.take(b"a", 2, 0.0, 2.0, 1)
    accounts.decided(one, 3, 0.1)
    assert refused(accounts, b"a", 2, 3.0, 2.0, 2) == Refusal.MAY_HAVE_RUN
    assert accounts.take(b"b", 0, 4.1, 2.0, 1)[1] == () and len(accounts) == 1
    for n in range(500):  # ids that are asked for again and again stay, and no other
        try:
            one, earlier = accounts.take(b"c", 0, 5.0 + n, 2.0, 1)
            accounts.decided(one, n, 5.0 + n)
            assert len(earlier) == n
        except RefusedError:
            raise AssertionError("a safe request may always have another try") from None
        if n > 3:
            break
    assert accounts.take(b"a", 2, 60.0, 2.0, 1)[1] == () and len(accounts) == 1


def test_a_full_memory_refuses_what_is_new_and_forgets_nothing():
    accounts = Accounts(KINDS, 4.0, 2)
    for name in (b"a", b"b"):
        accounts.decided(accounts.take(name, 2, 0.0, 2.0, 1)[0], 0, 0.0)
    assert refused(accounts, b"c", 0, 0.1, 2.0, 1) == Refusal.NO_ROOM
    assert refused(accounts, b"a", 2, 0.2, 2.0, 2) == Refusal.MAY_HAVE_RUN
    assert accounts.take(b"c", 0, 4.5, 2.0, 1)


def test_what_came_before_is_told_with_its_server_time_and_doubt():
    accounts = Accounts(KINDS, 9.0, 9)
    first, _ = accounts.take(b"a", 1, 0.0, 2.0, 1)
    accounts.decided(first, 3, 0.1)
    accounts.never_ran(first)
    second, earlier = accounts.take(b"a", 1, 0.2, 1.8, 2)
    assert earlier == ((3, 0.1, False),)
    accounts.decided(second, 4, 0.3)
    assert accounts.take(b"a", 1, 0.4, 1.6, 3)[1] == ((3, 0.1, False), (4, 0.3, True))
    assert refused(accounts, b"a", 1, 0.5, 1.5, 4) == Refusal.CONFLICT  # the third is not decided yet


def test_a_first_try_that_is_not_known_counts_for_the_window_of_all_that_follow():
    accounts = Accounts(KINDS, 9.0, 9)
    second, earlier = accounts.take(b"a", 1, 10.0, 1.5, 2)
    assert earlier == ((-1, 9.5, True),)
    accounts.decided(second, 3, 10.1)
    assert accounts.take(b"a", 1, 11.0, 0.5, 3)[1] == ((-1, 9.5, True), (3, 10.1, True))


def test_a_try_that_was_refused_counts_for_nothing():
    accounts = Accounts(KINDS, 9.0, 9)
    for n in range(5):
        one, earlier = accounts.take(b"a", 2, n * 0.1, 2.0, n + 1 if n else 1)
        assert earlier == ()
        accounts.never_ran(one)


def test_a_keeper_starts_a_crashed_worker_anew_and_stops_for_one_that_cannot_start():
    import structlog
    import trio

    class Child:
        pid = 0

        def __init__(self, status):
            self.status, self.signals = status, []

        def wait(self):
            return self.status

        def poll(self):
            return self.status

        def send_signal(self, number):
            self.signals.append(number)

    statuses = [-9, 1, 2]
    started = []

    def start(request, pass_fds):
        started.append((request, pass_fds))
        return Child(statuses[len(started) - 1])

    supervisor = WorkerSupervisor([["worker"]], (7,), structlog.get_logger(), start)
    trio.run(supervisor.run)
    assert started == [(["worker"], (7,))] * 3 and supervisor.status == 2
