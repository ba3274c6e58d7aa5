"""Outlier ejection: excludes servers that fail, hang or are far slower than others. No I/O.

An ejected server gets no ordinary attempts. When its ejection time is over it gets one request as a half-open
trial: an answer in time readmits it, any other outcome ejects it for longer. At most half of the subset is
ejected as outliers. If more servers than that are bad, the whole tier is at fault, and using fewer servers
would not help.
"""

from collections.abc import Iterator
from math import inf

from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.half_open_trials import HalfOpenTrials
from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.parameters import LATENCY_WINDOW_S, OUTLIER_LATENCY_RATIO, UPDATE_INTERVAL_S
from wheatroute.balancing.request import Request
from wheatroute.balancing.server_selection import ServerSelection
from wheatroute.balancing.server_subset import ServerSubset

# A server with an attempt in flight and no answer for this multiple of the p95 latency is hanging.
HANG_RATIO = 3.0
MAX_ERROR_RATE = 0.3  # error rate of a server's answers above which it may be ejected
OUTLIER_ERROR_RATIO = 2.0  # ratio to the median server's error rate above which a server is an outlier


class OutlierEjection:
    """Ejects servers, chooses requests for half-open trials, and readmits servers that pass them."""

    def __init__(
        self,
        state: BalancerState,
        subset: ServerSubset,
        selection: ServerSelection,
        trials: HalfOpenTrials,
        limiter: ConcurrencyLimiter,
    ) -> None:
        self._state, self._trials, self._limiter = state, trials, limiter
        self._subset, self._selection = subset, selection

    def eject(self, server: int) -> None:
        """Ejects a server; does nothing if it is already ejected."""
        if self._state.servers.ejected_until[server]:
            return
        self._extend_ejection(server)
        self._trials.ejected.append(server)
        self._trials.reset_due_time()
        self._subset.update_soon()

    def eject_unless_many(self, server: int) -> None:
        """Ejects a server unless more than half of the subset would then be ejected."""
        if 2 * (len(self._trials.ejected) + 1) <= self._subset.size:
            self.eject(server)

    def check_errors(self, server: int) -> None:
        """Ejects a server whose error rate is an outlier.

        A server that fails fast has a low latency, which would attract traffic.
        """
        servers = self._state.servers
        if servers.error_rate[server] <= MAX_ERROR_RATE or servers.ejected_until[server]:
            return
        rates = sorted(
            rate for rate, is_ready in zip(servers.error_rate, servers.is_ready, strict=True) if is_ready
        )
        if rates and servers.error_rate[server] > OUTLIER_ERROR_RATIO * rates[len(rates) // 2]:
            self.eject_unless_many(server)

    def eject_slow(self) -> None:
        """Ejects the servers that are latency outliers."""
        for server in self._subset.slow_servers:
            self.eject_unless_many(server)

    def eject_hanging(self) -> Iterator[int]:
        """Ejects hanging servers one by one, and yields each hanging server that is ejected."""
        for server in self._hanging_servers():
            self.eject_unless_many(server)
            if self._state.servers.ejected_until[server]:
                yield server

    def _hanging_servers(self) -> list[int]:
        """Returns the servers that accept attempts and don't answer them, or answer far too late."""
        servers, now, timeout_s = self._state.servers, self._state.now, self.hang_timeout_s()
        return [
            server
            for server, sent_at in enumerate(servers.sent_at)
            if sent_at
            and servers.is_ready[server]
            and (
                now - max(next(iter(sent_at.values())), servers.answered_at[server]) > timeout_s
                # Or its attempts were cancelled repeatedly because hedges were faster.
                or servers.connection_failures[server] > 2
                and now - servers.answered_at[server] > timeout_s
            )
        ]

    def hang_timeout_s(self) -> float:
        """Returns the seconds without an answer after which a server counts as hanging."""
        return HANG_RATIO * self._state.latencies.p95 or inf

    def _extend_ejection(self, server: int) -> None:
        """Sets the time of an ejected server's next trial, with exponential backoff.

        The backoff is longer with more nodes per server. Otherwise the trials of all nodes together could
        load a slow server so much that it doesn't recover.
        """
        servers, nodes_per_server = self._state.servers, max(1.0, 1.0 / self._limiter.servers_per_node)
        servers.ejection_s[server] = min(
            max(nodes_per_server * UPDATE_INTERVAL_S / 2, 2 * servers.ejection_s[server]),
            nodes_per_server * LATENCY_WINDOW_S / 2,
        )
        servers.ejected_until[server] = self._state.now + servers.ejection_s[server]

    def pick_for_trial(self, request: Request) -> int:
        """Returns an ejected server for which this request can be the half-open trial; -1 for none.

        A request can be a trial only if it was not sent before and its class allows trials: by the setting
        `can_trial` or, if that is None, by being idempotent.
        """
        can_trial = request.rules.can_trial
        if can_trial is None:
            can_trial = request.rules.idempotency == Idempotency.IDEMPOTENT
        if not can_trial or request.servers or not self._trials.is_due():
            return -1
        servers, now = self._state.servers, self._state.now
        for server in self._trials.ejected:
            if servers.ejected_until[server] <= now and not servers.is_on_trial[server]:
                if servers.is_ready[server] and self._selection.may_send(request, server):
                    servers.is_on_trial[server] = True
                    return server
        return -1

    def pass_trial(self, server: int) -> None:
        """Readmits an ejected server that has answered, unless it is still a latency outlier."""
        servers = self._state.servers
        servers.is_on_trial[server] = False
        self._trials.reset_due_time()
        max_latency = OUTLIER_LATENCY_RATIO * max(1.0, self._state.latencies.median)
        if servers.ejected_until[server] and servers.latency[server] < max_latency:
            servers.ejected_until[server] = servers.ejection_s[server] = servers.error_rate[server] = 0.0
            if server in self._trials.ejected:
                self._trials.ejected.remove(server)
            self._subset.update_soon()

    def fail_trial(self, server: int) -> None:
        """Extends the ejection of a server if its half-open trial was in flight and has failed."""
        servers = self._state.servers
        if servers.ejected_until[server] and servers.is_on_trial[server]:
            servers.is_on_trial[server] = False
            self._trials.reset_due_time()
            self._extend_ejection(server)
