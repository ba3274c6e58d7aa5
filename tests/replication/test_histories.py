"""Drawn histories of faults keep every invariant of replication; nothing here waits in real time."""

import msgspec
import pytest
from replication.histories import random_history
from replication.simulation import Simulation

from wheatroute.replication.records import Document


@pytest.mark.parametrize("block", range(8))
def test_drawn_faults_lose_no_acknowledged_write(block):
    commits = reads = 0
    for seed in range(block * 12, block * 12 + 12):
        it = random_history(seed)
        commits, reads = commits + it.commits, reads + it.reads
    # a history in which nothing is ever written would keep every invariant
    assert commits > 200 and reads > 100


def test_five_nodes_bear_the_loss_of_two():
    for seed in range(6):
        random_history(seed, hosts=5, seeds=3, tolerate=2)


def test_a_replica_with_another_content_under_the_same_version_is_brought_back():
    it = Simulation(1)
    it.run(3.0)
    (leader,) = it.serving()
    it.write(leader)
    it.run(4.0)
    right = it.hosts[leader].core.document
    other = next(name for name in it.hosts if name != leader)
    wrong = Document(right.version, b"[7]")
    it.hosts[other].core._state.document = wrong
    it.hosts[other].disk = msgspec.structs.replace(it.hosts[other].disk, document=wrong)
    it.run(5.0)
    assert it.hosts[other].core.document == right and it.hosts[other].disk.document == right
    assert it.serving() == [leader] and len(it.hosts[leader].core.view.members) == 3


def test_a_takeover_alone_does_not_hang_on_one_disk():
    """Found by history 48: a view of one member ended for good when that member lost its disk."""
    it = Simulation(1)
    it.run(3.0)
    it.kill("h2")
    it.run(6.0)
    leader = it.hosts[it.serving()[0]].core
    assert set(leader.view.members) == {"h0/0", "h1/0"}
    it.kill("h0")
    it.kill("h1")
    it.start("h0")
    it.start("h2")
    while not it.hosts["h0"].core.is_leading:
        it.run(it.now + 0.002)
    it.wipe("h0")
    it.start("h1")
    it.run(it.now + 1.0)
    it.start("h0")
    it.run(it.now + 3.0)
    it.check_end()
