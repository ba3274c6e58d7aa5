"""Schedules the writes of a node's record to disk, and the actions that follow each write. No I/O.

At most one write is in progress; changes made during it are written by the next one. A failed write is
retried after `WRITE_RETRY_S`, and the actions that wait for it run after the retry has succeeded.
"""

from __future__ import annotations

from collections.abc import Callable

from wheatroute.replication.records import DocumentVersion

WRITE_STALL_S = 0.5  # a write that takes longer makes the disk count as unhealthy
WRITE_RETRY_S = 0.5  # delay before a failed write is retried

Action = Callable[[], None]


class RecordWriter:
    """Tracks the writes of one node's record. Times are of the monotonic clock, in seconds."""

    def __init__(self, version: DocumentVersion) -> None:
        self.version_on_disk = version
        self.has_failed = False  # whether the disk rejected the last write
        self._version_in_write = version
        self._write_started_at: float | None = None
        self._retry_at = 0.0
        self._has_changed = False
        self._after_this: list[Action] = []
        self._after_next: list[Action] = []

    def request(self, then: Action | None) -> None:
        """Requests a write of the changed record; `then` runs once it, or a later one, is on disk."""
        if then is not None:
            self._after_next.append(then)
        self._has_changed = True

    def is_due(self, now: float) -> bool:
        """Whether a write should start now."""
        if not self._has_changed or self._write_started_at is not None:
            return False
        return not self.has_failed or now >= self._retry_at

    def begin(self, now: float, version: DocumentVersion) -> None:
        """Records that a write starts; `version` is that of the document in the record being written."""
        self._has_changed = False
        self._after_this += self._after_next
        self._after_next = []
        self._write_started_at, self._version_in_write = now, version

    def succeeded(self) -> list[Action]:
        """Records that the write is on disk; returns the actions that waited for it."""
        self._write_started_at = None
        self.has_failed = False
        self.version_on_disk = self._version_in_write
        actions, self._after_this = self._after_this, []
        return actions

    def failed(self, now: float) -> None:
        """Records that the disk rejected the write; the actions that waited for it wait for the next one."""
        self._write_started_at = None
        self.has_failed = True
        self._retry_at = now + WRITE_RETRY_S
        self._after_next = self._after_this + self._after_next
        self._after_this = []
        self._has_changed = True

    def is_healthy(self, now: float) -> bool:
        """Whether the last write succeeded, and none has been in progress for over `WRITE_STALL_S`."""
        started_at = self._write_started_at
        is_stalled = started_at is not None and now - started_at > WRITE_STALL_S
        return not self.has_failed and not is_stalled
