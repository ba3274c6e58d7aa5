"""One attempt of a request at one server, from its connection to the last event of its answer.

What was decided is judged once more in the moment of the write: the server may have left, and the client or
its deadline may be gone. Before the last byte is written the request can't have run; after it, only an answer
with `Not-Executed`, or status 421, proves that it did not.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import h11
import trio

from wheatroute.edge.connection import StreamConnection, unacknowledged_bytes
from wheatroute.edge.events import EventSplitter
from wheatroute.edge.instances import Server
from wheatroute.edge.pool import ConnectionPool, UnreachableError
from wheatroute.edge.request import ClientRequest, Headers, server_headers
from wheatroute.net.connection import MalformedError

MISDIRECTED = 421
SERVER_ERROR = 500  # status from which an answer is a server's failure
LONGEST_ANSWER = 64 << 20  # bytes of an answer that isn't a stream
WRITE_CHECK = 0.1  # seconds between two judgements of a write that the server's side holds up


class Outcome(Enum):
    """What became of an attempt up to its first event, or whole answer."""

    STARTED = "started"  # the first event of a stream is here
    ANSWERED = "answered"  # the whole answer is here
    UNREACHED = "unreached"  # never written
    WITHDRAWN = "withdrawn"  # never written, as it was no longer wanted
    NOT_EXECUTED = "not-executed"  # the server says that it didn't run it
    MISDIRECTED = "misdirected"  # another server answered
    BROKEN = "broken"  # it may have run


NEVER_RAN = frozenset((Outcome.UNREACHED, Outcome.WITHDRAWN, Outcome.NOT_EXECUTED, Outcome.MISDIRECTED))


class Attempt:
    """One attempt; `run` is called once, then `events` for the rest of a stream."""

    def __init__(
        self,
        request: ClientRequest,
        server: Server,
        pool: ConnectionPool,
        wanted: Callable[[], bool],
        unread: float = 0.0,
        last_event: bytes | None = None,
    ) -> None:
        self.request, self.server = request, server
        self.written_at = 0.0
        self.written = False
        self.status = 0
        self.reason = b""
        self.headers: Headers = []
        self.body = b""  # the whole answer, or the first events of a stream
        self.splitter = EventSplitter()
        self.streaming = False
        self.detail = ""
        self.own_fault = False
        self.retry_after = ""
        self._pool = pool
        self._wanted = wanted
        self.unread = unread
        self._last_event = last_event
        self._line: StreamConnection | None = None
        self._ended = False

    async def run(self) -> Outcome:
        """Sends the request and waits for the first event or the whole answer."""
        try:
            self._line = await self._pool.take(self.server, self.request.id)
        except UnreachableError as error:
            self.detail, self.own_fault = str(error), error.own
            return Outcome.UNREACHED
        try:
            return await self._exchange(self._line)
        except OSError as error:
            self.detail = str(error)
        except MalformedError as error:
            self.detail = error.args[0] if error.args else "malformed"
        finally:
            if not self.streaming:
                self.close()
        return Outcome.BROKEN if self.written else Outcome.UNREACHED

    def unacknowledged(self) -> bool:
        """Whether the server's machine has not acknowledged all of the request that was written."""
        return self.written and self._line is not None and unacknowledged_bytes(self._line.sock) > 0

    def _may_go(self) -> bool:
        return self.server.usable and self._wanted() and trio.current_time() < self.request.deadline

    async def _exchange(self, line: StreamConnection) -> Outcome:
        head = self._head()
        if not self._may_go():
            self._pool.keep(self.server, line)
            self._line = None
            return Outcome.WITHDRAWN
        done = line.send(head, self.request.body)
        while not done:
            with trio.move_on_after(WRITE_CHECK):
                await trio.lowlevel.wait_writable(line.sock)
            if not self._may_go():
                # without its rest it never runs
                return Outcome.WITHDRAWN
            done = line.write()
        self.written, self.written_at = True, trio.current_time()
        self.request.sends += 1
        await self._read_head(line, head)
        return await self._read_answer(line)

    def _head(self) -> h11.Request:
        left = self.request.deadline - trio.current_time()
        headers = server_headers(self.request, self.server.id, left, self.unread, self._last_event)
        return h11.Request(method=self.request.method, target=self.request.target, headers=headers)

    async def _read_head(self, line: StreamConnection, head: h11.Request) -> None:
        """Reads the head of this request's answer; surplus answers to earlier ones are passed over."""
        while True:
            event = await line.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise MalformedError(0, "no answer")
            headers: Headers = [(bytes(key), bytes(value)) for key, value in event.headers]
            told = dict(headers)
            if not self._is_own(told, line):
                await self._skip_body(line)
                line.restart(head)
                continue
            self.status, self.reason, self.headers = event.status_code, bytes(event.reason), headers
            self._pool.note_keep_alive(self.server, told.get(b"keep-alive", b""))
            return

    def _is_own(self, told: dict[bytes, bytes], line: StreamConnection) -> bool:
        """Whether an answer is to this request; raises MalformedError where nothing can tell.

        Without an id it is if nothing else was ever asked on its connection.
        """
        identity = told.get(b"request-id", b"")
        if not identity:
            if line.message_count > 1:
                raise MalformedError(0, "an answer without an id on a kept connection")
            return True
        return identity == self.request.id

    @staticmethod
    async def _skip_body(line: StreamConnection) -> None:
        while not isinstance(await line.next_event(), h11.EndOfMessage):
            pass

    async def _read_answer(self, line: StreamConnection) -> Outcome:
        told = dict(self.headers)
        framed = b"content-length" in told or b"transfer-encoding" in told
        is_stream = told.get(b"content-type", b"").startswith(b"text/event-stream")
        if is_stream and 200 <= self.status < 300:
            return await self._read_first_event(line)
        parts: list[bytes] = []
        length = 0
        while not isinstance(event := await line.next_event(), h11.EndOfMessage):
            length += len(event.data)
            if length > LONGEST_ANSWER:
                raise MalformedError(0, "an answer too long")
            parts.append(bytes(event.data))
        if not framed and self.status not in (204, 304):
            raise MalformedError(0, "an answer without an end")
        self.body = b"".join(parts)
        outcome = self._judge(told)
        if outcome != Outcome.ANSWERED or self.status >= SERVER_ERROR:
            line.answered.add(self.request.id)
        self._pool.keep(self.server, line)
        self._line = None
        return outcome

    def _judge(self, told: dict[bytes, bytes]) -> Outcome:
        if self.status == MISDIRECTED:
            return Outcome.MISDIRECTED
        if told.get(b"not-executed", b"").strip() not in (b"", b"0"):
            self.retry_after = told.get(b"retry-after", b"").decode("latin-1")
            return Outcome.NOT_EXECUTED
        return Outcome.ANSWERED

    async def _read_first_event(self, line: StreamConnection) -> Outcome:
        while True:
            event = await line.next_event()
            if isinstance(event, h11.EndOfMessage):
                self.body = self.splitter.partial
                self._ended = True
                break
            self.body = self.splitter.feed(bytes(event.data))
            if self.body:
                break
        self.streaming = True
        return Outcome.STARTED

    async def next_events(self) -> bytes | None:
        """The bytes of the next whole events, None at the proper end.

        Raises OSError or MalformedError where the stream breaks off; the partial event is dropped then.
        """
        line = self._line
        if self._ended or line is None:
            return None
        while True:
            event = await line.next_event()
            if isinstance(event, h11.EndOfMessage):
                if b"transfer-encoding" not in dict(self.headers) and b"content-length" not in dict(
                    self.headers
                ):
                    raise MalformedError(0, "a stream without an end")
                if self.splitter.partial:
                    raise MalformedError(0, "a stream that ends inside an event")
                self._ended = True
                return None
            whole = self.splitter.feed(bytes(event.data))
            if whole:
                return whole

    def close(self) -> None:
        """Lets go of the connection: kept after a whole answer, else closed, which cancels the request."""
        line, self._line = self._line, None
        if line is None:
            return
        if self._ended:
            self._pool.keep(self.server, line)
        else:
            self._pool.drop(self.server, line)
