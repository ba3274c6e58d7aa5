"""Canary analysis: single sequences, then simulated versions, good and bad, by seed."""

import random
from collections import Counter

from wheatroute.rollout import figures
from wheatroute.rollout.canary_analysis import CanaryAnalysis, DifferenceSequence, Tally, Verdict
from wheatroute.rollout.figures_watch import FiguresWatch
from wheatroute.rollout.statuses import NodeFigures, ProcessFigures, RequestFigures


def test_an_event_that_has_not_happened_still_has_variance():
    one = DifferenceSequence()
    for _ in range(8):
        one.add(Tally(0, 20), Tally(0, 20))
    assert one.mean == 0.0 and one.sequence_radius(0.01) > 0.02
    again = DifferenceSequence.from_stored(one.to_stored())
    assert again.sequence_radius(0.01) == one.sequence_radius(0.01)


def simulated_stop(seed, harm=0.0, share=0.1, rate=400, seconds=120, before=120, skew=0.003):
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


def test_bad_versions_are_stopped_and_good_ones_are_not():
    assert sum(simulated_stop(seed) is not None for seed in range(60)) == 0
    stopped = [simulated_stop(seed, harm=0.06) for seed in range(20)]
    assert None not in stopped and max(stopped) < 60


def test_a_difference_from_before_the_change_does_not_count():
    assert all(simulated_stop(seed, skew=0.03) is None for seed in range(10))


def verdict_on_busier_machines(seed, harm):
    """A node that is slower by `harm` seconds, on machines that become several times as slow meanwhile."""
    rng, watch, analysis = random.Random(seed), FiguresWatch(), CanaryAnalysis({"slow": 0.3}, 0.005)
    times = {name: Counter() for name in "abc"}
    stage = 140  # the look at which node a gets the change

    def row(name, look):
        process = ProcessFigures(
            name=name,
            incarnation=name,
            program="",
            heartbeat=look,
            is_ready=True,
            is_stopping=False,
            cpu_s=0.0,
            memory_bytes=0,
            open_connections=0,
        )
        durations = {"look": dict(times[name])}
        return NodeFigures(process, RequestFigures(lost=0, outcomes=[], durations=durations, values={}))

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


def test_a_slower_version_is_found_on_machines_that_become_busier():
    """By the times of before the stage 9 of 10 answers of both sides are slow: it was held for good."""
    assert [verdict_on_busier_machines(seed, harm=0.09) for seed in range(8)] == [Verdict.WORSE] * 8


def test_busier_machines_do_not_make_a_version_look_slower():
    assert [verdict_on_busier_machines(seed, harm=0.0) for seed in range(8)] == [Verdict.NOT_WORSE] * 8
