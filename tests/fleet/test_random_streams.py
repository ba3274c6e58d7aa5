"""Tests random streams, and uniform draws that depend only on their keys."""

from wheatroute.fleet import random_streams


def test_a_stream_depends_on_its_purpose():
    assert (
        random_streams.stream(1, "works").random()
        == random_streams.stream(1, "works").random()
        != random_streams.stream(1, "faults").random()
    )


def test_a_uniform_draw_depends_on_all_keys_and_their_order():
    assert (
        0.0 < random_streams.uniform(1, 2) < 1.0,
        random_streams.uniform(1, 2) == random_streams.uniform(1, 2),
        random_streams.uniform(1, 2) == random_streams.uniform(2, 1),
    ) == (True, True, False)
