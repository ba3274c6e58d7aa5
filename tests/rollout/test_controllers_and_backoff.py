"""Which controller acts, and the backoff before a process is restarted."""

from wheatroute.rollout.controller_order import EXPIRED_TURNS, TAKEOVER_TURNS, ControllerOrder
from wheatroute.rollout.restart_backoff import MAX_RESTART_BACKOFF_S, STABLE_AFTER_S, RestartBackoff
from wheatroute.rollout.statuses import ControllerStatus


def controller(incarnation, heartbeat):
    return ControllerStatus(incarnation=incarnation, heartbeat=heartbeat, findings=[], applied_record=0)


def test_a_controller_acts_once_those_before_it_have_no_new_heartbeats():
    order = ControllerOrder("b")
    turns = [order.is_first([controller("a", 1), controller("b", turn)]) for turn in range(EXPIRED_TURNS + 1)]
    assert turns == [False] * TAKEOVER_TURNS + [True] * (EXPIRED_TURNS + 1 - TAKEOVER_TURNS)
    assert order.expired_keys == ["controller.a"]
    assert not order.is_first([controller("a", 2), controller("b", 99)]) and order.expired_keys == []


def test_the_restart_backoff_doubles_with_each_crash_until_a_process_is_stable():
    backoff, waits = RestartBackoff(), []
    assert backoff.is_over(0.0)
    for _ in range(9):
        backoff.process_ended(100.0, lived_s=1.0)
        waits.append(next(wait for wait in range(1, 400) if backoff.is_over(100.0 + wait / 10.0)) / 10.0)
    assert waits == [0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6, MAX_RESTART_BACKOFF_S, MAX_RESTART_BACKOFF_S]
    backoff.process_ended(100.0, lived_s=STABLE_AFTER_S)
    assert not backoff.is_over(100.1) and backoff.is_over(100.2)
