"""Tests of single functions of the balancer, without sockets or a clock."""

from wheatroute.balancing.idle_connections import IdleConnectionStatistics
from wheatroute.balancing.ready_servers import ReadyServers


def test_idle_connections_bucket():
    assert [IdleConnectionStatistics().bucket(idle) for idle in (0.0, 0.4, 0.5, 1.0, 1.9, 2.0, 900.0)] == [
        0,
        0,
        1,
        2,
        2,
        3,
        6,
    ]


def test_ready_servers_ring():
    ready = ReadyServers()
    for server, model in ((5, 1), (2, 0), (3, 1), (9, 0), (4, 0)):
        ready.add((0, model), server)
    ready.remove((0, 0), 2)
    assert ready.ring() == [3, 4, 5, 9]
