"""Tracks when the heartbeat of a status last changed, on the reader's own clock. No I/O."""

from __future__ import annotations

from typing import NamedTuple


class SeenHeartbeat(NamedTuple):
    """The heartbeat number of a status, and when this reader first saw that number, on the reader's clock."""

    number: int
    since: float


def seen_heartbeat(last: SeenHeartbeat | None, number: int, now: float) -> SeenHeartbeat:
    """Returns `last` if the heartbeat number is unchanged, else a new entry with the time `now`."""
    return last if last is not None and last.number == number else SeenHeartbeat(number, now)
