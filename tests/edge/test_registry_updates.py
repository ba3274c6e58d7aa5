"""What edge nodes know of servers when registries of several primaries reach them in any order."""

from wheatroute.cluster.messages import RegistryVersion, Update
from wheatroute.control.registry import Registry, ServerHeartbeat
from wheatroute.edge.instances import InstanceTable

HEARTBEAT_S = 1.0
CHECK_INTERVAL_S = 0.2


def heartbeat(seq, state="ready"):
    return ServerHeartbeat(backend="llm", addr="10.0.0.1:80", zone="z", slots=4, state=state, seq=seq)


def registry(epoch, now=0.0):
    return Registry(epoch, HEARTBEAT_S, now)


def poll(table, servers, now):
    """Applies the update that a long poll with the table's version returns at `now`."""
    instances, is_full = servers.changes(table.version)
    settled = servers.is_settled(now)
    table.apply(Update(0, 0, None, servers.version, instances, is_full, settled, (), 1), now)


def listen(servers, identities, begin, end):
    """Lets time pass for a primary that gets the heartbeats of these servers."""
    steps = round((end - begin) / CHECK_INTERVAL_S)
    for step in range(1, steps + 1):
        now = begin + step * CHECK_INTERVAL_S
        for identity in identities:
            servers.heartbeat(now, identity, heartbeat(1000 + step))
        servers.apply_missed_heartbeats(now)


def available(table):
    return sorted(server.id for server in table.available("llm"))


def successor(servers, epoch, now):
    """The registry of the next primary, with what the previous one shared."""
    restored = registry(epoch, now)
    restored.restore(now, servers.live_instances())
    restored.restore_departures(now, servers.departure_ages(now))
    return restored


# An edge node that was frozen while a server left and a primary was lost sent it requests for seconds more.
def test_a_node_that_missed_a_departure_is_told_by_the_next_primaries_at_once():
    first, table, late = registry(epoch=1), InstanceTable(), InstanceTable()
    for identity in ("a", "b"):
        first.heartbeat(0.0, identity, heartbeat(1))
    for one in (table, late):
        poll(one, first, 0.0)
    first.remove(0.1, "b")
    second = successor(first, 2, 1.0)
    poll(table, second, 1.1)
    assert available(table) == ["a"]
    # The departure outlives the second primary too.
    poll(late, successor(second, 3, 2.0), 2.1)
    assert available(late) == ["a"]


# A late heartbeat at the next primary put a server back into service that had deregistered.
def test_no_late_heartbeat_brings_a_departed_server_back_at_the_next_primaries():
    servers, table = registry(epoch=1), InstanceTable()
    servers.heartbeat(0.0, "a", heartbeat(1))
    servers.heartbeat(0.0, "b", heartbeat(1))
    servers.heartbeat(0.1, "b", heartbeat(3, "draining"))
    servers.remove(0.2, "a")
    for epoch in (2, 3):
        servers = successor(servers, epoch, now=float(epoch))
        for identity in ("a", "b"):
            servers.heartbeat(epoch + 0.1, identity, heartbeat(2))
        poll(table, servers, epoch + 0.2)
        assert available(table) == []
    # A draining server that falls silent has departed as well.
    listen(servers, [], 3.0, 12.0)
    assert set(servers.departure_ages(12.0)) == {"a", "b"}


def test_departures_are_forgotten_in_time_however_often_primaries_change():
    servers = registry(epoch=1)
    servers.remove(0.0, "a")
    for epoch in range(2, 6):
        now = 30.0 * (epoch - 1)
        listen(servers, [], now - 30.0, now)
        servers = successor(servers, epoch, now)
    assert list(servers.departure_ages(120.0)) == ["a"]
    listen(servers, [], 120.0, 120.4)
    assert not servers.departure_ages(120.4) and not servers.changes(RegistryVersion())[0]


# An edge node that was frozen while a server left sent it requests until it ended.
def test_a_node_that_missed_a_removal_drops_the_server_once_the_next_primary_is_settled():
    first, table = registry(epoch=1), InstanceTable()
    for identity in ("a", "b"):
        first.heartbeat(0.0, identity, heartbeat(1))
    poll(table, first, 0.0)
    # The next primary knows nothing of the removed server `b`, neither that it was there nor that it left.
    second = registry(epoch=2, now=1.0)
    second.heartbeat(1.0, "a", heartbeat(2))
    poll(table, second, 1.1)
    assert available(table) == ["a", "b"]
    listen(second, ["a"], 1.0, 5.0)
    poll(table, second, 5.0)
    assert available(table) == ["a"]
    # The full registry is sent once: the next update is a difference again.
    assert second.changes(table.version) == ((), False)


def test_a_server_that_returns_after_its_silence_gets_requests_again():
    servers, table = registry(epoch=1), InstanceTable()
    servers.heartbeat(0.0, "a", heartbeat(1))
    poll(table, servers, 0.0)
    listen(servers, [], 0.0, 9.0)
    poll(table, servers, 9.0)
    assert available(table) == []
    servers.heartbeat(9.1, "a", heartbeat(2))
    poll(table, servers, 9.1)
    assert available(table) == ["a"]


def test_a_node_that_was_away_for_longer_than_removed_servers_are_remembered_drops_them():
    servers, table = registry(epoch=1), InstanceTable()
    for identity in ("a", "b"):
        servers.heartbeat(0.0, identity, heartbeat(1))
    poll(table, servers, 0.0)
    servers.remove(0.1, "b")
    listen(servers, ["a"], 0.1, 130.1)
    assert [one.id for one in servers.changes(RegistryVersion())[0]] == ["a"]
    poll(table, servers, 130.1)
    assert available(table) == ["a"]
