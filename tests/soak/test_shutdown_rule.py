"""Tests the rule by which the soak judges stops, on exchanges that are written down."""

import signal

import pytest
from soak.shutdown_rule import (
    Exchange,
    NodeLife,
    OwnLateness,
    ServerRun,
    violations_of_exchange,
    violations_of_life,
)

GRACE_S = 6.0


def exchange(
    sent_at, ended_at, runs=(), status=0, body=b"", is_whole=False, kind="stream", follows_close=False
):
    """Returns an exchange at a node that got SIGTERM at 10.0."""
    life = NodeLife("edge-1", started_at=0.0, stopped_at=10.0)
    made = Exchange("x1", kind, life, 8.0, follows_close, sent_at, sent_at, ended_at, status, body, is_whole)
    made.runs = [ServerRun(begun_at) for begun_at in runs]
    return made


@pytest.mark.parametrize(
    ("broken", "fields"),
    [
        (["lost"], {"sent_at": 13.5, "ended_at": 15.5, "runs": [13.6]}),  # taken late, and cut
        ([], {"sent_at": 12.5, "ended_at": 15.5, "runs": [12.6]}),  # came early, still running at the end
        ([], {"sent_at": 13.05, "ended_at": 15.5, "runs": [12.9]}),  # noted late by the observer
        (["lost"], {"sent_at": 12.5, "ended_at": 13.0, "runs": [12.6]}),  # cut before the end
        ([], {"sent_at": 13.5, "ended_at": 13.6}),  # crossed the end of its connection
        (["lost"], {"sent_at": 13.5, "ended_at": 14.0}),  # read or left unread, and never answered
        ([], {"sent_at": 13.5, "ended_at": 14.0, "follows_close": True}),
        (["lost"], {"sent_at": 5.0, "ended_at": 6.0, "runs": [5.1]}),  # before the stop
        (
            ["refused, but ran"],
            {"sent_at": 9.0, "ended_at": 9.5, "runs": [9.1], "status": 503, "is_whole": True},
        ),
        (
            ["refused while there was time"],
            {"sent_at": 12.0, "ended_at": 12.1, "status": 503, "body": b"stopping\n", "is_whole": True},
        ),
        ([], {"sent_at": 14.0, "ended_at": 14.1, "status": 503, "body": b"stopping\n", "is_whole": True}),
        (
            ["ran twice"],
            {"sent_at": 9.0, "ended_at": 9.5, "runs": [9.1, 9.2], "status": 200, "is_whole": True},
        ),
    ],
)
def test_each_way_to_lose_a_request_is_a_violation(broken, fields):
    assert violations_of_exchange(exchange(**fields), GRACE_S, OwnLateness()) == broken


def test_the_time_in_which_the_observer_stood_still_is_not_counted():
    lateness = OwnLateness()
    lateness.record(13.9, 0.35)
    crossed = exchange(sent_at=13.5, ended_at=14.0)
    assert violations_of_exchange(crossed, GRACE_S, lateness) == []
    assert lateness.between(13.8, 13.85) == pytest.approx(0.05) and lateness.between(14.0, 15.0) == 0.0


def test_a_stopped_process_ends_in_time_and_with_status_0():
    life = NodeLife("edge-1", started_at=0.0, stopped_at=10.0, ended_at=16.5, exit_status=-signal.SIGTERM)
    life.has_answered = True
    assert len(violations_of_life(life, GRACE_S, OwnLateness())) == 2
    life.ended_at, life.exit_status = 15.0, 0
    assert violations_of_life(life, GRACE_S, OwnLateness()) == []
