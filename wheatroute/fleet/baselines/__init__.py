"""Routing policies from the literature, to compare the decision module with. Never used by the product.

They keep the rules on retries and drains, and nothing else: no limits, no early rejection, and no health
check but one that all share, which leaves a server out for a second after a refused connection.
"""

from __future__ import annotations

from wheatroute.fleet.baselines.hedging import DelayedHedging, ImmediateHedging
from wheatroute.fleet.baselines.latency import InverseLatency
from wheatroute.fleet.baselines.least_requests import LeastRequests, PowerOfTwoChoices
from wheatroute.fleet.baselines.oblivious import RandomChoice, RoundRobin
from wheatroute.fleet.baselines.policy import Policy
from wheatroute.fleet.baselines.probing import PooledProbing
from wheatroute.fleet.baselines.true_state import (
    JoinShortestQueue,
    TrueStateAdmission,
    TrueStateTwoChoices,
)

# by the names that experiment files and the command line use; these never change
BASELINES: dict[str, type[Policy]] = {
    "random": RandomChoice,
    "round_robin": RoundRobin,
    "inverse_latency": InverseLatency,
    "least_out": LeastRequests,
    "two_choices": PowerOfTwoChoices,
    "shortest_queue": JoinShortestQueue,
    "two_true_choices": TrueStateTwoChoices,
    "probing": PooledProbing,
    "hedging": DelayedHedging,
    "hedging_all": ImmediateHedging,
    "top": TrueStateAdmission,
}
