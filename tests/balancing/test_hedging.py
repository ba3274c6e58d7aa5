"""Tests of hedging: when a second attempt is sent while the first is in flight."""

from balancer_host import NON_IDEMPOTENT, BalancerHost, slow_at_times

from wheatroute.balancing.interface import AttemptOutcome


def test_a_late_request_of_the_most_valuable_idempotent_class_gets_one_hedge_and_the_loser_is_cancelled():
    host = BalancerHost(answer=slow_at_times).run(8.0, 40)
    hedged = [n for n, attempts in host.attempts.items() if len(attempts) > 1]
    assert len(hedged) > 5 and all(len(set(host.attempts[n])) == 2 for n in hedged)
    assert host.command_count("cancel") >= len(hedged) - 1
    other = BalancerHost(answer=slow_at_times).run(8.0, 40, request_class=NON_IDEMPOTENT)
    assert all(len(attempts) == 1 for attempts in other.attempts.values())


def test_no_hedges_are_sent_while_all_servers_are_slow():
    factor = [1.0]
    host = BalancerHost(answer=lambda s, r: (AttemptOutcome.SERVED, 0.1 * factor[0])).run(8.0, 40)
    factor[0], since = 3.0, host.now
    host.run(3.0, 40)
    hedges = sum(
        1
        for name, when, n, *_ in host.commands
        if name == "attempt" and when > since + 0.5 and len(host.attempts[n]) > 1
    )
    assert hedges <= 6


def test_timers_overdue_after_a_stall_do_not_fire_together():
    slow = [False]
    host = BalancerHost(8, answer=lambda s, r: (AttemptOutcome.SERVED, 0.9 if slow[0] else 0.1)).run(8.0, 40)
    slow[0] = True
    for _ in range(10):
        host.send_request()
    host.step()
    hedged = sum(len(attempts) > 1 for attempts in host.attempts.values())
    host.now += 0.5  # a stall of the node
    host.step()
    # The ten hedges must not be sent together.
    assert sum(len(attempts) > 1 for attempts in host.attempts.values()) <= hedged + 1
