"""Traces one request of an experiment by repeating its run. Reads the experiment's file."""

from __future__ import annotations

from wheatroute.fleet import results
from wheatroute.fleet.experiment import expand_runs, read_experiment
from wheatroute.fleet.plan import PlanError, parse_plan
from wheatroute.fleet.policies import decision_maker_factory, is_policy
from wheatroute.fleet.requests import ClientRequest
from wheatroute.fleet.world import World


def trace_request(path: str, policy: str, seed: int, number: int) -> list[str]:
    """Repeats the run at the first point of the experiment's sweeps; returns the trace of one request.

    `number` is the request's index in the order of arrival. Raises PlanError if the file is invalid or if the
    policy or the request doesn't exist.
    """
    experiment = read_experiment(path)
    if not is_policy(policy):
        raise PlanError([f"{path}: unknown policy {policy!r}"])
    run = next(expand_runs(experiment))
    world = World(parse_plan(run.fleet), seed, decision_maker_factory(policy))
    world.trace.request_index = number
    world.run()
    requests = world.clients.requests
    if number >= len(requests):
        raise PlanError([f"{path}: no request {number}: the run has requests 0 to {len(requests) - 1}"])
    request = requests[number]
    return [_first_line(world, request), *world.trace.lines, _last_line(world, request)]


def _first_line(world: World, request: ClientRequest) -> str:
    request_class = world.plan.request_classes[request.class_number]
    tenants = world.plan.tenants
    tenant = tenants[request.tenant].name if tenants else "no tenant"
    quota = "within" if request.is_within_quota else "beyond"
    return (
        f"request {request.index}: {request_class.name} of {tenant}, "
        f"{request.size:.2f} times the mean work of its class, {quota} its quota"
    )


def _last_line(world: World, request: ClientRequest) -> str:
    offered, earned = results.request_value(world, request)
    target_latency_s = world.plan.request_classes[request.class_number].target_latency_s
    return (
        f"{request.outcome.value or 'open'} after {request.ended_at - request.arrived_at:.3f} s "
        f"in {request.tries} tries (target {target_latency_s} s): value {earned:.2f} of {offered:.2f}"
    )
