"""A node in virtual time: hosts one set of decisions and carries them out.

Owns what the sockets' side of a node owns: requests and their attempts, connections, time-outs, the list as
it was told. It decides nothing and is the decisions' `Writer`. Every attempt ends with one `RETURNED`,
every request with one answer; what the decisions write wrongly goes to the watch of the rules, never to the
emulator's ground.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf
from typing import TYPE_CHECKING, Any, Protocol

from wheatroute.balancing.interface import Event, Outcome, Report, ServerState
from wheatroute.fleet.engine import ScheduledCall
from wheatroute.fleet.jobs import Job
from wheatroute.fleet.servers import Address, Server

if TYPE_CHECKING:
    from wheatroute.fleet.world import World

LISTED_LATE = 0.001  # seconds after its start until a node has its first list


class Decisions(Protocol):
    """The module, or a baseline in its place."""

    def handle_events(self, now: float, events: Any, writer: Any) -> None:
        """Handles a batch of events, as `Balancer.handle_events`."""


class Attempt:
    """One attempt of a request."""

    __slots__ = (
        "request",
        "n",
        "server",
        "sent",
        "entry",
        "job",
        "over",
        "life",
        "connection",
        "written",
        "outcome",
        "node",
    )

    def __init__(self, node: Node, request: Request, n: int, server: Server, sent: float) -> None:
        self.node, self.request, self.n, self.server, self.sent = node, request, n, server, sent
        self.entry: ScheduledCall | None = None  # its time-out
        self.job: Job | None = None
        self.over = self.connection = self.written = False
        self.life = server.incarnation
        self.outcome: Outcome | None = None


class Request:
    """One request at one node."""

    __slots__ = ("number", "root", "kind", "call", "stop", "answered", "attempts", "out", "told", "tenant")

    def __init__(
        self,
        number: int,
        root: int,
        kind: int,
        call: int,
        stop: float,
        tenant: int,
        told: Callable[[str, float], None],
    ) -> None:
        self.number, self.root, self.kind, self.call, self.stop = number, root, kind, call, stop
        self.tenant = tenant
        self.answered = ""  # served, refused, failed, left
        self.attempts: list[Attempt] = []
        self.out = 0
        self.told = told  # (answer, seconds to stay away), once


class Node:
    """One node; `depth` is the tier that it sends to."""

    def __init__(self, world: World, depth: int, number: int, zone: int, at: Server | None) -> None:
        self.world, self.engine, self.depth, self.number, self.zone = world, world.engine, depth, number, zone
        self.at = at  # the server that it stands beside
        self.alive = True
        self.requests: dict[int, Request] = {}
        self.drains: dict[int, float] = {}  # when it was told that a server drains or is gone
        self.listed: set[int] = set()
        self.rounds = self.answers = 0
        self.decisions: Decisions  # set by whoever builds the node
        self._events: list[tuple[Any, ...]] = []
        self._due = False
        self._taken = 0
        self._idle: dict[int, list[tuple[float, int]]] = {}  # by server: idle since, the server's life
        self.place = at.address if at is not None else Address(-1, number)
        self._servers = world.tiers[depth]

    # what comes in

    def take(
        self,
        root: int,
        kind: int,
        call: int,
        left: float,
        tenant: int,
        repeated: bool,
        told: Callable[[str, float], None],
    ) -> Request:
        """A request comes in, with `left` seconds to its deadline."""
        number, self._taken = self._taken, self._taken + 1
        request = Request(number, root, kind, call, self.engine.now + left, tenant, told)
        self.requests[number] = request
        if root == self.world.traced:
            self.world.tell_story(self, request, f"comes in with {left:.3f} s left")
        self._happened(Event.ARRIVED, number, kind, left, tenant, repeated)
        return request

    def leave(self, request: Request) -> None:
        """Nobody waits for the request any more."""
        if self.alive and not request.answered:
            request.answered = "left"
            self._happened(Event.CLIENT_LEFT, request.number)
            self._forget(request)

    def listed_anew(self, entries: list[tuple[Any, ...]], whole: bool) -> None:
        """The list service tells."""
        if not self.alive:
            return
        now = self.engine.now
        for entry in entries:
            server, state = entry[0], entry[4]
            if state == ServerState.LIVE:
                self.listed.add(server)
                self.drains.pop(server, None)
            else:
                self.drains.setdefault(server, now)
        self._happened(Event.SERVERS_LISTED, entries, whole)

    def list_failed(self) -> None:
        """The list service could not be reached."""
        self._happened(Event.LIST_FAILED)

    def die(self) -> list[Request]:
        """The node is gone with what it held, which it returns; what it had sent goes on at the servers."""
        self.alive = False
        held = [request for request in self.requests.values() if not request.answered]
        for request in self.requests.values():
            for attempt in request.attempts:
                if not attempt.over:
                    self._let_go(attempt, False)
        self.requests.clear()
        for server, idle in self._idle.items():
            self._servers[server].open_connections -= sum(
                1 for _, life in idle if life == self._servers[server].incarnation
            )
        self._idle.clear()
        return held

    # rounds

    def _happened(self, *event: Any) -> None:
        if not self.alive:
            return
        self._events.append(event)
        if not self._due:
            self._due = True
            self.engine.call_at(self.engine.now, self._round)

    def _round(self) -> None:
        self._due = False
        if not self.alive:
            return
        events, self._events = self._events, []
        self.rounds += 1
        self.decisions.handle_events(self.engine.now, events, self)

    def _woken(self) -> None:
        self._happened(Event.TIMER_DUE)

    # the writer

    def attempt(self, request: int, server: int, time_out: float) -> None:
        """Sends an attempt; see `CommandWriter`."""
        told, place = self.requests[request], self._servers[server]
        attempt = Attempt(self, told, len(told.attempts), place, self.engine.now)
        self.world.watch.attempted(self, told, attempt)
        told.attempts.append(attempt)
        told.out += 1
        if told.root == self.world.traced:
            self.world.tell_story(
                self, told, f"attempt {attempt.n} to server {place.address}, which holds {place.held}"
            )
        longest = told.stop - self.engine.now
        time_out = min(time_out, longest) if time_out else longest
        if told.answered or time_out <= 0.0:
            self._return(attempt, Outcome.MOOT)
            return
        attempt.entry = self.engine.call_later(time_out, self._time_out, attempt)
        self._connect(attempt)

    def cancel(self, request: int, n: int) -> None:
        """Cancels an attempt; see `CommandWriter`."""
        told = self.requests.get(request)
        if told is not None and n < len(told.attempts) and not told.attempts[n].over:
            self._give_up(told.attempts[n], Outcome.WITHDRAWN)

    def reject(self, request: int, stay_away: float) -> None:
        """Rejects a request; see `CommandWriter`."""
        self._answer(self.requests[request], "refused", stay_away)

    def fail(self, request: int) -> None:
        """Fails a request; see `CommandWriter`."""
        self._answer(self.requests[request], "failed", 0.0)

    def wake_at(self, moment: float) -> None:
        """Schedules an event batch; see `CommandWriter`."""
        self.engine.call_at(moment, self._woken)

    def probe(self, server: int) -> None:
        """Probes are answered with the report as it stands, beside the queue."""
        place = self._servers[server]
        there = self.world.network.message_delay(self.zone, place.zone, self.place, place.address)
        if there == inf or not place.is_alive:
            self.engine.call_later(
                self.world.plan.network.connect_timeout_s,
                self._happened,
                Event.PROBE_ENDED,
                server,
                Outcome.TIMED_OUT,
                self.world.plan.network.connect_timeout_s,
                None,
            )
            return
        self.engine.call_later(2 * there, self._sounded, server, 2 * there)

    def _sounded(self, server: int, took: float) -> None:
        place = self._servers[server]
        if place.is_hanging:
            self._happened(Event.PROBE_ENDED, server, Outcome.TIMED_OUT, took, None)
        else:
            self._happened(
                Event.PROBE_ENDED,
                server,
                Outcome.SERVED,
                took,
                {"held": float(place.held), "latency": self.world.latency(place)},
            )

    def send_loads(self, figures: Mapping[int, float]) -> None:
        """Nodes of these fleets have no peers."""

    def watch(self, enable: bool) -> None:
        """Watches the list; see `CommandWriter`."""
        if enable:
            self.world.list_for(self)

    def fetch(self) -> None:
        """Fetches the list; see `CommandWriter`."""
        self.world.list_for(self)

    def close(self, server: int) -> None:
        """Closes idle connections to a server; see `CommandWriter`."""
        for _, life in self._idle.pop(server, ()):
            self._disconnect(self._servers[server], life)

    def log(self, text: str) -> None:
        """Lines for operators; nobody reads them here."""

    # attempts

    def _connect(self, attempt: Attempt) -> None:
        """On an idle connection, or a new one, which costs the server work and takes round trips."""
        server, network, now = attempt.server, self.world.plan.network, self.engine.now
        idle = self._idle.get(server.number)
        while idle:
            since, life = idle.pop()
            if life == server.incarnation and now - since < 0.9 * network.idle_timeout_s:
                attempt.connection = True
                self._send(attempt)
                return
            self._disconnect(server, life)
        there = self.world.network.message_delay(self.zone, server.zone, self.place, server.address)
        if there == inf:
            self.engine.call_later(network.connect_timeout_s, self._unconnected, attempt)
        elif not server.is_alive or server.open_connections >= server.max_connections:
            self.engine.call_later(2 * there, self._unconnected, attempt)
        else:
            server.open_connections += 1
            server.add_background_work(server.tier.connection_work_s)
            attempt.connection, attempt.life = True, server.incarnation
            self.engine.call_later(2 * there * network.handshake_round_trips, self._send, attempt)

    def _unconnected(self, attempt: Attempt) -> None:
        if not attempt.over:
            self._return(attempt, Outcome.UNCONNECTED)

    def _send(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        server, attempt.written = attempt.server, True
        there = self.world.network.message_delay(self.zone, server.zone, self.place, server.address)
        if there < inf:
            self.engine.call_later(there, self._arrive, attempt)

    def _arrive(self, attempt: Attempt) -> None:
        """The attempt's last byte comes to the server."""
        server = attempt.server
        if not server.is_alive or server.incarnation != attempt.life:
            if not attempt.over:
                self._return(attempt, Outcome.UNCONNECTED if not server.is_alive else Outcome.RESET)
            return
        if attempt.over:
            return  # called off on the way, never begun
        job = self.world.job_for(self, attempt)
        if server.accept(job):
            attempt.job = job
        else:
            self._answered(attempt, Outcome.FULL)

    def job_done(self, attempt: Attempt, outcome: Outcome) -> None:
        """The server has ended the attempt's work."""
        self._answered(attempt, outcome)

    def _answered(self, attempt: Attempt, outcome: Outcome) -> None:
        server = attempt.server
        back = self.world.network.message_delay(server.zone, self.zone, server.address, self.place)
        if back < inf and not (outcome == Outcome.SERVED and self.world.network.loses_response()):
            report: Report | None = None
            if server.tier.reports is not None:
                report = server.reporter.report()
            self.engine.call_later(back, self._back, attempt, outcome, report)

    def _back(self, attempt: Attempt, outcome: Outcome, report: Report | None) -> None:
        if attempt.over or not self.alive:
            return
        if attempt.connection:
            attempt.connection = False
            self._idle.setdefault(attempt.server.number, []).append((self.engine.now, attempt.life))
        self._return(attempt, outcome, report)

    def server_died(self, attempt: Attempt) -> None:
        """The process that held the attempt is gone: its connection breaks."""
        server = attempt.server
        if attempt.over or not self.alive:
            return
        back = self.world.network.message_delay(server.zone, self.zone, server.address, self.place)
        if back < inf:
            self.engine.call_later(back, self._reset, attempt)

    def _reset(self, attempt: Attempt) -> None:
        if not attempt.over:
            self._return(attempt, Outcome.RESET)

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.over:
            # what was never written whole has never run
            self._give_up(attempt, Outcome.TIMED_OUT if attempt.written else Outcome.MOOT)

    def _give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        self._return(attempt, outcome)
        self._let_go(attempt, True)

    def _let_go(self, attempt: Attempt, ours: bool) -> None:
        """Ends the connection of an attempt that is not waited for; the server hears of it a way later."""
        attempt.over = True
        if attempt.connection:
            attempt.connection = False
            self._disconnect(attempt.server, attempt.life)
        job = attempt.job
        if job is not None and not job.is_ended:
            there = self.world.network.message_delay(
                self.zone, attempt.server.zone, self.place, attempt.server.address
            )
            if there < inf:
                self.engine.call_later(there, self.world.cancel, attempt)

    @staticmethod
    def _disconnect(server: Server, life: int) -> None:
        if life == server.incarnation:
            server.open_connections -= 1

    def _return(self, attempt: Attempt, outcome: Outcome, report: Report | None = None) -> None:
        """The one end of an attempt."""
        request = attempt.request
        attempt.over, attempt.outcome = True, outcome
        self.engine.cancel(attempt.entry)
        request.out -= 1
        if request.root == self.world.traced:
            self.world.tell_story(
                self,
                request,
                f"attempt {attempt.n} ends: {outcome.name} after {self.engine.now - attempt.sent:.3f} s",
            )
        if attempt.connection and outcome not in (Outcome.TIMED_OUT, Outcome.WITHDRAWN):
            attempt.connection = False
            self._disconnect(attempt.server, attempt.life)
        if outcome == Outcome.SERVED and not request.answered:
            request.answered = "served"
            self._tell(request, 0.0)
        self._happened(
            Event.ATTEMPT_ENDED,
            request.number,
            attempt.n,
            attempt.server.number,
            outcome,
            self.engine.now - attempt.sent,
            bool(request.answered),
            report,
        )
        self._forget(request)

    def _answer(self, request: Request, answer: str, stay_away: float) -> None:
        self.world.watch.answered(self, request, answer)
        if request.answered:
            return
        request.answered = answer
        self._tell(request, stay_away)
        self._forget(request)

    def _tell(self, request: Request, stay_away: float) -> None:
        self.answers += 1
        if request.root == self.world.traced:
            self.world.tell_story(self, request, f"answered: {request.answered}")
        request.told(request.answered, stay_away)

    def _forget(self, request: Request) -> None:
        if request.answered and request.out <= 0:
            # after the round: a decision of this round may name it
            self.engine.call_at(self.engine.now, self._drop, request.number)

    def _drop(self, number: int) -> None:
        self.requests.pop(number, None)
