"""Policies that an experiment can name: the decision module and the baselines. No I/O."""

from __future__ import annotations

from random import Random

from wheatroute.balancing.settings import DecisionSettings
from wheatroute.decide import Balancer
from wheatroute.fleet.baselines import BASELINES
from wheatroute.fleet.event_batches import DecisionMaker
from wheatroute.fleet.nodes import DecisionMakerFactory, Node

DESIGN = "design"  # the decision module as it is shipped


def policy_names() -> list[str]:
    """All names, the decision module first."""
    return [DESIGN, *sorted(BASELINES)]


def is_policy(name: str) -> bool:
    """Whether there is a policy of this name."""
    return name == DESIGN or name in BASELINES


def decision_maker_factory(name: str) -> DecisionMakerFactory:
    """Makes the decisions of nodes by a policy; KeyError if there is none of this name."""
    return _make_balancer if name == DESIGN else BASELINES[name]


def _make_balancer(node: Node, settings: DecisionSettings, rng: Random) -> DecisionMaker:
    return Balancer(settings, rng)
