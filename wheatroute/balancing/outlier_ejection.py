"""Leaves out servers that fail, hang or are far slower than others, and brings them back by trials. No I/O.

An ejected server gets no ordinary attempts. After a time it gets one request as a half-open trial: an
answer in time brings it back, anything else ejects it for longer. Where half of the servers do badly none
is ejected for it: that is the tier's fault, and fewer servers would not help.
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

HANG_RATIO = 3.0  # a server with no answer for this multiple of the p95, and an attempt in flight, hangs
MAX_ERROR_RATE = 0.3  # of a server's answers
OUTLIER_ERROR_RATIO = 2.0  # a server's error rate over the median server's, above which it stands out


class OutlierEjection:
    """Ejects servers and brings them back."""

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
        """Ejects a server unless it is ejected."""
        if self._state.servers.ejected_until[server]:
            return
        self._prolong(server)
        self._trials.ejected.append(server)
        self._trials.reset_due_time()
        self._subset.update_soon()

    def eject_unless_many(self, server: int) -> None:
        """Ejects a server unless half of the subset would then be ejected."""
        if 2 * (len(self._trials.ejected) + 1) <= self._subset.size:
            self.eject(server)

    def check_errors(self, server: int) -> None:
        """Ejects a server that fails often: it fails fast, and would draw traffic by its low latency."""
        servers = self._state.servers
        if servers.error_rate[server] <= MAX_ERROR_RATE or servers.ejected_until[server]:
            return
        rates = sorted(
            rate for rate, is_ready in zip(servers.error_rate, servers.is_ready, strict=True) if is_ready
        )
        if rates and servers.error_rate[server] > OUTLIER_ERROR_RATIO * rates[len(rates) // 2]:
            self.eject_unless_many(server)

    def eject_slow(self) -> None:
        """Ejects servers that are far slower than others."""
        for server in self._subset.slow_servers:
            self.eject_unless_many(server)

    def eject_hanging(self) -> Iterator[int]:
        """Ejects servers that hang, one after the other; gives each that is ejected."""
        for server in self._hanging_servers():
            self.eject_unless_many(server)
            if self._state.servers.ejected_until[server]:
                yield server

    def _hanging_servers(self) -> list[int]:
        """Servers that take work and answer nothing, or far too late."""
        servers, now, timeout_s = self._state.servers, self._state.now, self.hang_timeout_s()
        return [
            server
            for server, sent_at in enumerate(servers.sent_at)
            if sent_at
            and servers.is_ready[server]
            and (
                now - max(next(iter(sent_at.values())), servers.answered_at[server]) > timeout_s
                # or hedges overtook it again and again, and its attempts were cancelled
                or servers.connection_failures[server] > 2
                and now - servers.answered_at[server] > timeout_s
            )
        ]

    def hang_timeout_s(self) -> float:
        """Seconds after which a server that has not answered hangs."""
        return HANG_RATIO * self._state.latencies.p95 or inf

    def _prolong(self, server: int) -> None:
        """Sets when an ejected server is tried next, ever later.

        Later with more nodes for each server: their trials alone could else keep a slow server from
        recovering.
        """
        servers, nodes_per_server = self._state.servers, max(1.0, 1.0 / self._limiter.servers_per_node)
        servers.ejection_s[server] = min(
            max(nodes_per_server * UPDATE_INTERVAL_S / 2, 2 * servers.ejection_s[server]),
            nodes_per_server * LATENCY_WINDOW_S / 2,
        )
        servers.ejected_until[server] = self._state.now + servers.ejection_s[server]

    def pick_for_trial(self, request: Request) -> int:
        """An ejected server that is due for a half-open trial with this request; -1 for none.

        A request that was sent before is no trial, nor one that isn't idempotent unless its class allows it.
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
        """Brings an ejected server back that has answered, unless it is far too slow."""
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
        """Keeps a server ejected, for longer, whose half-open trial has failed."""
        servers = self._state.servers
        if servers.ejected_until[server] and servers.is_on_trial[server]:
            servers.is_on_trial[server] = False
            self._trials.reset_due_time()
            self._prolong(server)
