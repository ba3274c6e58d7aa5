"""Which of the live controllers acts: the first by its incarnation. No I/O.

Only so that not all of them append: the store appends a step once in any case.
"""

from __future__ import annotations

from wheatroute.rollout.statuses import ControllerStatus, controller_key

EXPIRED_TURNS = 40  # without a heartbeat of a controller, after which its status is removed
TAKEOVER_TURNS = 4  # without a heartbeat of the controllers before it, after which the next one acts


class ControllerOrder:
    """The controllers as one of them sees them, whose incarnation is given."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._others: dict[str, tuple[int, int]] = {}  # by incarnation: heartbeat, and turns without another
        self.expired_keys: list[str] = []  # of the statuses of controllers that have ended

    def is_first(self, statuses: list[ControllerStatus]) -> bool:
        """Whether this controller is the first of the live ones, by all statuses as read in this turn."""
        others = {}
        for status in statuses:
            heartbeat, turns = self._others.get(status.incarnation, (-1, 0))
            is_same = heartbeat == status.heartbeat
            others[status.incarnation] = (heartbeat, turns + 1) if is_same else (status.heartbeat, 0)
        self._others = others
        self.expired_keys = [
            controller_key(incarnation)
            for incarnation, (_, turns) in others.items()
            if turns >= EXPIRED_TURNS
        ]
        live = [incarnation for incarnation, (_, turns) in others.items() if turns < TAKEOVER_TURNS]
        return self._incarnation <= min(live, default=self._incarnation)
