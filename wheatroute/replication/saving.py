"""Which of a node's records is being written to disk, and what waits for it; free of I/O and clock."""

from __future__ import annotations

from collections.abc import Callable

from wheatroute.replication.records import DocumentVersion

DISK_STALL = 0.5  # seconds that a write may take before this node calls its disk unhealthy
DISK_RETRY = 0.5  # seconds until a failed write is tried again

Action = Callable[[], None]


class RecordSaver:
    """One write at a time; whatever changed meanwhile goes with the next one."""

    def __init__(self, version: DocumentVersion) -> None:
        self.version = version  # of the document on disk
        self._writing_stamp = version
        self._writing_since: float | None = None
        self.failed = False  # the last write was refused
        self._retry_at = 0.0
        self._changed = False
        self._after_this: list[Action] = []
        self._after_next: list[Action] = []

    def request(self, then: Action) -> None:
        """The record changed; `then` runs once it, or a later one, is on disk."""
        self._after_next.append(then)
        self._changed = True

    def due(self, now: float) -> bool:
        """Whether a write should begin."""
        if not self._changed or self._writing_since is not None:
            return False
        return not self.failed or now >= self._retry_at

    def begin(self, now: float, version: DocumentVersion) -> None:
        """A write begins, of a record whose document has this version."""
        self._changed = False
        self._after_this += self._after_next
        self._after_next = []
        self._writing_since, self._writing_stamp = now, version

    def done(self) -> list[Action]:
        """The write is on disk; returns what waited for it."""
        self._writing_since = None
        self.failed = False
        self.version = self._writing_stamp
        actions, self._after_this = self._after_this, []
        return actions

    def refused(self, now: float) -> None:
        """The disk refused the write; what waited for it waits for the next one."""
        self._writing_since = None
        self.failed = True
        self._retry_at = now + DISK_RETRY
        self._after_next = self._after_this + self._after_next
        self._after_this = []
        self._changed = True

    def is_healthy(self, now: float) -> bool:
        """Whether the disk takes writes."""
        stalled = self._writing_since is not None and now - self._writing_since > DISK_STALL
        return not self.failed and not stalled
