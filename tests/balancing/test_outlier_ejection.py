"""Tests that servers which fail, hang or are slow are ejected, and readmitted after a half-open trial."""

from balancer_host import NEVER, SERVED, BalancerHost, failing_servers

from wheatroute.balancing.interface import AttemptOutcome


def test_a_hanging_server_is_ejected_and_its_idempotent_requests_go_elsewhere():
    hanging = [False]
    host = BalancerHost(answer=lambda s, r: NEVER if s == 0 and hanging[0] else SERVED).run(4.0, 60)
    hanging[0], since = True, host.now
    numbers = range(host.request_count, host.request_count + 120)
    host.run(2.0, 60).step(3.0)
    assert host.attempts_to(0, since + 1.0) <= 4
    assert sum(host.final_answers[n] == "served" for n in numbers) >= 117
    hanging[0], recovered_at = False, host.now
    host.run(12.0, 60)
    assert host.attempts_to(0, recovered_at + 8.0) > 30  # a trial has readmitted it


def test_a_server_that_fails_fast_attracts_no_traffic_by_its_low_latency():
    host = BalancerHost(answer=failing_servers(0, outcome=(AttemptOutcome.ERROR, 0.001))).run(2.0, 60)
    before = host.attempts_to(0)
    host.run(4.0, 60)
    assert host.attempts_to(0) - before < 20  # an equal share would be 60


def test_when_all_servers_fail_alike_none_is_ejected():
    host = BalancerHost(answer=lambda s, r: (AttemptOutcome.ERROR, 0.01) if r[0] % 2 else SERVED).run(6.0, 60)
    assert all(host.attempts_to(s, host.now - 2.0) > 10 for s in range(4))


def test_a_trial_that_was_rejected_or_never_sent_is_followed_by_another():
    for trial_outcome in (AttemptOutcome.FULL, AttemptOutcome.MOOT):
        ending = [(AttemptOutcome.ERROR, 0.01)]
        host = BalancerHost(4, lambda server, attempt, ending=ending: SERVED if server else ending[0])
        host.run(20, 40)
        ending[0] = (trial_outcome, 0.001)
        host.run(30, 40)
        ending[0], since = SERVED, host.now
        host.run(60, 40)
        assert host.attempts_to(0, since) > 300, trial_outcome
