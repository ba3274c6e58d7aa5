"""Tests of the queue and of load shedding."""

from balancer_host import IDEMPOTENT, NON_IDEMPOTENT, BalancerHost, node_at_its_limit

from wheatroute.balancing.interface import AttemptOutcome
from wheatroute.balancing.settings import TenantQuota


def host_with_limited_servers(capacity):
    """Returns a host whose servers slow down in proportion to their attempts in flight above `capacity`."""

    def answer(server, attempt):
        in_flight = sum(1 for number, n in host.in_flight if host.attempts[number][n] == server)
        return AttemptOutcome.SERVED, 0.1 * max(1.0, in_flight / capacity)

    host = BalancerHost(answer=answer)
    return host


def test_a_burst_is_queued_from_the_first_second_and_rejected_early():
    host = host_with_limited_servers(2)
    max_in_flight = 0
    for _ in range(100):
        for _ in range(8):
            host.send_request()
        host.step(0.05)
        max_in_flight = max(max_in_flight, len(host.in_flight))
    # Four servers process 8 requests at a time, so 160 requests per second arrive where 80 can be served.
    assert max_in_flight < 60
    retry_after = [advice_s for name, *_, advice_s in host.commands if name == "rejected"]
    assert len(retry_after) > 200 and all(advice_s > 0 for advice_s in retry_after)
    host.step(3.0)
    assert sum(answer == "served" for answer in host.final_answers.values()) > 300


def test_requests_beyond_a_quota_are_rejected_before_the_more_valuable_rest():
    host = BalancerHost(
        answer=lambda server, attempt: (AttemptOutcome.SERVED, 0.1 * max(1.0, len(host.in_flight) / 8)),
        tenants=[TenantQuota(0.5, 200.0), TenantQuota(0.5, 10.0)],
    )
    beyond_quota = []
    for i in range(600):
        number = host.send_request(IDEMPOTENT, tenant=i % 2)
        if i % 2:
            beyond_quota.append(number)
        host.step(0.005)
    host.step(3.0)
    served = [
        sum(host.final_answers[n] == "served" for n in numbers)
        for numbers in (beyond_quota, [n for n in host.final_answers if n not in set(beyond_quota)])
    ]
    assert served[1] > 1.3 * served[0]


def test_a_burst_after_little_traffic_is_not_rejected():
    # Three at a time, each of which takes 0.1 s, twelve requests are served well within the target latency of
    # 1 s.
    host = node_at_its_limit(reported_load=9.0)
    numbers = [host.send_request() for _ in range(12)]
    host.step(0.8)
    assert [host.final_answers.get(number) for number in numbers] == ["served"] * 12


def test_a_queued_request_does_not_wait_for_its_own_work():
    host = BalancerHost(2, nodes=100, answer=lambda s, r: (AttemptOutcome.SERVED, 0.3)).run(6.0, 1)
    host.balancer._components.limiter.capacity = 0
    number = host.send_request(NON_IDEMPOTENT, time_left=1.5)
    host.step(0.02)
    # At a rate of one request per second this is a second of work, and the request has 1.5 s.
    assert number not in host.final_answers
