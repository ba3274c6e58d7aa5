"""The registry when heartbeats arrive in any order, and the changes that edge nodes get."""

import json

import pytest

from wheatroute.cluster.messages import InstanceState, RegistryVersion
from wheatroute.control.registry import (
    REMOVED_RETENTION_S,
    MalformedHeartbeatError,
    Registry,
    RegistryFullError,
    ServerHeartbeat,
    decode_heartbeat,
)

HEARTBEAT_S = 1.0


def heartbeat(seq, state="ready", **fields):
    return ServerHeartbeat(
        **({"backend": "s", "addr": "10.0.0.1:80", "zone": "z", "slots": 4} | fields), state=state, seq=seq
    )


def registry():
    return Registry(epoch=2, heartbeat_s=HEARTBEAT_S, now=0.0)


def states(servers):
    instances, _ = servers.changes(RegistryVersion())
    return {instance.id: instance.state.value for instance in instances}


def run(servers, until, step=0.2, begin=0.0):
    now = begin
    while now < until:
        now += step
        servers.apply_missed_heartbeats(now)


def test_a_heartbeat_that_reports_nothing_new_changes_nothing():
    servers = registry()
    assert servers.heartbeat(0.0, "a", heartbeat(1)) and not servers.heartbeat(1.0, "a", heartbeat(2))
    assert servers.version == RegistryVersion(2, 1)


def test_a_late_heartbeat_does_not_revoke_a_drain():
    servers = registry()
    servers.heartbeat(0.0, "a", heartbeat(1))
    assert servers.heartbeat(1.0, "a", heartbeat(3, "draining")) and not servers.heartbeat(
        1.1, "a", heartbeat(2)
    )
    # Nor does a later one: a draining server always shuts down.
    assert not servers.heartbeat(1.2, "a", heartbeat(4)) and states(servers) == {"a": "draining"}


def test_a_removed_server_stays_removed():
    servers = registry()
    servers.heartbeat(0.0, "a", heartbeat(1))
    assert (
        servers.remove(1.0, "a")
        and not servers.remove(1.1, "a")
        and not servers.heartbeat(1.2, "a", heartbeat(9))
    )
    assert states(servers) == {"a": "gone"}
    # This also holds if the removal arrived before the first heartbeat.
    assert (
        servers.remove(2.0, "b")
        and not servers.heartbeat(2.1, "b", heartbeat(1))
        and states(servers)["b"] == "gone"
    )


def test_missing_heartbeats_make_a_server_unresponsive_and_then_removed():
    servers = registry()
    servers.heartbeat(0.0, "a", heartbeat(1))
    run(servers, 2.0)
    assert states(servers) == {"a": "ready"}
    run(servers, 3.0, begin=2.0)
    assert states(servers) == {"a": "silent"}
    servers.heartbeat(3.0, "a", heartbeat(2))
    assert states(servers) == {"a": "ready"}
    run(servers, 12.0, begin=3.0)
    assert states(servers) == {"a": "gone"}


def test_heartbeats_that_a_stalled_process_did_not_read_are_not_counted_as_missed():
    servers = registry()
    servers.heartbeat(0.0, "a", heartbeat(1))
    servers.apply_missed_heartbeats(0.2)
    servers.apply_missed_heartbeats(30.0)
    assert states(servers) == {"a": "ready"} and not servers.is_settled(30.5)


def test_changes_are_a_difference_or_the_full_registry_for_another_epoch():
    servers = registry()
    servers.heartbeat(0.0, "a", heartbeat(1))
    servers.heartbeat(0.0, "b", heartbeat(1, addr="10.0.0.2:80"))
    known = servers.version
    servers.heartbeat(1.0, "b", heartbeat(2, "draining", addr="10.0.0.2:80"))
    changed, is_full = servers.changes(known)
    assert [instance.id for instance in changed] == ["b"] and not is_full
    assert servers.changes(servers.version) == ((), False)
    assert len(servers.changes(RegistryVersion(1, 7))[0]) == 2 and servers.changes(RegistryVersion(1, 7))[1]


def test_a_server_without_a_heartbeat_is_unknown_until_a_new_primary_has_listened():
    before = registry()
    before.heartbeat(0.0, "a", heartbeat(1))
    before.heartbeat(0.0, "b", heartbeat(1, "draining", addr="10.0.0.2:80"))
    before.remove(0.1, "c")
    servers = Registry(epoch=3, heartbeat_s=HEARTBEAT_S, now=10.0)
    servers.restore(10.0, before.live_instances())
    assert states(servers) == {"a": "ready", "b": "draining"} and not servers.is_settled(12.0)
    servers.heartbeat(11.0, "a", heartbeat(5))
    # A late heartbeat does not revoke a drain that the previous primary acknowledged.
    servers.heartbeat(11.0, "b", heartbeat(0, addr="10.0.0.2:80"))
    run(servers, 15.0, begin=10.0)
    assert states(servers) == {"a": "silent", "b": "draining"} and servers.is_settled(14.0)


def test_a_restored_server_without_a_heartbeat_is_removed_soon():
    servers = Registry(epoch=3, heartbeat_s=HEARTBEAT_S, now=0.0)
    before = registry()
    before.heartbeat(0.0, "a", heartbeat(1))
    servers.restore(0.0, before.live_instances())
    run(servers, 4.0)
    assert states(servers) == {"a": "gone"}


