"""What more losses at a time than `tolerate.machines` leave behind, step by step on the membership model."""

from __future__ import annotations

from collections.abc import Callable

from replication import membership_model as model
from replication.membership_model import ViolationError, World

Losses = Callable[[World], World]
KEPT, STOPPED, GONE = "kept", "nobody leads", "lost"


def after_a_write(machines: int, tolerate: int) -> World:
    """A world at rest in which one write is acknowledged; h0 leads it."""
    world = model.calm(model.first_world(machines, tolerate))
    world = model.write(world, 0)
    return model.heartbeat(world, 0, tuple(range(1, machines)))


def outcome(machines: int, tolerate: int, losses: Losses) -> str:
    """What is there once every machine is back."""
    world = losses(after_a_write(machines, tolerate))
    for number, machine in enumerate(world.machines):
        if not machine.up and not machine.is_removed:
            world = model.start(world, number)
    try:
        model.calm(world)
        return KEPT
    except ViolationError as error:
        text = str(error)
        return GONE if text.startswith("lost") or "is served" in text else STOPPED


def wiped(*numbers: int) -> Losses:
    """These disks are lost at one time."""

    def losses(world: World) -> World:
        for number in numbers:
            world = model.wipe(world, number)
        return world

    return losses


def wiped_in_turn(*numbers: int) -> Losses:
    """Each is lost once the one before is back and in sync, without the time that `sync_s` gives."""

    def losses(world: World) -> World:
        for number in numbers:
            world = model.start(model.wipe(world, number), number)
            leaders = [one for one in world.up() if world.machines[one].leading]
            for leader in leaders:
                others = tuple(other for other in world.up() if other != leader)
                world = model.heartbeat(world, leader, others)
        return world

    return losses


def wiped_and_settled(*numbers: int) -> Losses:
    """Each is lost once the one before has had its time."""

    def losses(world: World) -> World:
        for number in numbers:
            world = model.calm(model.start(model.wipe(world, number), number))
        return world

    return losses


def down_then_wiped(down: int, *numbers: int) -> Losses:
    """One machine is away, the others go on without it and write; then these disks are lost."""

    def losses(world: World) -> World:
        world = model.calm(model.end(world, down))
        (leader,) = [one for one in world.up() if world.machines[one].leading]
        world = model.write(world, leader)
        world = model.heartbeat(world, leader, tuple(other for other in world.up() if other != leader))
        return wiped(*numbers)(world)

    return losses


def removed(*numbers: int) -> Losses:
    """These machines are taken away for good at one time; empty ones succeed them."""

    def losses(world: World) -> World:
        for number in numbers:
            world = model.remove(world, number)
        for _ in numbers:
            world = model.add(world, lost=True)
        return world

    return losses


# machines, tolerate, what is lost, what is left
TABLE: dict[str, tuple[int, int, Losses, str]] = {
    "3 voters: one disk": (3, 1, wiped(0), KEPT),
    "3 voters: each disk in turn, with its time": (3, 1, wiped_and_settled(0, 1, 2), KEPT),
    "3 voters: two disks at one time": (3, 1, wiped(0, 1), STOPPED),
    "3 voters: two disks, the second as soon as the first is in sync": (3, 1, wiped_in_turn(1, 2), STOPPED),
    "3 voters: one machine away, then the disk of the leader": (3, 1, down_then_wiped(2, 0), KEPT),
    "3 voters: one machine away, then the disk of the other": (3, 1, down_then_wiped(2, 1), KEPT),
    "3 voters: one machine away, then both other disks": (3, 1, down_then_wiped(2, 0, 1), STOPPED),
    "3 voters: two machines replaced at one time": (3, 1, removed(0, 1), STOPPED),
    "3 voters: all disks": (3, 1, wiped(0, 1, 2), STOPPED),
    "5 voters: two disks": (5, 2, wiped(0, 1), KEPT),
    "5 voters: three disks at one time": (5, 2, wiped(0, 1, 2), STOPPED),
    "5 voters: one machine away, then two disks": (5, 2, down_then_wiped(4, 0, 1), KEPT),
    "5 voters: one machine away, then three disks": (5, 2, down_then_wiped(4, 0, 1, 2), STOPPED),
    "5 voters: two machines replaced at one time": (5, 2, removed(0, 1), KEPT),
}
