"""One watch over many streams: which events may be applied. A state machine without I/O.

Invariant: events are given out by complete revisions, in order, each revision once. Where the history is
lost, or another cluster answers, the watch raises `WatchLostError`.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from wheatroute.etcd import messages as wire
from wheatroute.grpc.messages import CallError, Status


class WatchLostError(Exception):
    """The watch can't go on from where it was: all keys must be read anew."""


class MemberBehindError(CallError):
    """The member lags behind what was already applied: another one must be asked."""

    def __init__(self, text: str) -> None:
        super().__init__(Status.UNAVAILABLE, text)


class Batch(NamedTuple):
    """All events of one revision in the watched range."""

    revision: int
    events: list[Any]


class Watch:
    """A watch of one cluster, from the revision after that of a listing on."""

    def __init__(self, cluster_id: int, revision: int) -> None:
        self.cluster_id, self.next_revision = cluster_id, revision + 1
        self.progress_revision = revision  # up to which the member has sent all events, by its own statement
        self._fragments: list[Any] = []  # events of a revision that isn't complete yet

    def request(self, prefix: bytes, watch_id: int = 1) -> Any:
        """The request for a new stream; fragments of a lost stream are dropped, as they come again."""
        self._fragments = []
        return wire.WatchRequest(
            create_request=wire.WatchCreateRequest(
                key=prefix,
                range_end=wire.prefix_end(prefix),
                start_revision=self.next_revision,
                watch_id=watch_id,
                progress_notify=True,
                fragment=True,
            )
        )

    def receive(self, response: Any) -> list[Batch]:
        """Applies a response; returns the revisions that it completes.

        Raises `WatchLostError` or `MemberBehindError`.
        """
        header = response.header
        if header.cluster_id != self.cluster_id:
            raise WatchLostError(f"cluster {header.cluster_id:x} answers in the place of {self.cluster_id:x}")
        if response.canceled:
            raise self._cancellation(response)
        if response.created:
            if header.revision < self.next_revision - 1:
                raise MemberBehindError(
                    f"at revision {header.revision}, {self.next_revision - 1} was told before"
                )
            return []
        if not response.events and not response.fragment and not self._fragments:
            self.progress_revision = max(self.progress_revision, header.revision)
            return []
        self._fragments += response.events
        if response.fragment:
            return []
        events, self._fragments = self._fragments, []
        return self._batches(events)

    def _cancellation(self, response: Any) -> WatchLostError:
        """The error of a watch that the member has cancelled."""
        if response.compact_revision:
            return WatchLostError(
                f"history before revision {response.compact_revision} is gone, {self.next_revision} was next"
            )
        return WatchLostError(f"the watch was ended: {response.cancel_reason or 'no reason given'}")

    def _batches(self, events: list[Any]) -> list[Batch]:
        batches: list[Batch] = []
        for event in events:
            revision = event.kv.mod_revision
            if revision < self.next_revision:
                continue  # received before the last stream failed
            if not batches or batches[-1].revision != revision:
                batches.append(Batch(revision, []))
            batches[-1].events.append(event)
        if batches:
            self.next_revision = batches[-1].revision + 1
            self.progress_revision = max(self.progress_revision, batches[-1].revision)
        return batches
