"""Things kept in order, so that what looks through them need not sort.

Owns no decision: who waits how long, or which server is ready, is told from outside. It must never hold a
thing twice or lose one.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from typing import Any


class Waiting:
    """What waits, by when it must start and by value; each item has a `number` of its own and a `value`."""

    def __init__(self) -> None:
        self.by_start: list[tuple[float, int, Any]] = []
        self.by_value: list[tuple[float, float, int, Any]] = []  # the most valuable first

    def __len__(self) -> int:
        return len(self.by_start)

    def add(self, start_by: float, item: Any) -> None:
        insort(self.by_start, (start_by, item.number, item))
        insort(self.by_value, (-item.value, start_by, item.number, item))

    def remove(self, start_by: float, item: Any) -> None:
        del self.by_start[bisect_left(self.by_start, (start_by, item.number))]
        del self.by_value[bisect_left(self.by_value, (-item.value, start_by, item.number))]


class Alike:
    """Servers that are ready, by place and model: a change costs little among thousands."""

    def __init__(self) -> None:
        self._lists: dict[tuple[int, int], list[int]] = {}
        self._round: list[int] | None = None

    def clear(self) -> None:
        self._lists.clear()
        self._round = None

    def add(self, kind: tuple[int, int], server: int) -> None:
        insort(self._lists.setdefault(kind, []), server)
        self._round = None

    def remove(self, kind: tuple[int, int], server: int) -> None:
        like = self._lists[kind]
        del like[bisect_left(like, server)]
        if not like:
            del self._lists[kind]
        self._round = None

    def round(self) -> list[int]:
        """All in a round on which any stretch holds its part of each kind."""
        if self._round is None:
            places = sorted(
                ((i + 0.5) / len(like), server)
                for like in self._lists.values()
                for i, server in enumerate(like)
            )
            self._round = [server for _, server in places]
        return self._round
