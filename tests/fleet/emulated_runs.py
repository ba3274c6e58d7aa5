"""Small emulated runs for the tests of this folder."""

from wheatroute.fleet import plan
from wheatroute.fleet.policies import DESIGN, decision_maker_factory
from wheatroute.fleet.world import World

KINDS = [
    {"name": "look", "work": 0.1},
    {"name": "change", "work": 0.1, "effect": "receipted", "group": "cell"},
    {"name": "buy", "work": 0.1, "effect": "effectful"},
]
SMALL = {
    "length": 12.0,
    "nodes": 4,
    "kinds": KINDS,
    "callers": {"load": 0.4, "retries": 1},
    "network": {"zones": ["x", "y"], "list_delay": 0.5},
    "tiers": [{"name": "front", "servers": 8}, {"name": "back", "servers": 10}],
}


def new_world(policy=DESIGN, seed=1, make_decision_maker=None, **changes):
    """A run of the small plan with changes, built and not played."""
    fleet = plan.parse_plan({**SMALL, **changes})
    return World(fleet, seed, make_decision_maker or decision_maker_factory(policy))


def play(policy=DESIGN, seed=1, make_decision_maker=None, **changes):
    """A run of the small plan with changes, played."""
    return new_world(policy, seed, make_decision_maker, **changes).run()


def one_tier(**changes):
    """Changes that leave one tier."""
    return {"tiers": [{"name": "only", "servers": 6, **changes}]}


def fault(kind, **settings):
    """The faults table of a plan with one fault."""
    return [{"kind": kind, "at": 3.0, "length": 4.0, "part": 0.4, **settings}]
