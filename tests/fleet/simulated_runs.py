"""Small simulated runs for the tests in this folder."""

from wheatroute.fleet import plan
from wheatroute.fleet.policies import DESIGN, decision_maker_factory
from wheatroute.fleet.world import World

REQUEST_CLASSES = [
    {"name": "look", "work": 0.1},
    {"name": "change", "work": 0.1, "effect": "receipted", "group": "cell"},
    {"name": "buy", "work": 0.1, "effect": "effectful"},
]
SMALL_PLAN = {
    "length": 12.0,
    "nodes": 4,
    "kinds": REQUEST_CLASSES,
    "callers": {"load": 0.4, "retries": 1},
    "network": {"zones": ["x", "y"], "list_delay": 0.5},
    "tiers": [{"name": "front", "servers": 8}, {"name": "back", "servers": 10}],
}


def new_world(policy=DESIGN, seed=1, make_decision_maker=None, **changes):
    """Builds a run of the small plan with changes, without simulating it."""
    fleet = plan.parse_plan({**SMALL_PLAN, **changes})
    return World(fleet, seed, make_decision_maker or decision_maker_factory(policy))


def simulate(policy=DESIGN, seed=1, make_decision_maker=None, **changes):
    """Simulates a run of the small plan with changes; returns the run."""
    return new_world(policy, seed, make_decision_maker, **changes).run()


def one_tier(**changes):
    """Returns changes that leave one tier in the plan."""
    return {"tiers": [{"name": "only", "servers": 6, **changes}]}


def fault(kind, **settings):
    """Returns the faults table of a plan with one fault."""
    return [{"kind": kind, "at": 3.0, "length": 4.0, "part": 0.4, **settings}]
