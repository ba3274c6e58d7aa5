"""Processes that end at any step of a write, and disks whose epoch is older than that of their peers."""

import heapq
from functools import partial

import pytest
from replication.simulation import Simulation

WRITE_DURATION_S = 0.05  # by then a write without faults is acknowledged
RESTART_DELAY_S = 0.02  # time until a stopped process runs again


def cluster_during_write():
    """Returns three nodes that have done a few writes, at the start of the next write, and the leader."""
    sim = Simulation(4)
    sim.run(3.0)
    (leader,) = sim.serving()
    for _ in range(3):
        sim.write(leader)
        sim.run(sim.now + 0.1)
    sim.write(leader)
    return sim, leader


def step(sim):
    """Runs one event: a message arrives, a write to disk is done, or a clock ticks."""
    sim.now, _, action = heapq.heappop(sim.events)
    action()


def events_of_a_write():
    sim, _ = cluster_during_write()
    until, events = sim.now + WRITE_DURATION_S, 0
    while sim.events[0][0] <= until:
        step(sim)
        events += 1
    assert sim.acknowledged == {1, 2, 3, 4}
    return events


@pytest.mark.parametrize(
    ("stopped_processes", "is_disk_lost"),
    [
        ("the leader's", False),
        ("the leader's", True),
        ("a member's", False),
        ("a member's", True),
        ("everybody's", False),
    ],
)
def test_a_process_that_ends_in_any_step_of_a_write_loses_nothing(stopped_processes, is_disk_lost):
    """If `is_disk_lost`, the process's disk is lost too."""
    for events in range(events_of_a_write()):
        sim, leader = cluster_during_write()
        for _ in range(events):
            step(sim)
        others = [name for name in sim.hosts if name != leader]
        stopped = {"the leader's": [leader], "a member's": others[:1], "everybody's": list(sim.hosts)}[
            stopped_processes
        ]
        for name in stopped:
            sim.wipe(name) if is_disk_lost else sim.kill(name)
        for name in stopped:
            sim.at(RESTART_DELAY_S, partial(sim.start, name))
        sim.run(sim.now + 6.0)
        sim.check_recovered()  # a leader serves everything that was acknowledged
        (serving,) = sim.serving()
        assert len(sim.hosts[serving].core.view.members) == 3


def test_a_disk_with_an_older_epoch_never_leads_before_it_is_in_sync():
    sim = Simulation(6)
    sim.run(3.0)
    (first,) = sim.serving()
    absent = next(name for name in sim.hosts if name != first)
    sim.kill(absent)
    for _ in range(3):  # epochs and writes that the absent node doesn't know
        sim.run(sim.now + 2.0)
        (leader,) = sim.serving()
        sim.write(leader)
        sim.run(sim.now + 0.2)
        sim.kill(leader)
        sim.start(leader)
    sim.run(sim.now + 3.0)
    stored_epoch = sim.hosts[absent].disk.acceptor.view.epoch
    (leader,) = sim.serving()
    assert sim.hosts[leader].core.view.epoch >= stored_epoch + 3
    sim.kill(leader)  # only the absent node's old disk and one member are left
    sim.start(absent)
    while not sim.serving():
        sim.run(sim.now + 0.002)
        assert not sim.hosts[absent].core.is_leading
    sim.start(leader)
    sim.run(sim.now + 5.0)
    sim.check_recovered()
    assert sim.hosts[absent].core.document.payload == sim.hosts[leader].core.document.payload
