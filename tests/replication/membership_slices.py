"""Slices of the membership model that are explored completely, each with other kinds of steps.

All kinds of steps together are explored to a small depth only; other slices go deeper with fewer kinds. The
production code must cause no violation in any slice, and injected faults must cause one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from replication import membership_model as model
from replication.membership_explore import ALL_KINDS, PROTOCOL_KINDS, Bounds, SearchResult, explore, unchanged
from replication.membership_model import World

BESIDE_A_PROPOSAL = frozenset({"start attempt", "answers lost", "write", "document", "power failure"})
ORDINARY = PROTOCOL_KINDS - {"answers lost", "give up", "step down", "announcement"}


@dataclass(frozen=True)
class Slice:
    """The bounds of an exploration, and how its settled worlds are prepared before the first step."""

    bounds: Bounds
    prepare: Callable[[World], list[World]] = unchanged
    tolerate: int = 1
    machines: int = 3
    seeds: int = 3


def explore_slice(membership_slice: Slice, workers: int = 1) -> SearchResult:
    """Explores a slice, and returns the result."""
    first = model.first_world(membership_slice.machines, membership_slice.tolerate, membership_slice.seeds)
    return explore(first, membership_slice.bounds, membership_slice.prepare, workers)


def one_is_back(world: World) -> list[World]:
    """Worlds in which one machine was down until it had no role, missed a write and has just returned.

    It has not answered the leader yet.
    """
    worlds = []
    for number in world.up():
        if world.machines[number].leader_state is None and not world.lost():
            without_machine = model.settle(model.end(world, number))
            (leader,) = [one for one in without_machine.up() if without_machine.machines[one].leader_state]
            without_machine = _replicated_by_the_leader(model.write(without_machine, leader))
            lost = without_machine.machines[number]._replace(lost=True)
            worlds.append(model.start(without_machine.with_machine(number, lost), number))
    return worlds


def one_is_back_in_sync(world: World) -> list[World]:
    """The same worlds, after the returned machine got the document; it isn't a member yet."""
    return [_replicated_by_the_leader(returned) for returned in one_is_back(world)]


def _replicated_by_the_leader(world: World) -> World:
    (leader,) = [number for number in world.up() if world.machines[number].leader_state]
    return model.heartbeat(world, leader, tuple(number for number in world.up() if number != leader))


SLICES = {
    "everything": Slice(Bounds(depth=2, faults=2)),
    "lost disks": Slice(Bounds(depth=4, faults=2, writes=1, kinds=ORDINARY | {"wipe", "return", "replace"})),
    "departures": Slice(
        Bounds(depth=3, faults=2, writes=1, kinds=ORDINARY | {"stop", "end", "wipe", "return"})
    ),
    "votes": Slice(
        Bounds(
            depth=4,
            faults=0,
            writes=1,
            kinds=frozenset({"start attempt", "vote", "answers lost", "document"}),
        )
    ),
    "given up": Slice(
        Bounds(depth=3, faults=1, writes=2, kinds=frozenset({"start attempt", "give up", "down", "write"})),
        one_is_back_in_sync,
    ),
    "returning": Slice(
        Bounds(depth=3, faults=2, writes=2, kinds=frozenset({"restart", "start attempt", "vote"})),
        one_is_back,
    ),
    "proposed": Slice(Bounds(depth=5, faults=1, writes=2, kinds=BESIDE_A_PROPOSAL), one_is_back_in_sync),
    "takeovers": Slice(
        Bounds(depth=5, faults=1, writes=0, kinds=frozenset({"start attempt", "vote", "down"}))
    ),
    "five voters": Slice(
        Bounds(
            depth=2,
            faults=2,
            writes=1,
            machines=5,
            kinds=frozenset({"wipe", "restart", "write", "stop", "end"}),
        ),
        tolerate=2,
        machines=5,
    ),
}
# Deeper slices for the benchmark; docs/replication.md states the numbers of their states.
DEEP = {
    "everything": replace(SLICES["everything"], bounds=Bounds(depth=3, faults=2)),
    "everything, four machines": Slice(Bounds(depth=2, faults=2, machines=4)),
    "votes": replace(
        SLICES["votes"],
        bounds=replace(SLICES["votes"].bounds, depth=5, kinds=PROTOCOL_KINDS - {"announcement", "write"}),
    ),
    "proposed": replace(SLICES["proposed"], bounds=replace(SLICES["proposed"].bounds, depth=6)),
    "departures": replace(SLICES["departures"], bounds=replace(SLICES["departures"].bounds, depth=4)),
    "five voters": replace(
        SLICES["five voters"], bounds=Bounds(depth=1, faults=1, machines=5, kinds=ALL_KINDS)
    ),
}
