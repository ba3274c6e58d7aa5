"""Heartbeats as a reader sees them, who knows a status only by its number and its own clock. No I/O."""

from __future__ import annotations

from typing import NamedTuple


class SeenHeartbeat(NamedTuple):
    """The heartbeat of a status, and when this reader has first seen it, on its own clock."""

    number: int
    since: float


def seen_heartbeat(last: SeenHeartbeat | None, number: int, now: float) -> SeenHeartbeat:
    """Return what is seen now; `last` is what was seen before, which stays if the number is the same."""
    return last if last is not None and last.number == number else SeenHeartbeat(number, now)
