"""An explicit-state model checker of the agreement protocol, for a few processes and one store. No I/O.

It runs `member.py` and `versions.py` in a world of processes, one store, puts and a clock of whole steps.
Both are unchanged, except that a shorter text replaces the digest of a record. At each state it checks that
there is a version that allows everything that the processes may do. Every order of events is explored,
however unlikely.

A process may be delayed between any two of its steps for any time (which covers SIGSTOP, a slow store and a
lost response), the response of an exchange may be lost, and a process may crash and restart. A process checks
the clock before it acts, as `version_follower.py` does.
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
    """The result of a run.

    `counterexample` is a shortest path of events to a violation, empty if there is none. `is_complete` is
    whether all states within the bounds were searched.
    """

    states: int = 0
    depth: int = 0
    counterexample: list[str] = field(default_factory=list)
    is_complete: bool = True


class ModelChecker:
    """Searches the states breadth first, so that a counterexample is a shortest one.

    `bounds` limits the search. The other arguments inject faults, to show that the checker finds them:
    `make_member` may return members with a defect, with `overwrites` the store replaces records, and with
    `reads_first` processes read the records before they write their status.
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
        """Searches all states within the bounds, up to the first violation."""
        original, versions.digest = versions.digest, short_digest
        try:
            return self._run()
        finally:
            versions.digest = original

    def _run(self) -> CheckResult:
        processes = [self._events.new_process(i, 0) for i in range(self._bounds.processes)]
        initial = WorldState(0, (), {}, processes)
        # The states found so far, by key: the key of the predecessor, and the event that led to the state.
        seen: dict[Any, tuple[Any, str]] = {initial.key(self._bounds): (None, "")}
        queue = deque([(initial, 0)])
        result = CheckResult()
        while queue:
            world, depth = queue.popleft()
            result.states, result.depth = result.states + 1, max(result.depth, depth)
            if result.states >= self._bounds.max_states:
                result.is_complete = False
                return result
            key = world.key(self._bounds)
            for event, after in self._events.successors(world):
                violated = violation(self._bounds, world, after)
                if violated:
                    result.counterexample = [*self._path_to(seen, key), event, violated]
                    return result
                new_key = after.key(self._bounds)
                if new_key not in seen:
                    seen[new_key] = (key, event)
                    queue.append((after, depth + 1))
        return result

    @staticmethod
    def _path_to(seen: dict[Any, tuple[Any, str]], key: Any) -> list[str]:
        lines = []
        while key is not None:
            key, event = seen[key]
            lines.append(event)
        return lines[-2::-1]
