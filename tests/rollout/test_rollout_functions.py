"""Unit tests of single functions without sockets or clocks."""

from wheatroute.rollout import figures


def test_duration_bucket():
    assert (
        figures.duration_bucket(1.0),
        figures.duration_bucket(1.04),
        figures.duration_bucket(1.06),
        figures.duration_bucket(0.0),
    ) == (
        0,
        0,
        1,
        -284,
    )
