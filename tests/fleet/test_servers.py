"""Tests servers that crash, warm up, collapse and are overloaded."""

from fleet.simulated_runs import REQUEST_CLASSES, fault, new_world, one_tier, simulate
from wheatroute.fleet.requests import RequestOutcome


def test_a_crashed_server_restarts_cold():
    world = new_world(faults=fault("crash", part=0.1, tier=0, length=2.0))
    world.clients.begin()
    world.engine.run(1004.0)
    assert sum(not server.is_alive for server in world.tiers[0]) == 1
    world.engine.run(1005.5)
    restarted = [server for server in world.tiers[0] if server.started_at]
    assert len(restarted) == 1 and 0.4 <= restarted[0].warmup_share() < 0.6


def test_a_server_that_holds_too_many_requests_collapses_until_it_was_idle():
    world = simulate(
        "random",
        length=20.0,
        **one_tier(collapse={"span": 1.0, "rest": 1.0}),
        callers={"load": 0.3, "waves": [{"at": 3.0, "length": 5.0, "times": 6.0}]},
    )
    assert sum(server.collapse.count for server in world.tiers[0]) >= 3
    assert all(not server.collapse.is_collapsed for server in world.tiers[0])


def test_an_overload_outlasts_its_trigger_if_clients_retry_many_times():
    def served_at_the_end(retries):
        """Returns the fraction served of the requests that arrive long after the trigger, from 30 s on."""
        world = simulate(
            "random",
            length=40.0,
            nodes=2,
            kinds=REQUEST_CLASSES[:1],
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
