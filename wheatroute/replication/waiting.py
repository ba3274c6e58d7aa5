"""Writes and reads that a leader has not answered yet; free of I/O and clock."""

from __future__ import annotations

from collections.abc import Callable

from wheatroute.replication.effects import Effect, ReadDone, WriteDone
from wheatroute.replication.records import DocumentVersion


class WaitingRequests:
    """By the caller's number: a write waits for a document's version, a read for a heartbeat's answers."""

    def __init__(self) -> None:
        self._writes: list[tuple[int, DocumentVersion]] = []
        self._reads: list[tuple[int, int]] = []

    def write(self, request: int, version: DocumentVersion) -> None:
        """A write is done once the document of this version, or a later one, is committed."""
        self._writes.append((request, version))

    def read(self, request: int, beat: int) -> None:
        """A read is done once a majority has answered this heartbeat, or a later one."""
        self._reads.append((request, beat))

    def unasked(self, newest: int) -> bool:
        """Whether a read waits for a heartbeat that is newer than the newest one sent."""
        return any(beat > newest for _, beat in self._reads)

    def committed(self, version: DocumentVersion) -> list[Effect]:
        """The document of this version is committed; tells the writes that are done by that."""
        done = [request for request, wanted in self._writes if wanted <= version]
        self._writes = [one for one in self._writes if one[1] > version]
        return [WriteDone(request, True) for request in done]

    def answered(self, majority_answered: Callable[[int], bool]) -> list[Effect]:
        """Heartbeats were answered; tells the reads that are done by that."""
        done = [one for one in self._reads if majority_answered(one[1])]
        self._reads = [one for one in self._reads if one not in done]
        return [ReadDone(request, True) for request, _ in done]

    def fail(self) -> list[Effect]:
        """This node doesn't lead any more: nothing that waits will be answered by it."""
        writes, self._writes = self._writes, []
        reads, self._reads = self._reads, []
        failed: list[Effect] = [WriteDone(request, False) for request, _ in writes]
        return failed + [ReadDone(request, False) for request, _ in reads]
