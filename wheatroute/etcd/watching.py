"""What a watch has been told, and what may be applied: whole revisions, in order, each once. Free of I/O.

Owns the next revision of one watch, and the parts of a revision that is not whole. It must never give a part
of a revision, a revision twice or out of order, or one of another cluster; where history is lost it says so.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from wheatroute.etcd import messages as wire
from wheatroute.grpc.messages import CallError, Status


class LostError(Exception):
    """The watch cannot go on from where it was: all keys must be read anew."""


class BehindError(CallError):
    """This member has not come as far as what was already told: another one must be asked."""

    def __init__(self, text: str) -> None:
        super().__init__(Status.UNAVAILABLE, text)


class Batch(NamedTuple):
    """All events of one revision in the watched range."""

    revision: int
    events: list[Any]


class Watching:
    """One watch over the life of many streams, from the list of a cluster at a revision on."""

    def __init__(self, cluster: int, revision: int) -> None:
        self.cluster, self.next = cluster, revision + 1
        self.seen = revision  # what the member at the other end has told up to, by its own word
        self._parts: list[Any] = []

    def request(self, prefix: bytes, number: int = 1) -> Any:
        """What to ask a new stream for; parts that a lost stream left are dropped, they come again whole."""
        self._parts = []
        return wire.WatchRequest(
            create_request=wire.WatchCreateRequest(
                key=prefix,
                range_end=wire.end_of(prefix),
                start_revision=self.next,
                watch_id=number,
                progress_notify=True,
                fragment=True,
            )
        )

    def take(self, told: Any) -> list[Batch]:
        """What may be applied now; raises `LostError` or `BehindError`."""
        header = told.header
        if header.cluster_id != self.cluster:
            raise LostError(f"cluster {header.cluster_id:x} answers in the place of {self.cluster:x}")
        if told.canceled:
            if told.compact_revision:
                gone = told.compact_revision
                raise LostError(f"history before revision {gone} is gone, {self.next} was next")
            raise LostError(f"the watch was ended: {told.cancel_reason or 'no reason given'}")
        if told.created:
            if header.revision < self.next - 1:
                raise BehindError(f"at revision {header.revision}, {self.next - 1} was told before")
            return []
        if not told.events and not told.fragment and not self._parts:
            self.seen = max(self.seen, header.revision)
            return []
        self._parts += told.events
        if told.fragment:
            return []
        events, self._parts = self._parts, []
        return self._batches(events)

    def _batches(self, events: list[Any]) -> list[Batch]:
        batches: list[Batch] = []
        for event in events:
            revision = event.kv.mod_revision
            if revision < self.next:
                continue  # told before the last stream broke
            if not batches or batches[-1].revision != revision:
                batches.append(Batch(revision, []))
            batches[-1].events.append(event)
        if batches:
            self.next = batches[-1].revision + 1
            self.seen = max(self.seen, batches[-1].revision)
        return batches