# An edge node that had missed a removal kept the server for good once the primary had changed.
def test_an_edge_node_gets_the_full_registry_again_once_missing_servers_count_as_removed():
    servers = registry()
    servers.heartbeat(0.0, "a", heartbeat(1))
    _, is_full = servers.changes(RegistryVersion(1, 7))
    known = servers.version
    assert is_full and not servers.is_settled(0.1)
    for now in range(1, 4):
        servers.heartbeat(now, "a", heartbeat(now + 1))
        servers.apply_missed_heartbeats(now - 0.5)
        assert not servers.apply_missed_heartbeats(now)
    assert servers.changes(known) == ((), False)
    assert servers.apply_missed_heartbeats(3.2) and servers.is_settled(3.2)
    instances, is_full = servers.changes(known)
    assert [instance.id for instance in instances] == ["a"] and is_full
    assert servers.changes(servers.version) == ((), False)


# The same for a primary that was stalled for so long that it doesn't count the silence of servers.
def test_an_edge_node_gets_the_full_registry_again_after_a_stall_of_the_primary():
    servers = registry()
    run(servers, 4.0)
    known = servers.version
    assert servers.changes(known) == ((), False)
    servers.apply_missed_heartbeats(30.0)
    run(servers, 32.5, begin=30.0)
    assert servers.changes(known) == ((), False)
    run(servers, 34.0, begin=32.5)
    assert servers.changes(known) == ((), True)


# After a restart of all nodes, servers whose next heartbeat came late stayed out of service for two minutes.
@pytest.mark.parametrize("is_restored", (True, False))
def test_a_server_that_was_removed_for_its_silence_returns_with_its_next_heartbeat(is_restored):
    servers = registry()
    servers.heartbeat(0.0, "a", heartbeat(1))
    if is_restored:
        shared = servers.live_instances()
        servers = Registry(epoch=3, heartbeat_s=HEARTBEAT_S, now=0.0)
        servers.restore(0.0, shared)
    run(servers, 9.0)
    known = servers.version
    assert states(servers) == {"a": "gone"}
    assert servers.heartbeat(9.0, "a", heartbeat(2))
    changed, is_full = servers.changes(known)
    assert [(one.id, one.state.value) for one in changed] == [("a", "ready")] and not is_full
    # From then on it is a server like any other: its silence counts from its last heartbeat.
    run(servers, 11.0, begin=9.0)
    assert states(servers) == {"a": "ready"}


def test_a_server_that_said_it_leaves_stays_away_although_silence_removed_it():
    servers = registry()
    servers.heartbeat(0.0, "a", heartbeat(1))
    servers.heartbeat(0.1, "a", heartbeat(3, "draining"))
    run(servers, 9.0)
    assert states(servers) == {"a": "gone"}
    assert not servers.heartbeat(9.0, "a", heartbeat(2)) and not servers.heartbeat(9.1, "a", heartbeat(4))
    assert states(servers) == {"a": "gone"}


def test_a_server_that_deregisters_after_its_silence_stays_removed():
    servers = registry()
    servers.heartbeat(0.0, "a", heartbeat(1))
    run(servers, 9.0)
    known = servers.version
    # The departure is a change of the registry, so that it is shared before it is acknowledged.
    assert servers.remove(9.0, "a") and servers.version > known
    assert not servers.remove(9.1, "a") and list(servers.departure_ages(9.1)) == ["a"]
    assert not servers.heartbeat(9.1, "a", heartbeat(2)) and states(servers) == {"a": "gone"}


def test_a_server_that_was_removed_for_its_silence_may_return_as_draining():
    servers = registry()
    servers.heartbeat(0.0, "a", heartbeat(1))
    run(servers, 9.0)
    assert servers.heartbeat(9.0, "a", heartbeat(2, "draining"))
    assert not servers.heartbeat(9.1, "a", heartbeat(3)) and states(servers) == {"a": "draining"}


def test_a_heartbeat_with_unknown_fields_is_decoded():
    decoded = decode_heartbeat(
        b'{"backend":"s","addr":"h:1","seq":"4","models":[{"name":"m","adapters":[]}],"x":1}'
    )
    assert decoded.seq == 4 and decoded.models[0].name == "m" and decoded.state == "ready"
    assert InstanceState("draining") is InstanceState.DRAINING


# Each edge node ended when it was sent a server whose address it could not split.
@pytest.mark.parametrize(
    "fields", ({"addr": "h"}, {"addr": ""}, {"addr": "h:99999"}, {"slots": 2**70}, {"models": [{"name": 5}]})
)
def test_a_heartbeat_that_edge_nodes_could_not_apply_is_malformed(fields):
    body = json.dumps({"backend": "s", "addr": "10.0.0.1:80"} | fields).encode()
    with pytest.raises(MalformedHeartbeatError):
        decode_heartbeat(body)


# Heartbeats of ever new servers used up the memory of the primary.
def test_a_full_registry_refuses_new_servers_and_still_hears_the_known_ones():
    servers = Registry(epoch=2, heartbeat_s=HEARTBEAT_S, now=0.0, max_bytes=5_000)
    known = 0
    with pytest.raises(RegistryFullError):
        for known in range(100):
            servers.heartbeat(0.0, f"s{known}", heartbeat(1))
    assert 2 < known < 10
    with pytest.raises(RegistryFullError):
        servers.remove(0.0, "x" * 5_000)
    with pytest.raises(RegistryFullError):
        servers.heartbeat(0.1, "s0", heartbeat(2, zone="z" * 5_000))
    assert not servers.heartbeat(0.2, "s0", heartbeat(3))
    assert servers.heartbeat(0.3, "s1", heartbeat(2, "draining")) and servers.remove(0.4, "s2")
    run(servers, REMOVED_RETENTION_S + 20.0, step=0.9)
    assert servers.heartbeat(REMOVED_RETENTION_S + 20.0, "later", heartbeat(1))
