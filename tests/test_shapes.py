"""Stories of deployments with a node beside each client: skewed, told little, before servers of any size."""

import pytest
from fakehost import UNSAFE, Host

from wheatroute.balancing.interface import Event, Outcome, ServerState
from wheatroute.balancing.settings import TenantQuota

SERVED = (Outcome.SERVED, 0.1)
TOLD = {"report_how": "probe", "reported": ["queued", "rate"], "can_probe": True, "has_peers": True}


def hinted(host, kind, work):
    number = host.ask(kind)
    host.events[-1] = (*host.events[-1], (), work)
    return number


def run_told(host, seconds, rate, **how):
    """Requests at an even rate, while servers tell that nothing waits there; their numbers."""
    first = host.arrivals
    for _ in range(int(seconds * 4)):
        host.events.append((Event.PEER_REPORTED, dict.fromkeys(range(40), 0.0)))
        host.run(0.25, rate, **how)
    return range(first, host.arrivals)


def kept_to(host):
    return len(host.balancer._components.selection.servers)


def test_a_busy_node_of_many_keeps_to_more_servers_than_a_quiet_one():
    quiet, busy = (Host(40, nodes=300, node=5, **TOLD) for _ in range(2))
    run_told(quiet, 8.0, 4)
    run_told(busy, 8.0, 100)
    assert kept_to(quiet) == 8 and kept_to(busy) == 40


def test_where_connections_have_a_price_a_node_keeps_to_fewer_servers():
    free, priced = (Host(40, nodes=300, connection_price=price).run(2.0, 4) for price in (0.0, 0.03))
    assert (kept_to(free), kept_to(priced)) == (8, 4)
    few = Host(12, nodes=60, connection_price=0.03).run(2.0, 4)
    assert kept_to(few) == 5  # up to three times the nodes to a server


def test_the_traffic_of_a_busy_node_is_not_beyond_the_shares_because_it_is_busy():
    quota = [TenantQuota(1.0, 400.0)]
    host = Host(40, nodes=300, node=5, tenants=quota, **TOLD)
    run_told(host, 6.0, 100, tenant=0)
    # 100 a second of 400, though one of 300 nodes would have 1.3
    assert host.balancer._components.quotas.rates()[0] > 80.0
    taken = [host.balancer._components.quotas.take(0) for _ in range(100)]
    assert taken.count(0) > 15  # with a like part of them at most 5


def test_a_heavy_request_goes_where_it_can_be_in_time():
    # two models, one four times slower; a heavy request is in time on the quick one only
    entries = [(s, 0, s % 2, s, ServerState.LIVE, 1.0, 0.0) for s in range(8)]
    sizes = {}
    host = Host(
        entries=entries, answer=lambda s, r: (Outcome.SERVED, 0.1 * sizes[r[0]] * (4.0 if s % 2 else 1.0))
    )
    for n in range(400):
        number = hinted(host, UNSAFE, 5.0 if n % 10 == 9 else 0.5)
        sizes[number] = 5.0 if n % 10 == 9 else 0.5
        host.step(0.02)
    slow = [n for n in range(100, 400) if sizes[n] > 1.0 and host.attempts[n] and host.attempts[n][0] % 2]
    assert not slow  # 30 of them; the even split would send every fifth there


def test_two_nodes_probe_all_servers_half_a_round_apart_and_tell_the_others():
    hosts = [Host(8, nodes=300, node=n, **TOLD).run(4.0, 4) for n in range(3)]
    probed = [[rest[0] for what, _, *rest in host.did if what == "sound"] for host in hosts]
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
    told = [rest[0] for what, _, *rest in hosts[0].did if what == "tell"][-1]
    assert set(told) == set(probed[0][:2]) and all(
        held == pytest.approx(0.1 if server else 0.0) for server, held in told.items()
    )


def test_what_others_tell_of_a_wait_sends_requests_elsewhere_and_unknown_servers_are_passed_by():
    host = Host(8, nodes=300, node=5, **TOLD).run(4.0, 20)
    since = host.now
    for _ in range(80):
        host.events.append((Event.PEER_REPORTED, {0: 2.0, 1: 0.0, 99: 0.0}))
        host.ask()
        host.step(0.05)
    assert host.sent(0, since) <= 4  # an even share would be 10


def test_a_node_with_little_room_of_its_own_sends_where_little_waits():
    def refused(**told):
        host = Host(40, nodes=300, node=5, answer=lambda s, r: (Outcome.SERVED, 0.6), **told).run(6.0, 1)
        first = host.arrivals
        for _ in range(12):
            host.events.append((Event.PEER_REPORTED, dict.fromkeys(range(40), 0.0)))
            for _ in range(4):
                host.ask(UNSAFE)
            host.step(0.25)
        host.step(3.0)
        return sum(host.final.get(n) == "refused" for n in range(first, host.arrivals))

    assert refused(**TOLD) == 0 and refused() > 10


def test_a_server_that_just_turned_a_attempt_away_is_not_drawn_in_vain_though_it_told_of_room():
    host = Host(4, answer=lambda s, r: (Outcome.FULL, 0.002), nodes=300, node=5, **TOLD)
    host.events.append((Event.PEER_REPORTED, dict.fromkeys(range(4), 0.0)))
    host.ask()
    host.step(0.02)
    balancer = host.balancer
    host.events.append(
        (Event.PEER_REPORTED, dict.fromkeys(range(4), 0.0))
    )  # word from before it was turned away
    balancer.servers.full_until[0] = host.now + 1.0
    host.step()
    assert not balancer._components.reports.is_lightly_loaded(0) and all(
        map(balancer._components.reports.is_lightly_loaded, range(1, 4))
    )


def test_a_held_requests_own_work_is_none_that_it_waits_for():
    host = Host(2, nodes=100, answer=lambda s, r: (Outcome.SERVED, 0.3)).run(6.0, 1)
    host.balancer._components.limiter.capacity = 0
    number = host.ask(UNSAFE, left=1.5)
    host.step(0.02)
    assert number not in host.final  # a rate of one a second makes it a second's work, and 1.5 s is the time
