"""Executes the commands of a node's decision maker. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from wheatroute.balancing.interface import Event
from wheatroute.fleet.connections import ConnectionPool
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.event_batches import EventBatcher
from wheatroute.fleet.node_requests import NodeRequests
from wheatroute.fleet.probes import Prober
from wheatroute.fleet.requests import RequestOutcome
from wheatroute.fleet.servers import Server
from wheatroute.fleet.transport import AttemptTransport


class NodeCommandWriter:
    """Implements `CommandWriter` for one simulated node: each command takes effect when it is written."""

    def __init__(
        self,
        engine: Engine,
        servers: list[Server],
        events: EventBatcher,
        requests: NodeRequests,
        transport: AttemptTransport,
        connections: ConnectionPool,
        prober: Prober,
        fetch_list: Callable[[], None],
    ) -> None:
        self._engine = engine
        self._servers = servers
        self._events = events
        self._requests = requests
        self._transport = transport
        self._connections = connections
        self._prober = prober
        self._fetch_list = fetch_list

    def attempt(self, request: int, server: int, timeout_s: float) -> None:
        """Sends an attempt; with a timeout of 0 it lasts until the request's deadline."""
        self._requests.start_attempt(request, server, timeout_s, self._transport)

    def cancel(self, request: int, n: int) -> None:
        """Cancels an attempt."""
        self._requests.cancel_attempt(request, n, self._transport)

    def reject(self, request: int, retry_after_s: float) -> None:
        """Rejects a request and tells the client to retry after `retry_after_s` seconds."""
        self._requests.answer(request, RequestOutcome.REJECTED, retry_after_s)

    def fail(self, request: int) -> None:
        """Fails a request."""
        self._requests.answer(request, RequestOutcome.FAILED)

    def wake_at(self, moment: float) -> None:
        """Schedules an `Event.TIMER_DUE`."""
        self._engine.call_at(moment, self._events.add, Event.TIMER_DUE)

    def probe(self, server: int) -> None:
        """Probes a server."""
        self._prober.probe(self._servers[server])

    def send_loads(self, loads: Mapping[int, float]) -> None:
        """Does nothing: simulated nodes don't exchange loads."""

    def watch(self, enable: bool) -> None:
        """Fetches the full list when watching starts; nodes receive changes whether they watch or not."""
        if enable:
            self._fetch_list()

    def fetch(self) -> None:
        """Fetches the full list."""
        self._fetch_list()

    def close(self, server: int) -> None:
        """Closes the idle connections to a server."""
        self._connections.close_idle(server)

    def log(self, text: str) -> None:
        """Does nothing: a simulated fleet has no operators to read a log."""
