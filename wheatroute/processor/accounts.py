"""What was decided for each id, and whether it may have run: rule two across a proxy's tries. Free of I/O.

Owns the memory of ids. It must never forget an id while a further try of it could still come, never call a
try harmless that may have run, and never choose a server: it tells the module what came before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from enum import IntEnum

from wheatroute.balancing.interface import DeduplicationGroup, EarlierAttempt, Idempotency
from wheatroute.balancing.settings import RequestClass

Earlier = EarlierAttempt  # server (-1 unknown), when it was decided, whether it may have run


class Fate(IntEnum):
    """What became of a try."""

    UNDECIDED = 0
    MAY_HAVE_RUN = 1  # also while it is out
    NEVER_RAN = 2


class Refusal(IntEnum):
    """Why a try gets no decision at all."""

    CONFLICT = 0  # its id belongs to another request, or to a try that is not decided yet
    MAY_HAVE_RUN = 1  # an earlier try may have run, and must not run again
    NO_ROOM = 2  # the memory of ids is full, and nothing in it may be forgotten


class RefusedError(Exception):
    """A try that gets no decision."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.name)
        self.refusal = refusal


class Try:
    """One try of a request: where it was sent and when."""

    __slots__ = ("server", "decided", "fate")

    def __init__(self) -> None:
        self.server, self.decided, self.fate = -1, 0.0, Fate.UNDECIDED


class Accounts:
    """The tries of each id, remembered for `remembered` seconds after the last; `most` ids at once."""

    def __init__(self, kinds: Sequence[RequestClass], remembered: float, most: int) -> None:
        self._kinds, self._remembered, self._most = kinds, remembered, most
        self._tries: dict[bytes, tuple[int, list[Try]]] = {}
        self._strict: dict[
            bytes, Idempotency
        ] = {}  # ids taken under stricter rules than their class has by now
        self._last: dict[bytes, float] = {}  # when an id was last asked for
        self._asked: deque[tuple[float, bytes]] = deque()

    def agree(self, kinds: Sequence[RequestClass], remembered: float) -> None:
        """Other rules: an id that was taken under stricter ones keeps to them."""
        for name, (kind, _) in self._tries.items():
            old = max(self._kinds[kind].idempotency, self._strict.get(name, Idempotency.IDEMPOTENT))
            if old > kinds[kind].idempotency:
                self._strict[name] = old
        self._kinds, self._remembered = kinds, max(self._remembered, remembered)

    def __len__(self) -> int:
        return len(self._tries)

    def take(
        self, name: bytes, kind: int, now: float, left: float, attempt: int
    ) -> tuple[Try, tuple[Earlier, ...]]:
        """Enters a try; returns it with what came before, for the module. Raises `RefusedError`.

        `attempt` is 1 for a first try, as far as the proxy says. Unsafe requests, and keyed ones whose
        group is not known any more, are refused here where an earlier try may have run.
        """
        self._let_go(now)
        known = self._tries.get(name)
        if known is None:
            first = self._unknown_past(kind, now, left) if attempt > 1 else []
            if len(self._tries) >= self._most:
                raise RefusedError(Refusal.NO_ROOM)
            known = self._tries[name] = (kind, first)
        earlier = self._past(known, kind, self._strict.get(name, Idempotency.IDEMPOTENT))
        one = Try()
        known[1].append(one)
        if name not in self._last:
            self._asked.append((now, name))
        self._last[name] = now
        return one, earlier

    def _past(self, known: tuple[int, list[Try]], kind: int, strict: Idempotency) -> tuple[Earlier, ...]:
        if known[0] != kind or any(one.fate == Fate.UNDECIDED for one in known[1]):
            raise RefusedError(Refusal.CONFLICT)
        # a try that was refused before there was a decision went nowhere, and is none of the module's
        earlier = tuple(
            (one.server, one.decided, one.fate == Fate.MAY_HAVE_RUN)
            for one in known[1]
            if one.server >= 0 or one.fate == Fate.MAY_HAVE_RUN
        )
        effect = self._kinds[kind].idempotency
        if (effect == Idempotency.NON_IDEMPOTENT or effect < strict) and any(may for *_, may in earlier):
            raise RefusedError(Refusal.MAY_HAVE_RUN)
        return earlier

    def _unknown_past(self, kind: int, now: float, left: float) -> list[Try]:
        """A further try of which this process has no account, as it was restarted: the first may have run.

        Where it ran is not known, so only what any server would recognise may go on, and only if the window
        lasts for as long as a request of this class can: the first try cannot be older than that.
        """
        terms = self._kinds[kind]
        if terms.idempotency == Idempotency.IDEMPOTENT:
            return []
        everywhere = (
            terms.idempotency == Idempotency.KEYED and terms.deduplication_group == DeduplicationGroup.ALL
        )
        if not everywhere or terms.retry_window < terms.deadline:
            raise RefusedError(Refusal.MAY_HAVE_RUN)
        first = Try()  # remembered too, or the window would count from the second
        first.decided, first.fate = now - max(0.0, terms.deadline - left), Fate.MAY_HAVE_RUN
        return [first]

    def decided(self, one: Try, server: int, now: float) -> None:
        """From here on the try may have run, until it is proven that it did not."""
        one.server, one.decided, one.fate = server, now, Fate.MAY_HAVE_RUN

    def never_ran(self, one: Try) -> None:
        """Notes that an attempt provably never ran."""
        one.fate = Fate.NEVER_RAN

    def _let_go(self, now: float) -> None:
        asked = self._asked
        while asked and asked[0][0] <= now - self._remembered:
            _, name = asked.popleft()
            last = self._last[name]
            if last > now - self._remembered:
                asked.append((last, name))  # asked for again since
                if asked[0][0] > asked[-1][0]:
                    break
            else:
                del self._last[name], self._tries[name]
                self._strict.pop(name, None)
