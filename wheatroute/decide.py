"""All decisions of a node: which server gets a request, when a hedge is sent, when to reject. No I/O.

Create one `Balancer(settings, rng)` per node and call `handle_events(now, events, writer)` with everything
that happened since the last call; during the call it writes its commands to `writer`. The events and commands
are defined in `wheatroute/balancing/interface.py`; the other modules of that package make the decisions, one
module per concern. This module dispatches the events to them, runs timers and requests the next call. `now`
is the only clock and `rng` the only source of random numbers. Nodes share no state; they may send each other
the loads of servers (`CommandWriter.send_loads`).

Invariants: a request gets exactly one final answer, before its deadline; it is retried only as
`balancing/retry_rules.py` allows; no new attempt goes to a server that is draining or was removed from the
list.
"""

from collections.abc import Callable
from heapq import heappop
from math import inf
from random import Random

from wheatroute.balancing.components import Components
from wheatroute.balancing.final_answers import FinalAnswers
from wheatroute.balancing.interface import CommandWriter, Event, EventBatch
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.parameters import MAX_SCANS
from wheatroute.balancing.periodic_tasks import PeriodicTasks
from wheatroute.balancing.server_statistics import ServerStatistics
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.balancing.tenant_quotas import TenantQuotas


class Balancer:
    """Makes the decisions of one node: turns batches of events into commands."""

    def __init__(self, settings: DecisionSettings, rng: Random) -> None:
        self._components = components = Components(settings, rng, self._make_final_answers)
        self._state, self._membership, self._queue = components.state, components.membership, components.queue
        self._periodic = PeriodicTasks(components)
        self._wake_at = inf  # time of the earliest call that was requested; inf: no call is outstanding
        self._handlers: dict[Event, Callable[..., None]] = {
            Event.ARRIVED: components.lifecycle.arrived,
            Event.ANSWER_STARTED: components.lifecycle.answer_started,
            Event.ATTEMPT_ENDED: components.lifecycle.attempt_ended,
            Event.CLIENT_LEFT: components.lifecycle.client_left,
            Event.SERVERS_LISTED: components.membership.servers_listed,
            Event.LIST_FAILED: components.membership.list_failed,
            Event.PROBE_ENDED: components.reports.probe_ended,
            Event.NODES_COUNTED: components.settings_updates.nodes_counted,
            Event.PEER_REPORTED: components.reports.record_peer_report,
            Event.SETTINGS_CHANGED: components.settings_updates.settings_changed,
        }

    def _make_final_answers(self, state: BalancerState, quotas: TenantQuotas) -> FinalAnswers:
        """Creates the component that ends requests; overridden in `fleet/loss_accounting.py`."""
        return FinalAnswers(state, quotas)

    @property
    def servers(self) -> ServerStatistics:
        """The measurements of each server. `stored_statistics` exports and restores them."""
        return self._state.servers

    def handle_events(self, now: float, events: EventBatch, writer: CommandWriter) -> None:
        """Handles everything that happened since the last batch and writes the resulting commands.

        `now` is the present time in seconds on the host's clock.
        """
        state, membership, periodic = self._state, self._membership, self._periodic
        state.now, state.writer = now, writer
        # Half a clock step of tolerance, because a host may round the times of its calls.
        due_by = now + state.settings.tick / 2
        if self._wake_at <= due_by:
            self._wake_at = inf
        handlers = self._handlers
        for event, *fields in events:
            # `TIMER_DUE` has no handler because timers run in every batch. Unknown events are ignored.
            if event in handlers:
                handlers[event](*fields)
        if due_by >= membership.watch_at:
            membership.watch_at = inf
            writer.watch(True)
        if periodic.pending or due_by >= periodic.next_tick:
            periodic.run(due_by, is_idle=not events or events[0][0] == Event.TIMER_DUE)
        self._run_timers(due_by)
        self._queue.drain()
        self._request_wake_up()

    def _run_timers(self, due_by: float) -> None:
        """Ends requests that have reached `give_up_at`, and sends hedges that are due."""
        timers, components = self._state.timers, self._components
        while timers and timers[0][0] <= due_by:
            due_at, number, request = heappop(timers)
            if request.is_over:
                continue
            # A negative number marks the timer for `give_up_at` (see `RequestLifecycle.arrived`), any other a
            # hedge timer.
            if number < 0:
                request.is_queued = False
                components.answers.finish(request)
                continue
            server = components.hedging.pick_for_hedge(request, due_at)
            if server >= 0:
                components.sender.send_to(request, server)

    def _request_wake_up(self) -> None:
        """Requests the next call that is needed, unless one at that time or earlier is already requested."""
        state, periodic, scans = self._state, self._periodic, MAX_SCANS
        timers, now = state.timers, state.now
        # Removes timers of requests that have ended, `MAX_SCANS` at most; later batches remove the rest.
        while timers and timers[0][2].is_over and scans:
            heappop(timers)
            scans -= 1
        first_timer = timers[0][0] if timers else inf
        due_at = min(first_timer, now if periodic.pending else periodic.next_tick, self._membership.watch_at)
        if due_at < self._wake_at:
            self._wake_at = due_at
            state.writer.wake_at(max(due_at, now + state.settings.tick))
