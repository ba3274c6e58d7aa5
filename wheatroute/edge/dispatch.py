"""Brings a request to a server that begins to answer it: waits for one, sends, hedges and retries."""

from __future__ import annotations

from collections.abc import Callable

import trio

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.edge.attempt import Attempt, Outcome
from wheatroute.edge.attempt_runner import AttemptRunner
from wheatroute.edge.delivery import Delivery, FinishedAttempt
from wheatroute.edge.instances import Server
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.request import ClientRequest

QUEUE_TIMEOUT_FRACTION = 0.22  # of a route's latency target that a request may wait for a server
MIN_QUEUE_TIMEOUT_S = 0.02
QUEUE_POLL_INTERVAL_S = 0.02  # between two checks whether there is a server
# Written attempts after which a request doesn't wait for a server any more. It is checked only when there is
# no server to try, so it doesn't bound attempts while there is one. Those that servers rejected count;
# connections that were never established don't.
MAX_SENT_ATTEMPTS = 4


class Dispatcher:
    """Finds servers for the requests of one node, and decides on hedges and retries.

    The attempts themselves are run by `AttemptRunner`.
    """

    def __init__(self, node: EdgeNode) -> None:
        self._node = node
        self._attempts = AttemptRunner(node)

    async def dispatch(
        self, request: ClientRequest, is_wanted: Callable[[], bool], last_event_id: bytes | None = None
    ) -> Attempt:
        """Return an attempt that has its first event or complete response; the caller releases it.

        `is_wanted` tells whether the client still waits. Raises RequestError if there will be no response.
        """
        assert request.route is not None
        delivery = Delivery(request, request.route, is_wanted, last_event_id, set())
        was_rejected = False  # by a server, for want of capacity
        while True:
            server = self._choose_server(delivery)
            if server is None:
                self._check_queue_timeout(delivery, was_rejected)
                await trio.sleep(QUEUE_POLL_INTERVAL_S)
                # A server that has failed may be tried again: it may have recovered meanwhile. A request that
                # must not be sent again doesn't come here (`_check_retry`).
                delivery.attempted_ids.clear()
                continue
            delivery.attempted_ids.add(server.id)
            finished = await self._send(delivery, server)
            if finished.has_succeeded:
                if not self._may_retry_error(delivery, finished):
                    return finished.attempt
                self.release(finished.attempt)
                continue
            self._attempts.learn_failure(finished)
            was_rejected = was_rejected or finished.outcome == Outcome.NOT_EXECUTED
            self._check_retry(delivery, finished)

    def release(self, attempt: Attempt) -> None:
        """End an attempt that `dispatch` has returned."""
        self._attempts.release(attempt)

    def may_retry(self, request: ClientRequest) -> bool:
        """Return whether the service's retry budget allows one more attempt; counts it if so."""
        budget = self._node.retry_budget(request.service)
        return budget.try_retry(trio.current_time(), self._node.edge_node_count)

    # queue

    def _choose_server(self, delivery: Delivery) -> Server | None:
        """Return the best server that hasn't been tried and has a connection to spare."""
        node, request = self._node, delivery.request
        available = node.instances.available(request.service)
        servers = [server for server in available if server.id not in delivery.attempted_ids]
        if not servers:
            return None
        service = request.table.services.get(request.service) if request.table is not None else None
        max_connections = service.max_conns if service is not None else 0
        node.hedge_timer.delay_s(trio.current_time())  # only to bring `p95_s` up to date
        node.selector.set_response_timeout(node.hedge_timer.p95_s)
        ranked = node.selector.rank(
            request.service, servers, request.prefix_key, request.prefix_blocks, delivery.target_s
        )
        for server in ranked:
            if node.pool.has_capacity(server, max_connections, node.edge_node_count):
                return server
        return None

    @staticmethod
    def _check_queue_timeout(delivery: Delivery, was_rejected: bool) -> None:
        """Raise RequestError once a request has waited for a server as long as its target allows."""
        request = delivery.request
        queue_timeout_s = max(MIN_QUEUE_TIMEOUT_S, QUEUE_TIMEOUT_FRACTION * delivery.target_s)
        waited_s = trio.current_time() - request.received_at
        may_wait = waited_s <= queue_timeout_s and request.sent_attempts < MAX_SENT_ATTEMPTS
        if may_wait and not was_rejected:
            return
        kind = ErrorKind.NO_CAPACITY if was_rejected else ErrorKind.NO_SERVER
        if request.may_have_run:
            kind = ErrorKind.SERVER_FAILED
        raise RequestError(kind, f"no server of {request.service} takes it")

    # retries

    def _may_retry_error(self, delivery: Delivery, finished: FinishedAttempt) -> bool:
        """Return whether a server's error response is dropped for another attempt; counts it if so."""
        if not finished.is_server_error:
            return False
        return delivery.has_retries_left and self.may_retry(delivery.request)

    def _check_retry(self, delivery: Delivery, finished: FinishedAttempt) -> None:
        """Raise RequestError unless a request whose attempt failed may go to another server."""
        request, outcome = delivery.request, finished.outcome
        if outcome == Outcome.FAILED:
            if not delivery.has_retries_left or not self.may_retry(request):
                raise RequestError(ErrorKind.SERVER_FAILED, finished.attempt.error_detail)
        elif outcome in (Outcome.NOT_EXECUTED, Outcome.MISDIRECTED) and not self.may_retry(request):
            kind = ErrorKind.SERVER_FAILED if request.may_have_run else ErrorKind.NO_CAPACITY
            raise RequestError(kind, "the retry budget is used up")

    # hedging

    async def _send(self, delivery: Delivery, server: Server) -> FinishedAttempt:
        """Run one attempt, and a hedge where it is allowed; the attempt that loses is cancelled."""
        if not delivery.is_hedgeable:
            return await self._attempts.run(delivery, server)
        finished: list[FinishedAttempt] = []
        winner: FinishedAttempt | None = None
        try:
            async with trio.open_nursery() as nursery:
                winner = await self._send_hedged(delivery, server, nursery, finished)
                nursery.cancel_scope.cancel()
        except BaseException:
            winner = None
            raise
        finally:
            # a loser may have succeeded before it was cancelled, and so may both if the request ends
            for other in finished:
                if other.has_succeeded and other is not winner:
                    self.release(other.attempt)
        assert winner is not None
        return winner

    async def _send_hedged(
        self, delivery: Delivery, server: Server, nursery: trio.Nursery, finished: list[FinishedAttempt]
    ) -> FinishedAttempt:
        """Return the first of one or two attempts that succeeds, else the last one.

        All attempts that finish are added to `finished`.
        """
        send, receive = trio.open_memory_channel[FinishedAttempt](2)

        async def run(target: Server) -> None:
            result = await self._attempts.run(delivery, target)
            finished.append(result)
            send.send_nowait(result)

        nursery.start_soon(run, server)
        with trio.move_on_after(self._node.hedge_timer.delay_s(trio.current_time())):
            return await receive.receive()
        hedge_server = self._choose_hedge_server(delivery)
        if hedge_server is None:
            return await receive.receive()
        delivery.attempted_ids.add(hedge_server.id)
        nursery.start_soon(run, hedge_server)
        first = await receive.receive()
        if first.has_succeeded:
            return first
        self._attempts.learn_failure(first)
        return await receive.receive()

    def _choose_hedge_server(self, delivery: Delivery) -> Server | None:
        """Return another server for a hedge, if there is one and the retry budget allows it."""
        server = self._choose_server(delivery)
        if server is None or server.is_degraded(trio.current_time()):
            return None
        return server if self.may_retry(delivery.request) else None
