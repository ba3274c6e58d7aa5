"""No two leaders hold a lease at once, under partitions, restarts and late messages.

Further tests check each lease rule on a single node, and commits while the next view is being decided.
"""

from contextlib import nullcontext
from random import Random

import pytest
from replication.lease_mutants import MODULE_PATCHES, commits_by_the_old_members, with_lease_mutant
from replication.mutants import core_with
from replication.simulation import Simulation, ViolationError

from wheatroute.replication import lease
from wheatroute.replication.core import ReplicationCore
from wheatroute.replication.effects import Send
from wheatroute.replication.messages import (
    Accept,
    Accepted,
    Heartbeat,
    HeartbeatAck,
    Prepare,
    Rejected,
    Replicate,
    ViewAnnouncement,
)
from wheatroute.replication.records import (
    AcceptorRecord,
    DocumentVersion,
    NodeRecord,
    ProposalNumber,
    new_record,
)
from wheatroute.replication.views import View, genesis_view

VOTERS = ("h0/0", "h1/0", "h2/0")
RUNS = 40


def write_continuously(sim):
    """Makes every serving node write, again and again; each commit is checked against all other leases."""
    for name in sim.serving():
        sim.write(name)
    sim.at(0.004, lambda: write_continuously(sim))


def leader_cut_off(seed, restarts=False, late=False, hosts=3, seeds=3, tolerate=1):
    """Cuts off the leader during writes; the others may be restarted, and messages may be late.

    Returns the simulation and the seconds until another node serves.
    """
    sim = Simulation(seed, hosts, seeds, tolerate)
    sim.run(3.0)
    write_continuously(sim)
    sim.run(3.0 + 0.3 * sim.rng.random())
    old_leader = sim.serving()[0] if sim.serving() else sim.leading()[0]
    others = [name for name in sim.hosts if name != old_leader]
    sim.run(sim.now + 0.3 * sim.rng.random())
    sim.partitions |= {(old_leader, name) for name in others}
    if late:  # answers sent before the cut still arrive, and late
        deliver_message = sim.deliver

        def deliver(source, target, *rest):
            sim.at(0.45 if target == old_leader else 0.0, lambda: deliver_message(source, target, *rest))

        sim.deliver = deliver
    else:
        sim.partitions |= {(name, old_leader) for name in others}
    for name in others if restarts else ():
        at = 0.25 * sim.rng.random()
        sim.at(at, lambda name=name: sim.kill(name))
        sim.at(at + 0.05, lambda name=name: sim.start(name))
    cut_at = sim.now
    while not [name for name in sim.serving() if name != old_leader] and sim.now < cut_at + 4.0:
        sim.run(sim.now + 0.01)
    failover_s = sim.now - cut_at
    sim.run(sim.now + 1.0)
    return sim, failover_s


@pytest.mark.parametrize("restarts", (False, True))
def test_a_leader_that_is_cut_off_has_no_lease_once_another_commits(restarts):
    longest = max(leader_cut_off(seed, restarts)[1] for seed in range(RUNS))
    assert longest < 1.5
    for seed in range(RUNS // 4):
        leader_cut_off(seed, restarts, hosts=5, seeds=5, tolerate=2)


@pytest.mark.parametrize(
    "name, arguments",
    (
        ("a lease longer than its grant", {}),
        ("a grant that a restart forgets", {"restarts": True}),
        ("clocks that drift more than stated", {"restarts": True}),
        ("a lease counted from the answer", {"late": True}),
    ),
)
def test_a_fault_in_the_lease_is_detected(name, arguments):
    with with_lease_mutant(name), pytest.raises(ViolationError, match="serves epoch"):
        for seed in range(4 * RUNS):
            leader_cut_off(seed, **arguments)


def test_the_clock_drift_fits_the_durations_of_lease_and_grant():
    assert lease.LEADER_LEASE_S * (1 + lease.CLOCK_DRIFT) < lease.GRANT_S
    assert set(MODULE_PATCHES) >= {
        "a grant by a voter that voted for another",
        "a read confirmed by older answers",
    }


def test_after_a_restart_of_all_processes_an_election_succeeds_once_the_old_primary_ends_its_lease():
    slowest = 0.0
    for seed in range(RUNS):
        sim = Simulation(seed)
        sim.run(3.0)
        for name in sim.hosts:
            sim.kill(name)
        sim.run(3.5)
        for name in sim.hosts:
            sim.start(name)
        while not sim.serving():
            sim.run(sim.now + 0.005)
        slowest = max(slowest, sim.now - 3.5)
    # Without the announcement of the old primary it takes the 0.55 s of a grant, and the vote.
    assert slowest < 0.5


def test_a_leader_that_receives_no_answers_to_its_heartbeats_is_replaced():
    for seed in range(RUNS // 4):
        sim = Simulation(seed)
        sim.run(3.0)
        old_leader = sim.serving()[0]
        sim.partitions |= {(name, old_leader) for name in sim.hosts if name != old_leader}
        sim.run(6.0)
        assert sim.serving() and sim.serving() != [old_leader]


# answers of single nodes


def node(name, view, record=None, seed=1):
    """Returns the core of a node that starts at the time 10.0, in `view` and with an empty document."""
    core = ReplicationCore(
        record
        or NodeRecord(f"{name}/0", AcceptorRecord(view), new_record("", AcceptorRecord(view)).document),
        ("h0", "h1", "h2"),
        1,
        Random(seed),
        10.0,
    )
    return core


def sent(effects, message_type):
    """Returns the messages of this type among the effects."""
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, message_type)
    ]


