"""Counts the bytes that a process holds for all its clients together, and keeps them within a limit. No I/O.

A limit for each connection doesn't bound the memory of the process: a crowd of clients multiplies it. So each
buffer whose size a client determines is counted in a `Reservation`. If one grows beyond the limit of all
together, another one is shed: a large one that is not protected and has been there for longer, since a client
that behaves is done soon. A small one so always finds room, and a large one whenever the others are older.

Invariants: `held_bytes` is the sum of all reservations and never exceeds the limit; a protected reservation
is never shed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NoReturn

MEBIBYTE = 1 << 20
SMALL_BYTES = 65536  # a reservation up to this size may use the part that large ones leave free
# Protected reservations above `SMALL_BYTES` together use at most this fraction of the limit.
PROTECTED_FRACTION = 0.75


class MemoryExceededError(Exception):
    """There is no room for more bytes; the reservation keeps its size."""


class Reservation:
    """The bytes held for one client or one message.

    `shed` is called at most once, if the reservation is given up in favour of another one; it must drop the
    buffers at once. A reservation that was shed holds nothing and ignores later changes.
    """

    __slots__ = ("_budget", "_shed", "held_bytes", "is_protected", "is_closed")

    def __init__(self, budget: MemoryBudget, shed: Callable[[], None] | None) -> None:
        self._budget = budget
        self._shed = shed
        self.held_bytes = 0
        self.is_protected = shed is None
        self.is_closed = False

    def resize(self, held_bytes: int) -> None:
        """Sets the number of bytes that are held; raises MemoryExceededError if there is no room for them."""
        if not self.is_closed:
            self._budget.resize(self, held_bytes)

    def restart(self) -> None:
        """Makes an empty reservation the newest one, for the next message of a connection."""
        if not self.is_closed and not self.is_protected:
            self._budget.make_newest(self)

    def protect(self) -> None:
        """Keeps the reservation from being shed; raises MemoryExceededError if too much is protected."""
        if not self.is_closed and not self.is_protected:
            self._budget.protect(self)

    def unprotect(self, shed: Callable[[], None]) -> None:
        """Allows the reservation to be shed by a call of `shed`."""
        if self.is_closed:
            return
        self._shed = shed
        if self.is_protected:
            self._budget.unprotect(self)

    def close(self) -> None:
        """Releases everything; also the owner of `shed`, which in most cases refers to this reservation."""
        if not self.is_closed:
            self._budget.remove(self)
            self._shed = None

    def shed(self) -> None:
        """Gives the reservation up."""
        shed = self._shed
        assert shed is not None
        self.close()
        shed()


class MemoryBudget:
    """The limit of all reservations together; `on_limit` is called whenever it refuses or sheds one."""

    def __init__(self, limit_bytes: int, on_limit: Callable[[], None]) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._protected_bytes = 0
        self._on_limit = on_limit
        self._unprotected: dict[Reservation, None] = {}  # in the order in which they were opened

    def open(self, shed: Callable[[], None] | None = None) -> Reservation:
        """Returns a new, empty reservation; without `shed` it is protected."""
        reservation = Reservation(self, shed)
        if not reservation.is_protected:
            self._unprotected[reservation] = None
        return reservation

    def resize(self, reservation: Reservation, held_bytes: int) -> None:
        """Changes the size of a reservation; raises MemoryExceededError."""
        growth = held_bytes - reservation.held_bytes
        if growth > 0:
            if reservation.is_protected:
                self._require_protected_room(held_bytes, growth)
            self._make_room(reservation, held_bytes, growth)
        reservation.held_bytes = held_bytes
        self.held_bytes += growth
        if reservation.is_protected:
            self._protected_bytes += growth

    def _require_protected_room(self, held_bytes: int, growth: int) -> None:
        is_large = held_bytes > SMALL_BYTES
        if is_large and self._protected_bytes + growth > PROTECTED_FRACTION * self.limit_bytes:
            self._refuse()

    def _make_room(self, reservation: Reservation, held_bytes: int, growth: int) -> None:
        """Sheds other reservations until there is room; raises MemoryExceededError."""
        while self.held_bytes + growth > self.limit_bytes:
            victim = self._older_large(reservation) or self._largest(reservation, held_bytes)
            if victim is None:
                self._refuse()
            self._on_limit()
            victim.shed()

    def _older_large(self, reservation: Reservation) -> Reservation | None:
        """Returns the oldest large reservation that is older than this one; any one is if it's protected."""
        for other in self._unprotected:
            if other is reservation:
                return None
            if other.held_bytes > SMALL_BYTES:
                return other
        return None

    def _largest(self, reservation: Reservation, held_bytes: int) -> Reservation | None:
        """Returns the largest other reservation; one of at least this size if this one isn't protected."""
        others = (other for other in self._unprotected if other is not reservation)
        largest = max(others, key=lambda other: other.held_bytes, default=None)
        min_bytes = 1 if reservation.is_protected else held_bytes
        return largest if largest is not None and largest.held_bytes >= min_bytes else None

    def _refuse(self) -> NoReturn:
        self._on_limit()
        raise MemoryExceededError("the memory for clients is used up")

    def protect(self, reservation: Reservation) -> None:
        """Protects a reservation; raises MemoryExceededError."""
        self._require_protected_room(reservation.held_bytes, reservation.held_bytes)
        reservation.is_protected = True
        self._protected_bytes += reservation.held_bytes
        del self._unprotected[reservation]

    def make_newest(self, reservation: Reservation) -> None:
        """Moves a reservation behind all others in age."""
        del self._unprotected[reservation]
        self._unprotected[reservation] = None

    def unprotect(self, reservation: Reservation) -> None:
        """Ends the protection of a reservation."""
        reservation.is_protected = False
        self._protected_bytes -= reservation.held_bytes
        self._unprotected[reservation] = None

    def remove(self, reservation: Reservation) -> None:
        """Releases a reservation for good."""
        reservation.is_closed = True
        self.held_bytes -= reservation.held_bytes
        if reservation.is_protected:
            self._protected_bytes -= reservation.held_bytes
        else:
            del self._unprotected[reservation]
        reservation.held_bytes = 0
