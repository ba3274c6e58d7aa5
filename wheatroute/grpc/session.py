"""One HTTP/2 connection that carries gRPC calls, of either side.

Owns the h2 state, the calls on it, flow control on both levels, keep-alive and GOAWAY. Calls are told of what
comes by plain method calls on their receiver, in the order in which it came; what they write goes out at the
end of the burst that was read, or with `flush`. It must never wait for a receiver, hold more for a peer than
the peer's windows and its limits allow, nor decide what a call is answered.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import suppress
from math import inf
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
import trio

from wheatroute.grpc.call import NOBODY, Bounds, Call, Receiver
from wheatroute.grpc.goaway import EVERY, GoawayFilter, goaway, last_stream
from wheatroute.grpc.messages import CallError, Headers, Status, status_of
from wheatroute.wire import Wire

STUCK = 5.0  # seconds in which a peer with a full backlog must have taken something in
LINGER = 0.5  # seconds in which a client that has all its answers is to hang up
EASE = 0.01  # seconds between two looks at a full backlog


class Session:
    """The connection. `opened(call)` gives the receiver of a call that the other side has opened."""

    def __init__(
        self,
        wire: Wire,
        client_side: bool,
        bounds: Bounds,
        opened: Callable[[Call], Receiver] | None = None,
        burst: Callable[[], None] | None = None,
        log: Any = None,
    ) -> None:
        self.wire, self.client_side, self.bounds, self.opened = wire, client_side, bounds, opened
        self.log = log
        self._burst = burst
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=client_side,
                header_encoding=None,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        self.h2.local_settings = h2.settings.Settings(
            client=client_side,
            initial_values={
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: bounds.streams,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: bounds.header_list,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: bounds.stream_window,
            }
            if client_side
            else {
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: bounds.streams,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: bounds.header_list,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: bounds.stream_window,
            },
        )
        self.h2.decoder.max_header_list_size = bounds.header_list
        self.calls: dict[int, Call] = {}
        self.leaving = False  # a GOAWAY went out or came: no new calls
        self.reason = "closed"  # why the session ended
        self._announced = False  # the first of two GOAWAYs is out, see `drain`
        self._last = 0  # the highest stream that was taken
        self._blocked: dict[int, Call] = {}
        self._raw = b""  # frames beside h2's
        self._goaways = GoawayFilter(client_side)
        self._resets, self._resets_at = bounds.resets, trio.current_time()
        self._heard = trio.current_time()
        self._pinged = inf
        self._ready = trio.Event()
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Reads until the connection is over; all calls are told, and the wire is closed."""
        try:
            with self._scope:
                self.h2.initiate_connection()
                extra = self.bounds.window - self.h2.inbound_flow_control_window
                if extra > 0:
                    self.h2.increment_flow_control_window(extra)
                self.flush()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.wire.pump)
                    nursery.start_soon(self._keep_alive)
                    await self._read()
                    nursery.cancel_scope.cancel()
        except* (OSError, trio.ClosedResourceError) as group:
            self.reason = f"broken: {group.exceptions[0]}"
        finally:
            self._end_all(CallError(Status.UNAVAILABLE, f"the connection is {self.reason}"))
            if self._burst is not None:
                self._burst()
            self.wire.close()

    def close(self, reason: str) -> None:
        """Ends the connection without waiting for anything."""
        self.reason = reason
        self._scope.cancel()

    async def _read(self) -> None:
        while True:
            if self.wire.backlog > self.bounds.backlog and not await self._eased():
                self.reason = "stuck: the other side reads nothing"
                return
            data = await self.wire.read()
            if not data:
                return
            self._heard = trio.current_time()
            if not self._take(data):
                self.flush()
                return

    async def _eased(self) -> bool:
        """Waits until a peer with a full backlog has read of it; False if it does not."""
        written, since = self.wire.written, trio.current_time()
        while self.wire.backlog > self.bounds.backlog:
            await trio.sleep(EASE)
            if self.wire.written != written:
                written, since = self.wire.written, trio.current_time()
            elif trio.current_time() - since > STUCK:
                return False
        return True

    def _take(self, data: bytes) -> bool:
        """One burst of bytes; False if the connection cannot go on."""
        try:
            for event in self.h2.receive_data(self._goaways.taken_out(data, self._went_away)):
                handler = _HANDLERS.get(type(event))
                if handler is not None:
                    handler(self, event)
                if self._resets < 0.0:
                    break
        except (h2.exceptions.ProtocolError, ValueError) as trouble:
            # h2 has its own GOAWAY with the reason ready to go out
            self.reason = f"malformed: {trouble}"
            return False
        if self._resets < 0.0:
            self.reason = "flooded: too many resets"
            self._raw += goaway(self._last, h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            return False
        if self._burst is not None:
            self._burst()
        self.flush()
        return True

    def _went_away(self, payload: bytes) -> None:
        """The other side takes no new calls; those that it never looked at are told so."""
        self.leaving = True
        last = last_stream(payload)
        if not self.client_side:
            return
        for number in [number for number in self.calls if number > last]:
            self.calls[number].never_ran = True
            self._drop(
                self.calls[number], CallError(Status.UNAVAILABLE, "the server went away before it took this")
            )

    # events

    def _request(self, event: Any) -> None:
        head = dict(event.headers)
        call = Call(event.stream_id, self, head)
        if self.leaving and not self._announced:
            with suppress(h2.exceptions.ProtocolError):
                self.h2.reset_stream(event.stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
            return
        self._last = max(self._last, event.stream_id)
        self.calls[event.stream_id] = call
        if self.opened is not None:
            call.receiver = self.opened(call)

    def _response(self, event: Any) -> None:
        call = self.calls.get(event.stream_id)
        if call is None:
            return
        call.head = dict(event.headers)
        if event.stream_ended is None:
            call.receiver.headers(call.head)

    def _trailers(self, event: Any) -> None:
        call = self.calls.get(event.stream_id)
        if call is not None and self.client_side:
            call.head = dict(event.headers)

    def _data(self, event: Any) -> None:
        call = self.calls.get(event.stream_id)
        if call is None:
            return
        try:
            messages = call._parts.take(event.data)
            if call.holds:
                call.waiting += sum(map(len, messages)) + 5 * len(messages)
            if call.waiting:
                call.unread += event.flow_controlled_length
            else:
                # also parts of a message, or one longer than the window would never be whole
                self.acknowledge(call, event.flow_controlled_length)
            for message in messages:
                call.receiver.message(message)
                if call.dead:
                    return
        except CallError as trouble:
            receiver, call.receiver = call.receiver, NOBODY
            if self.client_side:
                self.reset(call, h2.errors.ErrorCodes.CANCEL)
            else:
                call.finish(trouble.status, trouble.text)
            receiver.over(trouble)

    def _stream_ended(self, event: Any) -> None:
        call = self.calls.get(event.stream_id)
        if call is None:
            return
        call.remote_end = True
        if self.client_side:
            how = status_of(call.head)
            if how.status == Status.OK and not call._parts.between:
                how = CallError(Status.INTERNAL, "the answer ended inside a message")
            self._drop(call, how)
            return
        call.receiver.half_closed()
        self._settle(call)

    def _reset_event(self, event: Any) -> None:
        if event.remote_reset:
            self._count_reset()
        call = self.calls.get(event.stream_id)
        if call is not None:
            call.never_ran = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
            status = Status.UNAVAILABLE if call.never_ran else Status.CANCELLED
            self._drop(call, CallError(status, f"reset by the other side, code {int(event.error_code)}"))

    def _count_reset(self) -> None:
        """Guards against a peer that opens and resets streams at full speed, which costs it nothing."""
        now = trio.current_time()
        self._resets = (
            min(self.bounds.resets, self._resets + (now - self._resets_at) * self.bounds.reset_rate) - 1.0
        )
        self._resets_at = now

    def _window(self, event: Any) -> None:
        calls = [self._blocked[event.stream_id]] if event.stream_id in self._blocked else []
        for call in calls or list(self._blocked.values()):
            self.push(call)

    def _settings(self, event: Any) -> None:
        self._ready.set()
        for call in list(self._blocked.values()):
            self.push(call)

    def _pong(self, event: Any) -> None:
        self._pinged = inf
        if self._announced:
            self._announce_last()

    # calls

    async def ready(self) -> None:
        """Waits for the other side's settings."""
        await self._ready.wait()

    def open(self, headers: Headers, receiver: Receiver) -> Call:
        """Opens a call (clients only); raises `CallError` if this connection takes none."""
        if self.leaving or self.wire.closed:
            raise CallError(Status.UNAVAILABLE, "the connection takes no new calls")
        try:
            number = self.h2.get_next_available_stream_id()
            self.h2.send_headers(number, headers)
        except (h2.exceptions.ProtocolError, ValueError) as trouble:
            # numbers of streams run out one day; another connection has them all
            self.leaving = self.leaving or isinstance(trouble, h2.exceptions.NoAvailableStreamIDError)
            raise CallError(Status.UNAVAILABLE, str(trouble)) from trouble
        call = Call(number, self, {})
        call.receiver = receiver
        self.calls[number] = call
        return call

    def push(self, call: Call) -> None:
        """Sends what the windows have room for of what a call has to say."""
        if call.dead:
            return
        http, number, queue = self.h2, call.number, call._queue
        try:
            while queue:
                data = queue[0]
                room = min(http.local_flow_control_window(number), http.max_outbound_frame_size)
                if room <= 0:
                    self._blocked[number] = call
                    return
                last = call.local_end and len(queue) == 1 and call._trailers == [] and len(data) <= room
                http.send_data(number, data[:room], end_stream=last)
                if len(data) <= room:
                    queue.popleft()
                else:
                    queue[0] = data[room:]
                if last:
                    call._trailers = None
            self._blocked.pop(number, None)
            if call.local_end and call._trailers is not None:
                if call._trailers:
                    http.send_headers(number, call._trailers, end_stream=True)
                else:
                    http.end_stream(number)
                call._trailers = None
        except h2.exceptions.ProtocolError as trouble:
            self._drop(call, CallError(Status.INTERNAL, str(trouble)))
            return
        if call.local_end:
            self._settle(call)

    def _settle(self, call: Call) -> None:
        """A call that has been answered whole is done, whatever its client still meant to say."""
        if self.client_side or call.dead or not call.local_end or call._queue or call._trailers is not None:
            return
        if not call.remote_end:
            with suppress(h2.exceptions.ProtocolError):
                self.h2.reset_stream(call.number, h2.errors.ErrorCodes.NO_ERROR)
        self._resets = min(self.bounds.resets, self._resets + 1.0)
        self._drop(call)

    def reset(self, call: Call, code: int) -> None:
        if call.dead:
            return
        with suppress(h2.exceptions.ProtocolError):
            self.h2.reset_stream(call.number, code)
        self._drop(call)

    def acknowledge(self, call: Call, count: int) -> None:
        if not count:
            return
        with suppress(h2.exceptions.ProtocolError, ValueError):
            self.h2.acknowledge_received_data(count, call.number)

    def _drop(self, call: Call, how: CallError | None = None) -> None:
        """Lets go of a call; `how` it ended is for its receiver, where it does not know."""
        call.dead = True
        self.calls.pop(call.number, None)
        self._blocked.pop(call.number, None)
        call._queue.clear()
        if call.unread:
            self.acknowledge(call, call.unread)
            call.unread = 0
        # a call and its receiver name each other: let go of here, they cost no pause of the collector
        receiver, call.receiver = call.receiver, NOBODY
        if how is not None:
            receiver.over(how)

    def _end_all(self, how: CallError) -> None:
        for call in list(self.calls.values()):
            self._drop(call, how)

    # the connection

    def flush(self) -> None:
        """Hands what is to be sent to the wire."""
        data = self.h2.data_to_send()
        if self._raw:
            data, self._raw = data + self._raw, b""
        if data and not self.wire.closed:
            try:
                self.wire.write(data)
            except OSError as trouble:
                self.close(f"broken: {trouble}")
        if self.leaving and not self.calls and not self._announced and self._scope.deadline == inf:
            # the client hangs up first: bytes unread at a close would take answers on their way with them
            self.reason = "drained"
            self._scope.deadline = trio.current_time() + (0.0 if self.client_side else LINGER)

    def drain(self) -> None:
        """Takes no new calls, ends when those open are done. Guards against calls that cross the GOAWAY:

        the first only announces; what was sent before the peer can have read it is still taken.
        """
        if self.leaving:
            return
        self.leaving = self._announced = True
        self._raw += goaway(EVERY, h2.errors.ErrorCodes.NO_ERROR)
        self._ping()
        self.flush()

    def _announce_last(self) -> None:
        self._announced = False
        self._raw += goaway(self._last, h2.errors.ErrorCodes.NO_ERROR)
        self.flush()

    def _ping(self) -> None:
        self._pinged = trio.current_time()
        self.h2.ping(os.urandom(8))

    async def _keep_alive(self) -> None:
        """Guards against a peer that is gone without a word: TCP may not notice for minutes."""
        bounds = self.bounds
        while True:
            await trio.sleep(min(bounds.ping_every, bounds.ping_within) / 2)
            now = trio.current_time()
            if self._heard > self._pinged:
                self._pinged = inf
            if now - self._pinged > bounds.ping_within:
                self.close("silent: no answer to a ping")
            elif self._pinged == inf and now - self._heard > bounds.ping_every:
                self._ping()
                self.flush()


_HANDLERS: dict[type, Callable[[Session, Any], None]] = {
    h2.events.RequestReceived: Session._request,
    h2.events.ResponseReceived: Session._response,
    h2.events.TrailersReceived: Session._trailers,
    h2.events.DataReceived: Session._data,
    h2.events.StreamEnded: Session._stream_ended,
    h2.events.StreamReset: Session._reset_event,
    h2.events.WindowUpdated: Session._window,
    h2.events.RemoteSettingsChanged: Session._settings,
    h2.events.PingAckReceived: Session._pong,
}
