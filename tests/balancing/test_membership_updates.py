"""Tests of changes of the server list."""

from balancer_host import BalancerHost, failing_servers

from wheatroute.balancing.interface import Event, ServerState


def test_a_server_that_reuses_the_number_of_a_removed_one_inherits_nothing_from_it():
    host = BalancerHost(answer=failing_servers(0)).run(6.0, 30)
    servers = host.balancer.servers
    assert servers.ejected_until[0] and servers.ejection_s[0]
    host.list_servers([BalancerHost.list_entry(0, ServerState.REMOVED)])
    host.step(4.0)
    host.answer = failing_servers()
    host.list_servers([BalancerHost.list_entry(0, ServerState.REMOVED), BalancerHost.list_entry(0)])
    before = host.now
    host.run(2.0, 30)
    # It gets attempts at once: at least 8 of 60 on four servers.
    assert not servers.ejected_until[0] and host.attempts_to(0, before) >= 8


def test_no_new_attempt_goes_to_a_server_that_drains_or_has_left_the_list():
    host = BalancerHost().run(1.0, 20)
    host.list_servers([BalancerHost.list_entry(0, ServerState.DRAINING)])
    host.list_servers([BalancerHost.list_entry(s) for s in (0, 2, 3)][1:], is_full=True)
    changed_at = host.now
    host.run(1.0, 40)
    assert host.attempts_to(0, changed_at) == host.attempts_to(1, changed_at) == 0
    assert host.attempts_to(2, changed_at) > 5


def test_the_list_is_watched_again_with_a_growing_backoff_after_failures():
    host = BalancerHost(list_on_request=True).step(0.1)
    for _ in range(4):
        host.events.append((Event.LIST_FAILED,))
        # The backoff is at most 2.5 s, a quarter of `list_max_age_s`, after which a node must know a change.
        host.step(2.6)
    watched = [when for name, when, *_ in host.commands if name == "watch"]
    waits = [when - (100.1 + 2.6 * i) for i, when in enumerate(watched[1:])]
    assert len(watched) == 5 and waits[0] < 0.4 and max(waits) <= 2.51


def test_a_large_tier_is_updated_with_the_tick_but_a_drain_and_an_ejection_take_effect_at_once():
    host = BalancerHost(servers=100, answer=failing_servers(5)).run(3.0, 400)
    assert host.balancer.servers.ejected_until[5]
    host.list_servers(
        [
            BalancerHost.list_entry(3, ServerState.DRAINING),
            BalancerHost.list_entry(4, ServerState.REMOVED),
            BalancerHost.list_entry(200),
        ]
    )
    since = host.now
    host.run(1.0, 1000)
    assert not host.attempts_to(3, since) and not host.attempts_to(4, since)
    assert host.attempts_to(200, since + 0.3)
    assert host.attempts_to(5, since) <= 1  # its half-open trial
    assert set(host.final_answers.values()) == {"served"} or host.command_count("failed") == 0
