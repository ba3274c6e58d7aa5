"""Probes servers: requests the load report of a server, or its liveness check if load reports are not used.

Does I/O.
"""

import h11
import trio

from wheatroute.balancing.interface import AttemptOutcome, Event, Report
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.clock import now
from wheatroute.net.connection import MalformedError
from wheatroute.net.connection_pool import ConnectFailedError, ConnectionHolder, ConnectionPool
from wheatroute.net.log import CloseReason, Logger
from wheatroute.net.response_reader import LoadReportReader, read_response
from wheatroute.net.server_table import ServerTable

# Timeout of a probe as a multiple of the connect timeout; the protocol does not define one.
PROBE_CONNECT_TIMEOUTS = 2
LOAD_PATH = b"/metrics/load"
LIVENESS_PATH = b"/alive"


class Prober:
    """Runs probes; each call of `run` is a separate task."""

    def __init__(
        self,
        settings: DecisionSettings,
        servers: ServerTable,
        pool: ConnectionPool,
        reports: LoadReportReader,
        driver: BalancerDriver,
        log: Logger,
    ) -> None:
        self._path = LIVENESS_PATH if settings.report_how == "none" else LOAD_PATH
        self._servers = servers
        self._pool = pool
        self._reports = reports
        self._driver = driver
        self._log = log

    async def run(self, server: int) -> None:
        """Probes a server and adds a `PROBE_ENDED` event with outcome, duration and load report."""
        sent_at, outcome, report, holder = now(), AttemptOutcome.TIMED_OUT, None, ConnectionHolder()
        try:
            with trio.move_on_after(PROBE_CONNECT_TIMEOUTS * self._pool.connect_timeout_s):
                outcome, report = await self._probe(server, holder)
        except ConnectFailedError:
            outcome = AttemptOutcome.UNCONNECTED
        except (OSError, MalformedError):
            outcome, holder.close_reason = AttemptOutcome.RESET, CloseReason.RESET
        except Exception:
            self._log.exception("unhandled-exception")
        self._pool.discard(holder.connection, holder.close_reason)
        self._servers.end(server)
        self._driver.add_event(Event.PROBE_ENDED, server, outcome, now() - sent_at, report)

    async def _probe(self, server: int, holder: ConnectionHolder) -> tuple[AttemptOutcome, Report | None]:
        holder.connection = connection = await self._pool.acquire(server)
        host, port = self._servers.address(server)
        headers = [(b"Host", b"%s:%d" % (host.encode(), port))]
        connection.send(h11.Request(method=b"GET", target=self._path, headers=headers))
        response = await read_response(connection, self._pool.connect_timeout_s)
        load = response.headers.get(b"server-load", response.body if self._path == LOAD_PATH else None)
        report = self._reports.read(server, load)
        self._pool.release(server, holder)
        return AttemptOutcome.SERVED if response.status == 200 else AttemptOutcome.ERROR, report
