"""A leader whose attempt at another view came to nothing: the nodes that it would have added may be lost."""

from replication.simulation import Simulation

from wheatroute.replication.messages import Accept


def test_a_member_that_was_proposed_and_then_lost_holds_no_write_up():
    """Found by the exploration of views: a write waited for that node for as long as it was away."""
    it = Simulation(1)
    it.run(3.0)
    (leader,) = it.serving()
    away = next(name for name in it.hosts if name != leader)
    it.kill(away)
    it.run(6.0)
    assert len(it.hosts[leader].core.view.members) == 2
    lose_votes(it)
    it.start(away)
    while not it.hosts[
        leader
    ].core._proposer.proposed_members:  # it asks for votes on a view with the node that is back
        it.run(it.now + 0.002)
    it.kill(away)
    it.run(it.now + 1.0)
    del it.send  # votes are no longer lost
    it.run(it.now + 2.0)
    it.write(leader)
    it.run(it.now + 1.0)
    assert it.acknowledged


def lose_votes(it):
    """Every question for a vote is lost on its way."""
    send = it.send

    def lossy(source, target, sender, message):
        if not isinstance(message, Accept):
            send(source, target, sender, message)

    it.send = lossy
