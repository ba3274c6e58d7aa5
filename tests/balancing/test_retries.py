"""Tests of retries: which requests are sent again, and to which servers."""

from dataclasses import replace

from balancer_host import IDEMPOTENT, KEYED, NON_IDEMPOTENT, SERVED, BalancerHost, decision_settings

from wheatroute.balancing.interface import AttemptOutcome


def test_a_non_idempotent_request_is_retried_only_when_it_provably_never_ran():
    full = BalancerHost(
        answer=lambda server, attempt: (AttemptOutcome.FULL, 0.01) if attempt[1] == 0 else SERVED
    )
    number = full.send_request(NON_IDEMPOTENT)
    full.step(0.5)
    assert len(set(full.attempts[number])) == 2 and full.final_answers[number] == "served"
    for outcome in (
        AttemptOutcome.ERROR,
        AttemptOutcome.RESET,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.UNKNOWN,
    ):
        host = BalancerHost(answer=lambda server, attempt, outcome=outcome: (outcome, 0.01))
        number = host.send_request(NON_IDEMPOTENT)
        host.step(3.0)
        assert len(host.attempts[number]) == 1 and host.final_answers[number] == "failed"


def test_a_keyed_request_is_retried_only_in_its_group_and_window():
    host = BalancerHost(
        answer=lambda server, attempt: (AttemptOutcome.ERROR, 0.01) if attempt[1] == 0 else SERVED
    )
    number = host.send_request(KEYED)
    host.step(0.5)
    first, second = host.attempts[number]
    assert first // 2 == second // 2 and host.final_answers[number] == "served"
    classes = list(decision_settings().request_classes)
    classes[KEYED] = replace(classes[KEYED], late_value=0.5)
    late = BalancerHost(answer=lambda server, attempt: (AttemptOutcome.ERROR, 2.5), request_classes=classes)
    number = late.send_request(KEYED)
    late.step(3.0)
    assert len(late.attempts[number]) == 1 and late.final_answers[number] == "failed"


def test_a_retry_by_the_client_itself_is_restricted_by_its_earlier_attempts():
    host = BalancerHost().step()

    def retry(request_class, *earlier):
        number = host.send_request(request_class)
        host.events[-1] += (earlier,)
        host.attempts[number] = [server for server, _, _ in earlier]
        host.step(0.3)
        return host.attempts[number][len(earlier) :], host.final_answers[number]

    assert retry(IDEMPOTENT, (0, 99.0, True), (1, 99.5, True))[0][0] in (2, 3)  # not the same server twice
    assert retry(NON_IDEMPOTENT, (0, 99.9, False))[0][0] in (1, 2, 3)
    assert retry(NON_IDEMPOTENT, (0, 99.9, True)) == ([], "failed")
    assert retry(KEYED, (2, host.now - 0.5, True))[0] == [3]  # the other server of its deduplication group
    assert retry(KEYED, (2, host.now - 2.5, True)) == ([], "failed")  # its retry window is over
    all_attempts = [(server, 99.0, True) for server in range(4)]
    assert retry(IDEMPOTENT, *all_attempts) == ([], "rejected")
