"""Renewal of a view after a failed attempt at another one, whose new members may be lost since."""

from replication.simulation import Simulation

from wheatroute.replication.messages import Accept


def test_a_member_that_was_proposed_and_then_lost_blocks_no_write():
    """A write waited for such a member for as long as it was down.

    The exploration of the membership model found that. The leader now renews its view.
    """
    sim = Simulation(1)
    sim.run(3.0)
    (leader,) = sim.serving()
    absent = next(name for name in sim.hosts if name != leader)
    sim.kill(absent)
    sim.run(6.0)
    assert len(sim.hosts[leader].core.view.members) == 2
    drop_accept_requests(sim)
    sim.start(absent)
    # Until the leader requests votes for a view with the returned node.
    while not sim.hosts[leader].core._proposer.proposed_members:
        sim.run(sim.now + 0.002)
    sim.kill(absent)
    sim.run(sim.now + 1.0)
    del sim.send  # requests for votes are no longer lost
    sim.run(sim.now + 2.0)
    sim.write(leader)
    sim.run(sim.now + 1.0)
    assert sim.acknowledged


def drop_accept_requests(sim):
    """Drops every request for a vote."""
    send = sim.send

    def send_except_accepts(source, target, sender, message):
        if not isinstance(message, Accept):
            send(source, target, sender, message)

    sim.send = send_except_accepts
