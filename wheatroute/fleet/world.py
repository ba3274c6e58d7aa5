"""One run: the fleet that a plan describes, built and played, with its figures at the end.

Owns how the parts meet: calls from tier to tier, the list and its delays, starts and ends of servers with the
nodes beside them. It decides nothing, and draws only from streams named after their purpose.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import floor
from random import Random
from typing import Any

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency, Outcome, ServerState
from wheatroute.balancing.settings import DecisionSettings, RequestClass, TenantQuota
from wheatroute.fleet import distributions, random_streams
from wheatroute.fleet.clients import Crowd
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.faults import Script
from wheatroute.fleet.jobs import Job
from wheatroute.fleet.network import SimulatedNetwork
from wheatroute.fleet.nodes import LISTED_LATE, Attempt, Decisions, Node, Request
from wheatroute.fleet.plan import FleetPlan, ServerModel, Tier
from wheatroute.fleet.rules import Watch
from wheatroute.fleet.servers import UPDATE_INTERVAL_S, Placement, Server

START = 1000.0  # the moment at which a run begins: 0 means long ago
EFFECTS = {
    "pure": Idempotency.IDEMPOTENT,
    "receipted": Idempotency.KEYED,
    "effectful": Idempotency.NON_IDEMPOTENT,
}
GROUPS = {"all": DeduplicationGroup.ALL, "zone": DeduplicationGroup.ZONE, "cell": DeduplicationGroup.CELL}
CELL = 4  # servers

Maker = Callable[["World", Node, DecisionSettings, Random], Decisions]


class World:
    """The parts of one run; `make` makes the decisions of each node."""

    def __init__(self, plan: FleetPlan, seed: int, make: Maker) -> None:
        self.plan, self.seed, self._make = plan, seed, make
        self.engine = Engine(START)
        self.network = SimulatedNetwork(plan.network, random_streams.stream(seed, "network"))
        self.watch = Watch(self)
        self.tiers: list[list[Server]] = [[] for _ in plan.tiers]
        self.beside: dict[tuple[int, int], Node] = {}  # the node of a server, for its calls
        self.front: list[Node] = []
        self.traced = -1  # the request whose story is told
        self.story: list[str] = []
        self.list_late = 0.0  # seconds beyond the usual, while a fault has it so
        self._spread = random_streams.stream(seed, "list")
        self._laws = [
            distributions.distribution(kind.distribution, 1.0, kind.cv) for kind in plan.request_classes
        ]
        self._noises = [
            distributions.distribution("lognormal", 1.0, kind.attempt_cv) for kind in plan.request_classes
        ]
        for depth, tier in enumerate(plan.tiers):
            self._build(depth, tier)
        zones = len(plan.network.zones)
        for number in range(plan.nodes):
            self.front.append(self._node(0, number, number % zones, None))
        for depth in range(len(plan.tiers) - 1):
            for server in self.tiers[depth]:
                self.beside[server.address] = self._node(depth + 1, server.number, server.zone, server)
        self.crowd = Crowd(self)
        self.script = Script(self)
        self._look()

    def _build(self, depth: int, tier: Tier) -> None:
        draw = random_streams.stream(self.seed, "servers", depth)
        shares, drawn = sum(model.weight for model in tier.models), []
        owed = [0.0] * len(tier.models)
        for _ in range(tier.servers):  # the model that is owed most comes next: shares hold at any size
            for i, model in enumerate(tier.models):
                owed[i] += model.weight / shares
            most = max(range(len(owed)), key=lambda i: owed[i])
            owed[most] -= 1.0
            drawn.append(most)
        draw.shuffle(drawn)
        for number in drawn:
            self._add(depth, number, len(self.tiers[depth]) % len(self.plan.network.zones), draw)

    def _add(self, depth: int, model: int, zone: int, draw: Random) -> Server:
        tier: Tier = self.plan.tiers[depth]
        number = len(self.tiers[depth])
        kept: ServerModel = tier.models[model]
        speed = distributions.distribution("lognormal", kept.speed, kept.speed_cv)(draw.random())
        server = Server(
            self.engine,
            Placement(depth, number, zone, model, number // CELL),
            tier,
            kept,
            speed,
            random_streams.stream(self.seed, "server", depth, number),
        )
        self.tiers[depth].append(server)
        if tier.reports is not None:
            server.start_reports(tier.reports.interval_s * draw.random())
        return server

    def _look(self) -> None:
        for depth, tier in enumerate(self.plan.tiers):
            for server in self.tiers[depth]:
                if tier.collapse is not None or server.warmup_share() < 1.0:
                    server.update()
        self.engine.call_later(UPDATE_INTERVAL_S, self._look)

    # nodes

    def decision_settings(self, depth: int, number: int, zone: int) -> DecisionSettings:
        """The decision settings of a node of this number before the tier at this depth."""
        plan = self.plan
        senders = plan.nodes if depth == 0 else len(self.tiers[depth - 1])
        tier, network, rules = plan.tiers[depth], plan.network, plan.rules
        quota = plan.clients.quota * plan.capacity()
        return DecisionSettings(
            nodes=senders,
            node=number,
            tick=plan.tick_s,
            tier=depth,
            tiers=len(plan.tiers),
            zone=zone,
            zones=len(network.zones),
            can_hedge=plan.can_hedge,
            can_cancel=tier.cancellable != "none",
            can_probe=True,
            has_peers=False,
            can_advise_retry=True,
            max_retry_after_s=2.0,
            max_attempts=plan.max_attempts,
            connect_timeout_s=network.connect_timeout_s,
            idle_timeout_s=network.idle_timeout_s,
            calls_per_connection=1,
            max_open_connections=20000,
            excess_value_factor=plan.clients.excess_value_factor,
            time_left_passed_on=plan.time_left_passed_on,
            connection_price=0.0,
            crossing_price=plan.crossing_price,
            waste_price=0.0,
            late_price=0.0,
            report_how="answers" if tier.reports is not None else "none",
            answer_slack_s=rules.answer_slack_s,
            list_max_age_s=10.0,
            warmup_s=tier.warmup_s,
            warmup_initial_share=tier.warmup_initial_share,
            drain_grace_s=rules.drain_grace_s,
            overload_window_s=rules.overload_window_s,
            overload_multiple=rules.overload_multiple,
            list_on_request=False,
            work_counts=False,
            reported=["held", "rate", "error_rate"] if tier.reports is not None else [],
            request_classes=[
                RequestClass(
                    target_latency=kind.target_latency_s,
                    stretch=0.0,
                    deadline=kind.deadline_s,
                    value=kind.value,
                    late_value=kind.late_value,
                    idempotency=EFFECTS[kind.idempotency],
                    deduplication_group=GROUPS[kind.deduplication_group],
                    retry_window=kind.retry_window_s,
                    is_streamed=False,
                )
                for kind in plan.request_classes
            ],
            tenants=[TenantQuota(one.portion, one.portion * quota) for one in plan.tenants],
        )

    def _node(self, depth: int, number: int, zone: int, at: Server | None) -> Node:
        node = Node(self, depth, number, zone, at)
        node.decisions = self._make(
            self,
            node,
            self.decision_settings(depth, number, zone),
            random_streams.stream(self.seed, "node", depth, number, at.incarnation if at else 0),
        )
        self.engine.call_later(LISTED_LATE, node.listed_anew, self.entries(depth), True)
        return node

    def senders(self, depth: int) -> Iterable[Node]:
        """The nodes that send to a tier and are alive."""
        if depth == 0:
            return [node for node in self.front if node.alive]
        return [node for place, node in self.beside.items() if place[0] == depth - 1 and node.alive]

    # the list

    @staticmethod
    def entry(server: Server, state: ServerState = ServerState.LIVE) -> tuple[Any, ...]:
        """A server as an entry of the list."""
        return (server.number, server.zone, server.model, server.cell, state, 1.0, server.started_at)

    def entries(self, depth: int) -> list[tuple[Any, ...]]:
        """The list of a tier."""
        return [self.entry(server) for server in self.tiers[depth] if server.is_alive]

    def list_for(self, node: Node) -> None:
        """Sends a node the full list."""
        self.engine.call_later(LISTED_LATE, node.listed_anew, self.entries(node.depth), True)

    def tell(self, server: Server, state: ServerState, least: float = 0.0) -> None:
        """The list tells all nodes of the tier, each after a delay of its own; `least` is added to it."""
        network = self.plan.network
        entry = self.entry(server, state)
        for node in self.senders(server.depth):
            delay = (
                least + network.list_delay_s + self.list_late + network.list_jitter_s * self._spread.random()
            )
            self.engine.call_later(delay, node.listed_anew, [entry], False)

    # servers' lives

    def kill(self, server: Server, silent: bool = False) -> None:
        """A server's process dies with the node beside it; silent: its machine says nothing any more."""
        node = self.beside.get(server.address)
        for job in server.die():
            if job.owner is not None and not silent:
                job.owner.server_died(job)
        if node is not None:
            node.die()

    def revive(self, server: Server) -> None:
        """It comes back cold, under the same number, and the list tells."""
        server.start()
        depth = server.depth
        if depth + 1 < len(self.plan.tiers):
            self.beside[server.address] = self._node(depth + 1, server.number, server.zone, server)
        self.tell(server, ServerState.LIVE)

    def drain(self, server: Server) -> None:
        """It finishes what it has; the list tells at once that it wants nothing new."""
        self.tell(server, ServerState.DRAINING)

    def replace(self, server: Server) -> Server:
        """A new server of the same model and zone, under a number of its own."""
        fresh = self._add(
            server.depth,
            server.model,
            server.zone,
            random_streams.stream(self.seed, "successor", server.depth, server.number),
        )
        self.revive(fresh)
        return fresh

    def kill_node(self, node: Node) -> None:
        """A node of the first tier dies with what it held."""
        for request in node.die():
            request.told("lost", 0.0)

    def revive_node(self, number: int) -> None:
        """Starts a front node again after a crash."""
        self.front[number] = self._node(0, number, self.front[number].zone, None)

    # work

    def latency(self, server: Server) -> float:
        """Seconds that a server of its own accord would tell a probe: what it holds over what it does."""
        pace = server.current_speed()
        usual = self.plan.mean_work_s() * server.tier.work
        return usual * max(1.0, server.held / server.cores) / pace if pace > 0.0 else 1e9

    def usual_work(self, kind: int, depth: int) -> float:
        """Seconds on a core of speed 1 for one call of a tier, in the mean."""
        return self.plan.request_classes[kind].work_s * self.plan.tiers[depth].work

    def job_for(self, node: Node, attempt: Attempt) -> Job:
        """What an attempt asks of its server: parts of work with calls to the tier below between them."""
        request, depth = attempt.request, node.depth
        root, kind = self.crowd.roots[request.root], request.kind
        noise = self._noises[kind](
            random_streams.uniform(self.seed, root.index, request.call, depth, attempt.n)
        )
        work = root.size * self.usual_work(kind, depth) * noise
        if depth + 1 == len(self.plan.tiers):
            return Job([work], AttemptWork(self, attempt))
        mean = self.plan.tiers[depth + 1].calls_per_request
        calls = floor(mean + random_streams.uniform(self.seed, root.index, request.call, depth, -1))
        return Job([work / (calls + 1)] * (calls + 1), AttemptWork(self, attempt))

    def law_size(self, kind: int, draw: float) -> float:
        """A request's size, in multiples of its class's mean work."""
        return self._laws[kind](draw)

    def cancel(self, attempt: Attempt) -> None:
        """A node's cancel has come to the server."""
        job = attempt.job
        if job is not None and attempt.server.cancel(job) and isinstance(job.owner, AttemptWork):
            job.owner.cancel_call()

    def tell_story(self, node: Node, request: Any, text: str) -> None:
        """A line of the traced request's story; what lies deeper is set in further."""
        since = self.engine.now - self.crowd.start
        who = f"entry node {node.number}" if node.at is None else f"node of server {node.place}"
        self.story.append(f"{since:9.3f} s  {'  ' * node.depth}{who}, request {request.number}: {text}")

    # the run

    def play(self) -> World:
        """Plays the plan's length, and on until what was asked for by then is answered."""
        self.crowd.begin()
        longest = max(kind.deadline_s for kind in self.plan.request_classes)
        self.engine.run(START + self.plan.duration_s + 1.5 * longest + 1.0)
        for depth in range(len(self.tiers)):
            for node in self.senders(depth):
                self.watch.unanswered(node)
        return self


