"""The judge, the progress and the account: small stories, then many rollouts, good and bad, by seed."""

import random
from collections import Counter

import pytest

from wheatroute.agreement.versions import HistoryError
from wheatroute.net.exchange import Exchange, Response
from wheatroute.rollout import account, plan
from wheatroute.rollout.account import Account
from wheatroute.rollout.controller import Watch
from wheatroute.rollout.judge import Judge, Sequence, Tally, Verdict
from wheatroute.rollout.progress import Kind, Phase, RolloutProgress

STAGES = [
    {"name": "one", "nodes": ["a"], "least": 2.0, "most": 9.0, "ask": True},
    {"name": "rest", "nodes": ["b", "c"], "least": 2.0, "most": 9.0},
]
PLAN = plan.checked({"name": "x", "old": "1", "new": "2", "stages": STAGES, "before": 3.0, "patience": 5.0})


def begun():
    progress = RolloutProgress()
    progress.take(progress.next(Kind.START, plan=PLAN.model_dump()))
    return progress


def rows(**runs):
    return {name: {"runs": program, "changing": False, "failed": []} for name, program in runs.items()}


def step(progress, told, watched=99.0, waited=0.0, verdict=Verdict.UNSURE, broken="", seen_before=True):
    """The next record is taken; its kind."""
    record = progress.step(told, watched, waited, verdict, ["seen"], broken, seen_before)
    if record is not None:
        progress.take(record)
    return record and record["kind"]


# the progress


def test_a_rollout_goes_through_its_stages_and_asks_where_it_was_told_to():
    progress = begun()
    assert step(progress, rows(a="1", b="1", c="1"), watched=2.9) is None
    assert step(progress, rows(a="1", b="1", c="1")) == "stage"
    assert [progress.target(name) for name in "abc"] == ["2", "1", "1"] and progress.target("z") is None
    assert step(progress, rows(a="1", b="1", c="1"), verdict=Verdict.NOT_WORSE) is None  # not changed yet
    assert step(progress, rows(a="2", b="1", c="1"), watched=1.9, verdict=Verdict.NOT_WORSE) is None
    assert step(progress, rows(a="2", b="1", c="1"), verdict=Verdict.NOT_WORSE) == "pass"
    assert step(progress, rows(a="2", b="1", c="1")) == "hold"
    assert step(progress, rows(a="2", b="1", c="1")) is None
    progress.take(progress.next(Kind.GO))
    assert step(progress, rows(a="2", b="1", c="1")) == "stage"
    assert step(progress, rows(a="2", b="2", c="2"), verdict=Verdict.NOT_WORSE) == "pass"
    assert step(progress, rows(a="2", b="2", c="2")) == "end" and progress.phase == Phase.ENDED
    assert progress.target("c") == "2"
    with pytest.raises(HistoryError, match="no rollout is under way"):
        progress.take(progress.next(Kind.BACK, reason="late"))


@pytest.mark.parametrize(
    "how, reason",
    [({"verdict": Verdict.WORSE}, "seen"), ({"broken": "a: 2 ended", "watched": 0.0}, "a: 2 ended")],
)
def test_what_does_worse_is_taken_back_and_the_end_waits_for_all_of_it(how, reason):
    progress = begun()
    step(progress, rows(a="1", b="1", c="1"))
    assert step(progress, rows(a="2", b="1", c="1"), **how) == "back" and progress.reason == reason
    assert step(progress, rows(a="2", b="1", c="1")) is None and progress.target("a") == "1"
    assert step(progress, rows(a="1", b="1", c="1")) == "end" and progress.records[-1]["mixed"] == []


def test_a_node_that_cannot_go_back_is_named_and_holds_nothing_up():
    progress = begun()
    step(progress, rows(a="1", b="1", c="1"))
    progress.take(progress.next(Kind.BACK, reason="by hand"))
    told = rows(a="2", b="1", c="1")
    told["a"]["failed"] = [[progress.number, "1"]]
    assert step(progress, told) == "end" and progress.records[-1]["mixed"] == ["a"]


def test_a_stage_that_does_not_change_in_time_goes_back_and_one_that_sees_too_little_is_held():
    progress = begun()
    step(progress, rows(a="1", b="1", c="1"))
    assert step(progress, rows(a="1", b="1", c="1"), waited=14.9) is None
    assert step(progress, rows(a="1", b="1", c="1"), waited=15.1) == "back" and "a" in progress.reason
    progress = begun()
    step(progress, rows(a="1", b="1", c="1"))
    assert step(progress, rows(a="2", b="1", c="1"), watched=8.0) is None
    assert step(progress, rows(a="2", b="1", c="1"), watched=9.0) == "hold"


