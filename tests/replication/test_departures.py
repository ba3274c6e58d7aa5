"""Nodes that are told to stop: what they wait for, and what strikes right after they have gone."""

import pytest
from replication.mutants import core_with
from replication.simulation import SYNC_S, Simulation, ViolationError, patched

from wheatroute.replication import timing
from wheatroute.replication.core import ReplicationCore

PLAYS = 25


def loss_after_a_replacement(seed, make_core=ReplicationCore, leader_leaves=False):
    """Four nodes, three voters: one is told to stop; right after its end the next one loses its disk."""
    it = Simulation(seed, hosts=4, make_core=make_core)
    it.run(3.0 + SYNC_S + 2.0)  # the fourth has been in sync for long
    leader = it.serving()[0]
    for _ in range(5):
        it.write(leader)
        it.run(it.now + 0.05)
    voting = [voter.partition("/")[0] for voter in it.hosts[leader].core.view.voters]
    leaver = leader if leader_leaves else next(name for name in voting if name != leader)
    gone = []
    it.stop(leaver, gone.append)
    while not gone:
        it.run(it.now + 0.01)
    del it.hosts[leaver]
    it.run(it.now + 0.2 + 0.6 * it.rng.random())
    lost = it.rng.choice([name for name in voting if name != leaver])
    it.wipe(lost)
    it.run(it.now + 0.5)
    it.start(lost)
    it.run(it.now + 5.0)
    it.check_end()
    return gone[0]


@pytest.mark.parametrize("leader_leaves", (False, True))
def test_a_loss_right_after_a_replacement_leaves_a_majority(leader_leaves):
    for seed in range(PLAYS):
        assert loss_after_a_replacement(seed, leader_leaves=leader_leaves)


def test_a_leaver_that_goes_at_once_is_found():
    mutant = core_with(can_stop=lambda self, now: not self.is_leading, leave=lambda self, now: [])
    with pytest.raises(ViolationError, match="nobody serves"):
        for seed in range(PLAYS):
            loss_after_a_replacement(seed, mutant)


def test_the_holder_of_one_of_the_last_copies_stays_until_another_has_it():
    for seed in range(PLAYS):
        it = Simulation(seed)
        it.run(3.0)
        leader = it.serving()[0]
        away, leaver = (name for name in it.hosts if name != leader)
        it.kill(away)
        it.run(5.0)
        it.write(leader)
        it.run(5.1)
        gone = []
        it.stop(leaver, gone.append, bound=10.0)
        it.run(8.0)
        assert not gone and it.acknowledged  # it is one of two that hold what is acknowledged
        it.start(away)
        while not gone:
            it.run(it.now + 0.01)
        assert gone == [True] and it.now < 11.0
        # and now the leader's disk may go
        it.wipe(leader)
        it.run(it.now + 0.5)
        it.start(leaver)
        it.start(leader)
        it.run(it.now + 4.0)
        it.check_end()


def test_a_leader_that_finds_nobody_stays_until_its_time_is_up_and_goes_on_serving_meanwhile():
    it = Simulation(2)
    it.run(3.0)
    leader = it.serving()[0]
    others = [name for name in it.hosts if name != leader]
    for name in others:
        it.hosts[name].is_disk_failing = True  # they vote no more, but answer
    it.run(5.0)
    gone = []
    it.stop(leader, gone.append, bound=4.0)
    it.run(8.9)
    assert not gone
    it.run(9.2)
    assert gone == [False]


def test_where_all_are_told_to_stop_nobody_waits_for_another():
    for seed in range(PLAYS):
        it = Simulation(seed)
        it.run(3.0)
        gone = []
        for name in it.hosts:
            it.stop(name, gone.append)
        it.run(3.0 + 2.0)
        assert len(gone) == 3


def test_a_node_that_is_neither_voter_nor_member_goes_at_once():
    it = Simulation(1, hosts=4)
    it.run(9.0)
    spare = next(name for name in it.hosts if f"{name}/0" not in it.hosts[it.serving()[0]].core.view.voters)
    gone = []
    it.stop(spare, gone.append)
    assert gone == [True]


def test_a_new_leader_lets_nobody_go_before_successors_could_join_it():
    """Found by history 2030: it released the holder of a voter before the successor had returned."""
    released = []
    for survey in (timing.RELEASE_HOLD_OFF_S, 0.0):
        with patched(timing, RELEASE_HOLD_OFF_S=survey):
            for seed in range(PLAYS):
                it = Simulation(seed, hosts=4)
                it.run(9.0)
                view = it.hosts[it.serving()[0]].core.view
                spare = next(name for name in it.hosts if f"{name}/0" not in view.voters)
                leaver = next(voter.partition("/")[0] for voter in view.voters if voter != view.primary)
                leader = it.serving()[0]
                it.kill(spare)
                it.kill(leader)
                it.at(0.3, lambda it=it, leader=leader: it.start(leader))
                it.run(it.now + 0.9)
                gone = []
                it.stop(leaver, gone.append)
                it.at(0.35, lambda it=it, spare=spare: it.start(spare))
                while not gone:
                    it.run(it.now + 0.01)
                released.append(survey == 0.0 and f"{leaver}/0" in _newest(it).voters)
                if survey:
                    assert f"{leaver}/0" not in _newest(it).voters
    assert any(released)


def _newest(it):
    views = [host.core.view for host in it.hosts.values() if host.core is not None]
    return max(views, key=lambda view: view.epoch)
