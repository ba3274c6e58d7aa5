"""One simulation run of a plan: builds its parts, connects them and runs them. No I/O."""

from __future__ import annotations

from wheatroute.fleet import random_streams
from wheatroute.fleet.calls import CallGraph
from wheatroute.fleet.clients import ClientPopulation
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.faults import FaultInjector
from wheatroute.fleet.membership import Membership
from wheatroute.fleet.network import SimulatedNetwork
from wheatroute.fleet.nodes import DecisionMakerFactory, NodeEnvironment
from wheatroute.fleet.plan import FleetPlan
from wheatroute.fleet.rules import RuleChecker
from wheatroute.fleet.server_list import ServerList
from wheatroute.fleet.servers import Server
from wheatroute.fleet.trace import RequestTrace

START = 1000.0  # virtual time at which a run begins; not 0, because a start time of 0 means long ago
# After the plan's duration, a run continues for DEADLINES_AFTER_END times the longest deadline, plus
# SECONDS_AFTER_END.
DEADLINES_AFTER_END = 1.5
SECONDS_AFTER_END = 1.0


class World:
    """Holds the parts of one run; `make_decision_maker` creates the decision maker of each node.

    Random streams are named after their purpose, so the order in which they are created has no effect. The
    order in which calls are scheduled does have one.
    """

    def __init__(self, plan: FleetPlan, seed: int, make_decision_maker: DecisionMakerFactory) -> None:
        self.plan = plan
        self.engine = Engine(START)
        self.network = SimulatedNetwork(plan.network, random_streams.stream(seed, "network"))
        self.rules = RuleChecker(plan, self.engine)
        self.trace = RequestTrace(self.engine)
        self.tiers: list[list[Server]] = [[] for _ in plan.tiers]
        list_rng = random_streams.stream(seed, "list")
        server_list = ServerList(plan.network, self.engine, self.tiers, list_rng)
        calls = CallGraph(plan, seed, self.engine)
        environment = NodeEnvironment(
            plan, self.engine, self.network, calls, server_list, self.rules, self.trace
        )
        self.membership = Membership(environment, seed, make_decision_maker, self.tiers, server_list, calls)
        self.membership.build()
        self.clients = ClientPopulation(plan, seed, self.engine, self.membership.entry_nodes, self.rules)
        self.faults = FaultInjector(plan, seed, self.engine, self.membership, self.network)
        self.membership.update_periodically()

    def run(self) -> World:
        """Runs the plan for its duration, and then long enough for all requests to be answered."""
        self.clients.begin()
        max_deadline_s = max(request_class.deadline_s for request_class in self.plan.request_classes)
        rest_s = DEADLINES_AFTER_END * max_deadline_s + SECONDS_AFTER_END
        self.engine.run(START + self.plan.duration_s + rest_s)
        for depth in range(len(self.tiers)):
            for node in self.membership.senders(depth):
                self.rules.check_unanswered(node)
        return self
