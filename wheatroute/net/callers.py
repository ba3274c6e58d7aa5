"""The callers' side: the listener, callers' connections, what they ask and how they are answered.

Owns the listener and every connection that came in by it, `/up`, and the order in which the node stops.
It must never let a command that was taken go without its one whole answer, and never answers one with
anything but what the exchange holds.
"""

import errno
import re
import socket
import time
from typing import Any
from urllib.parse import unquote

import h11
import trio

from wheatroute.interface import Effect
from wheatroute.net.connection import LONGEST_BODY, Connection, MalformedError
from wheatroute.net.discovery import Discovery
from wheatroute.net.exchange import Answer, Exchange
from wheatroute.net.log import Reason, ended
from wheatroute.net.rounds import Rounds

BACKLOG = 1024
COMING = 0.5  # seconds after SIGTERM in which new connections still come: 0.4 by the protocol
FIRST_READ = 3  # passes of the event loop from accepting a connection to reading what lay on it
LINGER = 0.5  # seconds for a caller to take its answer in and close, before what it sent is thrown away
REASONS = {400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
           413: b"Content Too Large", 431: b"Request Header Fields Too Large", 200: b"OK",
           502: b"Bad Gateway", 503: b"Service Unavailable"}
_TIME_OUT = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])\Z")
_UNITS = {b"m": 1e3, b"u": 1e6}
_OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def time_left(text: bytes) -> float:
    """Seconds.

    >>> time_left(b"480m"), time_left(b"1500u")
    (0.48, 0.0015)
    """
    found = _TIME_OUT.match(text)
    if found is None:
        raise MalformedError(400, "no usable Request-Timeout")
    return float(found[1]) / _UNITS[found[2]]


