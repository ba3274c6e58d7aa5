"""Writes and reads that a leader has not answered yet. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from wheatroute.replication.effects import Effect, ReadDone, WriteDone
from wheatroute.replication.records import DocumentVersion


class PendingRequests:
    """By the caller's number: a write waits for a document's version, a read for a heartbeat's answers."""

    def __init__(self) -> None:
        self._writes: list[tuple[int, DocumentVersion]] = []
        self._reads: list[tuple[int, int]] = []

    def add_write(self, request: int, version: DocumentVersion) -> None:
        """Adds a write, which is done once the document of this version, or a later one, is committed."""
        self._writes.append((request, version))

    def add_read(self, request: int, heartbeat: int) -> None:
        """Adds a read, done once a majority has answered the heartbeat of this number, or a later one."""
        self._reads.append((request, heartbeat))

    def has_read_after(self, newest: int) -> bool:
        """Whether a read waits for a later heartbeat than `newest`, the number of the last one sent."""
        return any(heartbeat > newest for _, heartbeat in self._reads)

    def on_commit(self, committed: DocumentVersion) -> list[Effect]:
        """Removes the writes that a commit of this version completes; returns their effects."""
        done = [request for request, version in self._writes if version <= committed]
        self._writes = [write for write in self._writes if write[1] > committed]
        return [WriteDone(request, True) for request in done]

    def on_answers(self, has_majority_answered: Callable[[int], bool]) -> list[Effect]:
        """Removes the reads whose heartbeats a majority has answered; returns their effects."""
        done = [read for read in self._reads if has_majority_answered(read[1])]
        self._reads = [read for read in self._reads if read not in done]
        return [ReadDone(request, True) for request, _ in done]

    def fail_all(self) -> list[Effect]:
        """Removes all requests, as this node leads no more; returns the effects that fail them."""
        writes, self._writes = self._writes, []
        reads, self._reads = self._reads, []
        failed: list[Effect] = [WriteDone(request, False) for request, _ in writes]
        return failed + [ReadDone(request, False) for request, _ in reads]
