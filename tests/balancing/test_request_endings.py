"""Tests that each request gets one final answer in time, regardless of servers, client and network."""

from balancer_host import IDEMPOTENT, KEYED, NEVER, NON_IDEMPOTENT, SERVED, BalancerHost, slow_at_times

from wheatroute.balancing.interface import AttemptOutcome, Event, ServerState


def test_every_request_gets_one_answer_before_its_deadline_even_if_no_server_answers():
    host = BalancerHost(answer=lambda server, attempt: NEVER)
    numbers = [
        host.send_request(request_class)
        for request_class in (IDEMPOTENT, KEYED, NON_IDEMPOTENT)
        for _ in range(5)
    ]
    host.step(3.0)
    assert sorted(host.final_answers) == numbers
    assert all(when < 103.0 for name, when, *_ in host.commands if name in ("rejected", "failed"))
    # The client may safely send an idempotent request again.
    assert {host.final_answers[n] for n in numbers[:5]} == {"rejected"}
    # A non-idempotent request may have run.
    assert {host.final_answers[n] for n in numbers[10:]} == {"failed"}


def test_a_request_without_any_server_is_rejected_in_time():
    host = BalancerHost(entries=[BalancerHost.list_entry(0, ServerState.REMOVED)])
    number = host.send_request(NON_IDEMPOTENT)
    host.step(3.0)
    assert host.final_answers == {number: "rejected"} and not host.attempts[number]


def test_a_queued_request_whose_client_left_gets_no_second_answer():
    for seed in range(8):
        host = BalancerHost(
            servers=40,
            nodes=200,
            seed=seed,
            answer=lambda server, attempt: SERVED if attempt[0] < 20 else NEVER,
        )
        host.run(2.0, 10).step(0.5)
        numbers = [host.send_request(NON_IDEMPOTENT) for _ in range(20)]
        host.step(0.01)
        queued = [n for n in numbers if not host.attempts[n] and n not in host.final_answers]
        assert queued
        for number in queued:
            host.events.append((Event.CLIENT_LEFT, number))
            host.final_answers[number] = "left"
        host.step(3.0)  # the host asserts that each request has one final answer


def test_events_for_requests_already_over_are_ignored():
    host = BalancerHost()
    number = host.send_request()
    host.step(0.5)
    host.events += [
        (Event.CLIENT_LEFT, number),
        (Event.ATTEMPT_ENDED, number, 0, 0, AttemptOutcome.ERROR, 0.1, True, None),
        (Event.CLIENT_LEFT, 999),
        (Event.TIMER_DUE,),
    ]
    host.step(0.1)
    assert host.final_answers == {number: "served"}


def test_a_client_that_leaves_has_its_attempt_cancelled():
    host = BalancerHost(answer=lambda s, r: NEVER)
    number = host.send_request(NON_IDEMPOTENT)
    host.step(0.1)
    host.events.append((Event.CLIENT_LEFT, number))
    host.step(3.0)
    assert host.command_count("cancel") == 1 and number not in host.final_answers


def test_a_client_with_a_longer_timeout_does_not_make_others_look_late():
    host = BalancerHost(answer=lambda server, attempt: (AttemptOutcome.SERVED, 0.5))
    host.send_request(time_left=3.0)
    host.step(0.1)
    others = [host.send_request(time_left=1.6) for _ in range(8)]
    host.step(3.0)
    assert all(host.final_answers[n] == "served" for n in others)


def test_same_events_and_seed_give_same_commands():
    runs = [BalancerHost(answer=slow_at_times, seed=7).run(4.0, 50).commands for _ in range(2)]
    assert runs[0] == runs[1]
