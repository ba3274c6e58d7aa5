"""Canary analysis, progress and request accounting; then simulated rollouts, good and bad, by seed."""

import random
from collections import Counter

import pytest

from wheatroute.agreement.versions import HistoryError
from wheatroute.net.exchange import Exchange, Response
from wheatroute.rollout import figures, plan
from wheatroute.rollout.canary_analysis import CanaryAnalysis, DifferenceSequence, Tally, Verdict
from wheatroute.rollout.figures_watch import FiguresWatch
from wheatroute.rollout.next_step import Observations, next_step
from wheatroute.rollout.progress import Phase, RolloutProgress, StepKind
from wheatroute.rollout.request_accounting import RequestAccounting

STAGES = [
    {"name": "one", "nodes": ["a"], "least": 2.0, "most": 9.0, "ask": True},
    {"name": "rest", "nodes": ["b", "c"], "least": 2.0, "most": 9.0},
]
PLAN = plan.parse_plan(
    {"name": "x", "old": "1", "new": "2", "stages": STAGES, "before": 3.0, "patience": 5.0}
)


def begun():
    progress = RolloutProgress()
    progress.apply(progress.next_record(StepKind.START, plan=PLAN.model_dump()))
    return progress


def supervisors(**runs):
    return {name: {"runs": program, "changing": False, "failed": []} for name, program in runs.items()}


def step(progress, statuses, watched=99.0, waited=0.0, verdict=Verdict.UNSURE, failure="", has_baseline=True):
    """Apply the next record; returns its kind."""
    seen = Observations(statuses, watched, waited, verdict, ["seen"], failure, has_baseline)
    record = next_step(progress, seen)
    if record is not None:
        progress.apply(record)
    return record and record["kind"]


# the progress


def test_a_rollout_goes_through_its_stages_and_asks_where_it_was_told_to():
    progress = begun()
    assert step(progress, supervisors(a="1", b="1", c="1"), watched=2.9) is None
    assert step(progress, supervisors(a="1", b="1", c="1")) == "stage"
    assert [progress.target(name) for name in "abc"] == ["2", "1", "1"] and progress.target("z") is None
    assert (
        step(progress, supervisors(a="1", b="1", c="1"), verdict=Verdict.NOT_WORSE) is None
    )  # not changed yet
    assert step(progress, supervisors(a="2", b="1", c="1"), watched=1.9, verdict=Verdict.NOT_WORSE) is None
    assert step(progress, supervisors(a="2", b="1", c="1"), verdict=Verdict.NOT_WORSE) == "pass"
    assert step(progress, supervisors(a="2", b="1", c="1")) == "hold"
    assert step(progress, supervisors(a="2", b="1", c="1")) is None
    progress.apply(progress.next_record(StepKind.RESUME))
    assert step(progress, supervisors(a="2", b="1", c="1")) == "stage"
    assert step(progress, supervisors(a="2", b="2", c="2"), verdict=Verdict.NOT_WORSE) == "pass"
    assert step(progress, supervisors(a="2", b="2", c="2")) == "end" and progress.phase == Phase.ENDED
    assert progress.target("c") == "2"
    with pytest.raises(HistoryError, match="no rollout is under way"):
        progress.apply(progress.next_record(StepKind.ROLL_BACK, reason="late"))


@pytest.mark.parametrize(
    "how, reason",
    [({"verdict": Verdict.WORSE}, "seen"), ({"failure": "a: 2 ended", "watched": 0.0}, "a: 2 ended")],
)
def test_what_does_worse_is_taken_back_and_the_end_waits_for_all_of_it(how, reason):
    progress = begun()
    step(progress, supervisors(a="1", b="1", c="1"))
    assert step(progress, supervisors(a="2", b="1", c="1"), **how) == "back" and progress.reason == reason
    assert step(progress, supervisors(a="2", b="1", c="1")) is None and progress.target("a") == "1"
    assert step(progress, supervisors(a="1", b="1", c="1")) == "end" and progress.records[-1]["mixed"] == []


def test_a_node_that_cannot_go_back_is_named_and_holds_nothing_up():
    progress = begun()
    step(progress, supervisors(a="1", b="1", c="1"))
    progress.apply(progress.next_record(StepKind.ROLL_BACK, reason="by hand"))
    told = supervisors(a="2", b="1", c="1")
    told["a"]["failed"] = [[progress.number, "1"]]
    assert step(progress, told) == "end" and progress.records[-1]["mixed"] == ["a"]


