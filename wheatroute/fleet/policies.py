"""Policies that an experiment can name: the shipped balancer and the baselines. No I/O."""

from __future__ import annotations

from random import Random

from wheatroute.balancing.settings import DecisionSettings
from wheatroute.decide import Balancer
from wheatroute.fleet.baselines import BASELINES
from wheatroute.fleet.event_batches import DecisionMaker
from wheatroute.fleet.nodes import DecisionMakerFactory, Node

DESIGN = "design"  # policy name of the shipped balancer, `wheatroute/decide.py`


def policy_names() -> list[str]:
    """Returns the names of all policies, that of the shipped balancer first."""
    return [DESIGN, *sorted(BASELINES)]


def is_policy(name: str) -> bool:
    """Returns whether there is a policy with this name."""
    return name == DESIGN or name in BASELINES


def decision_maker_factory(name: str) -> DecisionMakerFactory:
    """Returns a factory for the decisions of nodes under a policy; raises KeyError for an unknown name."""
    return _make_balancer if name == DESIGN else BASELINES[name]


def _make_balancer(node: Node, settings: DecisionSettings, rng: Random) -> DecisionMaker:
    return Balancer(settings, rng)
