"""Request accounting, the tallies between two reports of figures, and the thresholds of slow requests."""

import orjson

from wheatroute.balancing.settings import RequestClass
from wheatroute.net.exchange import Exchange, Response
from wheatroute.rollout import figures, statuses
from wheatroute.rollout.canary_analysis import Tally
from wheatroute.rollout.figures_watch import FiguresWatch
from wheatroute.rollout.request_accounting import RequestAccounting

PROCESS = {
    "row": "figures",
    "name": "n0",
    "start": "s",
    "program": "v1",
    "beat": 1,
    "ready": True,
    "stopping": False,
    "cpu": 0.0,
    "memory": 1,
    "connections": 1,
}


def node_figures(document, **process):
    """Returns the figures of a node as another process reads them."""
    return statuses.parse_figures(orjson.loads(orjson.dumps(document | PROCESS | process)))


def served_in(buckets):
    """Returns the figures of a node that has served the given number of requests in each duration bucket."""
    empty = {"format": 1, "lost": 0, "cells": [], "worth": {}}
    times = {"look": {str(bucket): count for bucket, count in buckets.items()}}
    return node_figures(empty | {"times": times})


def test_every_outcome_and_every_lost_request_is_counted():
    accounting = RequestAccounting(
        {"look": 0, "buy": 1},
        {"shop": 0},
        [RequestClass(target_latency=0.5, value=5.0), RequestClass(target_latency=0.5, value=10.0)],
    )

    def accept(number, request_class=0):
        exchange = Exchange(b"GET", b"/", b"n", b"", b"")
        exchange.number, exchange.request_class, exchange.tenant, exchange.time_left_s = (
            number,
            request_class,
            0,
            1.0,
        )
        exchange.deadline = 101.0
        accounting.request_accepted(exchange)
        return exchange

    before = node_figures(accounting.figures(100.0), cpu=0.0)
    for number, (status, at, request_class) in enumerate(
        ((200, 100.1, 0), (200, 100.9, 0), (503, 100.1, 1), (502, 100.1, 1))
    ):
        exchange = accept(number, request_class)
        exchange.response = Response(status)
        accounting.request_answered(exchange, at)
    accounting.client_left(accept(7), 100.5)
    unanswered = accept(8)
    after = node_figures(accounting.figures(100.6), cpu=2.0)
    tallies = figures.tallies_between(
        before, after, "east", figures.slow_thresholds(figures.total_durations([after.requests]), {})
    )
    assert tallies["worth"] == Tally(0.5 * 2 + 1.0 * 2, 0.5 * 3 + 1.0 * 2)
    assert tallies["refused tenant=shop"] == Tally(1, 5) and tallies["terminated site=east"] == Tally(2, 5)
    assert tallies["refused class=look"] == Tally(0, 3) and tallies["cpu"] == Tally(2.0, 5)
    assert after.requests.lost == 0 and accounting.figures(101.4)["lost"] == 1
    accounting.client_left(unanswered, 103.0)  # still counts as lost after its client has left
    assert accounting.figures(104.0)["lost"] == 1
    restarted = node_figures(accounting.figures(100.6), cpu=2.0, start="t")
    assert not figures.tallies_between(before, restarted, "", {})


def test_thresholds_are_the_median_and_the_99th_percentile():
    served = served_in({at: 10 for at in range(100)})
    assert figures.slow_thresholds(figures.total_durations([served.requests]), {}) == {"look": (49, 98)}


def test_thresholds_come_from_what_was_served_since_watching_began():
    """200 requests were slow while the nodes started; the 100 requests since then were not."""
    watch = FiguresWatch()
    at_start = served_in({90: 200})
    watch.measure_thresholds([at_start], False)
    later = served_in({90: 200, 10: 60, 20: 40})
    watch.measure_thresholds([later], False)
    assert watch.thresholds == {}
    watch.measure_thresholds([later], True)
    assert watch.thresholds == {"look": (10, 20)}
    watch.measure_thresholds([served_in({90: 900})], True)
    assert watch.thresholds == {"look": (10, 20)}  # kept until the next stage
    watch.begin_stage()
    watch.measure_thresholds([later], True)
    assert watch.thresholds == {}  # nothing was served since the stage began
