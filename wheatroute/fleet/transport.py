"""Transport of attempts to servers and back: connection, latency, timeout, reset, cancellation. No I/O.

Each attempt that is sent ends exactly once with a call of `on_end`, unless the node ends first.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Protocol

from wheatroute.balancing.interface import AttemptOutcome, Report
from wheatroute.fleet.connections import ConnectionPool
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.jobs import Job
from wheatroute.fleet.network import Address, SimulatedNetwork
from wheatroute.fleet.plan import NetworkPlan
from wheatroute.fleet.requests import Attempt
from wheatroute.fleet.servers import Server


class JobSource(Protocol):
    """Creates the jobs that servers run for attempts."""

    def job_for(self, attempt: Attempt, transport: AttemptTransport) -> Job:
        """Creates the job of an attempt; its response is sent through `transport`."""


class AttemptTransport:
    """Sends the attempts of one node and receives their responses."""

    def __init__(
        self,
        engine: Engine,
        network: SimulatedNetwork,
        plan: NetworkPlan,
        zone: int,
        address: Address,
        connections: ConnectionPool,
        jobs: JobSource,
        on_end: Callable[[Attempt, Report | None], None],
    ) -> None:
        self._engine = engine
        self._network = network
        self._plan = plan
        self._zone = zone  # of the node
        self._address = address  # of the node
        self._connections = connections
        self._jobs = jobs
        self._on_end = on_end
        self._is_closed = False

    def delay_to(self, server: Server) -> float:
        """Returns the delay of one message to a server in seconds, `inf` if it never arrives."""
        return self._network.message_delay(self._zone, server.zone, self._address, server.address)

    def _delay_from(self, server: Server) -> float:
        return self._network.message_delay(server.zone, self._zone, server.address, self._address)

    def close(self) -> None:
        """Drops all further responses, because the node has ended."""
        self._is_closed = True

    # from the node to the server

    def send(self, attempt: Attempt, timeout_s: float) -> None:
        """Sends an attempt on an idle connection or a new one; it times out after `timeout_s`."""
        attempt.timeout = self._engine.call_later(timeout_s, self._timed_out, attempt)
        if self._connections.take_idle(attempt.server):
            attempt.has_connection = True
            self._write(attempt)
        else:
            self._connect(attempt)

    def _connect(self, attempt: Attempt) -> None:
        """Opens a connection, which takes several round trips, and writes the attempt to it."""
        server = attempt.server
        delay_s = self.delay_to(server)
        if delay_s == inf:
            self._engine.call_later(self._plan.connect_timeout_s, self._connect_failed, attempt)
        elif not server.is_alive or server.open_connections >= server.max_connections:
            self._engine.call_later(2 * delay_s, self._connect_failed, attempt)
        else:
            self._connections.open(server)
            attempt.has_connection = True
            attempt.incarnation = server.incarnation
            self._engine.call_later(2 * delay_s * self._plan.handshake_round_trips, self._write, attempt)

    def _connect_failed(self, attempt: Attempt) -> None:
        if not attempt.is_over:
            self.end(attempt, AttemptOutcome.UNCONNECTED)

    def _write(self, attempt: Attempt) -> None:
        if attempt.is_over:
            return
        attempt.is_written = True
        delay_s = self.delay_to(attempt.server)
        if delay_s < inf:
            self._engine.call_later(delay_s, self._arrive, attempt)

    def _arrive(self, attempt: Attempt) -> None:
        """Hands an attempt to the server, after all of it has arrived there."""
        server = attempt.server
        if not server.is_alive or server.incarnation != attempt.incarnation:
            if not attempt.is_over:
                self.end(attempt, AttemptOutcome.RESET if server.is_alive else AttemptOutcome.UNCONNECTED)
            return
        if attempt.is_over:
            return  # cancelled in transit, so it never runs
        job = self._jobs.job_for(attempt, self)
        if server.accept(job):
            attempt.job = job
        else:
            self.respond(attempt, AttemptOutcome.FULL)

    # from the server to the node

    def respond(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Sends the response of the server, with its load report."""
        server = attempt.server
        delay_s = self._delay_from(server)
        if delay_s < inf and not (outcome == AttemptOutcome.SERVED and self._network.loses_response()):
            report = server.reporter.report() if server.tier.reports is not None else None
            self._engine.call_later(delay_s, self._response_arrives, attempt, outcome, report)

    def _response_arrives(self, attempt: Attempt, outcome: AttemptOutcome, report: Report | None) -> None:
        if attempt.is_over or self._is_closed:
            return
        if attempt.has_connection:
            attempt.has_connection = False
            self._connections.release(attempt.server, attempt.incarnation)
        self.end(attempt, outcome, report)

    def server_died(self, attempt: Attempt) -> None:
        """Breaks the connection of an attempt, because the process that held it has ended."""
        if attempt.is_over or self._is_closed:
            return
        delay_s = self._delay_from(attempt.server)
        if delay_s < inf:
            self._engine.call_later(delay_s, self._reset, attempt)

    def _reset(self, attempt: Attempt) -> None:
        if not attempt.is_over:
            self.end(attempt, AttemptOutcome.RESET)

    # ends

    def end(self, attempt: Attempt, outcome: AttemptOutcome, report: Report | None = None) -> None:
        """Ends an attempt and closes its connection; after TIMED_OUT or WITHDRAWN, `abandon` closes it."""
        attempt.is_over = True
        attempt.outcome = outcome
        self._engine.cancel(attempt.timeout)
        if outcome not in (AttemptOutcome.TIMED_OUT, AttemptOutcome.WITHDRAWN):
            self._close_connection(attempt)
        self._on_end(attempt, report)

    def cancel(self, attempt: Attempt) -> None:
        """Ends an attempt that the node no longer waits for."""
        self.end(attempt, AttemptOutcome.WITHDRAWN)
        self.abandon(attempt)

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.is_over:
            # An attempt that was not written completely has never run.
            self.end(attempt, AttemptOutcome.TIMED_OUT if attempt.is_written else AttemptOutcome.MOOT)
            self.abandon(attempt)

    def abandon(self, attempt: Attempt) -> None:
        """Closes the connection of an attempt; the server cancels the job one network latency later."""
        attempt.is_over = True
        self._close_connection(attempt)
        job = attempt.job
        if job is not None and not job.is_ended:
            delay_s = self.delay_to(attempt.server)
            if delay_s < inf:
                self._engine.call_later(delay_s, attempt.server.cancel, job)

    def _close_connection(self, attempt: Attempt) -> None:
        if attempt.has_connection:
            attempt.has_connection = False
            self._connections.close(attempt.server, attempt.incarnation)
