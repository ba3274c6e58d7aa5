"""The servers that are ready, in an order of which any stretch is a fair sample. No I/O."""

from __future__ import annotations

from bisect import bisect_left, insort

Kind = tuple[int, int]  # zone and model


class ReadyServers:
    """Servers by zone and model; a change costs little among thousands."""

    def __init__(self) -> None:
        self._by_kind: dict[Kind, list[int]] = {}
        self._ring: list[int] | None = None  # None: to be made anew

    def clear(self) -> None:
        """Removes all."""
        self._by_kind.clear()
        self._ring = None

    def add(self, kind: Kind, server: int) -> None:
        """Adds a server that is not there."""
        insort(self._by_kind.setdefault(kind, []), server)
        self._ring = None

    def remove(self, kind: Kind, server: int) -> None:
        """Removes a server that is there."""
        same_kind = self._by_kind[kind]
        del same_kind[bisect_left(same_kind, server)]
        if not same_kind:
            del self._by_kind[kind]
        self._ring = None

    def ring(self) -> list[int]:
        """All servers in a ring of which any stretch holds its part of each kind; not to be changed."""
        if self._ring is None:
            positions = sorted(
                ((i + 0.5) / len(same_kind), server)
                for same_kind in self._by_kind.values()
                for i, server in enumerate(same_kind)
            )
            self._ring = [server for _, server in positions]
        return self._ring