def test_a_stage_that_does_not_change_in_time_goes_back_and_one_that_sees_too_little_is_held():
    progress = begun()
    step(progress, supervisors(a="1", b="1", c="1"))
    assert step(progress, supervisors(a="1", b="1", c="1"), waited=14.9) is None
    assert step(progress, supervisors(a="1", b="1", c="1"), waited=15.1) == "back" and "a" in progress.reason
    progress = begun()
    step(progress, supervisors(a="1", b="1", c="1"))
    assert step(progress, supervisors(a="2", b="1", c="1"), watched=8.0) is None
    assert step(progress, supervisors(a="2", b="1", c="1"), watched=9.0) == "hold"


def test_a_stage_that_could_never_be_judged_does_not_begin_unless_a_person_says_so():
    """Seven blocks before the change, one too few: nothing seen after it can be judged, however much."""
    watched = frozenset(("refused",))
    analysis = CanaryAnalysis({"refused": 0.06}, 0.01)
    for _ in range(7):
        analysis.add_interval({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, False)
    for _ in range(500):
        analysis.add_interval({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, True)
    assert analysis.verdict(watched)[0] == Verdict.UNSURE and not analysis.has_baseline(watched)
    analysis.add_interval({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, False)
    assert analysis.verdict(watched)[0] == Verdict.NOT_WORSE and analysis.has_baseline(watched)
    progress, told = begun(), supervisors(a="1", b="1", c="1")
    assert step(progress, told, watched=11.9, has_baseline=False) is None
    assert step(progress, told, watched=12.1, has_baseline=False) == "hold"
    assert "before the stage" in progress.reason and progress.target("a") == "1"
    progress.apply(progress.next_record(StepKind.RESUME))
    assert step(progress, told, has_baseline=False) == "stage"
    told = supervisors(a="2", b="1", c="1")
    assert step(progress, told, verdict=Verdict.NOT_WORSE) == "pass"
    assert step(progress, told) == "hold"  # a person is asked after this stage
    progress.apply(progress.next_record(StepKind.RESUME))
    assert (
        step(progress, told, has_baseline=False, watched=3.1) is None
    )  # that go was not about what was seen


def test_no_more_nodes_change_at_once_than_the_plan_lets():
    progress = begun()
    step(progress, supervisors(a="1", b="1", c="1"))
    step(progress, supervisors(a="2", b="1", c="1"), verdict=Verdict.NOT_WORSE)
    step(progress, supervisors(a="2", b="1", c="1"))
    progress.apply(progress.next_record(StepKind.RESUME))
    step(progress, supervisors(a="2", b="1", c="1"))
    told = supervisors(a="2", b="1", c="1")
    assert progress.may_change("b", told) and not progress.may_change("c", told)
    told["b"] |= {"runs": "2", "changing": True}  # the old one still leaves
    assert not progress.may_change("c", told)
    told["b"]["changing"] = False
    assert progress.may_change("c", told)


def test_records_out_of_order_of_another_rollout_or_of_a_newer_form_are_not_taken():
    progress = begun()
    for wrong in (
        progress.next_record(StepKind.START, plan=PLAN.model_dump()),
        progress.next_record(StepKind.STAGE, stage=1),
        progress.next_record(StepKind.PASS, stage=0),
        progress.next_record(StepKind.RESUME),
        progress.next_record(StepKind.STAGE, stage=0) | {"format": 2},
        progress.next_record(StepKind.STAGE, stage=0) | {"before": "x"},
        progress.next_record(StepKind.STAGE, stage=0) | {"kind": "jump"},
    ):
        with pytest.raises(HistoryError):
            progress.apply(wrong)
    assert progress.head == 1 and progress.phase == Phase.BEFORE_STAGE


# the account


def test_an_account_counts_what_became_of_each_request_and_what_was_lost():
    one = RequestAccounting(
        {"look": 0, "buy": 1},
        {"shop": 0},
        [{"target_latency": 0.5, "worth": 5.0}, {"target_latency": 0.5, "worth": 10.0}],
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


def test_thresholds_leave_half_and_a_hundredth_beyond():
    times = {str(at): 10 for at in range(100)}
    assert figures.slow_thresholds(figures.total_durations([{"times": {"look": times}}]), {}) == {
        "look": (49, 98)
    }


def test_what_is_slow_is_found_from_what_was_served_since_the_watching_began():
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


# the analysis


def test_what_has_not_happened_yet_is_not_known_to_be_rare():
    one = DifferenceSequence()
    for _ in range(8):
        one.add(Tally(0, 20), Tally(0, 20))
    assert one.mean == 0.0 and one.sequence_radius(0.01) > 0.02
    again = DifferenceSequence.from_stored(one.to_stored())
    assert again.sequence_radius(0.01) == one.sequence_radius(0.01)


def play(seed, harm=0.0, share=0.1, rate=400, seconds=120, before=120, skew=0.003):
    """A stage with bursts that both meet, and a node that differs a little by itself; when it stops."""
    rng = random.Random(seed)
    analysis = CanaryAnalysis({"refused": 0.01, "worth": 0.02}, 0.005)
    lean, burst = rng.uniform(-skew, skew), 0
    for second in range(before + seconds):
        burst = rng.randrange(2, 9) if rng.random() < 0.04 else max(0, burst - 1)
        usual = 0.06 if burst else 0.005
        load = int(rate * rng.uniform(0.7, 1.3) * (1.5 if burst else 1.0))

        def side(count, refused, extra=0.02):
            bad = sum(rng.random() < refused for _ in range(count))
            return {"refused": Tally(bad, count), "worth": Tally(bad + extra * count, count)}

        mine = max(0.0, usual + lean) + (harm if second >= before else 0.0)
        analysis.add_interval(
            side(int(load * share), mine), side(int(load * (1 - share)), usual), second >= before
        )
        if second >= before and analysis.verdict(frozenset(analysis.margins))[0] == Verdict.WORSE:
            return second - before
    return None


def test_good_versions_are_not_stopped_on_noisy_days_and_bad_ones_are():
    assert sum(play(seed) is not None for seed in range(60)) == 0
    stopped = [play(seed, harm=0.06) for seed in range(20)]
    assert None not in stopped and max(stopped) < 60


def test_a_difference_from_before_the_change_is_not_held_against_it():
    assert all(play(seed, skew=0.03) is None for seed in range(10))


def busier(seed, harm):
    """A node that is slower by `harm` seconds, on machines that become several times as slow meanwhile."""
    rng, watch, analysis = random.Random(seed), FiguresWatch(), CanaryAnalysis({"slow": 0.3}, 0.005)
    times = {name: Counter() for name in "abc"}
    stage = 140  # the look at which node a gets the change

    def row(name, look):
        told = {"look": {str(at): count for at, count in times[name].items()}}
        return {
            "name": name,
            "start": name,
            "beat": look,
            "format": figures.FIGURES_FORMAT,
            "cells": [],
            "worth": {},
            "times": told,
            "cpu": 0.0,
            "memory": 0.0,
            "connections": 0,
        }

    for look in range(stage + 160):
        usual = 0.02 if look < stage else 0.06
        for name in times:
            for _ in range(7):
                took = usual * rng.lognormvariate(0.0, 0.8) + harm * (name == "a" and look >= stage)
                times[name][figures.duration_bucket(took)] += 1
        statuses = {name: row(name, look) for name in times}
        if look <= 30:
            watch.measure_thresholds(statuses.values(), look == 30)
        did = watch.tallies_since_last(statuses, {}, {"b", "c"})
        if look > 30:
            old = {what: did["b"][what] + did["c"][what] for what in did["b"]}
            analysis.add_interval(did["a"], old, look >= stage)
    return analysis.verdict(frozenset({"slow"}))[0]


def test_a_slower_version_is_found_on_machines_that_have_become_busy_meanwhile():
    """By the times of before the stage 9 of 10 answers of both sides are slow: it was held for good."""
    assert [busier(seed, harm=0.09) for seed in range(8)] == [Verdict.WORSE] * 8


def test_machines_that_have_become_busy_make_no_version_look_slower():
    assert [busier(seed, harm=0.0) for seed in range(8)] == [Verdict.NOT_WORSE] * 8
