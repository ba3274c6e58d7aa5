"""Jobs of attempts, and the calls that servers make to the next tier between the stages of a job. No I/O."""

from __future__ import annotations

from math import floor

from wheatroute.balancing.interface import AttemptOutcome
from wheatroute.fleet import distributions, random_streams
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.jobs import Job
from wheatroute.fleet.network import Address
from wheatroute.fleet.nodes import Node
from wheatroute.fleet.plan import FleetPlan
from wheatroute.fleet.requests import Attempt, NodeRequest, RequestOutcome
from wheatroute.fleet.transport import AttemptTransport

MAX_CALLS_PER_CALL = 16  # in the numbering of a request's calls


class CallGraph:
    """Makes the jobs of all attempts; `call_nodes` are the nodes beside servers, by the server's address."""

    def __init__(self, plan: FleetPlan, seed: int, engine: Engine) -> None:
        self.call_nodes: dict[Address, Node] = {}
        self._plan = plan
        self._seed = seed
        self._engine = engine
        self._attempt_factors = [
            distributions.distribution("lognormal", 1.0, request_class.attempt_cv)
            for request_class in plan.request_classes
        ]

    def job_for(self, attempt: Attempt, transport: AttemptTransport) -> Job:
        """The job of an attempt: one stage more than it makes calls to the next tier."""
        request, depth = attempt.request, attempt.server.depth
        client_request = request.client_request
        key = (self._seed, client_request.index, request.call, depth)
        factor = self._attempt_factors[request.class_number](random_streams.uniform(*key, attempt.number))
        mean_work_s = self._plan.mean_call_work_s(request.class_number, depth)
        work_s = client_request.size * mean_work_s * factor
        owner = AttemptJobOwner(self, attempt, transport)
        if depth + 1 == len(self._plan.tiers):
            return Job([work_s], owner)
        # all attempts of a request make the same number of calls
        calls = floor(self._plan.tiers[depth + 1].calls_per_request + random_streams.uniform(*key, -1))
        return Job([work_s / (calls + 1)] * (calls + 1), owner)

    def time_left_s(self, request: NodeRequest) -> float:
        """Seconds to the deadline of the calls that a request makes now."""
        if self._plan.time_left_passed_on:
            return request.deadline_at - self._engine.now
        return self._plan.request_classes[request.class_number].deadline_s


class AttemptJobOwner:
    """Owner of an attempt's job: makes its calls and sends its response."""

    def __init__(self, graph: CallGraph, attempt: Attempt, transport: AttemptTransport) -> None:
        self._graph = graph
        self._attempt = attempt
        self._transport = transport
        self._call: tuple[Node, NodeRequest] | None = None  # in flight

    def stage_done(self, job: Job) -> None:
        """Calls the next tier, unless it is too late."""
        request, server = self._attempt.request, self._attempt.server
        time_left_s = self._graph.time_left_s(request)
        if time_left_s <= 0.0:
            server.fail(job)
            return
        node = self._graph.call_nodes[server.address]
        call = request.call * MAX_CALLS_PER_CALL + job.stage + 1

        def on_answer(outcome: RequestOutcome, retry_after_s: float) -> None:
            self._call_ended(job, outcome)

        called = node.receive(request.client_request, call, time_left_s, -1, False, on_answer)
        self._call = (node, called)

    def _call_ended(self, job: Job, outcome: RequestOutcome) -> None:
        self._call = None
        if outcome is RequestOutcome.SERVED:
            self._attempt.server.run_next_stage(job)
        else:
            self._attempt.server.fail(job)

    def job_done(self, job: Job, outcome: AttemptOutcome) -> None:
        """Sends the response."""
        self._transport.respond(self._attempt, outcome)

    def cancelled(self, job: Job) -> None:
        """Leaves the call in flight."""
        if self._call is not None:
            node, request = self._call
            self._call = None
            node.client_left(request)

    def server_died(self, job: Job) -> None:
        """Breaks the attempt's connection."""
        self._transport.server_died(self._attempt)
