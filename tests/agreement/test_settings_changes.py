"""Other settings while requests are in flight: a test for each way in which that could break a rule."""

from dataclasses import replace

import structlog
from fakehost import KEYED, SAFE, UNSAFE, Host, decision_settings

from wheatroute.balancing.interface import DeduplicationGroup, Event, Idempotency, Outcome
from wheatroute.balancing.settings import TenantQuota
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.clock import now

LOST = (Outcome.RESET, 0.2)
SERVED = (Outcome.SERVED, 0.1)


def change_settings(host, is_binding, class_changes=None, **changes):
    """Give the decision module other settings; `class_changes` are by the number of a request class."""
    classes = [
        replace(request_class, **(class_changes or {}).get(number, {}))
        for number, request_class in enumerate(host.settings.request_classes)
    ]
    host.settings = replace(host.settings, **({"request_classes": classes} | changes))
    host.events.append((Event.SETTINGS_CHANGED, host.settings, is_binding))
    return host


def test_an_idempotent_request_does_not_run_again_once_its_class_is_non_idempotent():
    host = Host(answer=lambda server, attempt: LOST)
    number = host.ask(SAFE)
    host.step(0.1)
    change_settings(host, True, {SAFE: {"idempotency": Idempotency.NON_IDEMPOTENT}}).step(1.0)
    assert host.final == {number: "failed"} and len(host.attempts[number]) == 1
    again = Host(answer=lambda server, attempt: LOST)
    number = again.ask(SAFE)
    again.step(1.1)
    assert len(again.attempts[number]) > 1  # as it was, it would


def test_it_is_not_hedged_either():
    host = Host(answer=lambda server, attempt: SERVED).run(3.0, 30)
    host.answer = lambda server, attempt: None
    number = host.ask(SAFE)
    host.step(0.05)
    change_settings(host, True, {SAFE: {"idempotency": Idempotency.NON_IDEMPOTENT}}, can_hedge=False).step(
        1.0
    )
    assert len(host.attempts[number]) == 1


def test_a_non_idempotent_request_stays_so_when_its_class_becomes_idempotent():
    host = Host(answer=lambda server, attempt: LOST)
    old = host.ask(UNSAFE)
    host.step(0.1)
    change_settings(host, False, {UNSAFE: {"idempotency": Idempotency.IDEMPOTENT}})
    new = host.ask(UNSAFE)
    host.step(1.0)
    assert host.final[old] == "failed" and len(host.attempts[old]) == 1
    assert len(host.attempts[new]) > 1


def test_a_group_that_narrows_keeps_a_repeat_where_the_first_attempt_went():
    for seed in range(8):
        host = Host(servers=8, seed=seed, answer=lambda server, attempt: LOST if attempt[1] == 0 else SERVED)
        change_settings(host, True, {KEYED: {"deduplication_group": DeduplicationGroup.ALL}})
        number = host.ask(KEYED)
        host.step(0.1)
        change_settings(host, True, {KEYED: {"deduplication_group": DeduplicationGroup.CELL}}).step(1.0)
        first, *more = host.attempts[number]
        assert more and all(server // 2 == first // 2 for server in more)  # cells of two


def test_a_request_that_ran_in_two_groups_before_it_was_keyed_is_not_repeated_in_one():
    host = Host(servers=8, answer=lambda server, attempt: LOST)
    number = host.ask(SAFE)
    while len({server // 2 for server in host.attempts[number]}) < 2:
        host.step(0.005)
    sent = len(host.attempts[number])
    change_settings(
        host, True, {SAFE: {"idempotency": Idempotency.KEYED, "deduplication_group": DeduplicationGroup.CELL}}
    ).step(2.0)
    assert len(host.attempts[number]) == sent and host.final[number] == "failed"


def test_a_quota_that_halves_counts_at_once_and_a_new_tenant_has_one():
    host = Host(tenants=[TenantQuota(1.0, 100.0)])
    host.run(2.0, 50, tenant=0)
    change_settings(host, True, tenants=[TenantQuota(0.5, 10.0), TenantQuota(0.5, 40.0)]).step(0.0)
    assert host.balancer._quotas.tokens[0] <= 20.0 and host.balancer._quotas.tokens[1] == 40.0
    host.run(1.0, 50, tenant=1)
    assert host.balancer._quotas.tokens[1] < 40.0


def test_a_request_class_that_comes_while_serving_is_served_and_nothing_learned_is_lost():
    host = Host(answer=lambda server, attempt: (Outcome.SERVED, 0.4 if server == 0 else 0.1)).run(4.0, 30)
    learned = list(host.balancer.servers.latency)
    classes = host.settings.request_classes
    host.settings = replace(host.settings, request_classes=[*classes, classes[SAFE]])
    host.events.append((Event.SETTINGS_CHANGED, host.settings, True))
    number = host.ask(3)
    host.step()
    assert host.balancer.servers.latency == learned
    host.step(0.5)
    assert host.final[number] == "served"
    before = host.now
    host.run(2.0, 30)
    assert host.sent(0, before) < host.sent(1, before)


def test_of_two_changes_in_one_pass_the_later_stands_and_both_come_before_all_else():
    driver = BalancerDriver(decision_settings(answer_slack_s=0.02), "1", structlog.get_logger())
    seen = []
    driver._balancer.handle_events = lambda now, events, writer: seen.extend(events)
    driver.add_event(Event.LIST_FAILED)
    driver.update_settings(decision_settings(answer_slack_s=0.02, max_attempts=1), True)
    driver.update_settings(decision_settings(answer_slack_s=0.02, max_attempts=3), False)
    driver.handle_events(now())
    assert [event[1].max_attempts for event in seen[:2]] == [1, 3] and seen[2] == (Event.LIST_FAILED,)


def test_a_conservative_node_still_tries_an_ejected_server_with_idempotent_requests():
    host = Host(answer=lambda server, attempt: None if server == 0 else SERVED).run(6.0, 30)
    assert host.balancer.servers.ejected_until[0]
    change_settings(host, True, {SAFE: {"idempotency": Idempotency.NON_IDEMPOTENT, "can_trial": True}})
    host.answer = lambda server, attempt: SERVED
    host.run(8.0, 30)
    assert not host.balancer.servers.ejected_until[0]
