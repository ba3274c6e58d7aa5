"""Parts of the membership model that are explored whole, each by other kinds of steps.

All kinds of steps together are explored to a small depth only; a slice goes deeper with fewer kinds. In each,
what the shipped code does is without a violation, and faults put into it are found.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from replication import membership_model as model
from replication.membership_explore import ALL_KINDS, PROTOCOL, Bounds, Found, as_it_is, explore
from replication.membership_model import World

BESIDE_A_PROPOSAL = frozenset({"stand", "unheard", "write", "document", "power"})
ORDINARY = PROTOCOL - {"unheard", "give up", "step down", "news"}


@dataclass(frozen=True)
class Slice:
    """Bounds, and what has happened already where the steps begin."""

    bounds: Bounds
    prepare: Callable[[World], list[World]] = as_it_is
    tolerate: int = 1
    machines: int = 3
    seeds: int = 3


def explore_slice(membership_slice: Slice, workers: int = 1) -> Found:
    """What the exploration of a slice has seen."""
    first = model.first_world(membership_slice.machines, membership_slice.tolerate, membership_slice.seeds)
    return explore(first, membership_slice.bounds, membership_slice.prepare, workers)


def one_is_back(world: World) -> list[World]:
    """A machine was away until it had no part any more, and missed a write; it runs again, unheard so far."""
    back = []
    for number in world.up():
        if world.machines[number].leading is None and not world.lost():
            away = model.calm(model.end(world, number))
            (leader,) = [one for one in away.up() if away.machines[one].leading]
            away = _replicated_by_the_leader(model.write(away, leader))
            lost = away.machines[number]._replace(lost=True)
            back.append(model.start(away.put(number, lost), number))
    return back


def one_is_back_in_sync(world: World) -> list[World]:
    """The same; it has the document, and is no member yet."""
    return [_replicated_by_the_leader(back) for back in one_is_back(world)]


def _replicated_by_the_leader(world: World) -> World:
    (leader,) = [number for number in world.up() if world.machines[number].leading]
    return model.heartbeat(world, leader, tuple(number for number in world.up() if number != leader))


SLICES = {
    "everything": Slice(Bounds(depth=2, faults=2)),
    "lost disks": Slice(Bounds(depth=4, faults=2, writes=1, kinds=ORDINARY | {"wipe", "return", "replace"})),
    "departures": Slice(
        Bounds(depth=3, faults=2, writes=1, kinds=ORDINARY | {"stop", "end", "wipe", "return"})
    ),
    "votes": Slice(
        Bounds(depth=4, faults=0, writes=1, kinds=frozenset({"stand", "vote", "unheard", "document"}))
    ),
    "given up": Slice(
        Bounds(depth=3, faults=1, writes=2, kinds=frozenset({"stand", "give up", "down", "write"})),
        one_is_back_in_sync,
    ),
    "returning": Slice(
        Bounds(depth=3, faults=2, writes=2, kinds=frozenset({"restart", "stand", "vote"})), one_is_back
    ),
    "proposed": Slice(Bounds(depth=5, faults=1, writes=2, kinds=BESIDE_A_PROPOSAL), one_is_back_in_sync),
    "takeovers": Slice(Bounds(depth=5, faults=1, writes=0, kinds=frozenset({"stand", "vote", "down"}))),
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
# more of the same, for the benchmark; the states are told in docs/replication.md
DEEP = {
    "everything": replace(SLICES["everything"], bounds=Bounds(depth=3, faults=2)),
    "everything, four machines": Slice(Bounds(depth=2, faults=2, machines=4)),
    "votes": replace(
        SLICES["votes"], bounds=replace(SLICES["votes"].bounds, depth=5, kinds=PROTOCOL - {"news", "write"})
    ),
    "proposed": replace(SLICES["proposed"], bounds=replace(SLICES["proposed"].bounds, depth=6)),
    "departures": replace(SLICES["departures"], bounds=replace(SLICES["departures"].bounds, depth=4)),
    "five voters": replace(
        SLICES["five voters"], bounds=Bounds(depth=1, faults=1, machines=5, kinds=ALL_KINDS)
    ),
}
