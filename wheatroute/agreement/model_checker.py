"""An explicit-state model checker of the agreement: every order of events for a few processes and one store.

It runs `member.py` and `versions.py` as they are, in a world of processes, a store, puts and a clock of
whole steps, and checks at each state that some version allows what all processes may do. Only the digest of
a record is replaced, by a shorter one. No order of events is left out for being unlikely.

A process may be held up between any two of its steps for any time (which covers SIGSTOP, a slow store and a
lost answer), the answer of an exchange may be lost, a process may die and restart, and it checks the clock
before it acts, as `version_follower.py` does. No I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from wheatroute.agreement import versions
from wheatroute.agreement.member import Member
from wheatroute.agreement.model_events import MemberFactory, WorldEvents
from wheatroute.agreement.model_invariants import violation
from wheatroute.agreement.model_world import Bounds, WorldState, short_digest


@dataclass
class CheckResult:
    """The result of a run: `counterexample` is a shortest path to a violation, if there is one."""

    states: int = 0
    depth: int = 0
    counterexample: list[str] = field(default_factory=list)
    is_complete: bool = True


class ModelChecker:
    """Searches breadth first, so that a counterexample is a shortest one.

    `make_member` may return members with a fault, to show that it is found. With `overwrites` the store
    replaces records, with `reads_first` processes read the records before they write their status.
    """

    def __init__(
        self,
        bounds: Bounds,
        make_member: MemberFactory = Member,
        overwrites: bool = False,
        reads_first: bool = False,
    ) -> None:
        self._bounds = bounds
        self._events = WorldEvents(bounds, make_member, overwrites, reads_first)

    def run(self) -> CheckResult:
        """Check all states within the bounds, or up to the first violation."""
        original, versions.digest = versions.digest, short_digest
        try:
            return self._run()
        finally:
            versions.digest = original

    def _run(self) -> CheckResult:
        processes = [self._events.new_process(i, 0) for i in range(self._bounds.processes)]
        first = WorldState(0, (), {}, processes)
        seen: dict[Any, tuple[Any, str]] = {first.key(self._bounds): (None, "")}
        queue = deque([(first, 0)])
        found = CheckResult()
        while queue:
            world, depth = queue.popleft()
            found.states, found.depth = found.states + 1, max(found.depth, depth)
            if found.states >= self._bounds.max_states:
                found.is_complete = False
                return found
            key = world.key(self._bounds)
            for event, after in self._events.successors(world):
                broken = violation(self._bounds, world, after)
                if broken:
                    found.counterexample = [*self._path_to(seen, key), event, broken]
                    return found
                new = after.key(self._bounds)
                if new not in seen:
                    seen[new] = (key, event)
                    queue.append((after, depth + 1))
        return found

    @staticmethod
    def _path_to(seen: dict[Any, tuple[Any, str]], key: Any) -> list[str]:
        lines = []
        while key is not None:
            key, event = seen[key]
            lines.append(event)
        return lines[-2::-1]
