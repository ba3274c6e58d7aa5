"""Tests of load reports from servers and from other nodes."""

import pytest
from balancer_host import NON_IDEMPOTENT, REPORTS_WAIT, SERVED, BalancerHost, node_at_its_limit

from wheatroute.balancing.interface import AttemptOutcome, Event


def count_sent_at_once(host, count):
    """Returns how many requests of a burst are sent in the batch in which they arrive."""
    numbers = [host.send_request() for _ in range(count)]
    host.step()
    return sum(bool(host.attempts[number]) for number in numbers)


def test_a_server_that_reports_requests_of_other_nodes_gets_less():
    host = BalancerHost(answer=lambda s, r: SERVED, report=lambda s: {"held": 30.0 if s == 0 else 3.0})
    host.run(4.0, 20)
    since = host.now
    host.run(4.0, 20)
    # The server still gets some attempts, because the weight of an old report decreases.
    assert 0 < host.attempts_to(0, since) < 0.5 * host.attempts_to(1, since)


def test_a_node_with_little_traffic_sends_a_burst_while_servers_report_little_load():
    assert count_sent_at_once(node_at_its_limit(reported_load=1.0), 20) == 20


def test_servers_that_report_much_load_get_no_more_than_the_nodes_own_limit():
    assert count_sent_at_once(node_at_its_limit(reported_load=9.0), 20) <= 5


def test_one_report_does_not_let_a_whole_burst_through():
    # Reports allow six requests per server, five more than reported; the node's own limit allows a few more.
    assert 20 < count_sent_at_once(node_at_its_limit(reported_load=1.0), 200) <= 8 * 5 + 5


def test_old_reports_show_no_free_capacity():
    assert count_sent_at_once(node_at_its_limit(reported_load=1.0).step(1.5), 20) <= 5


def test_the_queue_is_sent_as_soon_as_a_server_reports_little_load():
    load = [9.0]
    host = BalancerHost(servers=8, nodes=40, reported=["held"], report=lambda server: {"held": load[0]})
    host.run(3.0, 20).step(0.2)
    numbers = [host.send_request() for _ in range(7)]
    host.step()
    load[0] = 1.0
    # The first three are answered by now; the node's own limit would allow only three more.
    host.step(0.11)
    assert all(host.attempts[number] for number in numbers)


def test_two_nodes_probe_all_servers_half_a_ring_apart_and_send_the_loads_to_the_others():
    hosts = [BalancerHost(8, nodes=300, node=n, **REPORTS_WAIT).run(4.0, 4) for n in range(3)]
    probed = [[rest[0] for name, _, *rest in host.commands if name == "probe"] for host in hosts]
    assert probed[0][:4] == probed[1][4:8] and not probed[2]
    assert 24 <= len(probed[0]) <= 40 and set(probed[0]) == set(range(8))
    for server in probed[0][:2]:
        report = {"queued": 6.0, "rate": 60.0} if server else {"rate": 60.0}
        hosts[0].events.append((Event.PROBE_ENDED, server, AttemptOutcome.SERVED, 0.002, report))
    hosts[0].step()
    loads = [rest[0] for name, _, *rest in hosts[0].commands if name == "send_loads"][-1]
    assert set(loads) == set(probed[0][:2])
    assert all(load == pytest.approx(0.1 if server else 0.0) for server, load in loads.items())


def test_a_wait_that_others_report_sends_requests_elsewhere_and_unknown_servers_are_ignored():
    host = BalancerHost(8, nodes=300, node=5, **REPORTS_WAIT).run(4.0, 20)
    since = host.now
    for _ in range(80):
        host.events.append((Event.PEER_REPORTED, {0: 2.0, 1: 0.0, 99: 0.0}))
        host.send_request()
        host.step(0.05)
    assert host.attempts_to(0, since) <= 4  # an equal share would be 10


def test_a_node_with_little_capacity_of_its_own_sends_where_little_waits():
    def count_rejected(**settings):
        host = BalancerHost(
            40, nodes=300, node=5, answer=lambda s, r: (AttemptOutcome.SERVED, 0.6), **settings
        )
        host.run(6.0, 1)
        first = host.request_count
        for _ in range(12):
            host.events.append((Event.PEER_REPORTED, dict.fromkeys(range(40), 0.0)))
            for _ in range(4):
                host.send_request(NON_IDEMPOTENT)
            host.step(0.25)
        host.step(3.0)
        return sum(host.final_answers.get(n) == "rejected" for n in range(first, host.request_count))

    assert count_rejected(**REPORTS_WAIT) == 0 and count_rejected() > 10


def test_a_server_that_just_rejected_an_attempt_is_not_lightly_loaded_regardless_of_its_reports():
    host = BalancerHost(
        4, answer=lambda s, r: (AttemptOutcome.FULL, 0.002), nodes=300, node=5, **REPORTS_WAIT
    )
    host.events.append((Event.PEER_REPORTED, dict.fromkeys(range(4), 0.0)))
    host.send_request()
    host.step(0.02)
    # A report from before the rejection arrives afterwards.
    host.events.append((Event.PEER_REPORTED, dict.fromkeys(range(4), 0.0)))
    host.balancer.servers.full_until[0] = host.now + 1.0
    host.step()
    is_lightly_loaded = host.balancer._components.reports.is_lightly_loaded
    assert not is_lightly_loaded(0) and all(map(is_lightly_loaded, range(1, 4)))
