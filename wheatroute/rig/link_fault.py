"""Faults of a link between two processes, by direction. Does no I/O.

A fault applies to open and to new connections, until `heal`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import trio


class Direction(IntEnum):
    """The direction in which data passes a link."""

    FORWARD = 0  # to the target; on a datagram link from its first end to its second
    BACKWARD = 1

    @property
    def opposite(self) -> Direction:
        """The other direction."""
        return Direction(1 - self)


DIRECTIONS = {  # by the value of `way` in scenario files
    "there": (Direction.FORWARD,),
    "back": (Direction.BACKWARD,),
    "both": (Direction.FORWARD, Direction.BACKWARD),
}


@dataclass
class LinkFault:
    """The fault of one direction of a link; the default values mean that there is none."""

    is_partitioned: bool = False
    delay_s: float = 0.0
    bytes_per_second: float = 0.0  # streams only; 0 for no limit
    # loss, duplication and reordering are probabilities, and apply to datagrams only
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0


PARAMETERS = {  # names of fields of `LinkFault`, by the key in `how` of scenario files
    "cut": "is_partitioned",
    "delay": "delay_s",
    "trickle": "bytes_per_second",
    "lose": "loss",
    "repeat": "duplication",
    "reorder": "reordering",
}


class LinkFaults:
    """The faults of both directions of a link."""

    def __init__(self) -> None:
        self._by_direction = [LinkFault(), LinkFault()]
        self._healed = trio.Event()

    def __getitem__(self, direction: Direction) -> LinkFault:
        """Returns the current fault of a direction."""
        return self._by_direction[direction]

    def partition(self, direction: str) -> None:
        """Blocks all data without notifying either end; `direction` is a key of `DIRECTIONS`."""
        for affected in DIRECTIONS[direction]:
            self._by_direction[affected].is_partitioned = True

    def impair(self, direction: str, **parameters: float) -> None:
        """Sets parameters of the faults, by the keys of `PARAMETERS`; other keys have no effect."""
        for affected in DIRECTIONS[direction]:
            for name in PARAMETERS.keys() & parameters.keys():
                setattr(self._by_direction[affected], PARAMETERS[name], parameters[name])

    def heal(self) -> None:
        """Ends the faults of both directions."""
        self._by_direction = [LinkFault(), LinkFault()]
        healed, self._healed = self._healed, trio.Event()
        healed.set()

    @property
    def is_open(self) -> bool:
        """Whether neither direction is partitioned."""
        return not any(fault.is_partitioned for fault in self._by_direction)

    async def wait_until_open(self) -> None:
        """Waits until neither direction is partitioned."""
        while not self.is_open:
            await self._healed.wait()

    async def wait_to_pass(self, direction: Direction) -> None:
        """Waits for the delay of a direction, and until the direction is not partitioned."""
        if self[direction].delay_s:
            await trio.sleep(self[direction].delay_s)
        while self[direction].is_partitioned:
            await self._healed.wait()
