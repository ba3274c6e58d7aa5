"""Tests of slow start: how many attempts servers get while they warm up."""

from balancer_host import SERVED, BalancerHost

from wheatroute.balancing.interface import AttemptOutcome, Event


def test_a_server_that_warms_up_gets_less_than_what_would_overload_it():
    host = BalancerHost().run(8.0, 80)
    host.list_servers([BalancerHost.list_entry(0, started=host.now)])
    started_at = host.now
    host.run(3.0, 80)
    # Each other server gets 20 per second. At its start this one can take a tenth of that, and three times
    # that would overload it.
    assert host.attempts_to(0, started_at) < 3.0 * 0.235 * 20 * 3.0
    host.run(20.0, 80)
    assert host.attempts_to(0, host.now - 2.0) > 20


def test_many_nodes_together_keep_to_what_one_server_that_warms_up_can_take_and_use_it():
    hosts = [BalancerHost(servers=12, nodes=30, node=i, seed=i).run(8.0, 4) for i in range(30)]
    started_at = hosts[0].now
    for host in hosts:
        host.list_servers([BalancerHost.list_entry(0, started=started_at)])
        host.run(20.0, 4)
    sent = sorted(
        when
        for host in hosts
        for name, when, *rest in host.commands
        if name == "attempt" and rest[1] == 0 and when >= started_at
    )
    for first in range(len(sent)):
        span = [when for when in sent[first:] if when < sent[first] + 3.0]
        # Each other server gets 10 per second. This one can take a tenth of that at its start and all of it
        # after 20 s; three times what it can take, over 3 s, would overload it.
        assert len(span) < 3.0 * 10 * (0.1 + 0.9 * (sent[first] - started_at + 3.0) / 20) * 3.0
    assert sum(when > started_at + 10.0 for when in sent) > 30


def test_a_server_that_refused_connections_warms_up_when_it_accepts_them_again():
    down = [True]
    host = BalancerHost(
        answer=lambda s, r: (AttemptOutcome.UNCONNECTED, 0.01) if s == 0 and down[0] else SERVED
    )
    host.run(4.0, 80)
    assert host.attempts_to(0, host.now - 2.0) < 10
    down[0], recovered_at = False, host.now
    host.run(3.0, 80)
    assert host.attempts_to(0, recovered_at) < 3.0 * 0.4 * 20 * 3.0


def test_a_server_that_resets_connections_does_not_count_as_warming_up():
    host = BalancerHost(
        answer=lambda s, r: (AttemptOutcome.RESET, 0.05) if r[0] % 5 == 0 and not r[1] else SERVED
    )
    host.run(8.0, 60)
    assert all(host.attempts_to(s, host.now - 2.0) > 15 for s in range(4))


def test_nodes_on_both_sides_of_a_partition_together_keep_to_what_a_server_that_warms_up_can_take():
    hosts = [BalancerHost(servers=12, nodes=30, node=i, seed=i).run(8.0, 4) for i in range(30)]
    started_at = hosts[0].now
    for i, host in enumerate(hosts):
        # The connected half now counts only itself; the other half still counts all nodes, with caution 4.
        host.events.append((Event.NODES_COUNTED, 15, i, 1.0) if i < 15 else (Event.NODES_COUNTED, 30, i, 4.0))
        host.list_servers([BalancerHost.list_entry(0, started=started_at)])
        host.run(20.0, 4)
    sent = sorted(
        when
        for host in hosts
        for name, when, *rest in host.commands
        if name == "attempt" and rest[1] == 0 and when >= started_at
    )
    highest = 0.0  # largest number of attempts within 3 s, as a fraction of what would overload the server
    for first in range(len(sent)):
        span = [when for when in sent[first:] if when < sent[first] + 3.0]
        highest = max(
            highest, len(span) / (3.0 * 10 * (0.1 + 0.9 * (sent[first] - started_at + 3.0) / 20) * 3.0)
        )
    assert 0.05 < highest < 1.0
