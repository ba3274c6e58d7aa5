"""Numbers of servers by their ids, small and dense, as the decision module needs them. No I/O.

Invariant: a number is given to another server only after the one before has been removed for
`REUSE_AFTER_S` and nothing to it is in flight. Without reuse numbers would grow with every server that ever
was.
"""

from collections.abc import Callable, Mapping

from wheatroute.net.clock import now

REUSE_AFTER_S = 30.0


class ServerNumbers:
    """The numbers of servers, with those that are removed."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._removed_since: dict[str, float] = {}
        self._free: list[int] = []

    @property
    def by_id(self) -> Mapping[str, int]:
        """The numbers by id."""
        return self._numbers

    @property
    def removed(self) -> list[int]:
        """The numbers of servers that are removed."""
        return [self._numbers[identity] for identity in self._removed_since]

    def assign(self, identity: str) -> tuple[int, bool]:
        """Returns a server's number, and whether another server had it before this call."""
        if identity in self._numbers:
            return self._numbers[identity], False
        is_reused = bool(self._free)
        # where none is free, all numbers that were given out are in use
        number = self._free.pop() if is_reused else len(self._numbers)
        self._numbers[identity] = number
        return number, is_reused

    def mark_removed(self, identity: str) -> None:
        """Notes that the list says of a server that it is removed."""
        self._removed_since[identity] = now()

    def mark_present(self, identity: str) -> None:
        """Notes that a server is on the list."""
        self._removed_since.pop(identity, None)

    def mark_all_removed(self) -> None:
        """Marks all as removed, as a full list begins; those that it has are marked as present again."""
        self._removed_since = {
            identity: self._removed_since.get(identity, now()) for identity in self._numbers
        }

    def free_unused(self, release: Callable[[int], bool]) -> None:
        """Frees the numbers of servers that were removed long ago, and that `release` says are not in use."""
        for identity, since in list(self._removed_since.items()):
            if now() - since > REUSE_AFTER_S and release(self._numbers[identity]):
                self._free.append(self._numbers.pop(identity))
                del self._removed_since[identity]
