"""Sends attempts to servers and determines their outcomes.

Does I/O. An attempt is written to one connection without delay; `SendRules` is checked immediately before the
first write and before each further one. The outcome tells whether the request may have run: if its last byte
was not written, it cannot have run; if it was, the request may have run unless the server's response proves
that it did not (`AttemptOutcome.FULL`). Nothing is retried here.
"""

import h11
import trio

from wheatroute.balancing.interface import AttemptOutcome, Report
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.connection import Connection, MalformedError, PeerClosedError
from wheatroute.net.connection_pool import ConnectFailedError, ConnectionHolder, ConnectionPool
from wheatroute.net.exchange import Attempt, Exchange, Response
from wheatroute.net.log import CloseReason, Logger
from wheatroute.net.response_reader import LoadReportReader, read_response
from wheatroute.net.send_rules import SendRules
from wheatroute.net.server_table import ServerTable

# Outcomes which prove that the request did not run.
NEVER_RAN = (AttemptOutcome.FULL, AttemptOutcome.UNCONNECTED, AttemptOutcome.MOOT)


class AttemptRunner:
    """Runs attempts; each call of `run` is a separate task."""

    def __init__(
        self,
        servers: ServerTable,
        pool: ConnectionPool,
        rules: SendRules,
        reports: LoadReportReader,
        driver: BalancerDriver,
        log: Logger,
    ) -> None:
        self._servers = servers
        self._pool = pool
        self._rules = rules
        self._reports = reports
        self._driver = driver
        self._log = log

    async def run(self, exchange: Exchange, attempt: Attempt) -> None:
        """Runs an attempt and passes its outcome to the driver.

        By then its connection has been released to the pool or closed.
        """
        outcome, report = AttemptOutcome.WITHDRAWN, None
        holder = ConnectionHolder()
        try:
            with attempt.scope:
                outcome, report = await self._send(exchange, attempt, holder)
            if attempt.scope.cancelled_caught:
                outcome = self._outcome_of_cancelled(attempt, holder)
        except Exception:
            self._log.exception("unhandled-exception")
            outcome = AttemptOutcome.UNKNOWN if holder.is_written else AttemptOutcome.UNCONNECTED
            holder.close_reason = CloseReason.FAULT
        self._pool.discard(holder.connection, holder.close_reason)
        self._servers.end(attempt.server)
        attempt.may_have_run &= outcome not in NEVER_RAN
        self._driver.finish_attempt(exchange, attempt, outcome, report)

    @staticmethod
    def _outcome_of_cancelled(attempt: Attempt, holder: ConnectionHolder) -> AttemptOutcome:
        if attempt.is_withdrawn:
            holder.close_reason = CloseReason.WITHDRAWN
            return AttemptOutcome.WITHDRAWN
        holder.close_reason = CloseReason.TIMED_OUT
        return AttemptOutcome.TIMED_OUT if holder.is_written else AttemptOutcome.MOOT

    async def _send(
        self, exchange: Exchange, attempt: Attempt, holder: ConnectionHolder
    ) -> tuple[AttemptOutcome, Report | None]:
        """Returns outcome and load report; the connection stays in `holder` unless it can be reused."""
        try:
            holder.connection = connection = await self._acquire(exchange, attempt.server)
        except ConnectFailedError as error:
            # If this node has no free descriptor, the attempt never began; the server is not at fault.
            is_local_failure = error.reason == CloseReason.NO_CAPACITY
            return AttemptOutcome.MOOT if is_local_failure else AttemptOutcome.UNCONNECTED, None
        if not self._rules.may_send(exchange, attempt):
            self._pool.release(attempt.server, holder)
            return AttemptOutcome.MOOT, None
        try:
            if not await self._write(connection, exchange, attempt):
                # Part of the request was written; without the remainder the server never runs it.
                holder.close_reason = CloseReason.WITHDRAWN
                return AttemptOutcome.MOOT, None
            attempt.may_have_run = True
            response = await read_response(connection, self._pool.connect_timeout_s)
        except OSError:
            return self._outcome_of_lost_connection(connection, holder, CloseReason.RESET), None
        except PeerClosedError:
            return self._outcome_of_lost_connection(connection, holder, CloseReason.PEER_CLOSED), None
        except MalformedError:
            # The request may have run. A malformed response, unlike a reset, does not suggest that idle
            # connections are dead.
            holder.close_reason = CloseReason.MALFORMED
            self._pool.suspect_surplus_input()
            return AttemptOutcome.UNKNOWN, None
        outcome = response.outcome
        if outcome == AttemptOutcome.SERVED:
            exchange.complete(Response(200, response.body, response.headers.get(b"content-type", b"")))
        self._pool.release(attempt.server, holder)
        return outcome, self._reports.read(attempt.server, response.headers.get(b"server-load"))

    async def _acquire(self, exchange: Exchange, server: int) -> Connection:
        if self._pool.is_idle_suspected() and self._rules.can_strand(exchange):
            return await self._pool.acquire_new(server)
        return await self._pool.acquire(server)

    async def _write(self, connection: Connection, exchange: Exchange, attempt: Attempt) -> bool:
        """Writes the request; returns False if `SendRules` forbids sending the rest of it."""
        is_written = connection.send(self._request_head(exchange, attempt), exchange.body)
        while not is_written:
            await trio.lowlevel.wait_writable(connection.sock)
            if not self._rules.may_send(exchange, attempt):
                return False
            is_written = connection.write()
        return True

    def _outcome_of_lost_connection(
        self, connection: Connection, holder: ConnectionHolder, reason: CloseReason
    ) -> AttemptOutcome:
        holder.close_reason = reason
        if not connection.is_written:
            return AttemptOutcome.UNCONNECTED
        if connection.message_count > 1:
            self._pool.suspect_idle()
        return AttemptOutcome.RESET

    def _request_head(self, exchange: Exchange, attempt: Attempt) -> h11.Request:
        host, port = self._servers.address(attempt.server)
        timeout_us = max(1, int((attempt.scope.deadline - trio.current_time()) * 1e6))
        headers = [
            (b"Host", b"%s:%d" % (host.encode(), port)),
            (b"Request-Id", exchange.request_id),
            (b"Request-Timeout", b"%du" % timeout_us),
        ]
        if exchange.idempotency_key:
            headers.append((b"Idempotency-Key", exchange.idempotency_key))
        if exchange.body or exchange.method != b"GET":
            headers.append((b"Content-Length", b"%d" % len(exchange.body)))
        return h11.Request(method=exchange.method, target=exchange.target, headers=headers)
