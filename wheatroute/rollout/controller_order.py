"""Determines which of the live controllers acts: the one with the lowest incarnation. No I/O.

The order only keeps the other controllers from trying to append the same step. Safety doesn't depend on it,
since the store appends a step only once.
"""

from __future__ import annotations

from wheatroute.rollout.statuses import ControllerStatus, controller_key

# Turns without a new heartbeat of a controller after which its status is removed.
EXPIRED_TURNS = 40
# Turns without a new heartbeat of a controller after which the next one acts in its place.
TAKEOVER_TURNS = 4


class ControllerOrder:
    """The heartbeats of all controllers as seen by one of them; `incarnation` is that of this controller."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        # Last heartbeat, and the number of turns since it changed, by incarnation.
        self._controllers: dict[str, tuple[int, int]] = {}
        # Keys of the statuses of controllers that have ended.
        self.expired_keys: list[str] = []

    def is_first(self, statuses: list[ControllerStatus]) -> bool:
        """Returns whether this controller is the first live one; call once a turn, with all statuses."""
        controllers = {}
        for status in statuses:
            heartbeat, turns = self._controllers.get(status.incarnation, (-1, 0))
            is_same = heartbeat == status.heartbeat
            controllers[status.incarnation] = (heartbeat, turns + 1) if is_same else (status.heartbeat, 0)
        self._controllers = controllers
        self.expired_keys = [
            controller_key(incarnation)
            for incarnation, (_, turns) in controllers.items()
            if turns >= EXPIRED_TURNS
        ]
        live = [incarnation for incarnation, (_, turns) in controllers.items() if turns < TAKEOVER_TURNS]
        return self._incarnation <= min(live, default=self._incarnation)
