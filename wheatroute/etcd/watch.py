"""One watch that continues over several streams: decides which events are applied. No I/O.

Invariant: events are returned by complete revisions, in order, each revision once. If the history was
compacted, or another cluster responds, the watch raises `WatchLostError`.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from wheatroute.etcd import messages as wire
from wheatroute.grpc.messages import CallError, Status


class WatchLostError(Exception):
    """The watch can't be resumed: all keys must be read again."""


class MemberBehindError(CallError):
    """The member lags behind a revision that was already seen: another member must be used."""

    def __init__(self, text: str) -> None:
        super().__init__(Status.UNAVAILABLE, text)


class Batch(NamedTuple):
    """All events of one revision in the watched range of keys."""

    revision: int
    events: list[Any]


class Watch:
    """Watches one cluster, starting after the revision at which all keys were read."""

    def __init__(self, cluster_id: int, revision: int) -> None:
        self.cluster_id, self.next_revision = cluster_id, revision + 1
        # The revision up to which the member has stated that it sent all events.
        self.progress_revision = revision
        self._fragments: list[Any] = []  # events of a revision that isn't complete yet

    def request(self, prefix: bytes, watch_id: int = 1) -> Any:
        """Returns the request for a new stream.

        Drops the fragments that the previous stream sent, since the new one sends their events again.
        """
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
            raise WatchLostError(
                f"response from etcd cluster {header.cluster_id:x}, expected cluster {self.cluster_id:x}"
            )
        if response.canceled:
            raise self._cancellation(response)
        if response.created:
            if header.revision < self.next_revision - 1:
                raise MemberBehindError(
                    f"the member is at revision {header.revision}, "
                    f"but revision {self.next_revision - 1} was received before"
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
        """Returns the error for a watch that the member has canceled."""
        if response.compact_revision:
            return WatchLostError(
                f"history before revision {response.compact_revision} was compacted, "
                f"but the watch needs revision {self.next_revision}"
            )
        return WatchLostError(f"the member canceled the watch: {response.cancel_reason or 'no reason given'}")

    def _batches(self, events: list[Any]) -> list[Batch]:
        batches: list[Batch] = []
        for event in events:
            revision = event.kv.mod_revision
            if revision < self.next_revision:
                continue  # already received on an earlier stream
            if not batches or batches[-1].revision != revision:
                batches.append(Batch(revision, []))
            batches[-1].events.append(event)
        if batches:
            self.next_revision = batches[-1].revision + 1
            self.progress_revision = max(self.progress_revision, batches[-1].revision)
        return batches
