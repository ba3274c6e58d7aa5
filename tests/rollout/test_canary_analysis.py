"""Canary analysis of single sequences, and of simulated good and bad versions with fixed seeds."""

import random
from collections import Counter

from wheatroute.rollout import figures
from wheatroute.rollout.canary_analysis import CanaryAnalysis, DifferenceSequence, Tally, Verdict
from wheatroute.rollout.figures_watch import FiguresWatch
from wheatroute.rollout.statuses import NodeFigures, ProcessFigures, RequestFigures


def test_an_event_that_has_not_happened_still_has_variance():
    sequence = DifferenceSequence()
    for _ in range(8):
        sequence.add(Tally(0, 20), Tally(0, 20))
    assert sequence.mean == 0.0 and sequence.sequence_radius(0.01) > 0.02
    restored = DifferenceSequence.from_stored(sequence.to_stored())
    assert restored.sequence_radius(0.01) == sequence.sequence_radius(0.01)


def simulated_stop(seed, harm=0.0, share=0.1, rate=400, seconds=120, before=120, skew=0.003):
    """Simulates a stage with bursts that hit both sides; returns the second in which it is stopped, or None.

    The new side gets the fraction `share` of `rate` requests per second. After the change it rejects the
    fraction `harm` of its requests in addition; the fractions of the two sides differ by up to `skew` anyway.
    """
    rng = random.Random(seed)
    analysis = CanaryAnalysis({"refused": 0.01, "worth": 0.02}, 0.005)
    bias, burst = rng.uniform(-skew, skew), 0
    for second in range(before + seconds):
        burst = rng.randrange(2, 9) if rng.random() < 0.04 else max(0, burst - 1)
        usual = 0.06 if burst else 0.005
        load = int(rate * rng.uniform(0.7, 1.3) * (1.5 if burst else 1.0))

        def side(count, rejected_fraction, extra=0.02):
            bad = sum(rng.random() < rejected_fraction for _ in range(count))
            return {"refused": Tally(bad, count), "worth": Tally(bad + extra * count, count)}

        new_fraction = max(0.0, usual + bias) + (harm if second >= before else 0.0)
        analysis.add_interval(
            side(int(load * share), new_fraction), side(int(load * (1 - share)), usual), second >= before
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
    """Returns the verdict on a node that gets `harm` seconds slower as all machines slow down threefold."""
    rng, watch, analysis = random.Random(seed), FiguresWatch(), CanaryAnalysis({"slow": 0.3}, 0.005)
    times = {name: Counter() for name in "abc"}
    stage_start = 140  # number of the read at which node a changes

    def figures_of(name, read):
        process = ProcessFigures(
            name=name,
            incarnation=name,
            program="",
            heartbeat=read,
            is_ready=True,
            is_stopping=False,
            cpu_s=0.0,
            memory_bytes=0,
            open_connections=0,
        )
        durations = {"look": dict(times[name])}
        return NodeFigures(process, RequestFigures(lost=0, outcomes=[], durations=durations, values={}))

    for read in range(stage_start + 160):
        usual = 0.02 if read < stage_start else 0.06
        for name in times:
            for _ in range(7):
                took = usual * rng.lognormvariate(0.0, 0.8) + harm * (name == "a" and read >= stage_start)
                times[name][figures.duration_bucket(took)] += 1
        statuses = {name: figures_of(name, read) for name in times}
        if read <= 30:
            watch.measure_thresholds(statuses.values(), read == 30)
        tallies = watch.tallies_since_last(statuses, {}, {"b", "c"})
        if read > 30:
            old = {metric: tallies["b"][metric] + tallies["c"][metric] for metric in tallies["b"]}
            analysis.add_interval(tallies["a"], old, read >= stage_start)
    return analysis.verdict(frozenset({"slow"}))[0]


def test_a_slower_version_is_found_on_machines_that_become_busier():
    """Guards against thresholds from before the stage only.

    With those, 9 of 10 responses of both sides counted as slow once the machines were busier; no verdict was
    possible and the rollout was held forever.
    """
    assert [verdict_on_busier_machines(seed, harm=0.09) for seed in range(8)] == [Verdict.WORSE] * 8


def test_busier_machines_do_not_make_a_version_look_slower():
    assert [verdict_on_busier_machines(seed, harm=0.0) for seed in range(8)] == [Verdict.NOT_WORSE] * 8
