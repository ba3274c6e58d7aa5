"""Tests of settings that change while requests are in flight, one for each rule that a change could break."""

from dataclasses import replace

from balancer_host import IDEMPOTENT, KEYED, NON_IDEMPOTENT, SERVED, BalancerHost, slow_servers

from wheatroute.balancing.interface import AttemptOutcome, DeduplicationGroup, Event, Idempotency
from wheatroute.balancing.settings import TenantQuota

LOST = (AttemptOutcome.RESET, 0.2)


def change_settings(host, applies_to_pending, class_changes=None, **changes):
    """Adds an event with changed settings; `class_changes` has the changes by request class number."""
    classes = [
        replace(request_class, **(class_changes or {}).get(i, {}))
        for i, request_class in enumerate(host.settings.request_classes)
    ]
    host.settings = replace(host.settings, **({"request_classes": classes} | changes))
    host.events.append((Event.SETTINGS_CHANGED, host.settings, applies_to_pending))
    return host


def test_a_request_does_not_run_again_once_its_class_is_no_longer_idempotent():
    host = BalancerHost(answer=lambda server, attempt: LOST)
    number = host.send_request(IDEMPOTENT)
    host.step(0.1)
    change_settings(host, True, {IDEMPOTENT: {"idempotency": Idempotency.NON_IDEMPOTENT}}).step(1.0)
    assert host.final_answers == {number: "failed"} and len(host.attempts[number]) == 1
    again = BalancerHost(answer=lambda server, attempt: LOST)
    number = again.send_request(IDEMPOTENT)
    again.step(1.1)
    assert len(again.attempts[number]) > 1  # without the change it runs again


def test_a_request_is_not_hedged_once_its_class_is_no_longer_idempotent():
    host = BalancerHost(answer=lambda server, attempt: SERVED).run(3.0, 30)
    host.answer = lambda server, attempt: None
    number = host.send_request(IDEMPOTENT)
    host.step(0.05)
    change_settings(
        host, True, {IDEMPOTENT: {"idempotency": Idempotency.NON_IDEMPOTENT}}, can_hedge=False
    ).step(1.0)
    assert len(host.attempts[number]) == 1


def test_a_loosened_rule_that_does_not_apply_to_pending_requests_applies_to_later_ones():
    host = BalancerHost(answer=lambda server, attempt: LOST)
    old = host.send_request(NON_IDEMPOTENT)
    host.step(0.1)
    change_settings(host, False, {NON_IDEMPOTENT: {"idempotency": Idempotency.IDEMPOTENT}})
    new = host.send_request(NON_IDEMPOTENT)
    host.step(1.0)
    assert host.final_answers[old] == "failed" and len(host.attempts[old]) == 1
    assert len(host.attempts[new]) > 1


def test_a_narrowed_group_keeps_a_repeat_in_the_group_of_the_first_attempt():
    for seed in range(8):
        host = BalancerHost(
            servers=8, seed=seed, answer=lambda server, attempt: LOST if attempt[1] == 0 else SERVED
        )
        change_settings(host, True, {KEYED: {"deduplication_group": DeduplicationGroup.ALL}})
        number = host.send_request(KEYED)
        host.step(0.1)
        change_settings(host, True, {KEYED: {"deduplication_group": DeduplicationGroup.CELL}}).step(1.0)
        first, *more = host.attempts[number]
        assert more and all(server // 2 == first // 2 for server in more)  # each cell has two servers


def test_a_request_that_ran_in_two_groups_before_it_was_keyed_is_not_repeated():
    host = BalancerHost(servers=8, answer=lambda server, attempt: LOST)
    number = host.send_request(IDEMPOTENT)
    while len({server // 2 for server in host.attempts[number]}) < 2:
        host.step(0.005)
    sent = len(host.attempts[number])
    change_settings(
        host,
        True,
        {IDEMPOTENT: {"idempotency": Idempotency.KEYED, "deduplication_group": DeduplicationGroup.CELL}},
    ).step(2.0)
    assert len(host.attempts[number]) == sent and host.final_answers[number] == "failed"


def test_a_reduced_quota_applies_at_once_and_a_new_tenant_has_one():
    host = BalancerHost(tenants=[TenantQuota(1.0, 100.0)])
    host.run(2.0, 50, tenant=0)
    change_settings(host, True, tenants=[TenantQuota(0.5, 10.0), TenantQuota(0.5, 40.0)]).step(0.0)
    quotas = host.balancer._components.quotas
    assert quotas.tokens[0] <= 20.0 and quotas.tokens[1] == 40.0
    host.run(1.0, 50, tenant=1)
    assert quotas.tokens[1] < 40.0


def test_a_new_request_class_is_served_and_no_measurement_is_lost():
    host = BalancerHost(answer=slow_servers(0)).run(4.0, 30)
    latencies = list(host.balancer.servers.latency)
    classes = host.settings.request_classes
    host.settings = replace(host.settings, request_classes=[*classes, classes[IDEMPOTENT]])
    host.events.append((Event.SETTINGS_CHANGED, host.settings, True))
    number = host.send_request(3)
    host.step()
    assert host.balancer.servers.latency == latencies
    host.step(0.5)
    assert host.final_answers[number] == "served"
    before = host.now
    host.run(2.0, 30)
    assert host.attempts_to(0, before) < host.attempts_to(1, before)


def test_a_non_idempotent_class_that_allows_trials_still_readmits_an_ejected_server():
    host = BalancerHost(answer=lambda server, attempt: None if server == 0 else SERVED).run(6.0, 30)
    assert host.balancer.servers.ejected_until[0]
    change_settings(host, True, {IDEMPOTENT: {"idempotency": Idempotency.NON_IDEMPOTENT, "can_trial": True}})
    host.answer = lambda server, attempt: SERVED
    host.run(8.0, 30)
    assert not host.balancer.servers.ejected_until[0]
