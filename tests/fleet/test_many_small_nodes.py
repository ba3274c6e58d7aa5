"""A replica of 193 nodes that each see little: what a node takes for a lack of room must be one."""

import tomllib
from pathlib import Path

from wheatroute.fleet import loss_accounting, plan, results
from wheatroute.fleet.rules import Rule
from wheatroute.fleet.world import World

FILE = Path(__file__).parents[2] / "examples" / "fleet" / "many_small_nodes.toml"


def day(seed, **changes):
    told = tomllib.loads(FILE.read_text(encoding="utf-8"))
    told["callers"].update(changes)
    losses = []
    world = World(
        plan.parse_plan({**told, "length": 6.0}), seed, loss_accounting.loss_noting_factory(losses)
    ).run()
    assert world.rules.counts == dict.fromkeys(Rule, 0), world.rules.violations
    return results.figures(world), losses


def test_nodes_that_see_little_do_not_say_no_while_servers_have_room():
    # 0.945 before servers' reports told of room
    figures, losses = day(1)
    assert figures.value > 0.96
    foretold = [loss for loss in losses if loss.cause == "foretold wait"]
    assert len(foretold) < 0.01 * figures.requests


def test_the_limit_still_holds_a_rush_off_the_servers():
    # without a limit every server of the entry turns slow; 0.37 and 80 of them on a longer day
    figures, losses = day(1, load=1.2)
    assert figures.collapses < 40 and figures.value > 0.55
    # the cause that the test above counts is found by the name of the method that gives up
    assert sum(loss.cause == "foretold wait" for loss in losses) > 0.5 * len(losses)
