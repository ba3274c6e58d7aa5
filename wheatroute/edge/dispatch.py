"""Dispatches requests to servers: waits for an available server, sends attempts, hedges and retries."""

from __future__ import annotations

from collections.abc import Callable

import trio

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.edge.attempt import EdgeAttempt, EdgeAttemptOutcome
from wheatroute.edge.attempt_runner import EdgeAttemptRunner
from wheatroute.edge.delivery import Delivery, FinishedAttempt
from wheatroute.edge.instances import Server
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.request import ClientRequest

QUEUE_TIMEOUT_FRACTION = 0.22  # fraction of a route's latency target that a request may wait for a server
MIN_QUEUE_TIMEOUT_S = 0.02
QUEUE_POLL_INTERVAL_S = 0.02  # seconds between two checks whether a server is available
# After this many written attempts, a request no longer waits for a server. This is checked only when no
# server is left to try, so it does not bound the attempts while untried servers are left. Attempts that a
# server rejected count; connections that were never established do not.
MAX_SENT_ATTEMPTS = 4


class Dispatcher:
    """Chooses servers for the requests of one node, and decides on hedges and retries.

    `EdgeAttemptRunner` runs the attempts themselves.
    """

    def __init__(self, node: EdgeNode) -> None:
        self._node = node
        self._attempts = EdgeAttemptRunner(node)

    async def dispatch(
        self,
        request: ClientRequest,
        is_client_waiting: Callable[[], bool],
        last_event_id: bytes | None = None,
    ) -> EdgeAttempt:
        """Returns an attempt that has its first event or complete response; the caller must release it.

        `is_client_waiting` returns whether the client still waits for the response; `last_event_id` is the
        event after which a stream is resumed. Raises RequestError if there will be no response.
        """
        assert request.route is not None
        delivery = Delivery(request, request.route, is_client_waiting, last_event_id, set())
        was_rejected = False  # whether a server has rejected the request for lack of capacity
        while True:
            server = self._choose_server(delivery)
            if server is None:
                self._check_queue_timeout(delivery, was_rejected)
                await trio.sleep(QUEUE_POLL_INTERVAL_S)
                # Servers that have failed may be tried again, as they may have recovered by now. A request
                # that must not be sent again does not get here (`_check_retry` raises).
                delivery.attempted_ids.clear()
                continue
            delivery.attempted_ids.add(server.id)
            finished = await self._send(delivery, server)
            if finished.has_succeeded:
                if not self._may_retry_error(delivery, finished):
                    return finished.attempt
                self.release(finished.attempt)
                continue
            self._attempts.record_failure(finished)
            was_rejected = was_rejected or finished.outcome == EdgeAttemptOutcome.NOT_EXECUTED
            self._check_retry(delivery, finished)

    def release(self, attempt: EdgeAttempt) -> None:
        """Releases an attempt that `dispatch` has returned."""
        self._attempts.release(attempt)

    def may_retry(self, request: ClientRequest) -> bool:
        """Returns whether the service's retry budget allows one more attempt; if so, charges the budget."""
        budget = self._node.retry_budget(request.service)
        return budget.try_retry(trio.current_time(), self._node.edge_node_count)

    # Choosing a server

    def _choose_server(self, delivery: Delivery) -> Server | None:
        """Returns the best-ranked untried server that has capacity for the request, None if there is none."""
        node, request = self._node, delivery.request
        available = node.instances.available(request.service)
        servers = [server for server in available if server.id not in delivery.attempted_ids]
        if not servers:
            return None
        service = request.table.services.get(request.service) if request.table is not None else None
        max_connections = service.max_conns if service is not None else 0
        node.hedge_timer.delay_s(trio.current_time())  # called only to update `p95_s`
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
        """Raises RequestError if a request for which no server is available may wait no longer.

        The wait ends when a server has rejected the request, its queue timeout has passed, or
        `MAX_SENT_ATTEMPTS` attempts were sent.
        """
        request = delivery.request
        queue_timeout_s = max(MIN_QUEUE_TIMEOUT_S, QUEUE_TIMEOUT_FRACTION * delivery.target_s)
        waited_s = trio.current_time() - request.received_at
        may_wait = waited_s <= queue_timeout_s and request.sent_attempts < MAX_SENT_ATTEMPTS
        if may_wait and not was_rejected:
            return
        kind = ErrorKind.NO_CAPACITY if was_rejected else ErrorKind.NO_SERVER
        if request.may_have_run:
            kind = ErrorKind.SERVER_FAILED
        raise RequestError(kind, f"no server of service {request.service} accepts the request")

    # Retries

    def _may_retry_error(self, delivery: Delivery, finished: FinishedAttempt) -> bool:
        """Returns whether to drop a server's error response and retry; if so, charges the retry budget."""
        if not finished.is_server_error:
            return False
        return delivery.has_retries_left and self.may_retry(delivery.request)

    def _check_retry(self, delivery: Delivery, finished: FinishedAttempt) -> None:
        """Raises RequestError if a request whose attempt failed must not be sent to another server."""
        request, outcome = delivery.request, finished.outcome
        if outcome == EdgeAttemptOutcome.FAILED:
            if not delivery.has_retries_left or not self.may_retry(request):
                raise RequestError(ErrorKind.SERVER_FAILED, finished.attempt.error_detail)
        elif outcome in (
            EdgeAttemptOutcome.NOT_EXECUTED,
            EdgeAttemptOutcome.MISDIRECTED,
        ) and not self.may_retry(request):
            kind = ErrorKind.SERVER_FAILED if request.may_have_run else ErrorKind.NO_CAPACITY
            raise RequestError(kind, "the retry budget is exhausted")

    # Hedging

    async def _send(self, delivery: Delivery, server: Server) -> FinishedAttempt:
        """Runs one attempt, and a hedge if one is allowed; the losing attempt is cancelled."""
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
            # The loser may have succeeded before it was cancelled. If the request itself was cancelled, both
            # attempts may have succeeded, and both are released.
            for other in finished:
                if other.has_succeeded and other is not winner:
                    self.release(other.attempt)
        assert winner is not None
        return winner

    async def _send_hedged(
        self, delivery: Delivery, server: Server, nursery: trio.Nursery, finished: list[FinishedAttempt]
    ) -> FinishedAttempt:
        """Returns the first of one or two attempts that succeeds, or the last to fail if none does.

        Adds each attempt that finishes to `finished`.
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
        self._attempts.record_failure(first)
        return await receive.receive()

    def _choose_hedge_server(self, delivery: Delivery) -> Server | None:
        """Returns a server for the hedge, None if there is none or the retry budget does not allow it."""
        server = self._choose_server(delivery)
        if server is None or server.is_degraded(trio.current_time()):
            return None
        return server if self.may_retry(delivery.request) else None
