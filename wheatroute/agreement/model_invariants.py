"""The invariants that the model checker checks at each state. No I/O."""

from __future__ import annotations

from wheatroute.agreement.member import EffectiveVersions
from wheatroute.agreement.model_world import Bounds, WorldState
from wheatroute.agreement.records import RecordKind, parse_header


def violation(bounds: Bounds, before: WorldState, after: WorldState) -> str:
    """Returns which invariant the step between two states violates; empty if none."""
    return _disagreement(bounds, after) or _step_back(before, after) or _unusable_activated(bounds, after)


def _disagreement(bounds: Bounds, world: WorldState) -> str:
    """Returns an error unless there is a version that allows everything that the processes may do."""
    effective = [process.view(world.now, -bounds.ttl_steps).effective for process in world.processes]
    # For each process, the versions whose limits it keeps. Conservative processes are left out, because they
    # keep the limits of all versions.
    kept = [{acts.active, acts.joint or acts.active} for acts in effective if not acts.is_conservative]
    if not kept or set.intersection(*kept):
        return ""
    states = (f"n{i} {_described(acts)}" for i, acts in enumerate(effective))
    return "no version allows what all processes may do: " + "; ".join(states)


def _described(effective: EffectiveVersions) -> str:
    if effective.is_conservative:
        return "conservative"
    return f"on {effective.active}" + (f" within {effective.joint}" if effective.joint else "")


def _step_back(before: WorldState, after: WorldState) -> str:
    """Returns an error if a process goes back to an older version without a restart."""
    for i, (old, new) in enumerate(zip(before.processes, after.processes, strict=True)):
        old_version, new_version = old.member.effective.active, new.member.effective.active
        if new.incarnation == old.incarnation and new_version < old_version:
            return f"n{i} went back from {old_version} to {new_version}"
    return ""


def _unusable_activated(bounds: Bounds, world: WorldState) -> str:
    """Returns an error if a version becomes active that some process cannot use.

    Checks this only if the bounds allow no restart and no clock step, so that no confirmation expires.
    """
    if not bounds.rejections or bounds.restarts or bounds.clock_steps:
        return ""
    for record in map(parse_header, world.records):
        for i, version in bounds.rejections:
            if record.kind == RecordKind.ACTIVATE and record.version == version:
                return f"version {version} is in force, but n{i} cannot use it"
    return ""
