"""Brings a request to a server that begins to answer it: chooses, sends, hedges and repeats."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from wheatroute.cluster.configuration import Route
from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.edge.attempt import NEVER_RAN, SERVER_ERROR, Attempt, Outcome
from wheatroute.edge.instances import Outstanding, Server
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.request import ClientRequest

PATIENCE = 0.22  # of a route's target that a request may wait for a server before it is refused
SHORTEST_PATIENCE = 0.02  # seconds
SILENT = 2.0  # times the p95 after which a server that answers nothing is passed over
POLL = 0.02  # seconds between two looks for a server
MOST_SENDS = 4  # attempts of a request, those included that provably never ran
SUCCEEDED = frozenset((Outcome.STARTED, Outcome.ANSWERED))


@dataclass(frozen=True)
class FinishedAttempt:
    """An attempt whose first event or whole answer is here, or that failed before."""

    attempt: Attempt
    outcome: Outcome

    @property
    def succeeded(self) -> bool:
        """Whether there is something to pass on; it stays on its server's account then."""
        return self.outcome in SUCCEEDED


@dataclass
class Delivery:
    """One request on its way to a server."""

    request: ClientRequest
    route: Route
    wanted: Callable[[], bool]  # whether its client still waits
    last_event: bytes | None  # after which a stream is resumed
    tried: set[str]  # ids of servers that had their turn


