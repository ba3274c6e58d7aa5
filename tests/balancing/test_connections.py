"""Tests of connections that are lost while idle and of tiers that accept no new connections."""

from balancer_host import NEVER, SERVED, BalancerHost

from wheatroute.balancing.idle_connections import IdleConnectionStatistics
from wheatroute.balancing.interface import AttemptOutcome


def test_idle_connections_that_lose_attempts_are_closed_before_the_next():
    used = {}

    def answer(server, attempt):
        # An attempt is lost on a connection that was idle for a second or more, unless the node closed it.
        last, used[server] = used.get(server, host.now), host.now
        is_closed = any(
            command[0] == "close" and command[1] >= last and command[2] == server for command in host.commands
        )
        return SERVED if is_closed or host.now - last < 1.0 else NEVER

    host = BalancerHost(8, answer=answer)
    host.run(60.0, 8)
    served = [
        host.final_answers.get(n) == "served" and len(host.attempts[n]) == 1
        for n in range(host.request_count - 6)
    ]
    assert host.command_count("close") > 20
    assert sum(served[-100:]) > 85  # without closing, a third of them would get no answer


def test_attempts_lost_on_all_connections_alike_are_not_attributed_to_idle_time():
    idle = IdleConnectionStatistics()
    idle.answered, idle.lost = [10.0] * 7, [5.0] * 7
    idle.update()
    assert idle.max_idle_s > 1e9  # infinite: no connection is closed


def test_open_connections_stay_in_use_while_a_tier_accepts_no_new_ones():
    is_refusing = [False]

    def answer(server, attempt):
        # A new connection is needed if more attempts are in flight than connections are open.
        counts = host.open.setdefault(server, [0, 0])  # connections in use, connections open
        counts[0] = sum(1 for number, n in host.in_flight if host.attempts[number][n] == server)
        if counts[0] <= counts[1]:
            return SERVED
        if is_refusing[0] and server:
            return AttemptOutcome.UNCONNECTED, 0.1
        counts[1] = counts[0]
        return SERVED

    host = BalancerHost(answer=answer, seed=3)
    host.open = {}
    host.run(4.0, 40)
    is_refusing[0], since, first = True, host.now, host.request_count
    host.run(6.0, 60)
    failed = [n for n in range(first, host.request_count - 20) if host.final_answers.get(n) != "served"]
    assert len(failed) < 10 and all(host.attempts_to(s, since) > 40 for s in range(4))
