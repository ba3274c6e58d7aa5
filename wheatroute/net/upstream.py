"""The upstream side of the node: attempts and probes to servers, and the connections for both.

Composes these parts and runs their tasks; does no I/O itself.
"""

import trio

from wheatroute.balancing.interface import ServerState
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.net.attempts import AttemptRunner
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.connection_pool import ConnectionPool
from wheatroute.net.exchange import Attempt, Exchange
from wheatroute.net.log import Logger
from wheatroute.net.probes import Prober
from wheatroute.net.response_reader import LoadReportReader
from wheatroute.net.send_rules import SendRules
from wheatroute.net.server_table import ServerTable


class Upstream:
    """Runs attempts and probes; the `AttemptSender` of the driver and the `ServerRegistry` of discovery."""

    def __init__(
        self,
        settings: DecisionSettings,
        max_connections: int,
        max_response_bytes: int,
        driver: BalancerDriver,
        log: Logger,
    ) -> None:
        self._servers = ServerTable()
        self._pool = ConnectionPool(settings, max_connections, max_response_bytes, self._servers, log)
        self._rules = SendRules(settings, self._servers, lambda exchange: driver.abandon_request(exchange))
        self._reports = LoadReportReader(self._servers, log)
        self._attempts = AttemptRunner(self._servers, self._pool, self._rules, self._reports, driver, log)
        self._prober = Prober(settings, self._servers, self._pool, self._reports, driver, log)
        self._nursery: trio.Nursery

    @property
    def open_connections(self) -> int:
        """The number of open connections to servers."""
        return self._pool.open

    async def run(self) -> None:
        """Runs the tasks of attempts and probes, and closes expired idle connections, until cancelled."""
        interval_s = self._pool.sweep_interval_s
        async with trio.open_nursery() as self._nursery:
            while True:
                await trio.sleep(interval_s)
                self._pool.close_expired()

    def update_settings(self, settings: DecisionSettings) -> None:
        """Uses these settings for connections and for the checks before sending from now on."""
        self._pool.update_settings(settings)
        self._rules.update_settings(settings)

    # Updates from discovery (`ServerRegistry`).

    def set_address(self, server: int, address: tuple[str, int]) -> None:
        """Sets a server's address; closes its idle connections if the address has changed."""
        if self._servers.set_address(server, address):
            self._pool.close_idle(server)

    def set_state(self, server: int, state: ServerState, started_at: float) -> None:
        """Sets a server's state and start time; attempts decided before a change are no longer sent."""
        self._servers.set_state(server, state, started_at)

    def release(self, server: int) -> bool:
        """Removes a server, so that another one can use its number; returns False while it is in use."""
        if self._servers.is_in_use(server):
            return False
        self._pool.close_idle(server)
        self._servers.forget(server)
        self._reports.forget(server)
        return True

    # Commands of the driver (`AttemptSender`).

    def start_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        """See `AttemptSender.start_attempt`."""
        self._servers.begin(attempt.server)
        attempt.server_generation = self._servers.generation(attempt.server)
        self._nursery.start_soon(self._attempts.run, exchange, attempt)

    def probe(self, server: int) -> None:
        """See `AttemptSender.probe`."""
        self._servers.begin(server)
        self._nursery.start_soon(self._prober.run, server)

    def close_idle(self, server: int) -> None:
        """See `AttemptSender.close_idle`."""
        self._pool.close_idle(server)

    def close_all_idle(self) -> None:
        """Closes all idle connections as the node stops."""
        self._pool.close_all_idle()
