"""Assigns small, dense numbers to servers by id, as the decision module needs them. No I/O.

Invariant: a number is reused for another server only when its previous server was removed at least
`REUSE_AFTER_S` ago and has no attempt or probe in flight. Without reuse, the numbers would grow with every
server that was ever listed.
"""

from collections.abc import Callable, Mapping

from wheatroute.net.clock import now

REUSE_AFTER_S = 30.0


class ServerNumbers:
    """Assigns numbers to servers; a removed server keeps its number until that is freed."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._removed_since: dict[str, float] = {}
        self._free: list[int] = []

    @property
    def by_id(self) -> Mapping[str, int]:
        """The numbers by server id."""
        return self._numbers

    @property
    def removed(self) -> list[int]:
        """The numbers of removed servers."""
        return [self._numbers[identity] for identity in self._removed_since]

    def assign(self, identity: str) -> tuple[int, bool]:
        """Returns a server's number, and whether this call has reused another server's number for it."""
        if identity in self._numbers:
            return self._numbers[identity], False
        is_reused = bool(self._free)
        # If no number is free, the n assigned numbers are 0 to n - 1, so n is the next one.
        number = self._free.pop() if is_reused else len(self._numbers)
        self._numbers[identity] = number
        return number, is_reused

    def mark_removed(self, identity: str) -> None:
        """Records that a server is removed as of now."""
        self._removed_since[identity] = now()

    def mark_present(self, identity: str) -> None:
        """Records that a server is on the list."""
        self._removed_since.pop(identity, None)

    def mark_all_removed(self) -> None:
        """Marks all servers as removed at the start of a full list.

        The servers on that list are then marked as present again.
        """
        self._removed_since = {
            identity: self._removed_since.get(identity, now()) for identity in self._numbers
        }

    def free_unused(self, release: Callable[[int], bool]) -> None:
        """Frees the numbers of servers that have been removed for `REUSE_AFTER_S`.

        `release` is called with such a number and returns False if the server is still in use.
        """
        for identity, since in list(self._removed_since.items()):
            if now() - since > REUSE_AFTER_S and release(self._numbers[identity]):
                self._free.append(self._numbers.pop(identity))
                del self._removed_since[identity]
