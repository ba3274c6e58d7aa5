"""One request's story: the run played again, with a line for all that became of it at every tier.

Owns how a run of an experiment is found and told. It must never change the run: the same seed has the same
events with and without a story.
"""

from __future__ import annotations

from wheatroute.fleet import experiment, plan, results
from wheatroute.fleet.world import World


def story(path: str, policy: str, seed: int, number: int) -> list[str]:
    """The lines for request `number`, in order of arrival, at the first point of the experiment's sweeps."""
    told = experiment.read(path)
    if policy != experiment.DESIGN and policy not in experiment.baselines.BASELINES:
        raise plan.PlanError([f"{path}: no policy {policy!r}"])
    run = next(experiment.runs(told))
    world = World(plan.parse_plan(run["fleet"]), seed, experiment.maker(policy))
    world.traced = number
    world.play()
    if number >= len(world.crowd.roots):
        raise plan.PlanError([f"{path}: the run has requests 0 to {len(world.crowd.roots) - 1}"])
    root = world.crowd.roots[number]
    kind, tenant = world.plan.request_classes[root.kind], world.plan.tenants
    asked, earned = results.worth(world, root)
    head = (
        f"request {number}: {kind.name} of {tenant[root.tenant].name if tenant else 'nobody'}, "
        f"{root.size:.2f} times its type's work, {'within' if root.within else 'beyond'} its share"
    )
    end = (
        f"{root.answer or 'open'} after {root.answered - root.arrived:.3f} s in {root.tries} tries "
        f"(target {kind.target_latency_s} s): {earned:.2f} of {asked:.2f}"
    )
    return [head, *world.story, end]
