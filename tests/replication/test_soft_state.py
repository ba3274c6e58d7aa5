"""Replication of the leader's soft state to every member over links that lose messages."""

from wheatroute.replication.effects import Send
from wheatroute.replication.messages import SoftStateAck, SoftStateUpdate
from wheatroute.replication.soft_state import RESEND_INTERVAL_S, ReplicatedSoftState

OWN, SECOND, THIRD = "10.0.0.1/a", "10.0.0.2/b", "10.0.0.3/c"
MEMBERS = (OWN, SECOND, THIRD)
HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
FIRST = SoftStateUpdate(4, 1, b"servers")


def published_at(now):
    state = ReplicatedSoftState(OWN)
    sent = state.publish(now, 4, b"servers", HOSTS)
    return state, sent


def test_soft_state_is_sent_to_all_others_and_is_complete_once_each_has_acknowledged_it():
    state, sent = published_at(1.0)
    assert sent == [Send("10.0.0.2", FIRST), Send("10.0.0.3", FIRST)]
    state.on_ack(SECOND, SoftStateAck(4, 1))
    assert state.missing_acks(MEMBERS, state.version) == [THIRD]
    state.on_ack(THIRD, SoftStateAck(4, 1))
    assert state.missing_acks(MEMBERS, state.version) == []


def test_lost_soft_state_is_sent_again_only_to_the_member_that_lacks_it():
    state, _ = published_at(1.0)
    state.on_ack(SECOND, SoftStateAck(4, 1))
    assert state.resend(1.0 + RESEND_INTERVAL_S / 2, 4, MEMBERS) == []
    assert state.resend(1.0 + 1.1 * RESEND_INTERVAL_S, 4, MEMBERS) == [Send("10.0.0.3", FIRST)]
    assert state.resend(1.0 + 1.6 * RESEND_INTERVAL_S, 4, MEMBERS) == []
    state.on_ack(THIRD, SoftStateAck(4, 1))
    assert state.resend(9.0, 4, MEMBERS) == []


def test_a_new_member_of_the_view_gets_soft_state_at_once():
    state, _ = published_at(1.0)
    state.on_ack(SECOND, SoftStateAck(4, 1))
    state.on_ack(THIRD, SoftStateAck(4, 1))
    assert state.resend(1.01, 4, (*MEMBERS, "10.0.0.4/d")) == [Send("10.0.0.4", FIRST)]


def test_an_acknowledgement_of_an_older_version_does_not_count_for_the_newest():
    state, _ = published_at(1.0)
    state.publish(1.2, 4, b"more servers", HOSTS)
    state.on_ack(SECOND, SoftStateAck(4, 2))
    state.on_ack(SECOND, SoftStateAck(4, 1))  # late
    state.on_ack(THIRD, SoftStateAck(4, 1))
    assert state.missing_acks(MEMBERS, (4, 1)) == [] and state.missing_acks(MEMBERS, (4, 2)) == [THIRD]


def test_a_leader_does_not_resend_soft_state_of_another_epoch():
    state, _ = published_at(1.0)
    assert state.resend(9.0, 5, MEMBERS) == []
    assert ReplicatedSoftState(OWN).resend(9.0, 5, MEMBERS) == []


def test_only_newer_soft_state_is_stored_and_a_new_leader_continues_its_numbers():
    state = ReplicatedSoftState(OWN)
    assert state.receive(SoftStateUpdate(4, 7, b"")) and not state.receive(SoftStateUpdate(4, 6, b""))
    assert not state.receive(SoftStateUpdate(3, 9, b""))
    state.publish(1.0, 5, b"", HOSTS)
    assert state.version == (5, 8)
