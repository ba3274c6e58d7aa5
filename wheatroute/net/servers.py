"""The servers' side: pools of connections, attempts, probes, and what became of them.

Owns every connection to a server. An attempt goes out in one piece on the connection used last, or on a new
one, and its outcome says whether it may have run: never before its last byte was written, always after.
What was decided is judged once more by `_may_go` in the moment of the write, and before each further piece.
It must never send anything again by itself, nor send for a request that is over.
"""

import errno
import socket
import time
from math import inf
from typing import Any

import h11
import trio

from wheatroute.balancing.interface import DeduplicationGroup, Event, Idempotency, Outcome, ServerState
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.net.connection import Connection, MalformedError
from wheatroute.net.exchange import Answer, Attempt, Exchange
from wheatroute.net.log import Reason, ended
from wheatroute.net.rounds import Rounds, now
from wheatroute.wire_names import REPORT_FIGURES

STALL = 2.0  # times for a new connection that an answer may stand still once it has begun
KEEP = 0.9  # of the time after which servers shut idle connections, so that none is used at its very end
FRESH = 0.25  # of the time in which a cold server falls: what was decided longer ago is not sent to one
LARGEST = 1e9  # figure in a load report that can be meant
RESTED = 0.02  # seconds that a connection rests before it is used again, where servers answer twice
SWEEPS = 30.0  # looks at idle connections within that time
_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK)


