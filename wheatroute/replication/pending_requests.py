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
        """A write is done once the document of this version, or a later one, is committed."""
        self._writes.append((request, version))

    def add_read(self, request: int, heartbeat: int) -> None:
        """A read is done once a majority has answered the heartbeat of this number, or a later one."""
        self._reads.append((request, heartbeat))

    def has_read_after(self, newest: int) -> bool:
        """Whether a read waits for a later heartbeat than `newest`, the number of the last one sent."""
        return any(heartbeat > newest for _, heartbeat in self._reads)

    def on_commit(self, committed: DocumentVersion) -> list[Effect]:
        """A document is committed; returns the effects of the writes that are done by that."""
        done = [request for request, version in self._writes if version <= committed]
        self._writes = [write for write in self._writes if write[1] > committed]
        return [WriteDone(request, True) for request in done]

    def on_answers(self, has_majority_answered: Callable[[int], bool]) -> list[Effect]:
        """Heartbeats were answered; returns the effects of the reads that are done by that."""
        done = [read for read in self._reads if has_majority_answered(read[1])]
        self._reads = [read for read in self._reads if read not in done]
        return [ReadDone(request, True) for request, _ in done]

    def fail_all(self) -> list[Effect]:
        """This node no longer leads and will answer none of them; returns the effects that say so."""
        writes, self._writes = self._writes, []
        reads, self._reads = self._reads, []
        failed: list[Effect] = [WriteDone(request, False) for request, _ in writes]
        return failed + [ReadDone(request, False) for request, _ in reads]