VIEW = View(4, "h0/0", VOTERS, VOTERS, 77)
NEXT = View(5, "h2/0", ("h1/0", "h2/0"), VOTERS, 78)


def heartbeat(number=1):
    return Heartbeat(VIEW, number, DocumentVersion(), ("h0", "h1", "h2"))


def test_a_vote_is_bound_from_each_answer_on_and_then_free():
    core = node("h1", VIEW)
    prepare, accept = (
        Prepare(VIEW, ProposalNumber(9, "h2/0", 3)),
        Accept(VIEW, ProposalNumber(9, "h2/0", 3), NEXT),
    )
    (answer,) = sent(core.receive(20.0, "h0/0", heartbeat()), HeartbeatAck)
    assert answer.is_lease_granted
    for message in (prepare, accept):
        (rejected,) = sent(core.receive(20.5, "h2/0", message), Rejected)
        assert 0.0 < rejected.lease_remaining_s <= lease.GRANT_S
    effects = core.receive(20.0 + lease.GRANT_S + 0.001, "h2/0", accept) + core.saved(20.6)
    assert sent(effects, Accepted)
    # After its vote it grants no further lease.
    (answer,) = sent(core.receive(20.7, "h0/0", heartbeat(2)), HeartbeatAck)
    assert not answer.is_lease_granted


def test_the_vote_of_a_process_that_has_just_started_is_bound_until_its_primary_ends_the_lease():
    prepare = Prepare(VIEW, ProposalNumber(9, "h2/0", 3))
    assert sent(node("h1", VIEW).receive(10.1, "h2/0", prepare), Rejected)
    freed = node("h1", VIEW)
    freed.receive(10.05, "h2/0", lease_ended(4))  # not from the primary: the vote stays bound
    assert sent(freed.receive(10.06, "h2/0", prepare), Rejected)
    freed.receive(10.05, "h0/0", lease_ended(3))  # an earlier epoch: the vote stays bound
    assert sent(freed.receive(10.06, "h2/0", prepare), Rejected)
    freed.receive(10.05, "h0/0", lease_ended(4))
    assert not sent(freed.receive(10.1, "h2/0", prepare), Rejected)
    # A request of the restarted primary itself is not rejected, nor is one at the first start of the system.
    assert not sent(
        node("h1", VIEW).receive(10.1, "h0/0", Prepare(VIEW, ProposalNumber(9, "h0/0", 3))), Rejected
    )
    genesis = genesis_view(("h0", "h1", "h2"))
    assert not sent(
        node("h1", genesis).receive(10.1, "h2/0", Prepare(genesis, ProposalNumber(9, "h2/0", 3))), Rejected
    )


def lease_ended(epoch):
    from wheatroute.replication.messages import LeaseEnded

    return LeaseEnded(epoch)


def test_a_process_leads_no_view_and_uses_no_proposal_number_of_the_process_before_it():
    first, second = node("h0", View(3, "h1/0", VOTERS, VOTERS, 5)), node("h0", VIEW, seed=2)
    decided = View(4, "h0/0", VOTERS, VOTERS, first._state.incarnation)
    again = node("h0", View(3, "h1/0", VOTERS, VOTERS, 5), seed=2)
    first.receive(11.0, "h1/0", ViewAnnouncement(decided, ()))
    again.receive(11.0, "h1/0", ViewAnnouncement(decided, ()))
    assert first.is_leading and not again.is_leading and not second.is_leading
    assert again.has_given_up_lease
    prepares = [sent(core.tick(13.0), Prepare)[0] for core in (node("h1", VIEW), node("h1", VIEW, seed=2))]
    assert (
        prepares[0].proposal_number.number == prepares[1].proposal_number.number
        and prepares[0] != prepares[1]
    )


# commits while the next view is being decided


def commit_beside_a_new_member(seed, make_core=ReplicationCore):
    """Kills a leader that adds a member, whose vote it has received but which doesn't get the next write.

    Returns the simulation after its recovery.
    """
    sim = Simulation(seed, make_core=make_core)
    sim.run(3.0)
    leader = sim.serving()[0]
    joining_node, other = (name for name in sim.hosts if name != leader)
    sim.kill(joining_node)
    sim.run(5.0)
    deliver_message, voters_answered = sim.deliver, set()

    def deliver(source, target, sender, message):
        if isinstance(message, Accepted) and target == leader and message.epoch >= 2:
            voters_answered.add(source)
            return
        if voters_answered and isinstance(message, Replicate) and target == joining_node:
            return
        deliver_message(source, target, sender, message)

    sim.deliver = deliver
    sim.start(joining_node)
    deadline = sim.now + 3.0
    while not {joining_node, other} <= voters_answered and sim.now < deadline:
        sim.run(sim.now + 0.001)
    sim.write(leader)
    sim.run(sim.now + 0.05)
    sim.deliver = deliver_message
    sim.kill(leader)
    sim.hosts[other].is_disk_failing = True  # so that the new member leads next
    sim.run(sim.now + 1.5)
    sim.hosts[other].is_disk_failing = False
    sim.run(sim.now + 3.0)
    sim.check_recovered()
    return sim


def test_a_write_needs_the_members_of_a_view_that_is_being_decided():
    for seed in range(RUNS // 4):
        commit_beside_a_new_member(seed)


def test_commits_by_the_old_members_alone_are_detected():
    mutant = core_with(documents={"check_commit": commits_by_the_old_members})
    with pytest.raises(ViolationError, match="are lost|two histories"):
        for seed in range(RUNS):
            commit_beside_a_new_member(seed, mutant)


def test_no_patched_constant_stays_patched():
    with nullcontext():
        assert (lease.LEADER_LEASE_S, lease.GRANT_S) == (0.5, 0.55)
