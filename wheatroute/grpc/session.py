"""One HTTP/2 connection that carries gRPC calls, on the client or the server (RFC 9113).

The session runs the h2 state machine on a byte stream: calls, flow control of streams and of the connection,
keep-alive and GOAWAY. Receivers are notified by plain method calls, in the order of events; what they send
is written after all events of one read, or by `flush`. A session never waits for a receiver, and buffers no
more for a peer than the peer's windows and the limits allow.
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

from wheatroute.byte_stream import ByteStream
from wheatroute.grpc.call import NULL_RECEIVER, Call, Receiver
from wheatroute.grpc.goaway import MAX_STREAM_ID, GoawayFilter, goaway_frame, last_stream_id
from wheatroute.grpc.limits import ConnectionLimits, KeepAlive, KeepAliveAction, ResetBudget
from wheatroute.grpc.messages import MESSAGE_PREFIX_BYTES, CallError, Headers, Status, status_from_headers

# Time within which a peer with a full backlog must read something.
STALLED_WRITE_TIMEOUT_S = 5.0
# Time within which a client that has all its responses should close a draining connection.
DRAINED_CLIENT_TIMEOUT_S = 0.5
BACKLOG_POLL_S = 0.01  # interval between two checks of a full backlog


def _http2_connection(client_side: bool, limits: ConnectionLimits) -> h2.connection.H2Connection:
    """Returns the HTTP/2 state machine with the settings that this side sends."""
    codes = h2.settings.SettingCodes
    initial_values = {codes.ENABLE_PUSH: 0} if client_side else {}
    initial_values |= {
        codes.MAX_CONCURRENT_STREAMS: limits.max_streams,
        codes.MAX_HEADER_LIST_SIZE: limits.max_header_list_bytes,
        codes.INITIAL_WINDOW_SIZE: limits.stream_window,
    }
    connection = h2.connection.H2Connection(
        h2.config.H2Configuration(
            client_side=client_side,
            header_encoding=None,
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
        )
    )
    connection.local_settings = h2.settings.Settings(client=client_side, initial_values=initial_values)
    connection.decoder.max_header_list_size = limits.max_header_list_bytes
    return connection


class Session:
    """One HTTP/2 connection and its calls.

    `make_receiver(call)` returns the receiver of a call that the peer has opened; `after_read()` is called
    after the events of each read.
    """

    def __init__(
        self,
        stream: ByteStream,
        client_side: bool,
        limits: ConnectionLimits,
        make_receiver: Callable[[Call], Receiver] | None = None,
        after_read: Callable[[], None] | None = None,
        log: Any = None,
    ) -> None:
        self.stream, self.client_side, self.limits, self.make_receiver = (
            stream,
            client_side,
            limits,
            make_receiver,
        )
        self.log = log
        self._after_read = after_read
        self.h2 = _http2_connection(client_side, limits)
        self.calls: dict[int, Call] = {}
        self.is_draining = False  # a GOAWAY was sent or received: no new calls
        self.reason = "closed"  # why the session ended
        self._drain_announced = False  # only the first of two GOAWAYs was sent, see `drain`
        self._last_stream_id = 0  # the highest stream of the peer that was processed
        # Calls that wait for the peer's flow-control windows, by stream.
        self._blocked_calls: dict[int, Call] = {}
        # GOAWAY frames, which are encoded without h2; they are sent after the pending frames of h2.
        self._raw_frames = b""
        self._goaways = GoawayFilter(client_side)
        self._resets = ResetBudget(limits, trio.current_time())
        self._keep_alive = KeepAlive(limits, trio.current_time())
        self._ready = trio.Event()
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Reads until the connection ends; then ends all calls and closes the byte stream."""
        try:
            with self._scope:
                self.h2.initiate_connection()
                extra = self.limits.connection_window - self.h2.inbound_flow_control_window
                if extra > 0:
                    self.h2.increment_flow_control_window(extra)
                self.flush()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.stream.pump)
                    nursery.start_soon(self._check_keep_alive)
                    await self._read()
                    nursery.cancel_scope.cancel()
        except* (OSError, trio.ClosedResourceError) as group:
            self.reason = f"broken: {group.exceptions[0]}"
        finally:
            self._end_all(CallError(Status.UNAVAILABLE, f"the connection ended: {self.reason}"))
            if self._after_read is not None:
                self._after_read()
            self.stream.close()

    def close(self, reason: str) -> None:
        """Closes the connection at once; `reason` says why."""
        self.reason = reason
        self._scope.cancel()

    async def _read(self) -> None:
        while True:
            if self.stream.backlog > self.limits.max_backlog_bytes and not await self._backlog_shrinks():
                self.reason = "stuck: the peer reads nothing"
                return
            data = await self.stream.read()
            if not data:
                return
            self._keep_alive.received(trio.current_time())
            if not self._process(data):
                self.flush()
                return

    async def _backlog_shrinks(self) -> bool:
        """Waits until the backlog is below its limit; false once the peer has read nothing for too long."""
        written, since = self.stream.written, trio.current_time()
        while self.stream.backlog > self.limits.max_backlog_bytes:
            await trio.sleep(BACKLOG_POLL_S)
            if self.stream.written != written:
                written, since = self.stream.written, trio.current_time()
            elif trio.current_time() - since > STALLED_WRITE_TIMEOUT_S:
                return False
        return True

    def _process(self, data: bytes) -> bool:
        """Handles the events of one read; returns false if the connection must end."""
        try:
            for event in self.h2.receive_data(self._goaways.extract(data, self._goaway_received)):
                handler = _HANDLERS.get(type(event))
                if handler is not None:
                    handler(self, event)
                if self._resets.is_exhausted:
                    break
        except (h2.exceptions.ProtocolError, ValueError) as error:
            # h2 has already queued a GOAWAY with the error code.
            self.reason = f"malformed: {error}"
            return False
        if self._resets.is_exhausted:
            self.reason = "flooded: too many resets"
            self._raw_frames += goaway_frame(self._last_stream_id, h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            return False
        if self._after_read is not None:
            self._after_read()
        self.flush()
        return True

    def _goaway_received(self, payload: bytes) -> None:
        """Stops opening calls; a client ends calls above the server's last stream, as they never ran.

        See RFC 9113, 6.8.
        """
        self.is_draining = True
        last = last_stream_id(payload)
        if not self.client_side:
            return
        for stream_id in [stream_id for stream_id in self.calls if stream_id > last]:
            self.calls[stream_id].never_ran = True
            self._end_call(
                self.calls[stream_id],
                CallError(Status.UNAVAILABLE, "the server sent GOAWAY before it processed the call"),
            )

    # Handlers of h2's events.

    def _request_received(self, event: Any) -> None:
        head = dict(event.headers)
        call = Call(event.stream_id, self, head)
        if self.is_draining and not self._drain_announced:
            with suppress(h2.exceptions.ProtocolError):
                self.h2.reset_stream(event.stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
            return
        self._last_stream_id = max(self._last_stream_id, event.stream_id)
        self.calls[event.stream_id] = call
        if self.make_receiver is not None:
            call.receiver = self.make_receiver(call)

    def _response_received(self, event: Any) -> None:
        call = self.calls.get(event.stream_id)
        if call is None:
            return
        call.head = dict(event.headers)
        # A response that ends with its headers has trailers only: `_stream_ended` takes the status from them.
        if event.stream_ended is None:
            call.receiver.headers(call.head)

    def _trailers_received(self, event: Any) -> None:
        call = self.calls.get(event.stream_id)
        if call is not None and self.client_side:
            call.head = dict(event.headers)

    def _data_received(self, event: Any) -> None:
        call = self.calls.get(event.stream_id)
        if call is None:
            return
        try:
            messages = call._assembler.feed(event.data)
            if call.has_manual_flow_control:
                call.unread_messages += sum(map(len, messages)) + MESSAGE_PREFIX_BYTES * len(messages)
            if call.unread_messages:
                call.unacknowledged += event.flow_controlled_length
            else:
                # Also acknowledge a part of a message: otherwise a message longer than the window would never
                # be completed.
                self.acknowledge(call, event.flow_controlled_length)
            for message in messages:
                call.receiver.message(message)
                if call.is_over:
                    return
        except CallError as error:
            receiver, call.receiver = call.receiver, NULL_RECEIVER
            if self.client_side:
                self.reset(call, h2.errors.ErrorCodes.CANCEL)
            else:
                call.finish(error.status, error.text)
            receiver.call_ended(error)

    def _stream_ended(self, event: Any) -> None:
        call = self.calls.get(event.stream_id)
        if call is None:
            return
        call.remote_end = True
        if self.client_side:
            outcome = status_from_headers(call.head)
            if outcome.status == Status.OK and not call._assembler.is_between_messages:
                outcome = CallError(Status.INTERNAL, "the response ended inside a message")
            self._end_call(call, outcome)
            return
        call.receiver.half_closed()
        self._end_if_responded(call)

    def _stream_reset(self, event: Any) -> None:
        if event.remote_reset:
            self._resets.count_reset(trio.current_time())
        call = self.calls.get(event.stream_id)
        if call is not None:
            call.never_ran = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
            status = Status.UNAVAILABLE if call.never_ran else Status.CANCELLED
            self._end_call(call, CallError(status, f"reset by the peer, error code {int(event.error_code)}"))

    def _window_updated(self, event: Any) -> None:
        calls = [self._blocked_calls[event.stream_id]] if event.stream_id in self._blocked_calls else []
        for call in calls or list(self._blocked_calls.values()):
            self.push(call)

    def _settings_changed(self, event: Any) -> None:
        self._ready.set()
        for call in list(self._blocked_calls.values()):
            self.push(call)

    def _ping_answered(self, event: Any) -> None:
        self._keep_alive.ping_answered()
        if self._drain_announced:
            self._announce_last_stream()

    # Calls.

    async def ready(self) -> None:
        """Waits for the peer's HTTP/2 settings."""
        await self._ready.wait()

    def open(self, headers: Headers, receiver: Receiver) -> Call:
        """Opens a call (clients only); raises `CallError` if this connection accepts none."""
        if self.is_draining or self.stream.closed:
            raise CallError(Status.UNAVAILABLE, "the connection accepts no new calls")
        try:
            stream_id = self.h2.get_next_available_stream_id()
            self.h2.send_headers(stream_id, headers)
        except (h2.exceptions.ProtocolError, ValueError) as error:
            # Stream identifiers can run out (RFC 9113, 5.1.1); a new connection has new ones.
            self.is_draining = self.is_draining or isinstance(error, h2.exceptions.NoAvailableStreamIDError)
            raise CallError(Status.UNAVAILABLE, str(error)) from error
        call = Call(stream_id, self, {})
        call.receiver = receiver
        self.calls[stream_id] = call
        return call

    def push(self, call: Call) -> None:
        """Sends as much of a call's queue as fits the flow-control windows, then its trailers."""
        if call.is_over:
            return
        http, stream_id, queue = self.h2, call.stream_id, call._queue
        try:
            while queue:
                data = queue[0]
                window = min(http.local_flow_control_window(stream_id), http.max_outbound_frame_size)
                if window <= 0:
                    self._blocked_calls[stream_id] = call
                    return
                last = call.local_end and len(queue) == 1 and call._trailers == [] and len(data) <= window
                http.send_data(stream_id, data[:window], end_stream=last)
                if len(data) <= window:
                    queue.popleft()
                else:
                    queue[0] = data[window:]
                if last:
                    call._trailers = None
            self._blocked_calls.pop(stream_id, None)
            if call.local_end and call._trailers is not None:
                if call._trailers:
                    http.send_headers(stream_id, call._trailers, end_stream=True)
                else:
                    http.end_stream(stream_id)
                call._trailers = None
        except h2.exceptions.ProtocolError as error:
            self._end_call(call, CallError(Status.INTERNAL, str(error)))
            return
        if call.local_end:
            self._end_if_responded(call)

    def _end_if_responded(self, call: Call) -> None:
        """Ends a server's call once its response is sent, even if the request goes on (RFC 9113, 8.1)."""
        if (
            self.client_side
            or call.is_over
            or not call.local_end
            or call._queue
            or call._trailers is not None
        ):
            return
        if not call.remote_end:
            with suppress(h2.exceptions.ProtocolError):
                self.h2.reset_stream(call.stream_id, h2.errors.ErrorCodes.NO_ERROR)
        self._resets.count_completed_call()
        self._end_call(call)

    def reset(self, call: Call, code: int) -> None:
        """Resets the stream of a call with an HTTP/2 error code, unless the call has ended."""
        if call.is_over:
            return
        with suppress(h2.exceptions.ProtocolError):
            self.h2.reset_stream(call.stream_id, code)
        self._end_call(call)

    def acknowledge(self, call: Call, count: int) -> None:
        """Enlarges the flow-control windows again by a number of bytes that were read."""
        if not count:
            return
        with suppress(h2.exceptions.ProtocolError, ValueError):
            self.h2.acknowledge_received_data(count, call.stream_id)

    def _end_call(self, call: Call, outcome: CallError | None = None) -> None:
        """Removes a call; notifies its receiver of `outcome`, if given."""
        call.is_over = True
        self.calls.pop(call.stream_id, None)
        self._blocked_calls.pop(call.stream_id, None)
        call._queue.clear()
        if call.unacknowledged:
            self.acknowledge(call, call.unacknowledged)
            call.unacknowledged = 0
        # A call and its receiver refer to each other: breaking the cycle avoids garbage collections.
        receiver, call.receiver = call.receiver, NULL_RECEIVER
        if outcome is not None:
            receiver.call_ended(outcome)

    def _end_all(self, outcome: CallError) -> None:
        for call in list(self.calls.values()):
            self._end_call(call, outcome)

    # The connection.

    def flush(self) -> None:
        """Writes all pending frames to the byte stream; ends a draining session without open calls."""
        data = self.h2.data_to_send()
        if self._raw_frames:
            data, self._raw_frames = data + self._raw_frames, b""
        if data and not self.stream.closed:
            try:
                self.stream.write(data)
            except OSError as error:
                self.close(f"broken: {error}")
        if self.is_draining and not self.calls and not self._drain_announced and self._scope.deadline == inf:
            # Let the client close first: closing with unread bytes would discard responses in transit.
            self.reason = "drained"
            self._scope.deadline = trio.current_time() + (
                0.0 if self.client_side else DRAINED_CLIENT_TIMEOUT_S
            )

    def drain(self) -> None:
        """Starts to reject new calls; the session ends once all open calls have ended.

        The first GOAWAY only announces the drain: calls that the peer sent before it received that frame are
        still accepted (graceful shutdown, RFC 9113, 6.8). The second one, sent once a ping is acknowledged,
        names the last stream that is processed.
        """
        if self.is_draining:
            return
        self.is_draining = self._drain_announced = True
        self._raw_frames += goaway_frame(MAX_STREAM_ID, h2.errors.ErrorCodes.NO_ERROR)
        self._ping()
        self.flush()

    def _announce_last_stream(self) -> None:
        self._drain_announced = False
        self._raw_frames += goaway_frame(self._last_stream_id, h2.errors.ErrorCodes.NO_ERROR)
        self.flush()

    def _ping(self) -> None:
        self._keep_alive.ping_sent(trio.current_time())
        self.h2.ping(os.urandom(8))

    async def _check_keep_alive(self) -> None:
        while True:
            await trio.sleep(self._keep_alive.check_interval_s)
            action = self._keep_alive.check(trio.current_time())
            if action == KeepAliveAction.CLOSE:
                self.close("silent: a ping was not acknowledged")
            elif action == KeepAliveAction.PING:
                self._ping()
                self.flush()


_HANDLERS: dict[type, Callable[[Session, Any], None]] = {
    h2.events.RequestReceived: Session._request_received,
    h2.events.ResponseReceived: Session._response_received,
    h2.events.TrailersReceived: Session._trailers_received,
    h2.events.DataReceived: Session._data_received,
    h2.events.StreamEnded: Session._stream_ended,
    h2.events.StreamReset: Session._stream_reset,
    h2.events.WindowUpdated: Session._window_updated,
    h2.events.RemoteSettingsChanged: Session._settings_changed,
    h2.events.PingAckReceived: Session._ping_answered,
}
