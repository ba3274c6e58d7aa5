"""The ready servers, in an order in which each contiguous section has every kind in proportion. No I/O."""

from __future__ import annotations

from bisect import bisect_left, insort

Kind = tuple[int, int]  # kind of a server: numbers of its zone and of its model


class ReadyServers:
    """Holds the ready servers by zone and model, so that a change is cheap even with thousands of servers."""

    def __init__(self) -> None:
        self._by_kind: dict[Kind, list[int]] = {}
        self._ring: list[int] | None = None  # cached ring; None: to be rebuilt

    def clear(self) -> None:
        """Removes all servers."""
        self._by_kind.clear()
        self._ring = None

    def add(self, kind: Kind, server: int) -> None:
        """Adds a server, which must not be present."""
        insort(self._by_kind.setdefault(kind, []), server)
        self._ring = None

    def remove(self, kind: Kind, server: int) -> None:
        """Removes a server, which must be present under this kind."""
        same_kind = self._by_kind[kind]
        del same_kind[bisect_left(same_kind, server)]
        if not same_kind:
            del self._by_kind[kind]
        self._ring = None

    def ring(self) -> list[int]:
        """Returns all servers as a ring whose sections have each kind in proportion; don't modify it."""
        if self._ring is None:
            positions = sorted(
                ((i + 0.5) / len(same_kind), server)
                for same_kind in self._by_kind.values()
                for i, server in enumerate(same_kind)
            )
            self._ring = [server for _, server in positions]
        return self._ring