class UnreachedError(Exception):
    """A connection to a server could not be had."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


def report_of(text: str) -> tuple[dict[str, float] | None, str]:
    """A load report under our names, and the last part of it that was malformed and is left out."""
    found: dict[str, float] = {}
    malformed = ""
    for part in text.removeprefix("TEXT ").split(","):
        name, _, figure = part.strip().partition("=")
        try:
            value = float(figure)
        except ValueError:
            value = -1.0
        if 0.0 <= value < LARGEST:
            found[REPORT_FIGURES.get(name, name)] = value
        else:
            malformed = part.strip()
    return found or None, malformed


class Servers:
    """Where servers are, and the connections to them."""

    def __init__(self, terms: DecisionSettings, most: int, longest: int, rounds: Rounds, log: Any) -> None:
        self._connect_within = terms.connect_timeout_s or float("inf")
        self._idle_closed = terms.idle_timeout_s
        self._load_path = b"/metrics/load" if terms.report_how != "none" else b"/alive"
        self._most, self._longest, self._rounds, self._log = most, longest, rounds, log
        self._places: dict[int, tuple[str, int]] = {}
        self._idle: dict[int, list[tuple[float, Connection]]] = {}  # by server, the last used at the end
        self._terms, self._kinds = terms, terms.request_classes
        self._standings: dict[
            int, tuple[ServerState, float]
        ] = {}  # by server, as the list has it, and its start
        self._changes: dict[int, int] = {}  # by server: how often that or its place has changed
        self._doubtful = -inf  # until then connections that were idle are doubted
        self._twice = -inf  # until then a second answer may come behind the first
        self._malformed: set[int] = set()  # servers whose malformed reports were logged
        self._busy: dict[int, int] = {}  # attempts and probes out, by server
        self._open = 0
        self._nursery: trio.Nursery

    @property
    def open(self) -> int:
        """Connections to servers."""
        return self._open

    async def run(self) -> None:
        """Holds the attempts' tasks, and shuts connections that are idle for too long."""
        pause = min(1.0, self._idle_closed / SWEEPS)
        async with trio.open_nursery() as self._nursery:
            while True:
                await trio.sleep(pause)
                self._sweep()

    def agree(self, terms: DecisionSettings) -> None:
        self._connect_within = terms.connect_timeout_s or float("inf")
        self._idle_closed = terms.idle_timeout_s
        self._terms, self._kinds = terms, terms.request_classes

    def place(self, server: int, place: tuple[str, int]) -> None:
        """A server's address; where it has changed, what is open to the old one is of no more use."""
        if self._places.get(server, place) != place:
            self.shut_idle(server)
            self._changes[server] = self._changes.get(server, 0) + 1
        self._places[server] = place

    def stands(self, server: int, state: ServerState, started: float) -> None:
        """What the list says of a server; where that has changed, what was chosen before goes elsewhere."""
        if self._standings.get(server, (state, started)) != (state, started):
            self._changes[server] = self._changes.get(server, 0) + 1
        self._standings[server] = state, started

    def release(self, server: int) -> bool:
        """Forgets a server that is gone, so that its number can be another's; False while anything is out."""
        if self._busy.get(server):
            return False
        self.shut_idle(server)
        for known in (self._busy, self._places, self._standings, self._changes):
            known.pop(server, None)
        self._malformed.discard(server)
        return True

    # attempts

    def start(self, exchange: Exchange, attempt: Attempt) -> None:
        self._busy[attempt.server] = self._busy.get(attempt.server, 0) + 1
        attempt.standing = self._changes.get(attempt.server, 0)
        self._nursery.start_soon(self._attempt, exchange, attempt)

    async def _attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        outcome, report = Outcome.WITHDRAWN, None
        wire = _Wire()
        try:
            with attempt.scope:
                outcome, report = await self._play(exchange, attempt, wire)
            if attempt.scope.cancelled_caught:
                # never ran if it ran out of time before it was written whole
                late = Outcome.TIMED_OUT if wire.whole else Outcome.MOOT
                outcome = Outcome.WITHDRAWN if attempt.withdrawn else late
                wire.reason = Reason.WITHDRAWN if attempt.withdrawn else Reason.TIMED_OUT
        except Exception:
            self._log.exception("fault")
            outcome, wire.reason = Outcome.UNKNOWN if wire.whole else Outcome.UNCONNECTED, Reason.FAULT
        self._drop(wire.line, wire.reason)  # before the module hears of it
        self._busy[attempt.server] -= 1
        attempt.may_have_run &= outcome not in (Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT)
        self._rounds.returned(exchange, attempt, outcome, report)

    async def _play(
        self, exchange: Exchange, attempt: Attempt, wire: "_Wire"
    ) -> tuple[Outcome, dict[str, float] | None]:
        """One attempt up to its outcome; the connection stays in `wire` unless it can be used again."""
        try:
            doubted = now() < self._doubtful and self._only_once(self._kinds[exchange.kind])
            wire.line = await (self._fresh(attempt.server) if doubted else self._connection(attempt.server))
        except UnreachedError as trouble:
            # for want of room the attempt never was under way, which tells nothing of the server
            return Outcome.MOOT if trouble.reason == Reason.ROOM else Outcome.UNCONNECTED, None
        if not self._may_go(exchange, attempt):
            self._keep(attempt.server, wire)
            return Outcome.MOOT, None
        try:
            written = wire.line.send(self._request(exchange, attempt), exchange.body)
            while not written:
                await trio.lowlevel.wait_writable(wire.line.sock)
                if not self._may_go(exchange, attempt):
                    # part of it is there, and without the rest it never runs
                    wire.reason = Reason.WITHDRAWN
                    return Outcome.MOOT, None
                written = wire.line.write()
            attempt.may_have_run = True
            status, headers, body = await self._answer(wire.line)
        except OSError:
            wire.reason = Reason.BROKEN
            return self._cut_off(wire), None
        except MalformedError as trouble:
            if trouble.reason == "closed":
                wire.reason = Reason.CLOSED
                return self._cut_off(wire), None
            # a spoilt answer tells nothing of the server's other connections: it may have run, no more
            wire.reason = Reason.MALFORMED
            self._unasked()
            return Outcome.UNKNOWN, None
        outcome = _outcome(status, headers)
        if outcome == Outcome.SERVED:
            exchange.settle(Answer(200, body, headers.get(b"content-type", b"")))
        self._keep(attempt.server, wire)
        return outcome, self._report(attempt.server, headers.get(b"server-load"))

    @staticmethod
    def _only_once(rules: dict[str, Any]) -> bool:
        """Whether an attempt that may have run can leave its request with nothing more that may be done."""
        if rules.idempotency == Idempotency.KEYED:
            return rules.deduplication_group != DeduplicationGroup.ALL or rules.retry_window < rules.deadline
        return rules.idempotency == Idempotency.NON_IDEMPOTENT

    def _may_go(self, exchange: Exchange, attempt: Attempt) -> bool:
        """Whether an attempt may be written now: the last look before bytes go to its server.

        Guards against what happened since it was decided, while its connection came up or its server read too
        slowly: the final answer, its time running out, a server told draining or gone or started anew, an
        address that is another's by now, another attempt that may have run, a cold server's room long given
        to others, a client that has left. All of it is proof that the attempt never ran.
        """
        if exchange.over or attempt.withdrawn or attempt.scope.cancel_called or now() >= exchange.deadline:
            return False
        if self._changes.get(attempt.server, 0) != attempt.standing:
            return False
        if self._aged(attempt) or len(exchange.attempts) > 1 and self._forbidden(exchange, attempt):
            return False
        if exchange.has_left is not None and exchange.has_left():
            self._rounds.left(exchange)
            return False
        return True

    def _aged(self, attempt: Attempt) -> bool:
        """Whether a cold server would get what was decided long ago beside all that was decided since."""
        started = self._standings.get(attempt.server, (ServerState.LIVE, 0.0))[1]
        if not started or now() >= started + self._terms.warmup_s:
            return False
        return 0.0 < FRESH * self._terms.overload_window_s < now() - attempt.sent

    def _forbidden(self, exchange: Exchange, attempt: Attempt) -> bool:
        """Rule two at the socket: whether another attempt that may have run forbids this one by now."""
        rules = self._kinds[exchange.kind]
        if rules.idempotency == Idempotency.IDEMPOTENT:
            return False
        others = (one.sent for one in exchange.attempts if one.may_have_run and one is not attempt)
        first = min(others, default=inf)
        if rules.idempotency == Idempotency.NON_IDEMPOTENT:
            return first < inf
        return now() >= first + rules.retry_window - self._terms.tick

    def _cut_off(self, wire: "_Wire") -> Outcome:
        """The connection of an attempt is gone; if it had been idle, others that were may be as bad."""
        if not wire.whole:
            return Outcome.UNCONNECTED
        if wire.line.messages > 1:
            self._doubtful = now() + self._idle_closed
        return Outcome.RESET

    def _request(self, exchange: Exchange, attempt: Attempt) -> h11.Request:
        host, port = self._places[attempt.server]
        wait = max(1, int((attempt.scope.deadline - trio.current_time()) * 1e6))
        headers = [
            (b"Host", b"%s:%d" % (host.encode(), port)),
            (b"Request-Id", exchange.name),
            (b"Request-Timeout", b"%du" % wait),
        ]
        if exchange.key:
            headers.append((b"Idempotency-Key", exchange.key))
        if exchange.body or exchange.method != b"GET":
            headers.append((b"Content-Length", b"%d" % len(exchange.body)))
        return h11.Request(method=exchange.method, target=exchange.target, headers=headers)

    async def _answer(self, line: Connection) -> tuple[int, dict[bytes, bytes], bytes]:
        """A whole answer; one that is cut off or malformed is none."""
        while not line.parse():
            # guards against an answer that has begun and never ends: its connection may well stay open
            with trio.move_on_after(STALL * self._connect_within if line.begun else inf) as limit:
                await line.more()
            if limit.cancelled_caught:
                raise MalformedError(0, "an answer that stands still")
        headers = dict(line.head.headers)
        if b"content-length" not in headers and b"transfer-encoding" not in headers:
            # guards against a cut-off answer taken for a whole one: nothing tells where this one should end
            raise MalformedError(0, "an answer without an end")
        return line.head.status_code, headers, line.body

    def _report(self, server: int, load: bytes | None) -> dict[str, float] | None:
        if not load:
            return None
        report, malformed = report_of(load.decode("latin-1"))
        if malformed and server not in self._malformed:
            # once for each server: a line for each answer would cost more than the answers
            self._malformed.add(server)
            place = "{}:{}".format(*self._places[server])
            self._log.warning("report-skipped", peer=place, part=malformed[:80])
        return None if malformed else report

    # probes

    def probe(self, server: int) -> None:
        self._busy[server] = self._busy.get(server, 0) + 1
        self._nursery.start_soon(self._probe, server)

    async def _probe(self, server: int) -> None:
        """The protocol names no time-out for a probe: it gets as long as a new connection twice over."""
        sent, outcome, report, wire = now(), Outcome.TIMED_OUT, None, _Wire()
        try:
            with trio.move_on_after(2 * self._connect_within):
                wire.line = await self._connection(server)
                host, port = self._places[server]
                place = b"%s:%d" % (host.encode(), port)
                wire.line.send(h11.Request(method=b"GET", target=self._load_path, headers=[(b"Host", place)]))
                status, headers, body = await self._answer(wire.line)
                outcome = Outcome.SERVED if status == 200 else Outcome.ERROR
                load = headers.get(b"server-load", body if self._load_path != b"/alive" else None)
                report = self._report(server, load)
                self._keep(server, wire)
        except UnreachedError:
            outcome = Outcome.UNCONNECTED
        except (OSError, MalformedError):
            outcome, wire.reason = Outcome.RESET, Reason.BROKEN
        except Exception:
            self._log.exception("fault")
        self._drop(wire.line, wire.reason)
        self._busy[server] -= 1
        self._rounds.happened(Event.PROBE_ENDED, server, outcome, now() - sent, report)

    # connections

    async def _connection(self, server: int) -> Connection:
        """The connection to a server that was used last, or a new one.

        Guards against a second answer that comes some milliseconds behind the first: once another request
        waits on the connection, nothing would tell that this is not its own. Where such came, it rests first.
        """
        kept = self._idle.get(server, [])
        moment = now()
        for i in reversed(range(len(kept))):
            if moment < self._twice and moment - kept[i][0] < RESTED:
                continue
            since, line = kept.pop(i)
            if moment - since < KEEP * self._idle_closed and line.quiet():
                return line
            self._drop_idle(line, since)
        return await self._connect(server)

    def _drop_idle(self, line: Connection, since: float) -> None:
        """One that is idle for too long, that its server has shut, or on which something came unasked."""
        if not line.quiet() and not line.ended():
            self._unasked()
        self._drop(line, Reason.IDLE if now() - since >= KEEP * self._idle_closed else Reason.CLOSED)

    def _unasked(self) -> None:
        """Something came that nobody had asked for, or that was no answer: more of it may."""
        self._twice = now() + self._idle_closed

    async def _fresh(self, server: int) -> Connection:
        """A new connection in the place of the one idle for longest, or a kept one if none can be had.

        Guards against requests lost on connections that servers or paths drop once they were idle: what was
        written to one may have run, so it cannot be sent again, or not for long, or not anywhere. Others can,
        and go on them as ever.
        """
        kept = self._idle.get(server)
        if not kept:
            return await self._connect(server)
        try:
            line = await self._connect(server)
        except UnreachedError:
            return await self._connection(server)
        if kept := self._idle.get(server):
            self._drop(kept.pop(0)[1], Reason.SHUT)
        return line

    async def _connect(self, server: int) -> Connection:
        if self._open >= self._most and not self._make_room():
            raise UnreachedError(Reason.ROOM)
        place, since = self._places[server], time.monotonic()
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as trouble:  # no descriptor
            raise UnreachedError(Reason.ROOM) from trouble
        sock.setblocking(False)
        self._open += 1
        reason = Reason.UNREACHED
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(place)
            if code in _IN_PROGRESS:
                with trio.move_on_after(self._connect_within):
                    await trio.lowlevel.wait_writable(sock)
                    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code == 0:
                line = Connection(sock, h11.CLIENT, f"{place[0]}:{place[1]}")
                line.longest = self._longest
                reason = None
                return line
            reason = Reason.REFUSED if code == errno.ECONNREFUSED else Reason.UNREACHED
            raise UnreachedError(reason)
        except OSError as trouble:
            raise UnreachedError(reason) from trouble
        finally:
            if reason is not None:
                self._open -= 1
                sock.close()
                ended(self._log, "server", f"{place[0]}:{place[1]}", reason, since, 0)

    def _keep(self, server: int, wire: "_Wire") -> None:
        """Takes a connection back for the next attempt if it can carry one."""
        line = wire.line
        if line is None:
            return
        if line.http.trailing_data[0]:
            # guards against bytes that nobody asked for, which would pass for the next request's answer
            wire.reason = Reason.MALFORMED
            self._unasked()
        elif line.peer != "{}:{}".format(*self._places[server]):
            # guards against attempts into nothing: the server got a new address while this was in use
            wire.reason = Reason.SHUT
        elif not line.messages or line.next_message():
            self._idle.setdefault(server, []).append((now(), line))
            wire.line = None
        else:
            wire.reason = Reason.ASKED

    def _drop(self, line: Connection | None, reason: Reason) -> None:
        if line is not None:
            self._open -= 1
            line.close()
            ended(self._log, "server", line.peer, reason, line.since, line.messages)

    def shut_idle(self, server: int) -> None:
        for _, line in self._idle.pop(server, []):
            self._drop(line, Reason.SHUT)

    def _sweep(self) -> None:
        """Shuts what is idle for nearly too long, and what its server has shut already."""
        oldest = now() - KEEP * self._idle_closed
        for kept in self._idle.values():
            for one in kept[:]:
                if one[0] <= oldest or not one[1].quiet():
                    kept.remove(one)
                    self._drop_idle(one[1], one[0])

    def _make_room(self) -> bool:
        """Shuts the connection that is idle for longest, of any server."""
        first = min((kept for kept in self._idle.values() if kept), key=lambda kept: kept[0][0], default=None)
        if first is None:
            return False
        self._drop(first.pop(0)[1], Reason.ROOM)
        return True

    def shut_all(self) -> None:
        for kept in self._idle.values():
            for _, line in kept:
                self._drop(line, Reason.STOPPING)
        self._idle.clear()


class _Wire:
    """The connection of an attempt while it is out, and why it ends if it must."""

    __slots__ = ("line", "reason")

    def __init__(self) -> None:
        self.line: Connection | None = None
        self.reason = Reason.BROKEN

    @property
    def whole(self) -> bool:
        return self.line is not None and self.line.whole


def _outcome(status: int, headers: dict[bytes, bytes]) -> Outcome:
    """What an answer says; only one marked so proves that the attempt never ran."""
    if status == 200:
        return Outcome.SERVED
    if status in (503, 504) and headers.get(b"not-started", b"").strip() == b"1":
        return Outcome.FULL
    return Outcome.ERROR if status >= 500 else Outcome.UNKNOWN