class Callers:
    """Everyone who calls this node."""

    def __init__(self, boot: dict[str, Any], most: int, rounds: Rounds, discovery: Discovery,
                 log: Any) -> None:
        self._kinds, self._customers = boot["traffic_types"], boot["customers"]
        self._terms = boot["terms"]["traffic_types"]
        self._longest = max(kind["hard_stop"] for kind in self._terms) or 1.0
        self._most, self._rounds, self._discovery, self._log = most, rounds, discovery, log
        self._idle: dict[Connection, trio.CancelScope] = {}  # the one idle for longest first
        self._open = 0
        self._room = trio.Event()
        self.stopping = False
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setblocking(False)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(boot["listen"])
        self._listener.listen(BACKLOG)

    async def run(self) -> None:
        """Accepts until the node stops and every caller has its answer."""
        async with trio.open_nursery() as nursery:
            with trio.CancelScope() as self._accepting:
                await self._accept(nursery)
            while self._accept_one(nursery):  # guards against callers left in the queue of a closed listener
                pass
            trio.lowlevel.notify_closing(self._listener)
            self._listener.close()
            for scope in list(self._idle.values()):
                scope.cancel()

    async def stop(self) -> None:
        """On SIGTERM: answers tell callers to close, idle connections go, new ones come for a while yet."""
        self.stopping = True
        for scope in list(self._idle.values()):
            scope.cancel()
        await trio.sleep(COMING)
        self._accepting.cancel()

    # connections

    async def _accept(self, nursery: trio.Nursery) -> None:
        while True:
            if self._open >= self._most:
                await self._wait_for_room()
            elif not self._accept_one(nursery):
                await trio.lowlevel.wait_readable(self._listener)

    async def _wait_for_room(self) -> None:
        """At the limit of descriptors the caller idle for longest goes; if none is, accepting waits."""
        self._room = trio.Event()
        if self._idle:
            next(iter(self._idle.values())).cancel()
        await self._room.wait()

    def _accept_one(self, nursery: trio.Nursery) -> bool:
        try:
            sock, place = self._listener.accept()
        except (BlockingIOError, ConnectionError):
            return False
        except OSError as trouble:
            if trouble.errno in _OUT_OF_DESCRIPTORS:
                # guards against spinning: it waits as if at the limit until a connection ends
                self._most = max(1, self._open)
                self._log.warning("descriptors", open=self._open)
                return not self.stopping
            raise
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open += 1
        line = Connection(sock, h11.SERVER, f"{place[0]}:{place[1]}")
        line.since, line.passes = line.since - self._rounds.passes.lag, self._rounds.passes.count
        nursery.start_soon(self._serve, line)
        return True

    async def _serve(self, line: Connection) -> None:
        reason = Reason.FAULT
        try:
            reason = await self._converse(line)
        except OSError:
            reason = Reason.BROKEN
        except Exception:
            self._log.exception("fault")
        finally:
            line.close()
            self._open -= 1
            self._room.set()
            ended(self._log, "caller", line.peer, reason, line.since, line.messages)

    async def _converse(self, line: Connection) -> Reason:
        """One command after the other; returns why there are no more."""
        while True:
            reason = await self._idle_until_asked(line)
            if reason is not None:
                return reason
            try:
                await self._message(line)
                answer = await self._answer_to(line)
            except MalformedError as trouble:
                return await self._turn_away(line, trouble)
            if answer is None:
                return Reason.LEFT
            if not await self._send(line, self._head(answer), answer.body):
                return Reason.SLOW
            if not line.next_message():
                await self._linger(line)
                return Reason.STOPPING if self.stopping else Reason.ASKED

    async def _idle_until_asked(self, line: Connection) -> Reason | None:
        """Waits for the first byte of a message; a reason if none will come."""
        if line.http.trailing_data[0]:
            return None
        with trio.CancelScope() as scope:
            self._idle[line] = scope
            if self.stopping and line.messages:
                scope.cancel()
            try:
                if not await line.more() and not line.http.trailing_data[0]:
                    return Reason.CLOSED
            finally:
                self._idle.pop(line, None)
        if not scope.cancelled_caught:
            return None
        # guards against a command that came while this was being shut: it is read all the same
        if not line.quiet():
            return None if await line.more() else Reason.CLOSED
        return Reason.STOPPING if self.stopping else Reason.ROOM

    async def _message(self, line: Connection) -> None:
        """Reads the message whose first bytes are here; half of one and silence ends in bounded time."""
        if line.parse():
            return
        if line.http.they_are_waiting_for_100_continue:
            line.sock.send(line.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
        with trio.move_on_after(self._longest):
            await line.message()
            return
        raise MalformedError(408, "half a request")

    # commands

    async def _answer_to(self, line: Connection) -> Answer | None:
        path = unquote(line.head.target.split(b"?", 1)[0].decode("latin-1"))
        if path == "/up":
            return Answer(200 if self._discovery.known else 503, b"")
        exchange = self._exchange(line, path)
        self._rounds.arrived(exchange)
        return await self._await_answer(line, exchange)

    def _exchange(self, line: Connection, path: str) -> Exchange:
        """What a caller asks for, or why it cannot be had."""
        kind = self._kinds.get(path.lstrip("/").split("/", 1)[0])
        if kind is None:
            raise MalformedError(404, "no such traffic type")
        request = line.head
        headers = dict(request.headers)
        name, receipt = headers.get(b"request-id", b""), headers.get(b"idempotency-key", b"")
        effect = self._terms[kind]["effect"]
        if request.method != (b"GET" if effect == Effect.PURE else b"POST"):
            raise MalformedError(405, "not the method of this traffic type")
        if not name:
            raise MalformedError(400, "no Request-Id")
        if bool(receipt) != (effect == Effect.RECEIPTED):
            raise MalformedError(400, "Idempotency-Key does not suit this traffic type")
        exchange = Exchange(request.method, request.target, name, receipt, line.body)
        exchange.kind = kind
        exchange.left = max(0.0, time_left(headers.get(b"request-timeout", b"")) - self._lag(line))
        exchange.customer = self._customers.get(headers.get(b"tenant", b"").decode("latin-1"), -1)
        exchange.repeated = headers.get(b"client-retry", b"").strip() == b"1"
        return exchange

    def _lag(self, line: Connection) -> float:
        """How long a message may have lain unread: a first one since before its connection was accepted."""
        passes = self._rounds.passes
        if not line.messages and passes.count - line.passes <= FIRST_READ:
            return time.monotonic() - line.since
        return passes.lag

    async def _await_answer(self, line: Connection, exchange: Exchange) -> Answer | None:
        """The command's answer, or None as soon as its caller has hung up."""
        while exchange.answer is None:
            with trio.CancelScope() as scope:
                exchange.waiting = scope
                try:
                    if len(line.http.trailing_data[0]) > LONGEST_BODY:
                        await trio.sleep_forever()  # a caller that asks far ahead is read no further
                    gone = not await line.more()
                except OSError:
                    gone = True
                if gone and exchange.answer is None:
                    self._rounds.left(exchange)
                    return None
        return exchange.answer

    # answers

    def _head(self, answer: Answer) -> h11.Response:
        headers = [(b"Content-Length", b"%d" % len(answer.body))]
        if answer.kind:
            headers.append((b"Content-Type", answer.kind))
        if answer.stay_away > 0.0:
            headers.append((b"Retry-After", b"%.3f" % answer.stay_away))
        if self.stopping:
            headers.append((b"Connection", b"close"))
        return h11.Response(status_code=answer.status, headers=headers, reason=REASONS[answer.status])

    async def _send(self, line: Connection, head: h11.Response, body: bytes) -> bool:
        """Writes an answer; False for a caller that has not taken it in within the longest hard stop."""
        if line.send(head, body):
            return True
        with trio.move_on_after(self._longest):
            await line.rest()
        return line.whole

    async def _turn_away(self, line: Connection, trouble: MalformedError) -> Reason:
        """A short reason for what cannot be taken, and the end of the connection."""
        if line.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = trouble.reason.encode("ascii", "replace") + b"\n"
            headers = [(b"Content-Length", b"%d" % len(body)), (b"Content-Type", b"text/plain"),
                       (b"Connection", b"close")]
            head = h11.Response(status_code=trouble.status, headers=headers,
                                reason=REASONS.get(trouble.status, b"Bad Request"))
            await self._send(line, head, body)
            await self._linger(line)
        return Reason.SLOW if trouble.status == 408 else Reason.MALFORMED

    @staticmethod
    async def _linger(line: Connection) -> None:
        """Guards against bytes unread at close, which would turn the answer on its way into a reset."""
        line.sock.shutdown(socket.SHUT_WR)
        with trio.move_on_after(LINGER):
            while True:
                await trio.lowlevel.wait_readable(line.sock)
                if not line.sock.recv(65536):
                    return
