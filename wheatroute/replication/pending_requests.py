"""Writes and leadership checks that a leader has not answered yet. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from wheatroute.replication.effects import Effect, LeadershipCheckDone, WriteDone
from wheatroute.replication.records import DocumentVersion


class PendingRequests:
    """Holds the pending requests of one leader, each by the number that its caller chose.

    A write waits for the commit of a document version, a leadership check for the answers to a heartbeat.
    """

    def __init__(self) -> None:
        self._writes: list[tuple[int, DocumentVersion]] = []
        self._leadership_checks: list[tuple[int, int]] = []

    def add_write(self, request: int, version: DocumentVersion) -> None:
        """Adds a write, which is done once the document of this version, or a later one, is committed."""
        self._writes.append((request, version))

    def add_leadership_check(self, request: int, heartbeat: int) -> None:
        """Adds a check, which is done once a majority has answered this heartbeat or a later one."""
        self._leadership_checks.append((request, heartbeat))

    def has_leadership_check_after(self, newest: int) -> bool:
        """Whether a check waits for a later heartbeat than `newest`, the number of the last one sent."""
        return any(heartbeat > newest for _, heartbeat in self._leadership_checks)

    def on_commit(self, committed: DocumentVersion) -> list[Effect]:
        """Removes the writes that a commit of this version completes, and returns their effects."""
        done = [request for request, version in self._writes if version <= committed]
        self._writes = [write for write in self._writes if write[1] > committed]
        return [WriteDone(request, True) for request in done]

    def on_answers(self, has_majority_answered: Callable[[int], bool]) -> list[Effect]:
        """Removes the checks whose heartbeat a majority has answered, and returns their effects."""
        done = [check for check in self._leadership_checks if has_majority_answered(check[1])]
        self._leadership_checks = [check for check in self._leadership_checks if check not in done]
        return [LeadershipCheckDone(request, True) for request, _ in done]

    def fail_all(self) -> list[Effect]:
        """Removes all requests, because this node no longer leads, and returns the effects that fail them."""
        writes, self._writes = self._writes, []
        checks, self._leadership_checks = self._leadership_checks, []
        failed: list[Effect] = [WriteDone(request, False) for request, _ in writes]
        return failed + [LeadershipCheckDone(request, False) for request, _ in checks]
