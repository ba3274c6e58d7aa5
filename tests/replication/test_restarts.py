"""A process that ends at any moment of a write, and disks that know an older epoch than their peers."""

import heapq
from functools import partial

import pytest
from replication.simulation import Simulation

WRITE_TAKES = 0.05  # seconds after which an undisturbed write is long acknowledged
BACK_AFTER = 0.02  # seconds until the process runs again


def begun():
    """Three nodes with a few writes behind them, in the moment in which the next one begins."""
    it = Simulation(4)
    it.run(3.0)
    (leader,) = it.serving()
    for _ in range(3):
        it.write(leader)
        it.run(it.now + 0.1)
    it.write(leader)
    return it, leader


def step(it):
    """One event: a message arrives, a disk has written, a clock ticks."""
    it.now, _, action = heapq.heappop(it.events)
    action()


def events_of_a_write():
    it, _ = begun()
    until, events = it.now + WRITE_TAKES, 0
    while it.events[0][0] <= until:
        step(it)
        events += 1
    assert it.acknowledged == {1, 2, 3, 4}
    return events


@pytest.mark.parametrize(
    ("whose", "lost"),
    [
        ("the leader's", False),
        ("the leader's", True),
        ("a member's", False),
        ("a member's", True),
        ("everybody's", False),
    ],
)
def test_a_process_that_ends_in_any_step_of_a_write_loses_nothing(whose, lost):
    """With `lost`, its disk goes with it."""
    for events in range(events_of_a_write()):
        it, leader = begun()
        for _ in range(events):
            step(it)
        others = [name for name in it.hosts if name != leader]
        ended = {"the leader's": [leader], "a member's": others[:1], "everybody's": list(it.hosts)}[whose]
        for name in ended:
            it.wipe(name) if lost else it.kill(name)
        for name in ended:
            it.at(BACK_AFTER, partial(it.start, name))
        it.run(it.now + 6.0)
        it.check_end()  # a leader serves, with everything that was acknowledged
        (serving,) = it.serving()
        assert len(it.hosts[serving].core.view.members) == 3


def test_a_disk_with_an_older_epoch_never_leads_before_it_is_in_sync():
    it = Simulation(6)
    it.run(3.0)
    (first,) = it.serving()
    away = next(name for name in it.hosts if name != first)
    it.kill(away)
    for _ in range(3):  # epochs and writes that it doesn't know
        it.run(it.now + 2.0)
        (leader,) = it.serving()
        it.write(leader)
        it.run(it.now + 0.2)
        it.kill(leader)
        it.start(leader)
    it.run(it.now + 3.0)
    old = it.hosts[away].disk.acceptor.view.epoch
    (leader,) = it.serving()
    assert it.hosts[leader].core.view.epoch >= old + 3
    it.kill(leader)  # only the old disk and one member are left
    it.start(away)
    while not it.serving():
        it.run(it.now + 0.002)
        assert not it.hosts[away].core.is_leading
    it.start(leader)
    it.run(it.now + 5.0)
    it.check_end()
    assert it.hosts[away].core.document.payload == it.hosts[leader].core.document.payload
