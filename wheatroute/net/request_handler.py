"""Handles the requests of clients: parses, admits or rejects them, and has their responses written.

Does I/O on clients' connections. Invariant: an admitted request gets exactly one complete response, that of
its exchange, unless its client disconnects first.
"""

import time
from collections.abc import Sequence
from math import inf
from typing import Protocol

import h11
import trio

from wheatroute.balancing.settings import DecisionSettings, RequestClass
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.client_connection import ClientConnection
from wheatroute.net.client_registry import ClientRegistry
from wheatroute.net.clock import now
from wheatroute.net.connection import Connection, MalformedError
from wheatroute.net.exchange import REJECTED_STATUS, Exchange, Response
from wheatroute.net.log import CloseReason, Logger
from wheatroute.net.request_parser import SINGLE_HEADERS, RequestParser
from wheatroute.net.response_writer import ResponseWriter
from wheatroute.net.shutdown import ShutdownState

READINESS_PATH = b"/up"
# Maximum number of event loop iterations from accepting a connection to reading data that was waiting on it.
MAX_ITERATIONS_TO_FIRST_READ = 3
REJECTION_LOG_INTERVAL_S = 1.0


class RequestAccount(Protocol):
    """Counts requests by their result; rollouts are evaluated by these counts."""

    def request_accepted(self, exchange: Exchange) -> None:
        """Counts a request that was admitted."""

    def request_answered(self, exchange: Exchange, now: float) -> None:
        """Counts a request whose response is available; `now` is the time on the clock of `clock.now`."""

    def request_rejected(self, exchange: Exchange) -> None:
        """Counts a request that was rejected without being admitted."""

    def client_left(self, exchange: Exchange, now: float) -> None:
        """Counts a request whose client has disconnected; `now` as in `request_answered`."""

    def update_settings(
        self,
        request_classes: dict[str, int],
        tenants: dict[str, int],
        class_rules: Sequence[RequestClass],
    ) -> None:
        """Uses new numbers of request classes and tenants, by name, and new rules of the classes."""


class Readiness(Protocol):
    """Holds whether the node has received a full list of servers; only then is it ready."""

    has_full_list: bool


