"""The invariants that the model checker checks at each state of the world. No I/O."""

from __future__ import annotations

from wheatroute.agreement.member import EffectiveVersions
from wheatroute.agreement.model_world import Bounds, WorldState
from wheatroute.agreement.records import RecordKind, parse_header


def violation(bounds: Bounds, before: WorldState, after: WorldState) -> str:
    """Return which invariant the step from one state to the next breaks; empty for none."""
    return _disagreement(bounds, after) or _step_back(before, after) or _unusable_activated(bounds, after)


def _disagreement(bounds: Bounds, world: WorldState) -> str:
    """Some version allows what all processes may do."""
    effective = [process.view(world.now, -bounds.ttl_steps).effective for process in world.processes]
    limits = [{one.active, one.joint or one.active} for one in effective if not one.is_conservative]
    if not limits or set.intersection(*limits):
        return ""
    states = (f"n{i} {_described(one)}" for i, one in enumerate(effective))
    return "no version allows what all may do: " + "; ".join(states)


def _described(effective: EffectiveVersions) -> str:
    if effective.is_conservative:
        return "conservative"
    return f"on {effective.active}" + (f" within {effective.joint}" if effective.joint else "")


def _step_back(before: WorldState, after: WorldState) -> str:
    """A process never goes back to an older version, unless it restarts."""
    for i, (old, new) in enumerate(zip(before.processes, after.processes, strict=True)):
        old_version, new_version = old.member.effective.active, new.member.effective.active
        if new.incarnation == old.incarnation and new_version < old_version:
            return f"n{i} went back from {old_version} to {new_version}"
    return ""


def _unusable_activated(bounds: Bounds, world: WorldState) -> str:
    """No version becomes active that a process cannot use, as long as none restarts or falls silent."""
    if not bounds.rejections or bounds.restarts or bounds.clock_steps:
        return ""
    for record in map(parse_header, world.records):
        for i, version in bounds.rejections:
            if record.kind == RecordKind.ACTIVATE and record.version == version:
                return f"version {version} is in force, which n{i} cannot use"
    return ""
