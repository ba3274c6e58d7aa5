"""Tests of the subset of servers that a node sends to, and of the selection among them."""

from balancer_host import (
    IDEMPOTENT,
    NEVER,
    NON_IDEMPOTENT,
    REPORTS_WAIT,
    SERVED,
    BalancerHost,
    failing_servers,
    run_with_light_reports,
)

from wheatroute.balancing.interface import AttemptOutcome, ServerState


def send_with_hint(host, request_class, work):
    """Adds the arrival of a request with a work hint to the next batch; returns the request's number."""
    number = host.send_request(request_class)
    host.events[-1] = (*host.events[-1], (), work)
    return number


def subset_size(host):
    return len(host.balancer._components.subset.servers)


def test_the_subsets_of_many_nodes_cover_the_tier_evenly():
    entries = [(s, 0, s % 3 > 0, s // 2, ServerState.LIVE, 1.0, 0.0) for s in range(60)]
    hosts = [BalancerHost(entries=entries, nodes=120, node=i).step() for i in range(120)]
    subsets = [host.balancer._components.subset for host in hosts]
    assert all(8 <= len(subset.servers) <= 10 for subset in subsets)
    nodes_per_server = [
        sum(subset.weights.get(s, 0.0) / sum(subset.weights.values()) for subset in subsets)
        for s in range(60)
    ]
    assert 0.75 * 2.0 < min(nodes_per_server) and max(nodes_per_server) < 1.25 * 2.0


def test_a_busy_node_of_many_has_a_larger_subset_than_a_quiet_one():
    quiet, busy = (BalancerHost(40, nodes=300, node=5, **REPORTS_WAIT) for _ in range(2))
    run_with_light_reports(quiet, 8.0, 4)
    run_with_light_reports(busy, 8.0, 100)
    assert subset_size(quiet) == 8 and subset_size(busy) == 40


def test_where_connections_have_a_price_the_subset_is_smaller():
    free, priced = (BalancerHost(40, nodes=300, connection_price=price).run(2.0, 4) for price in (0.0, 0.03))
    assert (subset_size(free), subset_size(priced)) == (8, 4)
    few = BalancerHost(12, nodes=60, connection_price=0.03).run(2.0, 4)
    assert subset_size(few) == 5  # three times as many nodes per server


def test_a_server_without_samples_is_expected_to_be_like_its_model():
    entries = [(s, 0, s % 2, s, ServerState.LIVE, 1.0, 0.0) for s in range(8)]
    host = BalancerHost(entries=entries, answer=lambda s, r: (AttemptOutcome.SERVED, 0.3 if s % 2 else 0.1))
    host.run(0.5, 20).step(0.5)
    host.list_servers([(8 + s, 0, s % 2, 8 + s, ServerState.LIVE, 1.0, 0.0) for s in range(2)])
    host.step(0.005)
    weights = host.balancer._components.subset.weights
    assert weights[8] > 1.4 * weights[9]


def test_an_attempt_in_flight_for_long_counts_before_it_ends():
    host = BalancerHost(answer=lambda s, r: (AttemptOutcome.SERVED, 0.29) if s == 0 and is_slow else SERVED)
    is_slow = False
    host.run(4.0, 40)
    is_slow = True
    # This is too short for the server to count as hanging, and none of these attempts has ended.
    host.run(0.275, 40, request_class=NON_IDEMPOTENT)
    weights = host.balancer._components.subset.weights
    assert 0.0 < weights[0] < 0.95 * weights[1]


def test_the_split_follows_latency_within_its_clamps():
    host = BalancerHost(answer=lambda s, r: (AttemptOutcome.SERVED, (0.02, 0.06, 0.06, 0.06)[s])).run(
        12.0, 20
    )
    since = host.now
    host.run(40.0, 20)
    shares = [host.attempts_to(s, since) / 800 for s in range(4)]
    assert 0.4 < shares[0] <= 0.55 and min(shares[1:]) > 0.125


def test_a_class_that_hangs_at_some_servers_goes_elsewhere_and_takes_no_capacity_from_others():
    def answer(server, attempt):
        return NEVER if server < 2 and attempt[0] % 3 == 0 and host.now > 104.0 else SERVED

    host = BalancerHost(answer=answer)
    for n in range(1200):
        host.send_request(IDEMPOTENT if n % 3 else NON_IDEMPOTENT)
        host.step(0.01)
    sent_later = [
        (number, server) for name, when, number, server in host.commands if name == "attempt" and when > 104.0
    ]
    hanging = [number for number, server in sent_later if number % 3 == 0 and server < 2]
    # At most ten requests, besides the 400 from before the change, were not sent after it.
    assert len(set(host.attempts) - {number for number, _ in sent_later}) <= 410
    assert len(hanging) < 55  # an equal half of 266 would be 133
    assert all(answer == "served" for number, answer in host.final_answers.items() if number % 3)


def test_a_class_is_stuck_only_where_the_server_answers_others_meanwhile():
    host = BalancerHost(answer=failing_servers(0)).run(1.0, 100)
    balancer, servers = host.balancer, host.balancer.servers
    assert len(servers.sent_at[0]) > 1
    # The server answers no request at all, so the class is not the cause.
    assert not balancer._components.subset.stuck_classes(0)
    servers.answered_at[0] = host.now
    assert len(balancer._components.subset.stuck_classes(0)) > 1


def test_a_heavy_request_goes_where_it_can_be_in_time():
    # Of two models one is four times slower; a heavy request is in time only on the fast one.
    entries = [(s, 0, s % 2, s, ServerState.LIVE, 1.0, 0.0) for s in range(8)]
    sizes = {}
    host = BalancerHost(
        entries=entries,
        answer=lambda s, r: (AttemptOutcome.SERVED, 0.1 * sizes[r[0]] * (4.0 if s % 2 else 1.0)),
    )
    for n in range(400):
        number = send_with_hint(host, NON_IDEMPOTENT, 5.0 if n % 10 == 9 else 0.5)
        sizes[number] = 5.0 if n % 10 == 9 else 0.5
        host.step(0.02)
    slow = [n for n in range(100, 400) if sizes[n] > 1.0 and host.attempts[n] and host.attempts[n][0] % 2]
    # There are 30 heavy requests; the split by weight would send every fifth of them to slow servers.
    assert not slow


def test_fewer_requests_leave_the_zone_the_more_a_crossing_costs():
    entries = [BalancerHost.list_entry(s, zone=s // 2) for s in range(4)]
    far = []
    for price in (0.0, 0.05, 1.0):
        host = BalancerHost(entries=entries, crossing_price=price).run(10.0, 20)
        far.append(host.attempts_to(2) + host.attempts_to(3))
    assert 80 < far[0] < 120 and far[0] > far[1] > 1.4 * far[2] > 0


def test_a_zone_with_few_servers_does_not_keep_its_requests_to_them():
    # The node is in the zone of the first server.
    entries = [BalancerHost.list_entry(s, zone=s > 0) for s in range(8)]
    host = BalancerHost(entries=entries, crossing_price=0.02).run(10.0, 40)
    assert host.attempts_to(0) < 0.25 * 400


def test_a_full_server_gets_no_new_attempt_at_once():
    host = BalancerHost(answer=failing_servers(0, outcome=(AttemptOutcome.FULL, 0.002))).run(4.0, 100)
    assert host.attempts_to(0) < 70
    assert all(answer == "served" for answer in list(host.final_answers.values())[:-20])
