"""Tests of the adaptive concurrency limit."""

from random import Random

from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter


def test_the_limits_of_many_nodes_add_up_to_a_small_sum_per_server():
    rng, limiters = Random(1), [ConcurrencyLimiter() for _ in range(200)]
    for limiter in limiters:
        for _ in range(40):
            limiter.in_flight, limiter.served_count = limiter.capacity, 0 if limiter.served_rate else 1
            limiter.servers_per_node = 50 / 200
            limiter.update(0.25, 0.5, 0.4, rng)
    assert 2 * 50 < sum(limiter.capacity for limiter in limiters) < 10 * 50


def test_a_slowdown_of_all_servers_does_not_lower_the_limit_below_what_keeps_them_busy():
    limiter = ConcurrencyLimiter()
    for _ in range(80):
        limiter.in_flight, limiter.served_count = 20, 50
        limiter.servers_per_node = 4.0
        limiter.update(0.25, 0.3, 0.4, Random(1))
    for _ in range(40):
        limiter.in_flight, limiter.served_count = min(20, int(limiter.limit)), 17
        limiter.servers_per_node = 4.0
        limiter.update(0.25, 0.3, 0.4, Random(1))
    # 200 requests per second at 0.1 s were 20 in flight; then the servers have a third of the speed for 10 s.
    assert limiter.limit > 12
