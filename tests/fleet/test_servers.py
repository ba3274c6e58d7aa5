"""Servers that crash, warm up, collapse and are overloaded."""

from fleet.emulated_runs import KINDS, fault, new_world, one_tier, play
from wheatroute.fleet.requests import RequestOutcome


def test_a_crashed_server_comes_back_cold():
    world = new_world(faults=fault("crash", part=0.1, tier=0, length=2.0))
    world.clients.begin()
    world.engine.run(1004.0)
    assert sum(not server.is_alive for server in world.tiers[0]) == 1
    world.engine.run(1005.5)
    back = [server for server in world.tiers[0] if server.started_at]
    assert len(back) == 1 and 0.4 <= back[0].warmup_share() < 0.6


def test_a_server_that_holds_too_much_turns_slow_until_it_was_idle():
    world = play(
        "random",
        length=20.0,
        **one_tier(collapse={"span": 1.0, "rest": 1.0}),
        callers={"load": 0.3, "waves": [{"at": 3.0, "length": 5.0, "times": 6.0}]},
    )
    assert sum(server.collapse.count for server in world.tiers[0]) >= 3
    assert all(not server.collapse.is_collapsed for server in world.tiers[0])


def test_an_overload_outlives_its_trigger_where_clients_retry_without_end():
    def served_at_the_end(retries):
        world = play(
            "random",
            length=40.0,
            nodes=2,
            kinds=KINDS[:1],
            callers={
                "load": 0.7,
                "retries": retries,
                "backoff": 0.05,
                "patience": 0.15,
                "waves": [{"at": 5.0, "length": 5.0, "times": 2.5}],
            },
            **one_tier(cancel="none"),
        )
        end = [request for request in world.clients.requests if request.arrived_at > 1030.0]
        return sum(request.outcome is RequestOutcome.SERVED for request in end) / len(end)

    assert served_at_the_end(0) > 0.8 and served_at_the_end(20) < 0.4
