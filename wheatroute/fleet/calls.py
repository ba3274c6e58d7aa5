"""Creates the jobs of attempts and makes the calls to the next tier between the stages of a job. No I/O."""

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

# Base of the call numbers: the i-th call (from 1) that call c makes has the number 16 * c + i. The numbers
# are unique if no call makes more than 15 calls.
MAX_CALLS_PER_CALL = 16


class CallGraph:
    """Creates the jobs of all attempts; `sidecar_nodes` holds the sidecar nodes by server address."""

    def __init__(self, plan: FleetPlan, seed: int, engine: Engine) -> None:
        self.sidecar_nodes: dict[Address, Node] = {}
        self._plan = plan
        self._seed = seed
        self._engine = engine
        self._attempt_factors = [
            distributions.distribution("lognormal", 1.0, request_class.attempt_cv)
            for request_class in plan.request_classes
        ]

    def job_for(self, attempt: Attempt, transport: AttemptTransport) -> Job:
        """Creates the job of an attempt, with one more stage than it makes calls to the next tier."""
        request, depth = attempt.request, attempt.server.depth
        client_request = request.client_request
        key = (self._seed, client_request.index, request.call_number, depth)
        factor = self._attempt_factors[request.class_number](random_streams.uniform(*key, attempt.number))
        mean_work_s = self._plan.mean_call_work_s(request.class_number, depth)
        work_s = client_request.size * mean_work_s * factor
        owner = AttemptJobOwner(self, attempt, transport)
        if depth + 1 == len(self._plan.tiers):
            return Job([work_s], owner)
        # All attempts of a request make the same number of calls: the draw does not depend on the attempt.
        calls = floor(self._plan.tiers[depth + 1].calls_per_request + random_streams.uniform(*key, -1))
        return Job([work_s / (calls + 1)] * (calls + 1), owner)

    def time_left_s(self, request: NodeRequest) -> float:
        """Returns the seconds until the deadline of calls that a request makes now."""
        if self._plan.time_left_passed_on:
            return request.deadline_at - self._engine.now
        return self._plan.request_classes[request.class_number].deadline_s


class AttemptJobOwner:
    """Makes the calls of an attempt's job to the next tier and sends the attempt's response."""

    def __init__(self, graph: CallGraph, attempt: Attempt, transport: AttemptTransport) -> None:
        self._graph = graph
        self._attempt = attempt
        self._transport = transport
        self._call: tuple[Node, NodeRequest] | None = None  # the call in flight

    def stage_done(self, job: Job) -> None:
        """Calls the next tier, or fails the job if the deadline has passed."""
        request, server = self._attempt.request, self._attempt.server
        time_left_s = self._graph.time_left_s(request)
        if time_left_s <= 0.0:
            server.fail(job)
            return
        node = self._graph.sidecar_nodes[server.address]
        call_number = request.call_number * MAX_CALLS_PER_CALL + job.stage + 1

        def on_answer(outcome: RequestOutcome, retry_after_s: float) -> None:
            self._call_ended(job, outcome)

        called = node.receive(request.client_request, call_number, time_left_s, -1, False, on_answer)
        self._call = (node, called)

    def _call_ended(self, job: Job, outcome: RequestOutcome) -> None:
        self._call = None
        if outcome is RequestOutcome.SERVED:
            self._attempt.server.run_next_stage(job)
        else:
            self._attempt.server.fail(job)

    def job_done(self, job: Job, outcome: AttemptOutcome) -> None:
        """Sends the response of the attempt."""
        self._transport.respond(self._attempt, outcome)

    def cancelled(self, job: Job) -> None:
        """Disconnects from the call in flight."""
        if self._call is not None:
            node, request = self._call
            self._call = None
            node.client_left(request)

    def server_died(self, job: Job) -> None:
        """Breaks the attempt's connection."""
        self._transport.server_died(self._attempt)
