"""A watch stream of a stand-in etcd member: any number of watches, notified in the order of revisions."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from wheatroute.etcd import messages as wire
from wheatroute.grpc.async_call import AsyncCall
from wheatroute.grpc.messages import CallError, Status
from wheatroute.standin.etcd_store import COMPACTED, Message, Store

UNLIMITED = 10**9
NO_WATCH = -1  # watch id of a response that does not belong to a watch


@dataclass
class MemberFaults:
    """The faults that a test injects into a member."""

    is_unresponsive: bool = False  # accepts requests, but sends no responses
    revision_lag: int = 0  # number of latest revisions that the member does not have
    # Most events in a response to a watch; a revision with more is sent in fragments.
    max_fragment_events: int = UNLIMITED
    # This many more responses with events are sent, on all streams together. The stream that sends the next
    # one is dropped right after it. This happens only once; -1 means never.
    fragments_before_drop: int = -1


class _Watch:
    """A watch, and the next revision to be sent to it."""

    def __init__(self, request: Message, next_revision: int) -> None:
        self.key: bytes = request.key
        self.range_end: bytes = request.range_end
        self.has_fragments: bool = request.fragment
        self.next_revision = next_revision
        self._wants_previous: bool = request.prev_kv
        # Types of events that are left out: each filter is the number of such a type.
        self._filtered_types = set(request.filters)

    def select(self, events: list[Message]) -> list[Message]:
        """Returns the events that the watch has requested, with previous values if requested."""
        return [self._project(event) for event in events if event.type not in self._filtered_types]

    def _project(self, event: Message) -> Message:
        if self._wants_previous or not event.HasField("prev_kv"):
            return event
        return wire.Event(type=event.type, kv=event.kv)


class WatchStream:
    """Serves the watches of one stream."""

    def __init__(self, call: AsyncCall, store: Store, faults: MemberFaults) -> None:
        self._call = call
        self._store = store
        self._faults = faults
        self._watches: dict[int, _Watch] = {}

    async def run(self) -> None:
        """Serves the stream until the client ends it; raises `CallError` if an injected fault drops it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._notify)
            while (message := await self._call.receive()) is not None:
                if not self._faults.is_unresponsive:
                    await self._handle_request(wire.WatchRequest.FromString(message))
            nursery.cancel_scope.cancel()

    async def _send(self, response: Message) -> None:
        await self._call.send(response.SerializeToString())

    def _header(self) -> Message:
        return self._store.header(self._faults.revision_lag)

    async def _handle_request(self, request: Message) -> None:
        request_type = request.WhichOneof("choice")
        if request_type == "create_request":
            response = self._create(request.create_request)
        elif request_type == "cancel_request":
            response = self._cancel(request.cancel_request.watch_id)
        else:
            # A progress request.
            response = wire.WatchResponse(header=self._header(), watch_id=NO_WATCH)
        await self._send(response)
        self._store.notify()  # a new watch may need events of past revisions

    def _create(self, request: Message) -> Message:
        watch_id = request.watch_id or len(self._watches) + 1
        response = wire.WatchResponse(header=self._header(), watch_id=watch_id, created=True)
        if watch_id in self._watches:
            response.watch_id = NO_WATCH
            response.canceled = True
            response.cancel_reason = "duplicate watch ID"
            return response
        newest = self._store.revision - self._faults.revision_lag
        self._watches[watch_id] = _Watch(request, request.start_revision or newest + 1)
        return response

    def _cancel(self, watch_id: int) -> Message:
        self._watches.pop(watch_id, None)
        return wire.WatchResponse(header=self._header(), watch_id=watch_id, canceled=True)

    async def _notify(self) -> None:
        """Sends new events to all watches whenever the store changes."""
        while True:
            change = self._store.next_change()
            for watch_id, watch in list(self._watches.items()):
                if not self._faults.is_unresponsive:
                    await self._notify_watch(watch_id, watch)
            await change.wait()

    async def _notify_watch(self, watch_id: int, watch: _Watch) -> None:
        if watch.next_revision <= self._store.compact_revision:
            await self._cancel_compacted(watch_id)
            return
        for revision, events in self._store.events_since(watch.next_revision, watch.key, watch.range_end):
            if revision > self._store.revision - self._faults.revision_lag:
                break
            watch.next_revision = revision + 1
            await self._send_events(watch_id, watch, watch.select(events))

    async def _cancel_compacted(self, watch_id: int) -> None:
        del self._watches[watch_id]
        await self._send(
            wire.WatchResponse(
                header=self._header(),
                watch_id=watch_id,
                canceled=True,
                cancel_reason=COMPACTED,
                compact_revision=self._store.compact_revision,
            )
        )

    async def _send_events(self, watch_id: int, watch: _Watch, events: list[Message]) -> None:
        """Sends the events of one revision, in fragments if there are too many for one response."""
        size = self._faults.max_fragment_events if watch.has_fragments else UNLIMITED
        for start in range(0, len(events), size):
            end = start + size
            response = wire.WatchResponse(
                header=self._header(), watch_id=watch_id, events=events[start:end], fragment=end < len(events)
            )
            await self._send(response)
            self._count_fragment()

    def _count_fragment(self) -> None:
        """Counts a response with events; raises `CallError` if the stream is to be dropped after it."""
        if self._faults.fragments_before_drop < 0:
            return
        self._faults.fragments_before_drop -= 1
        if self._faults.fragments_before_drop < 0:
            raise CallError(Status.UNAVAILABLE, "the stand-in cut the stream inside a revision")
