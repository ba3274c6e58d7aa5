"""What servers said of their end when control nodes are lost: complete control nodes in virtual time.

Once a departure is acknowledged, no late heartbeat may put the server back into service, whichever node
leads.
"""

import asyncio

import pytest
from control.simulated_cluster import run_scenario

from wheatroute.cluster.errors import RequestError
from wheatroute.control.changes import Change
from wheatroute.control.registry import ServerHeartbeat
from wheatroute.replication.messages import SoftStateUpdate
from wheatroute.replication.storage import StorageError

SLOW_WRITE_S = 0.15
FIRST_CHANGE = Change(False, "0", b'{"generation": 1, "routes": [], "services": [{"name": "s"}]}')


def heartbeat(seq, state="ready"):
    return ServerHeartbeat(backend="s", addr="10.0.1.1:80", zone="z", slots=4, state=state, seq=seq)


async def primary_with_servers(cluster, identities):
    """Returns the primary once it has a configuration and these servers, and all nodes are members."""
    primary = await cluster.wait_for_primary()
    while len(primary.service.replicator.core.view.members) < len(cluster.nodes):
        await asyncio.sleep(0.01)
    await primary.request(lambda service: service.change(FIRST_CHANGE))
    for identity in identities:
        await primary.request(lambda service, one=identity: service.heartbeat(one, heartbeat(1)))
    while any(b"s" not in node.disk.soft_state for node in cluster.nodes.values()):
        await asyncio.sleep(0.01)
    return primary


async def late_heartbeats(cluster, identities, excluding=()):
    """Sends each server's first heartbeat again; returns the states of the servers in service."""
    primary = await cluster.wait_for_primary(excluding=excluding)
    for identity in identities:
        await primary.request(lambda service, one=identity: service.heartbeat(one, heartbeat(1)))
    live = primary.service.state.registry.live_instances()
    return {instance.id: instance.state.value for instance in live}


async def departures_before_the_end_of_all_processes(cluster):
    primary = await primary_with_servers(cluster, ["i-1", "i-2"])
    for node in cluster.nodes.values():
        node.disk.write_s = SLOW_WRITE_S
    await primary.request(lambda service: service.deregister("i-1"))
    await primary.request(lambda service: service.heartbeat("i-2", heartbeat(2, "draining")))
    for node in cluster.nodes.values():
        node.kill()
        node.disk.write_s = SLOW_WRITE_S / 100
    await asyncio.sleep(1.0)
    await cluster.start()
    assert await late_heartbeats(cluster, ["i-1", "i-2"]) == {"i-2": "draining"}


# The departures that a server had acknowledged were in memory only when all processes were killed.
@pytest.mark.parametrize("seed", range(6))
def test_acknowledged_departures_outlive_all_processes(seed):
    run_scenario(seed, departures_before_the_end_of_all_processes)


async def departure_while_a_disk_rejects_writes(cluster):
    primary = await primary_with_servers(cluster, ["i-1"])
    failing = next(node for node in cluster.nodes.values() if node is not primary)

    def reject(content):
        raise StorageError("full")

    failing.disk.write = failing.disk.write_soft_state = reject
    for _ in range(20):
        try:
            await primary.request(lambda service: service.deregister("i-1"))
            break
        except RequestError:
            await asyncio.sleep(0.3)
    else:
        raise AssertionError("the departure was never acknowledged")
    core, failing_core = primary.service.replicator.core, failing.service.replicator.core
    assert failing_core.identity not in core.view.members
    del failing.disk.write, failing.disk.write_soft_state
    while failing_core.identity not in core.view.members:
        await asyncio.sleep(0.01)
    primary.kill()
    assert await late_heartbeats(cluster, ["i-1"], excluding=(primary.host,)) == {}


def test_a_member_whose_disk_rejects_soft_state_leaves_the_view_and_holds_no_departure_up():
    run_scenario(1, departure_while_a_disk_rejects_writes)


async def departure_while_a_node_is_down(cluster):
    """A node misses a departure, returns, and would lead next before it has been told of it."""
    primary = await primary_with_servers(cluster, ["i-1"])
    returning, other = (node for node in cluster.nodes.values() if node is not primary)
    returning.kill()
    core = primary.service.replicator.core
    while len(core.view.members) > 2:
        await asyncio.sleep(0.01)
    await primary.request(lambda service: service.deregister("i-1"))
    links = cluster.links[primary.host]
    send = links.send

    def without_soft_state(host, message):
        if host != returning.host or not isinstance(message, SoftStateUpdate):
            send(host, message)

    links.send = without_soft_state
    await returning.start()
    while returning.service.replicator.core.document.version < core.document.version:
        await asyncio.sleep(0.01)
    await asyncio.sleep(1.0)
    assert returning.service.replicator.core.identity not in core.view.members
    links.send = send
    while len(core.view.members) < 3:
        await asyncio.sleep(0.01)
    primary.kill()
    assert await late_heartbeats(cluster, ["i-1"], excluding=(primary.host,)) == {}


# A node that returned became a member, and could lead, with the servers that it had known before.
def test_a_node_that_missed_a_departure_may_lead_only_once_it_knows_of_it():
    run_scenario(1, departure_while_a_node_is_down)


async def many_departures_at_once(cluster):
    identities = [f"i-{number}" for number in range(8)]
    primary = await primary_with_servers(cluster, identities)
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    async with asyncio.TaskGroup() as group:
        for identity in identities:
            group.create_task(primary.request(lambda service, one=identity: service.deregister(one)))
    return loop.time() - began_at


# Only the last one to wait was woken by the acknowledgement; the others were refused after a time-out.
def test_departures_at_once_are_all_acknowledged_by_the_same_answers():
    assert run_scenario(1, many_departures_at_once) < 0.2
