"""Tests medians and their confidence intervals."""

from random import Random

from wheatroute.fleet import report


def test_the_interval_of_the_median():
    assert (
        report.interval([float(n) for n in range(20)])[:2],
        round(report.interval([1.0, 2.0, 3.0])[2], 2),
    ) == ((5.0, 14.0), 0.75)


def test_the_median():
    assert (report.median([3.0, 1.0, 2.0]), report.median([4.0, 1.0])) == (2.0, 2.5)


def test_intervals_cover_the_median_as_often_as_their_confidence_states():
    rng, covered, confidence = Random(1), 0, 0.0
    for _ in range(2000):
        low, high, confidence = report.interval([rng.random() for _ in range(12)])
        covered += low <= 0.5 <= high
    assert confidence >= 0.95 and covered / 2000 > 0.94
