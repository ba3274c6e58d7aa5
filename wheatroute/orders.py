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
    """Servers that are ready, by ring and model, each list in order: a change costs little among thousands.

    >>> alike = Alike()
    >>> for server, model in ((5, 1), (2, 0), (3, 1), (9, 0)): alike.add(0, model, server)
    >>> alike.remove(0, 0, 2); alike.of(0), alike.of(1)
    ([[3, 5], [9]], [])
    """

    def __init__(self) -> None:
        self._lists: dict[tuple[int, int], list[int]] = {}

    def clear(self) -> None:
        self._lists.clear()

    def add(self, ring: int, model: int, server: int) -> None:
        insort(self._lists.setdefault((ring, model), []), server)

    def remove(self, ring: int, model: int, server: int) -> None:
        like = self._lists[ring, model]
        del like[bisect_left(like, server)]
        if not like:
            del self._lists[ring, model]

    def of(self, ring: int) -> list[list[int]]:
        """The lists of a ring, in the order of their first servers."""
        return sorted((like for (at, _), like in self._lists.items() if at == ring), key=lambda like: like[0])
