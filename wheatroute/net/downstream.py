"""The downstream side of the node: accepts clients' connections, reads from them and shuts them down.

Does I/O. Each connection has a task that reads from it; a response is written by the task that completes the
exchange.
"""

import h11
import trio

from wheatroute.balancing.settings import DecisionSettings
from wheatroute.net.addresses import format_address
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.client_connection import ClientConnection
from wheatroute.net.client_registry import ClientRegistry
from wheatroute.net.connection import MAX_BODY_BYTES, Connection, MalformedError
from wheatroute.net.listener import Listener
from wheatroute.net.log import CloseReason, Logger, log_closed_connection
from wheatroute.net.node_settings import NodeSettings
from wheatroute.net.request_handler import Readiness, RequestAccount, RequestHandler
from wheatroute.net.request_parser import AlternativeForms, RequestParser
from wheatroute.net.shutdown import SERVING_RATIO, ShutdownState

ACCEPT_RETRY_S = 0.1  # delay before accepting is tried again after it failed or the limit was reached
MAX_DISCARDED_READS = 16  # reads of data that a client keeps sending after its last response


class Downstream:
    """Serves all clients of the node; `max_connections` limits their connections."""

    def __init__(
        self,
        settings: NodeSettings,
        max_connections: int,
        driver: BalancerDriver,
        readiness: Readiness,
        log: Logger,
    ) -> None:
        decision_settings = settings.decision_settings
        self._driver, self._log = driver, log
        self._parser = RequestParser(
            settings.request_classes,
            settings.tenants,
            decision_settings.request_classes,
            settings.work_header,
        )
        self._shutdown = ShutdownState()
        self._clients = ClientRegistry(max_connections, self._shutdown)
        self._handler = RequestHandler(
            decision_settings, self._parser, self._clients, self._shutdown, driver, readiness, log
        )
        self._is_only_node = decision_settings.nodes == 1
        self._has_successor = settings.has_successor
        self._listener = Listener(settings.listen, self._has_successor)
        self._accepting = trio.CancelScope()
        self._nursery: trio.Nursery

    @property
    def is_stopping(self) -> bool:
        """Whether the node is stopping and closes idle connections."""
        return self._shutdown.is_stopping

    def set_account(self, account: RequestAccount) -> None:
        """Sets the object that counts requests from now on."""
        self._handler.account = account

    def update_settings(
        self,
        request_classes: dict[str, int],
        tenants: dict[str, int],
        decision_settings: DecisionSettings,
        other_forms: AlternativeForms,
    ) -> None:
        """Uses these settings from now on; see `RequestParser.update_settings` for `other_forms`."""
        class_rules = decision_settings.request_classes
        self._parser.update_settings(request_classes, tenants, class_rules, other_forms)
        self._handler.update_settings(decision_settings)
        self._is_only_node = decision_settings.nodes == 1
        if self._handler.account is not None:
            self._handler.account.update_settings(request_classes, tenants, class_rules)

    async def run(self) -> None:
        """Accepts clients until `stop` ends accepting, then waits until every client has its response."""
        async with trio.open_nursery() as self._nursery:
            self._handler.writer.nursery = self._nursery
            with self._accepting:
                await self._accept()
            self._close_listener()
            for client in self._clients.idle:
                client.request_close()

    # Graceful shutdown.

    async def stop(self) -> None:
        """Shuts down gracefully; see the module `shutdown` for the phases."""
        remaining_s = self._shutdown.begin(self._parser.max_deadline_s)
        if self._has_successor:  # clients reconnect to the successor at the same address
            self._close_answered_clients()
            self._accepting.cancel()
            return
        await trio.sleep(remaining_s * SERVING_RATIO)
        if self._is_only_node:
            self._shutdown.is_rejecting = True
        else:
            self._close_answered_clients()
        await trio.sleep(remaining_s * (1.0 - SERVING_RATIO))
        self._close_answered_clients()
        self._accepting.cancel()

    def _close_answered_clients(self) -> None:
        """Closes idle connections that have had a response.

        On the other connections, the next response announces the close.
        """
        self._shutdown.is_stopping = True
        for client in self._clients.idle:
            if client.connection.message_count:
                client.request_close()

    def _close_listener(self) -> None:
        self._listener.close(self._accept_one)

    # Connections of clients.

    async def _accept(self) -> None:
        clients = self._clients
        while True:
            if clients.open >= clients.max_clients:
                clients.close_idle_client()
            if clients.open >= clients.max_open:
                # After this wait, a client that has sent nothing may be old enough to be closed.
                await clients.wait_for_close(ACCEPT_RETRY_S)
                continue
            try:
                if not self._accept_one():
                    await self._listener.wait()
            except OSError as error:
                # When descriptors are exhausted, the loop must neither end nor busy-wait.
                self._log.warning("accept-failed", error=str(error), open=clients.open)
                await clients.wait_for_close(ACCEPT_RETRY_S)

    def _accept_one(self) -> bool:
        accepted = self._listener.accept()
        if accepted is None:
            return False
        sock, address = accepted
        connection = Connection(sock, h11.SERVER, format_address(address))
        lag_s = self._driver.event_loop_lag.lag_s
        connection.opened_at -= lag_s
        connection.accepted_iteration = self._driver.event_loop_lag.iterations
        client = ClientConnection(connection, lag_s)
        # Registered immediately, so that a shutdown closes it even before its task has started.
        self._clients.add(client)
        self._nursery.start_soon(self._serve, client)
        return True

    async def _serve(self, client: ClientConnection) -> None:
        connection, reason = client.connection, CloseReason.FAULT
        try:
            reason = await self._read(client)
        except OSError:
            reason = client.close_reason or self._reason_of_end(client, CloseReason.RESET)
        except Exception:
            self._log.exception("unhandled-exception")
        finally:
            client.close_reason = reason  # no pipelined request may be handled after this
            self._clients.mark_busy(client)
            self._handler.abandon(client)
            connection.close()
            self._clients.remove(client)
            log_closed_connection(
                self._log,
                "client",
                connection.peer,
                reason,
                connection.opened_at,
                connection.message_count,
            )

    @staticmethod
    def _reason_of_end(client: ClientConnection, reason: CloseReason) -> CloseReason:
        return reason if client.exchange is None else CloseReason.CLIENT_LEFT

    async def _read(self, client: ClientConnection) -> CloseReason:
        """Reads as long as data may be received, so that a client's close is noticed immediately.

        Returns the reason to close the connection.
        """
        connection = client.connection
        while True:
            with client.scope:
                while await connection.receive() and client.discarded_reads < MAX_DISCARDED_READS:
                    self._handler.handle(client)
                    if client.exchange is not None and self._pipelines_too_much(connection):
                        client.is_paused = True
                        await trio.sleep_forever()
                return client.close_reason or self._reason_of_end(client, CloseReason.PEER_CLOSED)
            client.scope = trio.CancelScope()
            reason = self._reason_to_close(client)
            if reason is not None:
                return reason
            client.is_close_requested = client.is_paused = False

    @staticmethod
    def _pipelines_too_much(connection: Connection) -> bool:
        return len(connection.http.trailing_data[0]) > MAX_BODY_BYTES

    def _reason_to_close(self, client: ClientConnection) -> CloseReason | None:
        """Returns why to close a connection whose scope was cancelled; None to continue reading from it."""
        if client.close_reason is not None:
            return client.close_reason
        if client.has_partial_request:
            if trio.current_time() >= client.request_deadline:
                self._handler.writer.write_error(client, MalformedError(408, "half a request"))
            else:  # a close was requested after part of a request had arrived: the rest is read first
                client.scope.deadline = client.request_deadline
        # A connection with unread data is not closed: the data may be a request that arrived before the close
        # was requested.
        elif client.exchange is None and client.connection.is_reusable():
            if client.is_close_requested:
                return self._clients.close_reason()
            if not client.connection.message_count and trio.current_time() >= client.request_deadline:
                return CloseReason.NO_REQUEST
        return None
