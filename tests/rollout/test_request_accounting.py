"""Request accounting, the tallies between two figures, and thresholds of slow requests."""

from wheatroute.balancing.settings import RequestClass
from wheatroute.net.exchange import Exchange, Response
from wheatroute.rollout import figures
from wheatroute.rollout.canary_analysis import Tally
from wheatroute.rollout.figures_watch import FiguresWatch
from wheatroute.rollout.request_accounting import RequestAccounting


def test_each_outcome_and_each_loss_is_counted():
    one = RequestAccounting(
        {"look": 0, "buy": 1},
        {"shop": 0},
        [RequestClass(target_latency=0.5, value=5.0), RequestClass(target_latency=0.5, value=10.0)],
    )

    def take(number, kind=0):
        exchange = Exchange(b"GET", b"/", b"n", b"", b"")
        exchange.number, exchange.request_class, exchange.tenant, exchange.time_left_s = number, kind, 0, 1.0
        exchange.deadline = 101.0
        one.request_accepted(exchange)
        return exchange

    before = one.figures(100.0) | {"start": "s", "cpu": 0.0, "memory": 1, "connections": 1}
    for number, (status, at, kind) in enumerate(
        ((200, 100.1, 0), (200, 100.9, 0), (503, 100.1, 1), (502, 100.1, 1))
    ):
        exchange = take(number, kind)
        exchange.response = Response(status)
        one.request_answered(exchange, at)
    one.client_left(take(7), 100.5)
    forgotten = take(8)
    after = one.figures(100.6) | {"start": "s", "cpu": 2.0, "memory": 1, "connections": 1}
    told = figures.tallies_between(
        before, after, "east", figures.slow_thresholds(figures.total_durations([after]), {})
    )
    assert told["worth"] == Tally(0.5 * 2 + 1.0 * 2, 0.5 * 3 + 1.0 * 2)
    assert told["refused tenant=shop"] == Tally(1, 5) and told["terminated site=east"] == Tally(2, 5)
    assert told["refused class=look"] == Tally(0, 3) and told["cpu"] == Tally(2.0, 5)
    assert after["lost"] == 0 and one.figures(101.4)["lost"] == 1
    one.client_left(forgotten, 103.0)  # its client gave up: it was lost all the same
    assert one.figures(104.0)["lost"] == 1
    assert not figures.tallies_between(before, after | {"start": "t"}, "", {})


def test_thresholds_are_the_median_and_the_99th_percentile():
    times = {str(at): 10 for at in range(100)}
    assert figures.slow_thresholds(figures.total_durations([{"times": {"look": times}}]), {}) == {
        "look": (49, 98)
    }


def test_thresholds_come_from_what_was_served_since_watching_began():
    """Two hundred requests were slow as the nodes started; the hundred since then were not."""
    watch = FiguresWatch()
    started = {"times": {"look": {"90": 200}}}
    watch.measure_thresholds([started], False)
    later = {"times": {"look": {"90": 200, "10": 60, "20": 40}}}
    watch.measure_thresholds([later], False)
    assert watch.thresholds == {}
    watch.measure_thresholds([later], True)
    assert watch.thresholds == {"look": (10, 20)}
    watch.measure_thresholds([{"times": {"look": {"90": 900}}}], True)
    assert watch.thresholds == {"look": (10, 20)}  # until the next stage
    watch.begin_stage()
    watch.measure_thresholds([later], True)
    assert watch.thresholds == {}  # nothing was served since
