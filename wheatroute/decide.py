"""All decisions of a node: which server gets a request, when a hedge is sent, when to reject. No I/O.

Make one `Balancer(settings, rng)` for each node and call `handle_events(now, events, writer)` with all that
happened since the last call; commands are written to `writer` during that call. Events and commands are
those of `wheatroute/balancing/interface.py`, whose other modules hold the decisions, one for each concern;
here events are handed to them, timers run, and the next call is asked for. The only clock is `now`, the only
source of random numbers `rng`, and nothing is shared between nodes.

Invariants: a request gets one final answer, before its deadline; it is sent again only as
`balancing/retry_rules.py` allows; nothing new goes to a server that is draining or removed by the list.
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
    """The decisions of one node."""

    def __init__(self, settings: DecisionSettings, rng: Random) -> None:
        self._components = components = Components(settings, rng, self._make_final_answers)
        self._state, self._membership, self._queue = components.state, components.membership, components.queue
        self._periodic = PeriodicTasks(components)
        self._wake_at = inf  # the moment last asked for
        self._handlers: dict[Event, Callable[..., None]] = {
            Event.ARRIVED: components.lifecycle.arrived,
            Event.ANSWER_STARTED: components.lifecycle.answer_started,
            Event.ATTEMPT_ENDED: components.lifecycle.attempt_ended,
            Event.CLIENT_LEFT: components.lifecycle.client_left,
            Event.SERVERS_LISTED: components.membership.servers_listed,
            Event.LIST_FAILED: components.membership.list_failed,
            Event.PROBE_ENDED: components.reports.probe_ended,
            Event.NODES_COUNTED: components.settings_updates.nodes_counted,
            Event.PEER_REPORTED: components.reports.take_peer_report,
            Event.SETTINGS_CHANGED: components.settings_updates.settings_changed,
        }

    def _make_final_answers(self, state: BalancerState, quotas: TenantQuotas) -> FinalAnswers:
        """Makes the part that ends requests; a subclass in `fleet/loss_accounting.py` notes losses there."""
        return FinalAnswers(state, quotas)

    @property
    def servers(self) -> ServerStatistics:
        """What was measured of the servers, to be stored and restored."""
        return self._state.servers

    def handle_events(self, now: float, events: EventBatch, writer: CommandWriter) -> None:
        """Takes in all that happened since the last batch and writes what is to be done."""
        state, membership, periodic = self._state, self._membership, self._periodic
        state.now, state.writer = now, writer
        due_by = now + state.settings.tick / 2  # a host may round moments
        if self._wake_at <= due_by:
            self._wake_at = inf
        handlers = self._handlers
        for event, *fields in events:
            # `TIMER_DUE` has no handler, as timers run in every batch; events that aren't known are dropped
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
        """Ends requests whose time is up, and sends hedges."""
        timers, components = self._state.timers, self._components
        while timers and timers[0][0] <= due_by:
            moment, number, request = heappop(timers)
            if request.is_over:
                continue
            if number < 0:  # the request's own time is up (`RequestLifecycle.arrived`); else a hedge is due
                request.is_queued = False
                components.answers.finish(request)
                continue
            server = components.hedging.pick_for_hedge(request, moment)
            if server >= 0:
                components.sender.send_to(request, server)

    def _request_wake_up(self) -> None:
        """Asks for the next call that is needed, unless one as early is already asked for."""
        state, periodic, scans = self._state, self._periodic, MAX_SCANS
        timers, now = state.timers, state.now
        while timers and timers[0][2].is_over and scans:  # the rest in later batches
            heappop(timers)
            scans -= 1
        first_timer = timers[0][0] if timers else inf
        moment = min(first_timer, now if periodic.pending else periodic.next_tick, self._membership.watch_at)
        if moment < self._wake_at:
            self._wake_at = moment
            state.writer.wake_at(max(moment, now + state.settings.tick))
