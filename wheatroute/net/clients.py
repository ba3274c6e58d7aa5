"""The clients' side: the listener, clients' connections, what they ask and how they are answered.

Owns the listener and every connection that came in by it, `/up`, and the order in which the node stops.
It must never let a request that was taken go without its one whole answer, and never answers one with
anything but what the exchange holds.
"""

import socket
import struct
import time
from array import array
from contextlib import suppress
from math import inf
from typing import Any

import h11
import trio

from wheatroute.net.connection import LONGEST_BODY, Connection, MalformedError
from wheatroute.net.discovery import Discovery
from wheatroute.net.exchange import REFUSED, Answer, Exchange
from wheatroute.net.intake import ONCE, Forms, Intake
from wheatroute.net.log import Reason, ended
from wheatroute.net.rounds import Rounds, now

BACKLOG = 1024
LONGEST = 3.0  # seconds: a node told to stop is killed after this or the longest deadline
KILLED = 0.7  # and so much more, whichever is less
SPARED = 0.4  # seconds before that by which a node that stops has answered all
STAYING = 0.85  # of the time until then in which it takes requests as ever
FIRST_READ = 3  # passes of the event loop from accepting a connection to reading what lay on it
RESERVE = 0.1  # of the clients' connections are for refusing those who find no room
PATIENCE = 2.0  # seconds for a whole first message; the protocol owes clients an error or a close after 3
NEW = 0.25  # seconds in which a client that has just come is not shut for want of room
THROWN = 16  # reads of what a client goes on sending after its last answer
AGAIN = 0.1  # seconds until a client that could not be accepted is tried again
LINGER = 0.5  # seconds for a client to take its answer in and close, before what it sent is thrown away
REASONS = {
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    200: b"OK",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
# a filter on a listener that drops what opens a connection: load the flags' byte, test SYN, drop or keep
_NO_MORE = array(
    "B",
    b"".join(
        struct.pack("=HBBI", *one)
        for one in ((0x30, 0, 0, 13), (0x45, 0, 1, 2), (0x06, 0, 0, 0), (0x06, 0, 0, 0xFFFFFFFF))
    ),
)
SO_ATTACH_FILTER = 26


class Client:
    """One client's connection, with one request out at a time."""

    __slots__ = ("line", "scope", "due", "exchange", "ending", "half", "shut", "paused", "thrown")

    def __init__(self, line: Connection, due: float) -> None:
        self.line, self.due = line, due  # its first message must be whole by then
        self.scope = trio.CancelScope(deadline=due)  # in which its task reads
        self.exchange: Exchange | None = None  # the request that is out
        self.ending: Reason | None = None  # no more requests are taken, for this reason
        self.half = False  # part of a message is here
        self.shut = False  # it is to go if nothing more has come
        self.paused = False  # it asks far ahead and is not read
        self.thrown = 0  # reads since its last answer, thrown away


class Clients:
    """Everyone who calls this node. Each has a task that reads; answers are written by whoever gives them."""

    def __init__(
        self, boot: dict[str, Any], most: int, rounds: Rounds, discovery: Discovery, log: Any
    ) -> None:
        self._intake = Intake(boot)
        self._rounds, self._discovery, self._log = rounds, discovery, log
        # the rest is for clients that can only be told that there is no room
        self._most = most - max(2, int(most * RESERVE))
        self._most_open = most
        self._most_out = min(self._most, boot["terms"].max_open_connections or self._most)
        self._advice = boot["terms"].max_retry_after_s if boot["terms"].can_advise_retry else 0.0
        self._out = 0  # requests out
        self._refused, self._said = 0, -inf  # requests refused for want of room, and when that was logged
        self._idle: dict[Client, None] = {}  # between two messages, the one idle for longest first
        self._open = 0
        self._room = trio.Event()
        self._alone = boot["terms"].nodes == 1
        self._beside = boot["beside"]  # another process of this node takes over while this one ends
        self.account: Any = None  # of what becomes of requests, where the file has one kept
        self._until = inf  # by then every request must have its answer
        self.stopping = self._leaving = False
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setblocking(False)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._beside:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._listener.bind(boot["listen"])
        self._listener.listen(BACKLOG)

    async def run(self) -> None:
        """Accepts until the node stops and every client has its answer."""
        async with trio.open_nursery() as self._nursery:
            with trio.CancelScope() as self._accepting:
                await self._accept()
            self._close_listener()
            for client in list(self._idle):
                self._shut(client)

    def _close_listener(self) -> None:
        """Guards against clients in the queue of a closed listener, whose connections the system resets.

        They are taken first; and from before the last of them on nobody new gets into that queue.
        """
        with suppress(OSError):  # where the system knows no filters the moment between the two stays open
            self._listener.setsockopt(
                socket.SOL_SOCKET,
                SO_ATTACH_FILTER,
                struct.pack("HP", len(_NO_MORE) // 8, _NO_MORE.buffer_info()[0]),
            )
        with suppress(OSError):
            while self._accept_one():
                pass
        trio.lowlevel.notify_closing(self._listener)
        self._listener.close()

    def agree(self, boot: dict[str, Any], also: Forms) -> None:
        """Other settings; see `Intake.agree`."""
        self._intake.agree(boot, also)
        terms = boot["terms"]
        self._most_out = min(self._most, terms.max_open_connections or self._most)
        self._advice = terms.max_retry_after_s if terms.can_advise_retry else 0.0
        self._alone = terms.nodes == 1
        if self.account is not None:
            self.account.agree(boot["request_classes"], boot["tenants"], terms.request_classes)

    async def stop(self) -> None:
        """On SIGTERM: goes on for as long as what is taken can be answered before the node is killed.

        Then answers tell clients to close and idle connections go; a node that is alone has no other to leave
        its clients to, refuses for the rest of its time and tells them when to come back. Guards against
        clients that find nobody until the node starts anew, as the next one may be stopped by then.
        """
        last = min(self._intake.longest, LONGEST) + KILLED - SPARED
        self._until = trio.current_time() + last
        if self._beside:  # clients find the other at the same place
            self._stop()
            self._accepting.cancel()
            return
        await trio.sleep(last * STAYING)
        if self._alone:
            self._leaving = True
        else:
            self._stop()
        await trio.sleep(last * (1.0 - STAYING))
        self._stop()
        self._accepting.cancel()

    def _stop(self) -> None:
        self.stopping = True
        for client in list(self._idle):
            if client.line.messages:
                self._shut(client)

    def _reason_to_shut(self) -> Reason:
        if self.stopping:
            return Reason.STOPPING
        return Reason.ROOM if self._open >= self._most else Reason.ASKED

    @staticmethod
    def _shut(client: Client) -> None:
        client.shut = True
        client.scope.cancel()

    # connections

    async def _accept(self) -> None:
        while True:
            if self._open >= self._most:
                self._make_room()
            if self._open >= self._most_open:
                with trio.move_on_after(AGAIN):  # by then one who came may be seen to be silent
                    await self._wait_for_room()
                continue
            try:
                if not self._accept_one():
                    await trio.lowlevel.wait_readable(self._listener)
            except OSError as trouble:
                # guards against crashing or spinning where the system has no descriptor to give
                self._log.warning("not-accepted", trouble=str(trouble), open=self._open)
                with trio.move_on_after(AGAIN):
                    await self._wait_for_room()

    def _make_room(self) -> None:
        """One that came and says nothing goes, else the client idle for longest, but no new one.

        Guards against clients by the hundred that are silent, which would push out those who ask; and against
        a request lost to two closings: its client sends it once more on a new connection if the first was
        closed before it was read, but not a third time.
        """
        answered = None
        for client in self._idle:
            if client.line.messages:
                answered = answered or client
            elif time.monotonic() - client.line.since > NEW and not client.shut:
                self._shut(client)
                return
        if answered is not None:
            self._shut(answered)

    async def _wait_for_room(self) -> None:
        """At the limit of descriptors accepting waits until a client goes."""
        self._room = trio.Event()
        await self._room.wait()

    def _accept_one(self) -> bool:
        try:
            sock, place = self._listener.accept()
        except (BlockingIOError, ConnectionError):
            return False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open += 1
        line = Connection(sock, h11.SERVER, f"{place[0]}:{place[1]}")
        lag = self._rounds.passes.lag
        line.since, line.passes = line.since - lag, self._rounds.passes.count
        client = Client(line, trio.current_time() + PATIENCE - lag)
        self._idle[client] = None  # from now on: one whose task has not begun must be shut with the others
        self._nursery.start_soon(self._serve, client)
        return True

    async def _serve(self, client: Client) -> None:
        line, reason = client.line, Reason.FAULT
        try:
            reason = await self._read(client)
        except OSError:
            reason = client.ending or (Reason.BROKEN if client.exchange is None else Reason.LEFT)
        except Exception:
            self._log.exception("fault")
        finally:
            client.ending = reason  # guards against a request asked ahead that is taken after this
            self._idle.pop(client, None)
            if client.exchange is not None:
                self._out -= 1
                self._rounds.left(client.exchange)
                if self.account is not None:
                    self.account.left(client.exchange, now())
            line.close()
            self._open -= 1
            self._room.set()
            ended(self._log, "client", line.peer, reason, line.since, line.messages)

    async def _read(self, client: Client) -> Reason:
        """Reads for as long as anything may come, so that a client that hangs up is noticed at once."""
        line = client.line
        while True:
            with client.scope:
                while await line.more() and client.thrown < THROWN:
                    self._came(client)
                    if client.exchange is not None and len(line.http.trailing_data[0]) > LONGEST_BODY:
                        client.paused = True
                        await trio.sleep_forever()
                return client.ending or (Reason.CLOSED if client.exchange is None else Reason.LEFT)
            client.scope = trio.CancelScope()
            if client.ending is not None:
                return client.ending
            if client.half:
                if trio.current_time() >= client.due:
                    self._turn_away(client, MalformedError(408, "half a request"))
                else:  # part of it came while this was being shut: it is read to its end
                    client.scope.deadline = client.due
            # guards against a request that came while this was being shut: it is read all the same
            elif client.exchange is None and line.quiet():
                if client.shut:
                    return self._reason_to_shut()
                if not line.messages and trio.current_time() >= client.due:
                    return Reason.SILENT
            client.shut = client.paused = False

    # requests

    def _came(self, client: Client) -> None:
        """Takes the next request if all of it is here and none is out; else the bytes wait in the buffer."""
        client.thrown += client.line.deaf
        if client.ending is not None or client.exchange is not None:
            return
        try:
            if client.line.parse():
                self._take(client)
            else:
                self._wait_for_rest(client)
        except MalformedError as trouble:
            self._turn_away(client, trouble)

    def _wait_for_rest(self, client: Client) -> None:
        """Half a message and silence ends in bounded time: a first one counts from the connection's start."""
        http = client.line.http
        if not client.half:
            client.half = True
            self._idle.pop(client, None)
            if client.line.messages:
                client.due = trio.current_time() + PATIENCE
            client.scope.deadline = client.due
        if http.they_are_waiting_for_100_continue:
            client.line.sock.send(http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")

    def _take(self, client: Client) -> None:
        line = client.line
        client.half, client.scope.deadline = False, inf
        self._idle.pop(client, None)
        path = line.head.target.split(b"?", 1)[0]
        # guards against a class of that name: who asks whether the node is ready says nothing of a request
        if (
            path == b"/up"
            and line.head.method == b"GET"
            and not any(name in ONCE for name, _ in line.head.headers)
        ):
            self._answer(client, Answer(200 if self._discovery.known else 503))
            return
        exchange = self._intake.exchange(line.head, path, line.body, self._lag(line), self._until)
        if self.account is not None and (self._leaving or self._out >= self._most_out):
            self.account.refused(exchange)
        if self._leaving:
            self._answer(client, Answer(REFUSED, stay_away=self._advice))
            return
        if self._out >= self._most_out:
            self._refuse(client)
            return
        self._out += 1
        client.exchange = exchange
        exchange.when_settled = lambda: self._settled(client)
        exchange.has_left = lambda: self._has_left(client)
        self._rounds.arrived(exchange)
        if self.account is not None:
            self.account.took(exchange)

    def _refuse(self, client: Client) -> None:
        """More requests out than the node may hold are refused before they reach the module.

        The simulator does so at the settings' most; here descriptors may come first. Guards against requests
        lost unread in the queue of a node that has no descriptor left to accept them with.
        """
        self._refused += 1
        if trio.current_time() - self._said > 1.0:
            self._log.warning("full", out=self._out, refused=self._refused)
            self._said, self._refused = trio.current_time(), 0
        self._answer(client, Answer(REFUSED, stay_away=self._advice))

    def _has_left(self, client: Client) -> bool:
        """Whether a client is gone though its task has not seen it yet, being late or not reading."""
        if not client.line.ended():
            return False
        self._end(client, Reason.LEFT)
        return True

    def _lag(self, line: Connection) -> float:
        """How long a message may have lain unread: a first one since before its connection was accepted."""
        passes = self._rounds.passes
        if not line.messages and passes.count - line.passes <= FIRST_READ:
            return time.monotonic() - line.since
        return passes.lag

    # answers

    def _head(self, answer: Answer) -> h11.Response:
        headers = [(b"Content-Length", b"%d" % len(answer.body))]
        if answer.kind:
            headers.append((b"Content-Type", answer.kind))
        if answer.stay_away > 0.0:
            headers.append((b"Retry-After", b"%.3f" % answer.stay_away))
        if self.stopping or self._open > self._most:
            headers.append((b"Connection", b"close"))
        return h11.Response(status_code=answer.status, headers=headers, reason=REASONS[answer.status])

    def _settled(self, client: Client) -> None:
        exchange, client.exchange = client.exchange, None
        self._out -= 1
        if self.account is not None:
            self.account.settled(exchange, now())
        try:
            self._answer(client, exchange.answer)
        except Exception:  # it must not reach who gave the answer
            self._log.exception("fault")
            self._end(client, Reason.FAULT)

    def _answer(self, client: Client, answer: Answer) -> None:
        self._send(client, self._head(answer), answer.body)

    def _send(self, client: Client, head: h11.Response, body: bytes) -> None:
        try:
            if client.line.send(head, body):
                self._sent(client)
            else:
                self._nursery.start_soon(self._send_rest, client)
        except OSError:
            self._end(client, Reason.BROKEN)

    async def _send_rest(self, client: Client) -> None:
        """A client has as long as the longest deadline to take its answer in."""
        try:
            with trio.move_on_after(self._intake.longest):
                await client.line.rest()
                self._sent(client)
                return
            self._end(client, Reason.SLOW)
        except (OSError, trio.ClosedResourceError):
            self._end(client, Reason.BROKEN)

    def _sent(self, client: Client) -> None:
        """The answer is on its way: makes ready for another request, or for the end."""
        line = client.line
        if client.ending is not None or not line.next_message() or self.stopping:
            # the last: an answer that went out too slowly to say that the node stops
            self._linger(client, client.ending or self._reason_to_shut())
            return
        self._idle[client] = None
        if line.http.trailing_data[0]:
            self._nursery.start_soon(self._go_on, client)

    async def _go_on(self, client: Client) -> None:
        """A client that asked ahead: its next request is here already."""
        self._came(client)
        if client.paused:
            client.scope.cancel()

    def _turn_away(self, client: Client, trouble: MalformedError) -> None:
        """A short reason for what cannot be taken, and the end of the connection."""
        client.ending = Reason.SLOW if trouble.status == 408 else Reason.MALFORMED
        self._idle.pop(client, None)
        if client.line.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._end(client, client.ending)
            return
        body = trouble.reason.encode("ascii", "replace") + b"\n"
        headers = [
            (b"Content-Length", b"%d" % len(body)),
            (b"Content-Type", b"text/plain"),
            (b"Connection", b"close"),
        ]
        self._send(
            client,
            h11.Response(
                status_code=trouble.status,
                headers=headers,
                reason=REASONS.get(trouble.status, b"Bad Request"),
            ),
            body,
        )

    @staticmethod
    def _linger(client: Client, reason: Reason) -> None:
        """Guards against bytes unread at close, which would turn the answer on its way into a reset."""
        client.ending = reason
        client.line.deaf = True
        client.line.sock.shutdown(socket.SHUT_WR)
        client.scope.deadline = trio.current_time() + LINGER

    @staticmethod
    def _end(client: Client, reason: Reason) -> None:
        client.ending = reason
        client.scope.cancel()
