"""Tests the weights of servers by their latency, and the tracking of server load."""

import pytest

from wheatroute.cluster.messages import ServerLoad
from wheatroute.edge.latency_weights import DEAD_BAND_MAX_RATIO, LatencyWeights
from wheatroute.edge.server_load import LoadTracker

SERVERS = ("fast", "mean", "slow")


def learned(samples):
    weights = LatencyWeights()
    for _ in range(samples):
        weights.record("fast", 0.2, 0.0)
        weights.record("mean", 1.1, 0.0)
        weights.record("slow", 9.0, 0.0)
    return weights


def test_weights_are_inverse_to_latency_and_even_near_the_mean():
    weights = learned(samples=20)
    weights.update("llm", SERVERS, 0.0)
    assert weights.relative_latency("mean", 0.0) == weights.relative_latency("unknown", 0.0) == 1.0
    assert weights.weight("fast") > weights.weight("mean") > weights.weight("slow")
    assert weights.weight("slow") >= 0.5 / 3


def test_few_or_old_samples_count_little():
    assert learned(samples=20).relative_latency("slow", 0.0) > learned(samples=1).relative_latency(
        "slow", 0.0
    )
    assert learned(samples=20).relative_latency("slow", 0.0) > DEAD_BAND_MAX_RATIO
    assert learned(samples=20).relative_latency("slow", 10_000.0) == 1.0


def test_weights_are_updated_once_a_second_or_for_other_servers():
    weights = learned(samples=20)
    weights.update("llm", SERVERS, 0.0)
    before = weights.weight("mean")
    for _ in range(100):
        weights.record("mean", 5.0, 0.5)
    weights.update("llm", SERVERS, 0.9)
    assert weights.weight("mean") == before
    weights.update("llm", SERVERS, 1.0)
    assert weights.weight("mean") < before
    weights.update("llm", SERVERS[1:], 1.1)
    assert weights.weight("mean") + weights.weight("slow") == pytest.approx(1.0)


def test_a_server_that_has_left_is_forgotten():
    weights = learned(samples=20)
    weights.update("llm", SERVERS, 0.0)
    weights.forget("slow")
    assert weights.relative_latency("slow", 0.0) == weights.weight("slow") == 1.0


def test_load_is_the_sum_of_this_node_and_all_others():
    load = LoadTracker()
    load.set_remote({"s": ServerLoad(50, 2)})
    assert load.start("s", 100.0) == 150.0
    assert (load.running_requests("s"), load.local()) == (3, {"s": ServerLoad(100, 1)})
    load.end_prefill("s", 100.0)
    load.forget("s")  # no effect, as a request still runs there
    assert (load.queued_tokens("s"), load.running_requests("s")) == (50.0, 3)
    load.end("s")
    assert (load.running_requests("s"), load.local()) == (2, {})