class AttemptWork:
    """Owner of an attempt's job: calls the next tier between stages, through the node beside the server."""

    def __init__(self, world: World, attempt: Attempt) -> None:
        self._world = world
        self._attempt = attempt
        self._call: tuple[Node, Request] | None = None  # to the next tier, while it is in flight

    def stage_done(self, job: Job) -> None:
        """Calls the next tier."""
        world, server, above = self._world, self._attempt.server, self._attempt.request
        node = world.beside[server.address]
        left = above.stop - world.engine.now
        if not world.plan.time_left_passed_on:
            left = world.plan.request_classes[above.kind].deadline_s
        if left <= 0.0:
            server.fail(job)
            return
        request = node.take(
            above.root,
            above.kind,
            above.call * 16 + job.stage + 1,
            left,
            -1,
            False,
            lambda answer, stay_away: self._called(job, answer),
        )
        self._call = (node, request)

    def _called(self, job: Job, answer: str) -> None:
        self._call = None
        if answer == "served":
            self._attempt.server.run_next_stage(job)
        else:
            self._attempt.server.fail(job)

    def cancel_call(self) -> None:
        """Leaves the call in flight: nobody waits for it."""
        if self._call is not None:
            node, request = self._call
            self._call = None
            node.leave(request)

    def job_done(self, job: Job, outcome: Outcome) -> None:
        """Sends the response."""
        self._attempt.node.job_done(self._attempt, outcome)

    def server_died(self, job: Job) -> None:
        """Breaks the attempt's connection."""
        self._attempt.node.server_died(self._attempt)
