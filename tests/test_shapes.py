"""Stories of deployments with a node beside each client: skewed, told little, before servers of any size."""

import pytest
from balancer_host import NON_IDEMPOTENT, BalancerHost

from wheatroute.balancing.interface import Event, Outcome, ServerState
from wheatroute.balancing.settings import TenantQuota

SERVED = (Outcome.SERVED, 0.1)
TOLD = {"report_how": "probe", "reported": ["queued", "rate"], "can_probe": True, "has_peers": True}


def hinted(host, kind, work):
    number = host.send_request(kind)
    host.events[-1] = (*host.events[-1], (), work)
    return number


def run_told(host, seconds, rate, **how):
    """Requests at an even rate, while servers tell that nothing waits there; their numbers."""
    first = host.request_count
    for _ in range(int(seconds * 4)):
        host.events.append((Event.PEER_REPORTED, dict.fromkeys(range(40), 0.0)))
        host.run(0.25, rate, **how)
    return range(first, host.request_count)


def kept_to(host):
    return len(host.balancer._components.selection.servers)


def test_a_busy_node_of_many_keeps_to_more_servers_than_a_quiet_one():
    quiet, busy = (BalancerHost(40, nodes=300, node=5, **TOLD) for _ in range(2))
    run_told(quiet, 8.0, 4)
    run_told(busy, 8.0, 100)
    assert kept_to(quiet) == 8 and kept_to(busy) == 40


def test_where_connections_have_a_price_a_node_keeps_to_fewer_servers():
    free, priced = (BalancerHost(40, nodes=300, connection_price=price).run(2.0, 4) for price in (0.0, 0.03))
    assert (kept_to(free), kept_to(priced)) == (8, 4)
    few = BalancerHost(12, nodes=60, connection_price=0.03).run(2.0, 4)
    assert kept_to(few) == 5  # up to three times the nodes to a server


def test_the_traffic_of_a_busy_node_is_not_beyond_the_shares_because_it_is_busy():
    quota = [TenantQuota(1.0, 400.0)]
    host = BalancerHost(40, nodes=300, node=5, tenants=quota, **TOLD)
    run_told(host, 6.0, 100, tenant=0)
    # 100 a second of 400, though one of 300 nodes would have 1.3
    assert host.balancer._components.quotas.rates()[0] > 80.0
    taken = [host.balancer._components.quotas.take(0) for _ in range(100)]
    assert taken.count(0) > 15  # with a like part of them at most 5


def test_a_heavy_request_goes_where_it_can_be_in_time():
    # two models, one four times slower; a heavy request is in time on the quick one only
    entries = [(s, 0, s % 2, s, ServerState.LIVE, 1.0, 0.0) for s in range(8)]
    sizes = {}
    host = BalancerHost(
        entries=entries, answer=lambda s, r: (Outcome.SERVED, 0.1 * sizes[r[0]] * (4.0 if s % 2 else 1.0))
    )
    for n in range(400):
        number = hinted(host, NON_IDEMPOTENT, 5.0 if n % 10 == 9 else 0.5)
        sizes[number] = 5.0 if n % 10 == 9 else 0.5
        host.step(0.02)
    slow = [n for n in range(100, 400) if sizes[n] > 1.0 and host.attempts[n] and host.attempts[n][0] % 2]
    assert not slow  # 30 of them; the even split would send every fifth there


def test_two_nodes_probe_all_servers_half_a_round_apart_and_tell_the_others():
    hosts = [BalancerHost(8, nodes=300, node=n, **TOLD).run(4.0, 4) for n in range(3)]
    probed = [[rest[0] for what, _, *rest in host.commands if what == "probe"] for host in hosts]
    assert probed[0][:4] == probed[1][4:8] and not probed[2]
    assert 24 <= len(probed[0]) <= 40 and set(probed[0]) == set(range(8))
    for server in probed[0][:2]:
        hosts[0].events.append(
            (
                Event.PROBE_ENDED,
                server,
                Outcome.SERVED,
                0.002,
                {"queued": 6.0, "rate": 60.0} if server else {"rate": 60.0},
            )
        )
    hosts[0].step()
    told = [rest[0] for what, _, *rest in hosts[0].commands if what == "send_loads"][-1]
    assert set(told) == set(probed[0][:2]) and all(
        held == pytest.approx(0.1 if server else 0.0) for server, held in told.items()
    )


def test_what_others_tell_of_a_wait_sends_requests_elsewhere_and_unknown_servers_are_passed_by():
    host = BalancerHost(8, nodes=300, node=5, **TOLD).run(4.0, 20)
    since = host.now
    for _ in range(80):
        host.events.append((Event.PEER_REPORTED, {0: 2.0, 1: 0.0, 99: 0.0}))
        host.send_request()
        host.step(0.05)
    assert host.attempts_to(0, since) <= 4  # an even share would be 10


def test_a_node_with_little_room_of_its_own_sends_where_little_waits():
    def refused(**told):
        host = BalancerHost(40, nodes=300, node=5, answer=lambda s, r: (Outcome.SERVED, 0.6), **told).run(
            6.0, 1
        )
        first = host.request_count
        for _ in range(12):
            host.events.append((Event.PEER_REPORTED, dict.fromkeys(range(40), 0.0)))
            for _ in range(4):
                host.send_request(NON_IDEMPOTENT)
            host.step(0.25)
        host.step(3.0)
        return sum(host.final_answers.get(n) == "rejected" for n in range(first, host.request_count))

    assert refused(**TOLD) == 0 and refused() > 10


def test_a_server_that_just_turned_a_attempt_away_is_not_drawn_in_vain_though_it_told_of_room():
    host = BalancerHost(4, answer=lambda s, r: (Outcome.FULL, 0.002), nodes=300, node=5, **TOLD)
    host.events.append((Event.PEER_REPORTED, dict.fromkeys(range(4), 0.0)))
    host.send_request()
    host.step(0.02)
    balancer = host.balancer
    # a report from before the rejection
    host.events.append((Event.PEER_REPORTED, dict.fromkeys(range(4), 0.0)))
    balancer.servers.full_until[0] = host.now + 1.0
    host.step()
    assert not balancer._components.reports.is_lightly_loaded(0) and all(
        map(balancer._components.reports.is_lightly_loaded, range(1, 4))
    )


def test_a_held_requests_own_work_is_none_that_it_waits_for():
    host = BalancerHost(2, nodes=100, answer=lambda s, r: (Outcome.SERVED, 0.3)).run(6.0, 1)
    host.balancer._components.limiter.capacity = 0
    number = host.send_request(NON_IDEMPOTENT, time_left=1.5)
    host.step(0.02)
    # a rate of one a second makes it a second's work, and 1.5 s is the time
    assert number not in host.final_answers
