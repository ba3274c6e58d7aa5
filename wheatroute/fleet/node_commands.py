"""Commands of a node's decisions, carried out. No I/O."""

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
    """The `CommandWriter` of one node, which says what each command means."""

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

    def attempt(self, request: int, server: int, time_out: float) -> None:
        """Sends an attempt."""
        self._requests.start_attempt(request, server, time_out, self._transport)

    def cancel(self, request: int, n: int) -> None:
        """Cancels an attempt."""
        self._requests.cancel_attempt(request, n, self._transport)

    def reject(self, request: int, stay_away: float) -> None:
        """Rejects a request, with the seconds after which it may come again."""
        self._requests.answer(request, RequestOutcome.REJECTED, stay_away)

    def fail(self, request: int) -> None:
        """Fails a request."""
        self._requests.answer(request, RequestOutcome.FAILED)

    def wake_at(self, moment: float) -> None:
        """Schedules an event batch."""
        self._engine.call_at(moment, self._events.add, Event.TIMER_DUE)

    def probe(self, server: int) -> None:
        """Probes a server."""
        self._prober.probe(self._servers[server])

    def send_loads(self, figures: Mapping[int, float]) -> None:
        """Does nothing: nodes of emulated fleets have no peers."""

    def watch(self, enable: bool) -> None:
        """Sends the full list; changes are sent to all nodes anyway."""
        if enable:
            self._fetch_list()

    def fetch(self) -> None:
        """Sends the full list."""
        self._fetch_list()

    def close(self, server: int) -> None:
        """Closes idle connections to a server."""
        self._connections.close_idle(server)

    def log(self, text: str) -> None:
        """Does nothing: emulated fleets have no operators."""
