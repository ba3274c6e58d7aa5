"""Departures: what a stopping node waits for, and which faults right after its stop do no harm."""

import pytest
from replication.mutants import core_with
from replication.simulation import SYNC_S, Simulation, ViolationError, patched

from wheatroute.replication import timing
from wheatroute.replication.core import ReplicationCore

RUNS = 25


def loss_after_a_replacement(seed, make_core=ReplicationCore, leader_leaves=False):
    """Runs four nodes with three voters: one voter is stopped, and right after that another loses its disk.

    Returns whether the stopped voter was released.
    """
    sim = Simulation(seed, hosts=4, make_core=make_core)
    sim.run(3.0 + SYNC_S + 2.0)  # by then the fourth node is in sync
    leader = sim.serving()[0]
    for _ in range(5):
        sim.write(leader)
        sim.run(sim.now + 0.05)
    voters = [voter.partition("/")[0] for voter in sim.hosts[leader].core.view.voters]
    leaving = leader if leader_leaves else next(name for name in voters if name != leader)
    results = []
    sim.stop(leaving, results.append)
    while not results:
        sim.run(sim.now + 0.01)
    del sim.hosts[leaving]
    sim.run(sim.now + 0.2 + 0.6 * sim.rng.random())
    lost = sim.rng.choice([name for name in voters if name != leaving])
    sim.wipe(lost)
    sim.run(sim.now + 0.5)
    sim.start(lost)
    sim.run(sim.now + 5.0)
    sim.check_recovered()
    return results[0]


@pytest.mark.parametrize("leader_leaves", (False, True))
def test_a_loss_right_after_a_replacement_leaves_a_majority(leader_leaves):
    for seed in range(RUNS):
        assert loss_after_a_replacement(seed, leader_leaves=leader_leaves)


def test_a_leaving_node_that_stops_at_once_is_detected():
    mutant = core_with(can_stop=lambda self, now: not self.is_leading, leave=lambda self, now: [])
    with pytest.raises(ViolationError, match="no node serves"):
        for seed in range(RUNS):
            loss_after_a_replacement(seed, mutant)


def test_a_holder_of_one_of_the_last_two_copies_stays_until_another_node_has_it():
    for seed in range(RUNS):
        sim = Simulation(seed)
        sim.run(3.0)
        leader = sim.serving()[0]
        absent, leaving = (name for name in sim.hosts if name != leader)
        sim.kill(absent)
        sim.run(5.0)
        sim.write(leader)
        sim.run(5.1)
        results = []
        sim.stop(leaving, results.append, timeout_s=10.0)
        sim.run(8.0)
        assert not results and sim.acknowledged  # only it and the leader hold what is acknowledged
        sim.start(absent)
        while not results:
            sim.run(sim.now + 0.01)
        assert results == [True] and sim.now < 11.0
        # Now the loss of the leader's disk does no harm.
        sim.wipe(leader)
        sim.run(sim.now + 0.5)
        sim.start(leaving)
        sim.start(leader)
        sim.run(sim.now + 4.0)
        sim.check_recovered()


def test_a_leader_without_a_successor_stays_until_its_time_is_up():
    sim = Simulation(2)
    sim.run(3.0)
    leader = sim.serving()[0]
    others = [name for name in sim.hosts if name != leader]
    for name in others:
        sim.hosts[name].is_disk_failing = True  # they no longer vote, but still answer
    sim.run(5.0)
    results = []
    sim.stop(leader, results.append, timeout_s=4.0)
    sim.run(8.9)
    assert not results
    sim.run(9.2)
    assert results == [False]


def test_if_all_nodes_stop_none_waits_for_another():
    for seed in range(RUNS):
        sim = Simulation(seed)
        sim.run(3.0)
        results = []
        for name in sim.hosts:
            sim.stop(name, results.append)
        sim.run(3.0 + 2.0)
        assert len(results) == 3


def test_a_node_that_is_neither_voter_nor_member_stops_at_once():
    sim = Simulation(1, hosts=4)
    sim.run(9.0)
    spare = next(
        name for name in sim.hosts if f"{name}/0" not in sim.hosts[sim.serving()[0]].core.view.voters
    )
    results = []
    sim.stop(spare, results.append)
    assert results == [True]


def test_a_new_leader_releases_no_node_before_successors_could_join_it():
    """A new leader released a leaving voter before the node that could replace it had joined.

    That happened in random history 2030. With the hold-off, a new leader waits before it releases nodes.
    """
    released_too_soon = []
    for hold_off_s in (timing.RELEASE_HOLD_OFF_S, 0.0):
        with patched(timing, RELEASE_HOLD_OFF_S=hold_off_s):
            for seed in range(RUNS):
                sim = Simulation(seed, hosts=4)
                sim.run(9.0)
                view = sim.hosts[sim.serving()[0]].core.view
                spare = next(name for name in sim.hosts if f"{name}/0" not in view.voters)
                leaving = next(voter.partition("/")[0] for voter in view.voters if voter != view.primary)
                leader = sim.serving()[0]
                sim.kill(spare)
                sim.kill(leader)
                sim.at(0.3, lambda sim=sim, leader=leader: sim.start(leader))
                sim.run(sim.now + 0.9)
                results = []
                sim.stop(leaving, results.append)
                sim.at(0.35, lambda sim=sim, spare=spare: sim.start(spare))
                while not results:
                    sim.run(sim.now + 0.01)
                released_too_soon.append(hold_off_s == 0.0 and f"{leaving}/0" in _newest(sim).voters)
                if hold_off_s:
                    assert f"{leaving}/0" not in _newest(sim).voters
    assert any(released_too_soon)


def _newest(sim):
    views = [host.core.view for host in sim.hosts.values() if host.core is not None]
    return max(views, key=lambda view: view.epoch)