class RequestHandler:
    """Handles the requests of all clients; limits how many are in flight at once."""

    def __init__(
        self,
        settings: DecisionSettings,
        parser: RequestParser,
        clients: ClientRegistry,
        shutdown: ShutdownState,
        driver: BalancerDriver,
        readiness: Readiness,
        log: Logger,
    ) -> None:
        self._parser = parser
        self._clients = clients
        self._shutdown = shutdown
        self._driver = driver
        self._readiness = readiness
        self._log = log
        # Set only if the settings enable rollouts.
        self.account: RequestAccount | None = None
        self.writer = ResponseWriter(clients, shutdown, lambda: parser.max_deadline_s, self._on_ready)
        self._in_flight = 0
        self._rejected = 0  # rejections since the last one was logged
        self._rejections_logged_at = -inf
        self.update_settings(settings)

    def update_settings(self, settings: DecisionSettings) -> None:
        """Uses the retry advice and the limit of requests in flight of these settings from now on."""
        self._max_in_flight = min(
            self._clients.max_clients, settings.max_open_connections or self._clients.max_clients
        )
        self._retry_after_s = settings.max_retry_after_s if settings.can_advise_retry else 0.0

    # Receiving and admitting requests.

    def handle(self, client: ClientConnection) -> None:
        """Handles the next request if it is complete and no other request of the client is open.

        If not, the received bytes stay buffered.
        """
        client.discarded_reads += client.connection.discards_input
        if client.close_reason is not None or client.exchange is not None:
            return
        try:
            if client.connection.parse():
                self._handle_complete(client)
            else:
                self._wait_for_rest(client)
        except MalformedError as error:
            self.writer.write_error(client, error)

    def _on_ready(self, client: ClientConnection) -> None:
        self._clients.mark_idle(client)
        if client.connection.has_unparsed_input:
            self.writer.nursery.start_soon(self._handle_pipelined, client)

    async def _handle_pipelined(self, client: ClientConnection) -> None:
        """Handles a request that was received before the previous one was answered (RFC 9112, 9.3.2)."""
        self.handle(client)
        if client.is_paused:
            client.scope.cancel()

    def _wait_for_rest(self, client: ClientConnection) -> None:
        """Starts the timeout for the rest of a partly received request; sends 100 (Continue) if expected."""
        http = client.connection.http
        if not client.has_partial_request:
            self._clients.mark_busy(client)
            client.begin_partial_request()
        if http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            client.connection.sock.send(http.send(interim) or b"")

    def _handle_complete(self, client: ClientConnection) -> None:
        """Answers a readiness check; admits or rejects any other request that was completely received."""
        connection = client.connection
        client.finish_request()
        self._clients.mark_busy(client)
        path = connection.head.target.split(b"?", 1)[0]
        if path == READINESS_PATH and self._is_readiness_check(connection.head):
            self.writer.write(client, Response(200 if self._readiness.has_full_list else 503))
            return
        exchange = self._parser.parse(
            connection.head, path, connection.body, self._lag_s(connection), self._shutdown.answer_by
        )
        if self._shutdown.is_rejecting or self._in_flight >= self._max_in_flight:
            self._reject(client, exchange)
        else:
            self._admit(client, exchange)

    @staticmethod
    def _is_readiness_check(head: h11.Request) -> bool:
        """Returns whether a request for the readiness path is a readiness check.

        A request class may have the same path; its requests carry at least one of `SINGLE_HEADERS`.
        """
        return head.method == b"GET" and not any(name in SINGLE_HEADERS for name, _ in head.headers)

    def _admit(self, client: ClientConnection, exchange: Exchange) -> None:
        self._in_flight += 1
        client.exchange = exchange
        exchange.on_response = lambda: self._respond(client)
        exchange.is_client_gone = lambda: self._is_client_gone(client)
        self._driver.add_request(exchange)
        if self.account is not None:
            self.account.request_accepted(exchange)

    def _reject(self, client: ClientConnection, exchange: Exchange) -> None:
        """Rejects a request before it reaches the balancer.

        Requests are rejected at the limit in the settings, as in the simulator, or at the limit that the file
        descriptors set if it is lower: if no descriptor were left, requests would be lost unread in the
        listener's queue.
        """
        if self.account is not None:
            self.account.request_rejected(exchange)
        if not self._shutdown.is_rejecting:
            self._count_rejected()
        self.writer.write(client, Response(REJECTED_STATUS, retry_after_s=self._retry_after_s))

    def _count_rejected(self) -> None:
        self._rejected += 1
        if trio.current_time() - self._rejections_logged_at > REJECTION_LOG_INTERVAL_S:
            self._log.warning("at-capacity", in_flight=self._in_flight, rejected=self._rejected)
            self._rejections_logged_at, self._rejected = trio.current_time(), 0

    def _lag_s(self, connection: Connection) -> float:
        """Returns the longest time in seconds for which the current message may have been waiting unread.

        A first message may have arrived before its connection was accepted.
        """
        event_loop_lag = self._driver.event_loop_lag
        iterations = event_loop_lag.iterations - connection.accepted_iteration
        if not connection.message_count and iterations <= MAX_ITERATIONS_TO_FIRST_READ:
            return time.monotonic() - connection.opened_at
        return event_loop_lag.lag_s

    # Completing requests.

    def _respond(self, client: ClientConnection) -> None:
        """Writes the response of a client's exchange, which has just been completed."""
        exchange, client.exchange = client.exchange, None
        assert exchange is not None and exchange.response is not None
        self._in_flight -= 1
        if self.account is not None:
            self.account.request_answered(exchange, now())
        try:
            self.writer.write(client, exchange.response)
        except Exception:  # must not propagate to the code that completed the exchange
            self._log.exception("unhandled-exception")
            client.end(CloseReason.FAULT)

    def _is_client_gone(self, client: ClientConnection) -> bool:
        """Returns whether a client has closed its connection, even if its task has not noticed that yet."""
        if not client.connection.is_closed_by_peer():
            return False
        client.end(CloseReason.CLIENT_LEFT)
        return True

    def abandon(self, client: ClientConnection) -> None:
        """Abandons the open request, if any, of a client whose connection is closed: it gets no response."""
        if client.exchange is None:
            return
        self._in_flight -= 1
        self._driver.abandon_request(client.exchange)
        if self.account is not None:
            self.account.client_left(client.exchange, now())