def test_a_stage_that_could_never_be_judged_does_not_begin_unless_a_person_says_so():
    """Seven blocks before the change, one too few: nothing seen after it can be judged, however much."""
    watched = frozenset(("refused",))
    judge = Judge({"refused": 0.06}, 0.01)
    for _ in range(7):
        judge.look({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, False)
    for _ in range(500):
        judge.look({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, True)
    assert judge.verdict(watched)[0] == Verdict.UNSURE and not judge.seen_before(watched)
    judge.look({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, False)
    assert judge.verdict(watched)[0] == Verdict.NOT_WORSE and judge.seen_before(watched)
    progress, told = begun(), rows(a="1", b="1", c="1")
    assert step(progress, told, watched=11.9, seen_before=False) is None
    assert step(progress, told, watched=12.1, seen_before=False) == "hold"
    assert "before the stage" in progress.reason and progress.target("a") == "1"
    progress.take(progress.next(Kind.GO))
    assert step(progress, told, seen_before=False) == "stage"
    told = rows(a="2", b="1", c="1")
    assert step(progress, told, verdict=Verdict.NOT_WORSE) == "pass"
    assert step(progress, told) == "hold"  # a person is asked after this stage
    progress.take(progress.next(Kind.GO))
    assert step(progress, told, seen_before=False, watched=3.1) is None  # that go was not about what was seen


def test_no_more_nodes_change_at_once_than_the_plan_lets():
    progress = begun()
    step(progress, rows(a="1", b="1", c="1"))
    step(progress, rows(a="2", b="1", c="1"), verdict=Verdict.NOT_WORSE)
    step(progress, rows(a="2", b="1", c="1"))
    progress.take(progress.next(Kind.GO))
    step(progress, rows(a="2", b="1", c="1"))
    told = rows(a="2", b="1", c="1")
    assert progress.may_change("b", told) and not progress.may_change("c", told)
    told["b"] |= {"runs": "2", "changing": True}  # the old one still leaves
    assert not progress.may_change("c", told)
    told["b"]["changing"] = False
    assert progress.may_change("c", told)


def test_records_out_of_order_of_another_rollout_or_of_a_newer_form_are_not_taken():
    progress = begun()
    for wrong in (
        progress.next(Kind.START, plan=PLAN.model_dump()),
        progress.next(Kind.STAGE, stage=1),
        progress.next(Kind.PASS, stage=0),
        progress.next(Kind.GO),
        progress.next(Kind.STAGE, stage=0) | {"format": 2},
        progress.next(Kind.STAGE, stage=0) | {"before": "x"},
        progress.next(Kind.STAGE, stage=0) | {"kind": "jump"},
    ):
        with pytest.raises(HistoryError):
            progress.take(wrong)
    assert progress.head == 1 and progress.phase == Phase.BEFORE


# the account


def test_an_account_counts_what_became_of_each_request_and_what_was_lost():
    one = Account(
        {"look": 0, "buy": 1},
        {"shop": 0},
        [{"target_latency": 0.5, "worth": 5.0}, {"target_latency": 0.5, "worth": 10.0}],
    )

    def take(number, kind=0):
        exchange = Exchange(b"GET", b"/", b"n", b"", b"")
        exchange.number, exchange.request_class, exchange.tenant, exchange.time_left_s = number, kind, 0, 1.0
        exchange.deadline = 101.0
        one.took(exchange)
        return exchange

    before = one.row(100.0) | {"start": "s", "cpu": 0.0, "memory": 1, "connections": 1}
    for number, (status, at, kind) in enumerate(
        ((200, 100.1, 0), (200, 100.9, 0), (503, 100.1, 1), (502, 100.1, 1))
    ):
        exchange = take(number, kind)
        exchange.response = Response(status)
        one.settled(exchange, at)
    one.left(take(7), 100.5)
    forgotten = take(8)
    after = one.row(100.6) | {"start": "s", "cpu": 2.0, "memory": 1, "connections": 1}
    told = account.tallies(before, after, "east", account.thresholds(account.times([after]), {}))
    assert told["worth"] == Tally(0.5 * 2 + 1.0 * 2, 0.5 * 3 + 1.0 * 2)
    assert told["refused tenant=shop"] == Tally(1, 5) and told["terminated site=east"] == Tally(2, 5)
    assert told["refused class=look"] == Tally(0, 3) and told["cpu"] == Tally(2.0, 5)
    assert after["lost"] == 0 and one.row(101.4)["lost"] == 1
    one.left(forgotten, 103.0)  # its client gave up: it was lost all the same
    assert one.row(104.0)["lost"] == 1
    assert not account.tallies(before, after | {"start": "t"}, "", {})


def test_thresholds_leave_half_and_a_hundredth_beyond():
    times = {str(at): 10 for at in range(100)}
    assert account.thresholds(account.times([{"times": {"look": times}}]), {}) == {"look": (49, 98)}


def test_what_is_slow_is_found_from_what_was_served_since_the_watching_began():
    """Two hundred requests were slow as the nodes started; the hundred since then were not."""
    watch = Watch()
    started = {"times": {"look": {"90": 200}}}
    watch.settle([started], False)
    later = {"times": {"look": {"90": 200, "10": 60, "20": 40}}}
    watch.settle([later], False)
    assert watch.slow == {}
    watch.settle([later], True)
    assert watch.slow == {"look": (10, 20)}
    watch.settle([{"times": {"look": {"90": 900}}}], True)
    assert watch.slow == {"look": (10, 20)}  # until the next stage
    watch.begin()
    watch.settle([later], True)
    assert watch.slow == {}  # nothing was served since


# the judge


def test_what_has_not_happened_yet_is_not_known_to_be_rare():
    one = Sequence()
    for _ in range(8):
        one.add(Tally(0, 20), Tally(0, 20))
    assert one.mean == 0.0 and one.radius(0.01) > 0.02
    again = Sequence.from_kept(one.kept())
    assert again.radius(0.01) == one.radius(0.01)


def play(seed, harm=0.0, share=0.1, rate=400, seconds=120, before=120, skew=0.003):
    """A stage with bursts that both meet, and a node that differs a little by itself; when it stops."""
    chance = random.Random(seed)
    judge = Judge({"refused": 0.01, "worth": 0.02}, 0.005)
    lean, burst = chance.uniform(-skew, skew), 0
    for second in range(before + seconds):
        burst = chance.randrange(2, 9) if chance.random() < 0.04 else max(0, burst - 1)
        usual = 0.06 if burst else 0.005
        load = int(rate * chance.uniform(0.7, 1.3) * (1.5 if burst else 1.0))

        def side(count, refused, extra=0.02):
            bad = sum(chance.random() < refused for _ in range(count))
            return {"refused": Tally(bad, count), "worth": Tally(bad + extra * count, count)}

        mine = max(0.0, usual + lean) + (harm if second >= before else 0.0)
        judge.look(side(int(load * share), mine), side(int(load * (1 - share)), usual), second >= before)
        if second >= before and judge.verdict(frozenset(judge.margins))[0] == Verdict.WORSE:
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
    chance, watch, judge = random.Random(seed), Watch(), Judge({"slow": 0.3}, 0.005)
    times = {name: Counter() for name in "abc"}
    stage = 140  # the look at which node a gets the change

    def row(name, look):
        told = {"look": {str(at): count for at, count in times[name].items()}}
        return {
            "name": name,
            "start": name,
            "beat": look,
            "format": account.FORMAT,
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
                took = usual * chance.lognormvariate(0.0, 0.8) + harm * (name == "a" and look >= stage)
                times[name][account.bound(took)] += 1
        figures = {name: row(name, look) for name in times}
        if look <= 30:
            watch.settle(figures.values(), look == 30)
        did = watch.did(figures, {}, {"b", "c"})
        if look > 30:
            old = {what: did["b"][what] + did["c"][what] for what in did["b"]}
            judge.look(did["a"], old, look >= stage)
    return judge.verdict(frozenset({"slow"}))[0]


def test_a_slower_version_is_found_on_machines_that_have_become_busy_meanwhile():
    """By the times of before the stage 9 of 10 answers of both sides are slow: it was held for good."""
    assert [busier(seed, harm=0.09) for seed in range(8)] == [Verdict.WORSE] * 8


def test_machines_that_have_become_busy_make_no_version_look_slower():
    assert [busier(seed, harm=0.0) for seed in range(8)] == [Verdict.NOT_WORSE] * 8
