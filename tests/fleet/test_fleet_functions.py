"""What single functions give, one after the other; no sockets, no clock."""

from wheatroute.fleet import distributions, engine, experiment, random_streams, report, scenarios


def test_distributions():
    exponential = distributions.distribution("exponential", 2.0)
    assert [round(exponential(one), 3) for one in (0.1, 0.5, 0.9)] == [0.211, 1.386, 4.605]
    assert distributions.distribution("none", 2.0)(0.3) == 2.0
    assert round(distributions.distribution("bimodal", 1.0, 2.0)(0.999), 1) == 9.0


def test_chance_stream():
    assert (
        random_streams.stream(1, "works").random()
        == random_streams.stream(1, "works").random()
        != random_streams.stream(1, "faults").random()
    )


def test_chance_uniform():
    assert (
        0.0 < random_streams.uniform(1, 2) < 1.0,
        random_streams.uniform(1, 2) == random_streams.uniform(1, 2),
        random_streams.uniform(1, 2) == random_streams.uniform(2, 1),
    ) == (True, True, False)


def test_engine_engine():
    one, seen = engine.Engine(), []
    one.call_at(2.0, seen.append, "b")
    one.call_at(1.0, seen.append, "a")
    late = one.call_at(2.0, seen.append, "never")
    one.cancel(late)
    one.run(3.0)
    assert (seen, one.now, one.call_count) == (["a", "b"], 3.0, 2)


def test_experiment_set_by_path():
    told = {"callers": {"load": 0.5}, "tiers": [{"servers": 3}]}
    experiment.set_by_path(told, "callers.load", 0.7)
    experiment.set_by_path(told, "tiers.0.servers", 9)
    assert told == {"callers": {"load": 0.7}, "tiers": [{"servers": 9}]}


def test_report_interval():
    assert (
        report.interval([float(n) for n in range(20)])[:2],
        round(report.interval([1.0, 2.0, 3.0])[2], 2),
    ) == ((5.0, 14.0), 0.75)


def test_report_median():
    assert (report.median([3.0, 1.0, 2.0]), report.median([4.0, 1.0])) == (2.0, 2.5)


def test_scenarios_day():
    assert (scenarios.day("calm", 100)["nodes"], scenarios.day("crash", 8)["faults"][0]["kind"]) == (
        20,
        "crash",
    )
