"""Routing policies from the literature, as baselines for the decision module. Never used in production.

They follow the rules on retries and drains and do nothing else: they have no concurrency limits, and only
`TrueStateAdmission` rejects requests early. The only health check, the same in all of them, excludes a server
for one second after a refused connection.
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

# Policies by the names in experiment files and on the command line; these names must never change.
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
