"""The outcomes of more losses at a time than `tolerate.machines`, step by step on the membership model."""

from __future__ import annotations

from collections.abc import Callable

from replication import membership_model as model
from replication.membership_model import ViolationError, World

Losses = Callable[[World], World]
KEPT, NO_LEADER, LOST = "kept", "nobody leads", "lost"


def after_a_write(machines: int, tolerate: int) -> World:
    """Returns a settled world that h0 leads, with one acknowledged write."""
    world = model.settle(model.first_world(machines, tolerate))
    world = model.write(world, 0)
    return model.heartbeat(world, 0, tuple(range(1, machines)))


def outcome(machines: int, tolerate: int, losses: Losses) -> str:
    """Returns the outcome of these losses once every machine is up again."""
    world = losses(after_a_write(machines, tolerate))
    for number, machine in enumerate(world.machines):
        if not machine.up and not machine.is_removed:
            world = model.start(world, number)
    try:
        model.settle(world)
        return KEPT
    except ViolationError as error:
        text = str(error)
        return LOST if text.startswith("lost") or "is served" in text else NO_LEADER


def wiped(*numbers: int) -> Losses:
    """Losses of these disks at the same time."""

    def losses(world: World) -> World:
        for number in numbers:
            world = model.wipe(world, number)
        return world

    return losses


def wiped_in_turn(*numbers: int) -> Losses:
    """Losses of these disks in turn, each as soon as the machine of the one before is in sync again.

    That is before the machine no longer counts as lost (`simulation.SYNC_S`).
    """

    def losses(world: World) -> World:
        for number in numbers:
            world = model.start(model.wipe(world, number), number)
            leaders = [one for one in world.up() if world.machines[one].leader_state]
            for leader in leaders:
                others = tuple(other for other in world.up() if other != leader)
                world = model.heartbeat(world, leader, others)
        return world

    return losses


def wiped_and_settled(*numbers: int) -> Losses:
    """Losses of these disks in turn, with a fault-free period after each."""

    def losses(world: World) -> World:
        for number in numbers:
            world = model.settle(model.start(model.wipe(world, number), number))
        return world

    return losses


def down_then_wiped(down: int, *numbers: int) -> Losses:
    """Losses of these disks after the machine `down` went down and the others wrote without it."""

    def losses(world: World) -> World:
        world = model.settle(model.end(world, down))
        (leader,) = [one for one in world.up() if world.machines[one].leader_state]
        world = model.write(world, leader)
        world = model.heartbeat(world, leader, tuple(other for other in world.up() if other != leader))
        return wiped(*numbers)(world)

    return losses


def removed(*numbers: int) -> Losses:
    """Losses of these machines for good at the same time; machines with empty disks replace them."""

    def losses(world: World) -> World:
        for number in numbers:
            world = model.remove(world, number)
        for _ in numbers:
            world = model.add(world, lost=True)
        return world

    return losses


# By name of the case: number of machines, `tolerate`, the losses, and the expected outcome.
TABLE: dict[str, tuple[int, int, Losses, str]] = {
    "3 voters: one disk": (3, 1, wiped(0), KEPT),
    "3 voters: each disk in turn, with its time": (3, 1, wiped_and_settled(0, 1, 2), KEPT),
    "3 voters: two disks at one time": (3, 1, wiped(0, 1), NO_LEADER),
    "3 voters: two disks, the second as soon as the first is in sync": (3, 1, wiped_in_turn(1, 2), NO_LEADER),
    "3 voters: one machine away, then the disk of the leader": (3, 1, down_then_wiped(2, 0), KEPT),
    "3 voters: one machine away, then the disk of the other": (3, 1, down_then_wiped(2, 1), KEPT),
    "3 voters: one machine away, then both other disks": (3, 1, down_then_wiped(2, 0, 1), NO_LEADER),
    "3 voters: two machines replaced at one time": (3, 1, removed(0, 1), NO_LEADER),
    "3 voters: all disks": (3, 1, wiped(0, 1, 2), NO_LEADER),
    "5 voters: two disks": (5, 2, wiped(0, 1), KEPT),
    "5 voters: three disks at one time": (5, 2, wiped(0, 1, 2), NO_LEADER),
    "5 voters: one machine away, then two disks": (5, 2, down_then_wiped(4, 0, 1), KEPT),
    "5 voters: one machine away, then three disks": (5, 2, down_then_wiped(4, 0, 1, 2), NO_LEADER),
    "5 voters: two machines replaced at one time": (5, 2, removed(0, 1), KEPT),
}
