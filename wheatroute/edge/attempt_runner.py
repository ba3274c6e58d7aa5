"""Runs single attempts, counts them in their servers' load, and updates server health and latency."""

from __future__ import annotations

import trio

from wheatroute.edge.attempt import NEVER_RAN, SUCCEEDED, EdgeAttempt, EdgeAttemptOutcome
from wheatroute.edge.delivery import Delivery, FinishedAttempt
from wheatroute.edge.instances import PendingAttempt, Server
from wheatroute.edge.node import EdgeNode


class EdgeAttemptRunner:
    """Runs the attempts of one node.

    Invariant: an attempt counts in its server's load from its start until it fails or is released.
    """

    def __init__(self, node: EdgeNode) -> None:
        self._node = node

    async def run(self, delivery: Delivery, server: Server) -> FinishedAttempt:
        """Runs one attempt; if it succeeds, the caller must release it."""
        request = delivery.request
        selector = self._node.selector
        started_at = trio.current_time()
        prefill_tokens = selector.expected_prefill_tokens(server, request.prefix_key, request.prefix_blocks)
        attempt = EdgeAttempt(
            request,
            server,
            self._node.pool,
            delivery.is_client_waiting,
            self._node.settings.bounds.drain_ms / 1000.0,
            self._node.memory.open(),
            prefill_tokens,
            delivery.last_event_id,
        )
        queued_tokens = selector.load.start(server.id, prefill_tokens)
        outcome = EdgeAttemptOutcome.FAILED  # stays if an exception ends the attempt
        server.pending[id(attempt)] = PendingAttempt(started_at, attempt.has_unacknowledged_bytes)
        try:
            outcome = await attempt.run()
        finally:
            del server.pending[id(attempt)]
            selector.load.end_prefill(server.id, prefill_tokens)
            if outcome not in SUCCEEDED:
                selector.load.end(server.id)
                attempt.memory.close()
            if attempt.may_have_run and outcome not in NEVER_RAN:
                request.may_have_run = True
            finished = FinishedAttempt(attempt, outcome)
            self._record_latency(delivery, finished, trio.current_time() - started_at, queued_tokens)
            if attempt.unsent_bytes and not finished.has_succeeded:
                self._log_partly_sent(delivery, finished)
        if finished.has_succeeded:
            now = trio.current_time()
            server.record_response(now, finished.is_server_error)
            selector.prefix_cache.record_use(server.id, request.prefix_blocks, now)
        return finished

    def release(self, attempt: EdgeAttempt) -> None:
        """Releases an attempt that succeeded: removes it from its server's load and frees its connection."""
        self._node.selector.load.end(attempt.server.id)
        attempt.close()
        attempt.memory.close()

    def record_failure(self, finished: FinishedAttempt) -> None:
        """Ejects, backs off from or excludes the server of a failed attempt, depending on the outcome."""
        server, outcome = finished.attempt.server, finished.outcome
        now = trio.current_time()
        if outcome == EdgeAttemptOutcome.MISDIRECTED:
            self._node.instances.mark_left(server, now)
            self._node.pool.close_idle(server)
        elif outcome == EdgeAttemptOutcome.NOT_SENT and not finished.attempt.is_local_failure:
            server.record_failure(now)
            self._node.pool.close_idle(server)
        elif outcome == EdgeAttemptOutcome.FAILED and not finished.attempt.is_local_failure:
            server.record_failure(now)
        elif outcome == EdgeAttemptOutcome.NOT_EXECUTED:
            server.record_rejection(now)

    def _record_latency(
        self, delivery: Delivery, finished: FinishedAttempt, latency_s: float, queued_tokens: float
    ) -> None:
        """Records an attempt's time to first token, or its duration if it ended late without one."""
        attempt = finished.attempt
        is_late = latency_s > delivery.target_s
        is_measured = finished.has_succeeded and not finished.is_server_error
        if attempt.may_have_run and (is_late or is_measured):
            self._node.hedge_timer.record(trio.current_time(), latency_s)
            self._node.selector.record_latency(attempt.server, queued_tokens, latency_s)
        if finished.has_succeeded and is_late:
            self._log_late(delivery, attempt, latency_s)

    def _log_partly_sent(self, delivery: Delivery, finished: FinishedAttempt) -> None:
        """Logs an attempt that ended before its request was written whole, and what follows from that."""
        attempt = finished.attempt
        self._node.log.info(
            "request-partly-sent",
            extra={
                "request": delivery.request.id.decode("latin-1"),
                "route": delivery.route.name,
                "server": attempt.server.id,
                "server_left": attempt.server.has_left,
                "outcome": finished.outcome.value,
                "unsent_bytes": attempt.unsent_bytes,
                "detail": attempt.error_detail,
            },
        )

    def _log_late(self, delivery: Delivery, attempt: EdgeAttempt, latency_s: float) -> None:
        self._node.log.info(
            "request-late",
            extra={
                "request": delivery.request.id.decode("latin-1"),
                "route": delivery.route.name,
                "server": attempt.server.id,
                "ms": round(latency_s * 1000),
                "unread": round(attempt.prefill_tokens),
                "running": self._node.selector.load.running_requests(attempt.server.id),
            },
        )
