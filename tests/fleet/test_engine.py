"""Tests the engine of virtual time."""

from wheatroute.fleet.engine import Engine


def test_calls_are_made_in_order_except_cancelled_ones():
    engine, calls = Engine(), []
    engine.call_at(2.0, calls.append, "b")
    engine.call_at(1.0, calls.append, "a")
    cancelled = engine.call_at(2.0, calls.append, "never")
    engine.cancel(cancelled)
    engine.run(3.0)
    assert (calls, engine.now, engine.call_count) == (["a", "b"], 3.0, 2)
