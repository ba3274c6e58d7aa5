"""Applies changes of the server list, and schedules when to watch the list again. No I/O."""

from math import inf

from wheatroute.balancing.interface import ListEntry, ServerState
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.ready_servers import ReadyServers
from wheatroute.balancing.server_subset import ServerSubset


class MembershipUpdates:
    """Applies the server list. The host pushes it or, with `list_on_request`, this node watches it."""

    def __init__(self, state: BalancerState, ready: ReadyServers, subset: ServerSubset) -> None:
        self._state, self._ready, self._subset = state, ready, subset
        self.watch_at = -inf if state.settings.list_on_request else inf
        self._backoff_s = 0.0

    def servers_listed(self, entries: list[ListEntry], is_full: bool) -> None:
        """Applies a full server list, or changed entries of the list if not `is_full`."""
        servers = self._state.servers
        self._backoff_s = 0.0
        if is_full:
            servers.is_ready = [False] * len(servers.is_ready)
            self._ready.clear()
        for server, zone, model, cell, state, _, started_at in entries:
            servers.extend(server + 1)
            if servers.is_ready[server]:
                self._ready.remove((servers.zone[server], servers.model[server]), server)
            servers.zone[server], servers.model[server], servers.cell[server] = zone, model, cell
            # A draining server gets no new attempts as soon as this node learns of it, well within the grace
            # period.
            servers.is_ready[server] = state == ServerState.LIVE
            if servers.is_ready[server]:
                self._ready.add((zone, model), server)
            if state == ServerState.REMOVED:
                servers.reset(server, 0.0)
            elif started_at > servers.started_at[server]:
                servers.reset(server, started_at)
                # Other nodes learn of the restarted server too. With a random initial credit on each node,
                # they don't all send to it at once.
                servers.slow_start_credit[server] = self._state.rng.random()
        (self._subset.update if is_full else self._subset.update_soon)()

    def list_failed(self) -> None:
        """Schedules the next watch with backoff and jitter, because the list service may fail under load."""
        settings = self._state.settings
        if settings.list_on_request:
            # A node is expected to know every change that is older than `list_max_age_s`.
            maximum = settings.list_max_age_s / 4
            self._backoff_s = min(maximum, max(maximum / 8, 2 * self._backoff_s))
            self.watch_at = self._state.now + self._backoff_s * (0.5 + 0.5 * self._state.rng.random())
