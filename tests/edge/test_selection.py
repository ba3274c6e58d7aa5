"""Tests the ranking of servers: the keyed draw, congestion, and servers to avoid."""

from random import Random

import pytest

from wheatroute.cluster.messages import Instance, InstanceState, ServerLoad
from wheatroute.edge.instances import PendingAttempt, Server
from wheatroute.edge.prompt_headers import PrefixBlock
from wheatroute.edge.selection import MIN_RESPONSE_TIMEOUT_S, ServerSelector

BLOCKS = (PrefixBlock("shared", 4000), PrefixBlock("own", 100))
KEY = "shared"
TARGET_S = 0.8


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def selector(seed=1, clock=None):
    return ServerSelector(0.7, Random(seed), clock or Clock())


def make_servers(count, state=InstanceState.READY, warmup_ms=0.0):
    return [
        Server(Instance(f"i-{n}", "llm", "127.0.0.1:1", "z", 4, state, 1, warmup_ms), 0.0)
        for n in range(count)
    ]


def first(selector, servers, key=KEY, blocks=BLOCKS):
    return selector.rank("llm", servers, key, blocks, TARGET_S)[0].id


def test_all_nodes_draw_the_same_server_for_a_key():
    servers = make_servers(8)
    for key in ("a", "b", "c"):
        assert len({first(selector(seed), servers, key) for seed in range(20)}) == 1
    assert len({first(selector(), servers, f"key-{n}") for n in range(100)}) == 8


def test_without_a_key_servers_are_drawn_at_random():
    servers, ranking = make_servers(4), selector()
    drawn = [first(ranking, servers, None, ()) for _ in range(400)]
    assert all(60 < drawn.count(server.id) < 140 for server in servers)


def test_a_server_that_is_warming_up_is_drawn_half_as_often():
    warm, warming_up = make_servers(2)[0], make_servers(2, warmup_ms=1000.0)[1]
    ranking = selector()
    drawn = [first(ranking, [warm, warming_up], None, ()) for _ in range(600)]
    assert 150 < drawn.count(warming_up.id) < 250


def test_a_congested_server_is_overruled_and_tried_last():
    servers, ranking = make_servers(3), selector()
    preferred = first(ranking, servers)
    ranking.load.set_remote({preferred: ServerLoad(100_000, 8)})
    ranked = ranking.rank("llm", servers, KEY, BLOCKS, TARGET_S)
    assert ranked[-1].id == preferred
    ranking.load.set_remote({preferred: ServerLoad(100, 1)})
    assert first(ranking, servers) == preferred


def test_the_preferred_server_is_expected_to_have_most_of_the_shared_prefix_cached():
    servers, ranking = make_servers(3), selector()
    assert ranking.expected_prefill_tokens(servers[0], KEY, BLOCKS) == 4100
    preferred = ranking.rank("llm", servers, KEY, BLOCKS, TARGET_S)[0]
    assert ranking.expected_prefill_tokens(preferred, KEY, BLOCKS) == pytest.approx(100 + 0.15 * 4000)
    ranking.prefix_cache.record_use(preferred.id, BLOCKS[:1], 0.0)
    assert ranking.expected_prefill_tokens(preferred, KEY, BLOCKS) == 100


def fail(server, clock):
    server.record_failure(clock.now)


def leave_unresponsive(server, clock):
    server.pending[1] = PendingAttempt(clock.now - MIN_RESPONSE_TIMEOUT_S - 0.1, lambda: False)
    server.last_response_at = server.pending[1].started_at


def leave_unacknowledged(server, clock):
    server.pending[1] = PendingAttempt(clock.now - 0.3, lambda: True)


@pytest.mark.parametrize("impair", [fail, leave_unresponsive, leave_unacknowledged])
def test_an_impaired_server_is_tried_last(impair):
    clock = Clock()
    clock.now = 100.0
    servers, ranking = make_servers(3), selector(clock=clock)
    preferred = ranking.rank("llm", servers, KEY, BLOCKS, TARGET_S)[0]
    impair(preferred, clock)
    assert ranking.rank("llm", servers, KEY, BLOCKS, TARGET_S)[-1] is preferred


def test_the_response_timeout_follows_the_p95_above_its_minimum():
    ranking = selector()
    ranking.set_response_timeout(0.0)
    assert ranking.response_timeout_s == MIN_RESPONSE_TIMEOUT_S
    ranking.set_response_timeout(3.0)
    assert ranking.response_timeout_s == 6.0


def test_a_server_that_is_slower_than_expected_gets_fewer_draws():
    clock = Clock()
    servers, ranking = make_servers(2), selector(clock=clock)
    for _ in range(30):
        ranking.record_latency(servers[0], 1000.0, 0.5)
        ranking.record_latency(servers[1], 1000.0, 0.05)
    clock.now = 1.0
    drawn = [first(ranking, servers, None, ()) for _ in range(400)]
    assert drawn.count(servers[0].id) < 120


def test_no_servers_give_an_empty_ranking():
    assert selector().rank("llm", [], KEY, BLOCKS, TARGET_S) == []