class Dispatcher:
    """All attempts of this node."""

    def __init__(self, node: EdgeNode) -> None:
        self._node = node

    async def begin(
        self, request: ClientRequest, wanted: Callable[[], bool], last_event: bytes | None = None
    ) -> Attempt:
        """An attempt that has its first event or whole answer; raises RequestError if there will be none.

        The caller lets go of it when its answer is passed on.
        """
        assert request.route is not None
        delivery = Delivery(request, request.route, wanted, last_event, set())
        full = False
        while True:
            server = self._choose(delivery)
            if server is None:
                self._check_patience(delivery, full)
                await trio.sleep(POLL)
                delivery.tried.clear()
                continue
            delivery.tried.add(server.id)
            finished = await self._send(delivery, server)
            if finished.succeeded and not self._try_elsewhere(delivery, finished.attempt):
                return finished.attempt
            if finished.succeeded:
                self.let_go(finished.attempt)
                continue
            self._learn_failure(finished)
            full = full or finished.outcome == Outcome.NOT_EXECUTED
            self._check_repeat(delivery, finished)

    def let_go(self, attempt: Attempt) -> None:
        """Takes an attempt that had begun its answer off its server's account, and closes what is open."""
        self._node.selection.ended(attempt.server)
        attempt.close()

    def may_repeat(self, request: ClientRequest) -> bool:
        """Whether the service's retry budget allows one more send; counts it if so."""
        return self._node.budget(request.service).repeat(trio.current_time(), self._node.nodes)

    # repeats

    @staticmethod
    def _check_patience(delivery: Delivery, full: bool) -> None:
        """Raises RequestError once a request has waited for a server as long as its target allows."""
        request = delivery.request
        patience = max(SHORTEST_PATIENCE, PATIENCE * delivery.route.target_ms / 1000.0)
        waited = trio.current_time() - request.received
        if not full and waited <= patience and request.sends < MOST_SENDS:
            return
        kind = ErrorKind.NO_CAPACITY if full else ErrorKind.NO_SERVER
        if request.may_have_run:
            kind = ErrorKind.SERVER_FAILED
        raise RequestError(kind, f"no server of {request.service} takes it")

    def _try_elsewhere(self, delivery: Delivery, attempt: Attempt) -> bool:
        """Whether a server's own failure is answered by another attempt; counts it if so."""
        if attempt.streaming or attempt.status < SERVER_ERROR:
            return False
        return self._repeatable(delivery) and self.may_repeat(delivery.request)

    @staticmethod
    def _repeatable(delivery: Delivery) -> bool:
        """Whether a request that may have run may be sent again at all."""
        return delivery.route.idempotent and delivery.request.sends < delivery.route.retries

    def _check_repeat(self, delivery: Delivery, finished: FinishedAttempt) -> None:
        """Raises RequestError unless a request whose attempt failed may go to another server."""
        request, outcome = delivery.request, finished.outcome
        if outcome == Outcome.BROKEN:
            if not self._repeatable(delivery) or not self.may_repeat(request):
                raise RequestError(ErrorKind.SERVER_FAILED, finished.attempt.detail)
        elif outcome in (Outcome.NOT_EXECUTED, Outcome.MISDIRECTED) and not self.may_repeat(request):
            kind = ErrorKind.SERVER_FAILED if request.may_have_run else ErrorKind.NO_CAPACITY
            raise RequestError(kind, "the retry budget is used up")

    # servers

    def _choose(self, delivery: Delivery) -> Server | None:
        """The best server that hasn't been tried and has a connection to spare."""
        node, request = self._node, delivery.request
        servers = [one for one in node.instances.of(request.service) if one.id not in delivery.tried]
        if not servers:
            return None
        service = request.table.services.get(request.service) if request.table is not None else None
        most = service.max_conns if service is not None else 0
        target = delivery.route.target_ms / 1000.0
        node.timer.wait(trio.current_time())
        node.selection.silence = SILENT * node.timer.p95
        for server in node.selection.order(request.service, servers, request.key, request.parts, target):
            if node.pool.room(server, most, node.nodes):
                return server
        return None

    def _learn_failure(self, finished: FinishedAttempt) -> None:
        server, outcome = finished.attempt.server, finished.outcome
        now = trio.current_time()
        if outcome == Outcome.MISDIRECTED:
            self._node.instances.misdirected(server)
            self._node.pool.close_idle(server)
        elif outcome == Outcome.UNREACHED and not finished.attempt.own_fault:
            server.failed(now)
            self._node.pool.close_idle(server)
        elif outcome == Outcome.BROKEN:
            server.failed(now)
        elif outcome == Outcome.NOT_EXECUTED:
            server.shed(now)

    # one or two attempts

    async def _send(self, delivery: Delivery, server: Server) -> FinishedAttempt:
        """One attempt, and the design's one hedge where it is allowed; the loser is cancelled."""
        if not self._hedgeable(delivery):
            return await self._attempt(delivery, server)
        finished: list[FinishedAttempt] = []
        kept: FinishedAttempt | None = None
        try:
            async with trio.open_nursery() as nursery:
                kept = await self._first(delivery, server, nursery, finished)
                nursery.cancel_scope.cancel()
        except BaseException:
            kept = None
            raise
        finally:
            # the loser may have begun its answer before it was cancelled, and so may both if the request ends
            for other in finished:
                if other.succeeded and other is not kept:
                    self.let_go(other.attempt)
        assert kept is not None
        return kept

    async def _first(
        self, delivery: Delivery, server: Server, nursery: trio.Nursery, finished: list[FinishedAttempt]
    ) -> FinishedAttempt:
        """The first of one or two attempts that succeeds, else the last one; `finished` gets all that end."""
        ended, endings = trio.open_memory_channel[FinishedAttempt](2)

        async def run(one: Server) -> None:
            result = await self._attempt(delivery, one)
            finished.append(result)
            ended.send_nowait(result)

        nursery.start_soon(run, server)
        with trio.move_on_after(self._node.timer.wait(trio.current_time())):
            return await endings.receive()
        hedge = self._hedge(delivery)
        if hedge is None:
            return await endings.receive()
        delivery.tried.add(hedge.id)
        nursery.start_soon(run, hedge)
        first = await endings.receive()
        if first.succeeded:
            return first
        self._learn_failure(first)
        return await endings.receive()

    @staticmethod
    def _hedgeable(delivery: Delivery) -> bool:
        request = delivery.request
        if delivery.last_event is not None or request.sends or request.table is None:
            return False
        return request.table.may_hedge(delivery.route)

    def _hedge(self, delivery: Delivery) -> Server | None:
        """Another server for the hedge, within the route's retries and the shared budget."""
        server = self._choose(delivery)
        if server is None or server.doubtful(trio.current_time()):
            return None
        return server if self.may_repeat(delivery.request) else None

    async def _attempt(self, delivery: Delivery, server: Server) -> FinishedAttempt:
        """Runs one attempt and keeps the account of what is at its server.

        An attempt that succeeded stays on the account until it is let go.
        """
        request = delivery.request
        selection = self._node.selection
        begun = trio.current_time()
        unread = selection.expected_unread(server, request.key, request.parts)
        attempt = Attempt(request, server, self._node.pool, delivery.wanted, unread, delivery.last_event)
        ahead = selection.started(server, unread)
        outcome = Outcome.BROKEN
        server.out[id(attempt)] = Outstanding(begun, attempt.unacknowledged)
        try:
            outcome = await attempt.run()
        finally:
            del server.out[id(attempt)]
            selection.answered(server, unread)
            if outcome not in SUCCEEDED:
                selection.ended(server)
            if attempt.written and outcome not in NEVER_RAN:
                request.may_have_run = True
            self._learn_time(delivery, attempt, outcome, trio.current_time() - begun, ahead)
        if outcome in SUCCEEDED:
            server.answered(trio.current_time(), _failed(attempt, outcome))
            selection.kept.sent(server.id, request.parts, trio.current_time())
        return FinishedAttempt(attempt, outcome)

    def _learn_time(
        self, delivery: Delivery, attempt: Attempt, outcome: Outcome, took: float, ahead: float
    ) -> None:
        """Counts a time to first token, in seconds; one that was given up late counts at its length."""
        succeeded = outcome in SUCCEEDED
        late = took > delivery.route.target_ms / 1000.0
        if attempt.written and (late or succeeded and not _failed(attempt, outcome)):
            self._node.timer.add(trio.current_time(), took)
            self._node.selection.first_token(attempt.server, ahead, took)
        if succeeded and late:
            self._log_late(delivery, attempt, took)

    def _log_late(self, delivery: Delivery, attempt: Attempt, took: float) -> None:
        self._node.log.info(
            "request-late",
            extra={
                "request": delivery.request.id.decode("latin-1"),
                "route": delivery.route.name,
                "server": attempt.server.id,
                "ms": round(took * 1000),
                "unread": round(attempt.unread),
                "running": self._node.selection.running(attempt.server),
            },
        )


def _failed(attempt: Attempt, outcome: Outcome) -> bool:
    """Whether a whole answer is a server's own failure."""
    return outcome == Outcome.ANSWERED and attempt.status >= SERVER_ERROR
