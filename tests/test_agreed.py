"""Other settings while requests are out: one short story for each way in which that could break a rule."""

from dataclasses import replace

import structlog
from balancer_host import IDEMPOTENT, KEYED, NON_IDEMPOTENT, BalancerHost, decision_settings

from wheatroute.balancing.interface import DeduplicationGroup, Event, Idempotency, Outcome
from wheatroute.balancing.settings import TenantQuota
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.clock import now

LOST = (Outcome.RESET, 0.2)
SERVED = (Outcome.SERVED, 0.1)


def agree(host, binding, kinds=None, **changes):
    """Hands the module other settings; `kinds` are changes by the number of a class."""
    classes = [
        replace(kind, **(kinds or {}).get(i, {})) for i, kind in enumerate(host.settings.request_classes)
    ]
    host.settings = replace(host.settings, **({"request_classes": classes} | changes))
    host.events.append((Event.SETTINGS_CHANGED, host.settings, binding))
    return host


def test_what_was_safe_when_it_was_taken_does_not_run_again_once_it_has_effects():
    host = BalancerHost(answer=lambda server, attempt: LOST)
    number = host.send_request(IDEMPOTENT)
    host.step(0.1)
    agree(host, True, {IDEMPOTENT: {"idempotency": Idempotency.NON_IDEMPOTENT}}).step(1.0)
    assert host.final_answers == {number: "failed"} and len(host.attempts[number]) == 1
    again = BalancerHost(answer=lambda server, attempt: LOST)
    number = again.send_request(IDEMPOTENT)
    again.step(1.1)
    assert len(again.attempts[number]) > 1  # as it was, it would


def test_no_hedge_of_it_goes_out_either():
    host = BalancerHost(answer=lambda server, attempt: SERVED).run(3.0, 30)
    host.answer = lambda server, attempt: None
    number = host.send_request(IDEMPOTENT)
    host.step(0.05)
    agree(host, True, {IDEMPOTENT: {"idempotency": Idempotency.NON_IDEMPOTENT}}, can_hedge=False).step(1.0)
    assert len(host.attempts[number]) == 1


def test_what_had_effects_when_it_was_taken_keeps_to_that_and_what_comes_after_does_not():
    host = BalancerHost(answer=lambda server, attempt: LOST)
    old = host.send_request(NON_IDEMPOTENT)
    host.step(0.1)
    agree(host, False, {NON_IDEMPOTENT: {"idempotency": Idempotency.IDEMPOTENT}})
    new = host.send_request(NON_IDEMPOTENT)
    host.step(1.0)
    assert host.final_answers[old] == "failed" and len(host.attempts[old]) == 1
    assert len(host.attempts[new]) > 1


def test_a_group_that_narrows_keeps_a_repeat_where_the_first_attempt_went():
    for seed in range(8):
        host = BalancerHost(
            servers=8, seed=seed, answer=lambda server, attempt: LOST if attempt[1] == 0 else SERVED
        )
        agree(host, True, {KEYED: {"deduplication_group": DeduplicationGroup.ALL}})
        number = host.send_request(KEYED)
        host.step(0.1)
        agree(host, True, {KEYED: {"deduplication_group": DeduplicationGroup.CELL}}).step(1.0)
        first, *more = host.attempts[number]
        assert more and all(server // 2 == first // 2 for server in more)  # cells of two


def test_what_ran_in_two_groups_before_it_had_keys_is_not_repeated_in_one_of_them():
    host = BalancerHost(servers=8, answer=lambda server, attempt: LOST)
    number = host.send_request(IDEMPOTENT)
    while len({server // 2 for server in host.attempts[number]}) < 2:
        host.step(0.005)
    sent = len(host.attempts[number])
    agree(
        host,
        True,
        {IDEMPOTENT: {"idempotency": Idempotency.KEYED, "deduplication_group": DeduplicationGroup.CELL}},
    ).step(2.0)
    assert len(host.attempts[number]) == sent and host.final_answers[number] == "failed"


def test_a_quota_that_halves_counts_at_once_and_a_new_tenant_has_one():
    told = [TenantQuota(1.0, 100.0)]
    host = BalancerHost(tenants=told)
    host.run(2.0, 50, tenant=0)
    agree(host, True, tenants=[TenantQuota(0.5, 10.0), TenantQuota(0.5, 40.0)]).step(0.0)
    assert (
        host.balancer._components.quotas.tokens[0] <= 20.0
        and host.balancer._components.quotas.tokens[1] == 40.0
    )
    host.run(1.0, 50, tenant=1)
    assert host.balancer._components.quotas.tokens[1] < 40.0


def test_a_request_class_that_comes_while_serving_is_served_and_nothing_learned_is_lost():
    host = BalancerHost(answer=lambda server, attempt: (Outcome.SERVED, 0.4 if server == 0 else 0.1)).run(
        4.0, 30
    )
    learned = list(host.balancer.servers.latency)
    classes = host.settings.request_classes
    host.settings = replace(host.settings, request_classes=[*classes, classes[IDEMPOTENT]])
    host.events.append((Event.SETTINGS_CHANGED, host.settings, True))
    number = host.send_request(3)
    host.step()
    assert host.balancer.servers.latency == learned
    host.step(0.5)
    assert host.final_answers[number] == "served"
    before = host.now
    host.run(2.0, 30)
    assert host.attempts_to(0, before) < host.attempts_to(1, before)


def test_of_two_terms_agreed_in_one_pass_the_later_ones_stand_and_both_come_before_all_else():
    driver = BalancerDriver(decision_settings(answer_slack_s=0.02), "1", structlog.get_logger())
    seen = []
    driver._balancer.handle_events = lambda now, events, writer: seen.extend(events)
    driver.add_event(Event.LIST_FAILED)
    driver.update_settings(decision_settings(answer_slack_s=0.02, max_attempts=1), True)
    driver.update_settings(decision_settings(answer_slack_s=0.02, max_attempts=3), False)
    driver.handle_events(now())
    assert [event[1].max_attempts for event in seen[:2]] == [1, 3] and seen[2] == (Event.LIST_FAILED,)


def test_a_careful_node_still_tries_a_barred_server_with_what_is_harmless():
    host = BalancerHost(answer=lambda server, attempt: None if server == 0 else SERVED).run(6.0, 30)
    assert host.balancer.servers.ejected_until[0]
    agree(host, True, {IDEMPOTENT: {"idempotency": Idempotency.NON_IDEMPOTENT, "can_trial": True}})
    host.answer = lambda server, attempt: SERVED
    host.run(8.0, 30)
    assert not host.balancer.servers.ejected_until[0]
