"""All decisions of a node: which server gets a request, when a hedge is sent, when to reject. No I/O.

Make one `Balancer(settings, rng)` for each node and call `handle_events(now, events, writer)` with all that
happened since the last call; commands are written to `writer` during that call. Events and commands are
those of `wheatroute/balancing/interface.py`, whose other modules hold the parts of the decisions; here is
the life of a request, from its arrival to its final answer. The only clock is `now`, the only source of
random numbers `rng`, and nothing is shared between nodes.

Invariants: a request gets one final answer, before its deadline; it is sent again only as
`balancing/retry_rules.py` allows; nothing new goes to a server that is draining or removed by the list.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from heapq import heappop, heappush
from math import inf
from random import Random

from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.half_open_trials import HalfOpenTrials
from wheatroute.balancing.idle_connections import IdleConnectionStatistics
from wheatroute.balancing.interface import (
    CommandWriter,
    EarlierAttempt,
    Event,
    EventBatch,
    Idempotency,
    ListEntry,
    Outcome,
    Report,
    ServerState,
)
from wheatroute.balancing.load_reports import LoadReports
from wheatroute.balancing.node_state import NodeState
from wheatroute.balancing.outcome_recorder import OutcomeRecorder
from wheatroute.balancing.outlier_ejection import HANG_RATIO, OutlierEjection
from wheatroute.balancing.parameters import (
    EXCESS_CAPACITY_FRACTION,
    HEDGE_MARGIN,
    MIN_SAMPLES,
    TICK_INTERVAL_S,
    UPDATE_INTERVAL_S,
)
from wheatroute.balancing.ready_servers import ReadyServers
from wheatroute.balancing.request import Request
from wheatroute.balancing.request_queue import RequestQueue
from wheatroute.balancing.retry_rules import deduplication_group, may_reject, may_repeat
from wheatroute.balancing.server_selection import ServerSelection
from wheatroute.balancing.server_statistics import ServerStatistics
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.balancing.slow_start import SlowStart
from wheatroute.balancing.tenant_quotas import TenantQuotas

HEDGE_FRACTION = 0.1  # of the attempts sent may be hedges: twice what a 95th percentile lets through
RETRY_FRACTION = 0.1  # of the requests taken may be sent again after an attempt that may have run
CONGESTION_TOLERANCE = 0.9  # attempts may be this fraction above their shortest time in flight
START_MARGIN = 1.25  # mean latencies that a queued request must have left when it starts
MAX_SERVERS_PER_TICK = 64  # with more, a tick's work is spread over several batches
MAX_SCANS = 64  # requests looked at for each one that is queued, or that comes due


class Balancer:
    """The decisions of one node."""

    def __init__(self, settings: DecisionSettings, rng: Random) -> None:
        self._state = state = NodeState(settings, rng)
        self._ready = ReadyServers()
        self._limiter = ConcurrencyLimiter()
        self._reports = LoadReports(state, self._ready)
        self._slow_start = SlowStart(state)
        self._trials = HalfOpenTrials(state)
        self._selection = ServerSelection(
            state, self._ready, self._limiter, self._reports, self._slow_start, self._trials
        )
        self._ejection = OutlierEjection(state, self._selection, self._trials, self._limiter)
        self._idle = IdleConnectionStatistics()
        self._recorder = OutcomeRecorder(state, self._limiter, self._reports, self._ejection, self._idle)
        self._quotas = TenantQuotas(state, self._limiter)
        self._queue = RequestQueue()
        self._tick_parts: deque[Callable[[], None]] = deque()  # of a tick with many servers, still to be done
        # (moment, number, request): hedge timers, and ends of requests as -number - 1
        self._timers: list[tuple[float, int, Request]] = []
        self._wake_at, self._next_tick, self._next_update = inf, -inf, -inf
        self._due_by = 0.0  # timers up to this moment are due in this batch
        self._hedge_credit = self._retry_credit = 1.0
        self._usual_time_left: list[float] = []  # by request class, as clients leave it for a first attempt
        self._shed_at = -inf  # when requests were last shed from the queue
        self._list_at, self._list_backoff_s = -inf if settings.list_on_request else inf, 0.0
        self._handlers: dict[Event, Callable[..., None]] = {
            Event.ARRIVED: self._arrived,
            Event.ANSWER_STARTED: self._answer_started,
            Event.ATTEMPT_ENDED: self._attempt_ended,
            Event.CLIENT_LEFT: self._client_left,
            Event.SERVERS_LISTED: self._servers_listed,
            Event.LIST_FAILED: self._list_failed,
            Event.PROBE_ENDED: self._reports.probe_ended,
            Event.NODES_COUNTED: self._nodes_counted,
            Event.PEER_REPORTED: self._reports.take_peer_report,
            Event.SETTINGS_CHANGED: self._settings_changed,
        }
        self._apply_settings()

    @property
    def servers(self) -> ServerStatistics:
        """What was measured of the servers, to be stored and restored."""
        return self._state.servers

    def handle_events(self, now: float, events: EventBatch, writer: CommandWriter) -> None:
        """Takes in all that happened since the last batch and writes what is to be done."""
        state = self._state
        state.now, state.writer = now, writer
        self._due_by = now + state.settings.tick / 2  # a host may round moments
        if self._wake_at <= self._due_by:
            self._wake_at = inf
        handlers = self._handlers
        for event, *fields in events:
            if event in handlers:
                handlers[event](*fields)
        if self._due_by >= self._list_at:
            self._list_at = inf
            writer.watch(True)
        if self._tick_parts:
            # rather where nobody waits for the batch
            is_idle = not events or events[0][0] == Event.TIMER_DUE
            if is_idle or self._due_by >= self._next_tick - TICK_INTERVAL_S / 2:
                self._tick_parts.popleft()()
        elif self._due_by >= self._next_tick:
            self._tick()
        self._run_timers()
        self._drain_queue()
        self._ask_to_wake()

    # settings and the list of servers

    def _apply_settings(self) -> None:
        """What follows from the settings; what was measured stays."""
        settings, classes = self._state.settings, self._state.settings.request_classes
        self._is_entry = settings.tier == 0
        self._selection.max_servers_at_once = (
            MAX_SERVERS_PER_TICK if settings.max_servers_per_tick is None else settings.max_servers_per_tick
        )
        self._state.latencies.extend(len(classes))
        self._usual_time_left += [0.0] * (len(classes) - len(self._usual_time_left))
        self._quotas.apply_settings()
        self._reports.apply_settings()
        # Where servers report how much waits there, requests worth less than this may use little of what
        # all nodes
        # take for free capacity: they would fill it up, and keep out what is worth more.
        self._low_value = EXCESS_CAPACITY_FRACTION * sum(one.value for one in classes) / len(classes)
        self._hedged_value = max(
            (one.value for one in classes if one.idempotency == Idempotency.IDEMPOTENT), default=inf
        )

    def _settings_changed(self, settings: DecisionSettings, is_binding: bool) -> None:
        """Requests taken before keep their own rules unless the new settings bind them too."""
        for request in self._state.requests.values() if is_binding else ():
            request.rules = settings.request_classes[request.class_number]
            groups = {deduplication_group(request.rules, self.servers, server) for server in request.servers}
            if len(groups) == 1:
                request.group = groups.pop()
            elif groups:  # one group would take a repeat for new that another has run
                request.first_sent_at = -inf
        self._state.settings = settings
        self._apply_settings()
        self._selection.update()

    def _nodes_counted(self, nodes: int, node: int, caution: float) -> None:
        """Quotas, the subset of servers and the pace of trials follow the number of nodes."""
        self._slow_start.caution = caution
        self._settings_changed(replace(self._state.settings, nodes=nodes, node=node), False)

    def _servers_listed(self, entries: list[ListEntry], is_full: bool) -> None:
        servers = self.servers
        self._list_backoff_s = 0.0
        if is_full:
            servers.is_ready = [False] * len(servers.is_ready)
            self._ready.clear()
        for server, zone, model, cell, state, _, started_at in entries:
            servers.extend(server + 1)
            if servers.is_ready[server]:
                self._ready.remove((servers.zone[server], servers.model[server]), server)
            servers.zone[server], servers.model[server], servers.cell[server] = zone, model, cell
            # nothing new from the moment this node hears that it drains, well within the grace period
            servers.is_ready[server] = state == ServerState.LIVE
            if servers.is_ready[server]:
                self._ready.add((zone, model), server)
            if state == ServerState.REMOVED:
                servers.forget(server, 0.0)
            elif started_at > servers.started_at[server]:
                servers.forget(server, started_at)
                # other nodes hear of it too: a random first credit keeps them from all sending at once
                servers.slow_start_credit[server] = self._state.rng.random()
        (self._selection.update if is_full else self._selection.update_soon)()

    def _list_failed(self) -> None:
        """Asks again after a random, growing backoff: a list service may fail under load."""
        settings = self._state.settings
        if settings.list_on_request:
            maximum = settings.list_max_age_s / 4  # a node is taken to know what is older than list_max_age_s
            self._list_backoff_s = min(maximum, max(maximum / 8, 2 * self._list_backoff_s))
            self._list_at = self._state.now + self._list_backoff_s * (0.5 + 0.5 * self._state.rng.random())

    # a request arrives

    def _arrived(
        self,
        number: int,
        class_number: int,
        time_left: float,
        tenant: int,
        is_repeated: bool,
        earlier: Sequence[EarlierAttempt] = (),
        work: float = 0.0,
    ) -> None:
        state = self._state
        request = self._new_request(number, class_number, time_left, tenant, is_repeated, work)
        state.requests[number] = request
        max_credit = 1.0 + RETRY_FRACTION * MIN_SAMPLES * 2
        self._retry_credit = min(self._retry_credit + RETRY_FRACTION, max_credit)
        self._add_earlier(request, earlier)
        if request.give_up_at <= state.now or (earlier and not self._may_repeat(request)):
            self._finish(request)
            return
        heappush(self._timers, (request.give_up_at, -number - 1, request))
        if not self._send(request):
            (self._finish if request.may_have_run else self._enqueue)(request)

    def _new_request(
        self,
        number: int,
        class_number: int,
        time_left: float,
        tenant: int,
        is_repeated: bool,
        work: float,
    ) -> Request:
        """The request with its times, value and share of the capacity."""
        settings, now, latencies = self._state.settings, self._state.now, self._state.latencies
        rules = settings.request_classes[class_number]
        elapsed = self._elapsed(class_number, time_left, is_repeated)
        deadline = now + time_left - 2 * settings.tick
        target = min(deadline, now + rules.target_latency - elapsed)
        value = rules.value
        if not settings.work_counts:
            value /= latencies.mean[class_number] or 1.0
        quota_tenant = self._quotas.take(tenant) if self._is_entry else tenant
        is_within_quota = quota_tenant == tenant
        value *= 1.0 if is_within_quota else settings.excess_value_factor
        if target <= now:
            value *= rules.late_value
        give_up_at = deadline if rules.late_value or not self._is_entry else max(target, now)
        request = Request(number, class_number, rules, target, give_up_at, value)
        request.relative_size = latencies.relative_size(class_number, work)
        request.quota_tenant = quota_tenant
        request.capacity_fraction = 1.0 if is_within_quota else EXCESS_CAPACITY_FRACTION
        if self._reports.reports_wait and rules.value < self._low_value:
            request.capacity_fraction *= EXCESS_CAPACITY_FRACTION**2
        return request

    def _add_earlier(self, request: Request, earlier: Sequence[EarlierAttempt]) -> None:
        """What a client sent before, when it repeats a request by itself, counts as attempts."""
        for server, sent_at, may_have_run in earlier:
            if may_have_run and not request.may_have_run:
                request.group = deduplication_group(request.rules, self.servers, server)
                request.first_sent_at = sent_at
            request.may_have_run += may_have_run
            request.servers.append(server)
            request.idle_steps.append(0)
            request.opened_connection.append(False)

    def _elapsed(self, class_number: int, time_left: float, is_repeated: bool) -> float:
        """How much of its target latency a request has used before it came here, as far as that shows.

        A first attempt has used none, however much time its client leaves it: clients differ in that, and
        one that leaves more than others must not make the others look late.
        """
        usual = self._usual_time_left
        if not self._is_entry:
            # a call from the tier above, which doesn't always pass on the client's deadline
            longest = usual[class_number] = max(usual[class_number], time_left)
            return longest - time_left
        if not is_repeated:
            usual[class_number] = time_left
            return 0.0
        is_shorter = time_left < (1.0 - HEDGE_MARGIN) * usual[class_number]
        return self._state.settings.request_classes[class_number].deadline - time_left if is_shorter else 0.0

    # attempts

    def _may_repeat(self, request: Request) -> bool:
        return may_repeat(request, self._state.settings, self._state.now)

    def _send(self, request: Request) -> bool:
        """Sends one attempt if there is capacity and a server for it."""
        limiter, selection = self._limiter, self._selection
        server = self._ejection.pick_for_trial(request)
        if server < 0:
            is_over_limit = limiter.in_flight >= limiter.capacity * request.capacity_fraction
            if not is_over_limit or selection.has_lightly_loaded():
                server = selection.pick(request, is_over_limit)
        if server < 0 and not selection.servers:
            server = selection.pick_last_resort(request)
        if server < 0:
            return False
        self._attempt(request, server)
        return True

    def _attempt(self, request: Request, server: int) -> None:
        state, servers, n = self._state, self.servers, len(request.servers)
        now, settings, rules = state.now, state.settings, request.rules
        if not request.may_have_run and not request.attempts_in_flight:
            request.group, request.first_sent_at = deduplication_group(rules, servers, server), now
        request.servers.append(server)
        request.attempts_in_flight.add(n)
        request.idle_steps.append(self._idle.step(self._close_idle(server)))
        opens_connection = not servers.spare_calls[server]
        request.opened_connection.append(opens_connection)
        servers.spare_calls[server] += (settings.calls_per_connection if opens_connection else 0) - 1
        servers.sent_at[server][request.number, n] = now
        servers.in_flight[server] += 1
        self._reports.note_sent(server)
        servers.slow_start_credit[server] -= 1.0
        self._limiter.in_flight += server in self._selection.weights
        state.writer.attempt(request.number, server, request.give_up_at - now)
        max_credit = 1.0 + HEDGE_FRACTION * MIN_SAMPLES * 2
        self._hedge_credit = min(self._hedge_credit + HEDGE_FRACTION, max_credit)
        if (
            n == 0
            and rules.value == self._hedged_value
            and rules.idempotency == Idempotency.IDEMPOTENT
            and settings.can_hedge
            and state.latencies.hedge_after_s < inf
        ):
            heappush(self._timers, (now + state.latencies.hedge_after_s, request.number, request))

    def _close_idle(self, server: int) -> float:
        """Closes connections idle for too long; returns how long the one now used was idle, in seconds."""
        servers, timeout_s = self.servers, self._state.settings.idle_timeout_s
        if servers.in_flight[server] or servers.used_at[server] == -inf:
            return 0.0
        idle_s = self._state.now - servers.used_at[server]
        if idle_s < min(self._idle.max_idle_s, timeout_s):
            return idle_s
        servers.spare_calls[server] = 0
        if idle_s < timeout_s:
            self._state.writer.close(server)
        return 0.0

    def _attempt_ended(
        self,
        number: int,
        n: int,
        server: int,
        outcome: Outcome,
        elapsed_s: float,
        is_finished: bool,
        report: Report | None,
    ) -> None:
        request = self._state.requests.get(number)
        if request is None or n not in request.attempts_in_flight:
            return
        request.attempts_in_flight.discard(n)
        servers = self.servers
        servers.in_flight[server] -= 1
        self._limiter.in_flight -= server in self._selection.weights
        servers.sent_at[server].pop((number, n), None)
        if report and outcome == Outcome.SERVED:
            self._reports.take_report(server, report, elapsed_s)
        self._recorder.record(request, n, server, outcome, elapsed_s)
        if outcome not in (Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT):
            request.may_have_run += 1
        if is_finished or outcome == Outcome.SERVED:
            self._close(request)
        elif not request.is_over and not request.attempts_in_flight and not request.is_queued:
            self._retry(request)
        if request.is_over and not request.attempts_in_flight:
            self._state.requests.pop(number, None)

    def _retry(self, request: Request) -> None:
        """Sends a request again that has no attempt in flight, or ends it."""
        is_late = self._state.now + self._state.settings.tick >= request.give_up_at
        # without the bound on retries they would add to an overload
        has_credit = not request.may_have_run or self._retry_credit >= 1.0
        if not self._may_repeat(request) or is_late or not has_credit:
            self._finish(request)
            return
        self._retry_credit -= 1.0 if request.may_have_run else 0.0
        if not self._send(request):
            (self._finish if request.may_have_run else self._enqueue)(request)

    def _answer_started(self, number: int, n: int, server: int) -> None:
        """A streamed answer belongs to the client from its first byte on: other attempts are cancelled."""
        request = self._state.requests.get(number)
        if request is not None and n in request.attempts_in_flight:
            self.servers.answered_at[server] = self._state.now
            self._close(request, n)

    def _client_left(self, number: int) -> None:
        request = self._state.requests.get(number)
        if request is not None and not request.is_over:
            self._close(request)

    def _close(self, request: Request, kept: int = -1) -> None:
        """Ends a request and cancels its attempts in flight but `kept`."""
        request.is_over = True
        for n in sorted(request.attempts_in_flight - {kept}):
            if self._state.settings.can_cancel:
                self._state.writer.cancel(request.number, n)
        if not request.attempts_in_flight:
            self._state.requests.pop(request.number, None)

    def _finish(self, request: Request) -> None:
        """Gives the final answer to a request for which no server has given one."""
        settings = self._state.settings
        if request.quota_tenant >= 0 and not request.servers:
            self._quotas.give_back(request.quota_tenant)
        if may_reject(request):
            retry_after_s = settings.max_retry_after_s if settings.can_advise_retry else 0.0
            target_latency = settings.request_classes[request.class_number].target_latency
            self._state.writer.reject(request.number, min(retry_after_s, target_latency))
        else:
            self._state.writer.fail(request.number)
        self._close(request)

    # the queue

    def _enqueue(self, request: Request) -> None:
        request.is_queued = True
        latencies = self._state.latencies
        mean_s = latencies.mean[request.class_number] * request.relative_size
        usual_s = mean_s * max(1.0, latencies.latest_median)
        self._queue.add(request.target - START_MARGIN * usual_s, request)
        # the cost of each request must not grow with all that wait
        if self._queue.added_since_shed * MAX_SCANS >= len(self._queue):
            self._shed_queue()

    def _shed_queue(self) -> None:
        """Rejects at once what can't all be served in time, the least valuable for its work first."""
        latencies = self._state.latencies
        if not self._recorder.served_rate or not self._is_entry or not self._queue:
            self._queue.added_since_shed = 0
            return
        mean = latencies.mean
        usual_s = sum(mean) / len(mean) or 1.0
        # the rate served of late may be low because little was asked for: the capacity allows at least this
        possible_rate = self._limiter.capacity / usual_s / max(1.0, latencies.latest_median)
        rate = max(self._recorder.served_rate, possible_rate)

        def work_s(request: Request) -> float:
            return (mean[request.class_number] or usual_s) * request.relative_size / usual_s / rate

        for request in self._queue.shed(self._state.now, work_s):
            request.is_queued = False
            self._finish(request)
            self._shed_at = self._state.now

    def _has_no_capacity(self, fraction: float = 1.0) -> bool:
        """Whether no request that may use this fraction of the capacity can be sent, not even as a trial."""
        selection, limiter = self._selection, self._limiter
        return (
            bool(selection.servers)
            and limiter.in_flight >= limiter.capacity * fraction
            and not self._trials.is_due()
            and not selection.has_lightly_loaded()
        )

    def _drain_queue(self) -> None:
        """Sends what waits while there is capacity: by due time, or by value while not all can be in time."""
        queue = self._queue
        if not queue or self._has_no_capacity():
            return
        is_excess_full, removed, has_trial = False, [], self._trials.is_due()
        is_long = len(queue) > MAX_SCANS
        is_by_value = self._state.now - self._shed_at < UPDATE_INTERVAL_S
        for *_, start_by, _, request in queue.by_value if is_by_value else queue.by_start:
            if is_excess_full and request.capacity_fraction < 1.0 and not request.is_over:
                continue
            if request.is_over or self._send(request):
                request.is_queued = False
                removed.append((start_by, request))
                continue
            # a tier that doesn't take an ordinary request takes no other: a long queue isn't gone through
            is_ordinary = not request.servers and request.capacity_fraction == 1.0
            if self._has_no_capacity() or (is_long and is_ordinary and not has_trial):
                break
            is_excess_full = is_excess_full or self._has_no_capacity(EXCESS_CAPACITY_FRACTION)
        for start_by, request in removed:
            queue.remove(start_by, request)

    # timers

    def _run_timers(self) -> None:
        timers = self._timers
        while timers and timers[0][0] <= self._due_by:
            moment, number, request = heappop(timers)
            if request.is_over:
                continue
            if number < 0:
                request.is_queued = False
                self._finish(request)
            else:
                self._hedge(request, moment)

    def _hedge(self, request: Request, due: float) -> None:
        """Sends the one hedge of a request to another server, if there are credit and capacity for it."""
        if request.is_hedged or len(request.attempts_in_flight) != 1 or not self._may_repeat(request):
            return
        state, latencies = self._state, self._state.latencies
        if state.now - due > latencies.hedge_after_s * HEDGE_MARGIN + state.settings.tick:
            # after a stall many timers are overdue together: they are spread out again
            again_at = state.now + latencies.hedge_after_s * state.rng.random()
            heappush(self._timers, (again_at, request.number, request))
            return
        if latencies.is_all_slow or self._hedge_credit < 1.0 or state.now >= request.target:
            return
        if self._limiter.in_flight < self._limiter.capacity:
            server = self._selection.pick(request)
            if server >= 0:
                request.is_hedged = True
                self._hedge_credit -= 1.0
                self._attempt(request, server)

    def _ask_to_wake(self) -> None:
        """Asks for the next call that is needed, unless one as early is already asked for."""
        timers, scans, now = self._timers, MAX_SCANS, self._state.now
        while timers and timers[0][2].is_over and scans:  # the rest in later batches
            heappop(timers)
            scans -= 1
        first_timer = timers[0][0] if timers else inf
        moment = min(first_timer, now if self._tick_parts else self._next_tick, self._list_at)
        if moment < self._wake_at:
            self._wake_at = moment
            self._state.writer.wake_at(max(moment, now + self._state.settings.tick))

    # periodic work

    def _tick(self) -> None:
        now, latencies = self._state.now, self._state.latencies
        # after a stall answers may lie unread, so no server is blamed for having sent none
        is_stalled = now - self._next_tick > TICK_INTERVAL_S / 2
        self._next_tick = now + TICK_INTERVAL_S
        latencies.tick(now)
        self._recorder.tick(TICK_INTERVAL_S)
        self._quotas.refill(TICK_INTERVAL_S)
        parts: list[Callable[[], None]] = []
        if now >= self._next_update:
            self._next_update = now + UPDATE_INTERVAL_S
            parts += [lambda: latencies.update(now), self._idle.update]
        if self._reports.is_probing:
            parts.append(self._reports.probe_next)
        if not is_stalled:
            parts.append(self._check_servers)
        parts += [self._refill_credit, self._update_limit, self._selection.update, self._shed_queue]
        if self._selection.subset_size > self._selection.max_servers_at_once and self._limiter.limit < inf:
            # One batch would take as long as the servers are many: each of the next batches, which come
            # within
            # some ticks, does a part. Not the first time, when there is no limit yet.
            self._tick_parts.extend(parts)
        else:
            for part in parts:
                part()

    def _refill_credit(self) -> None:
        self._slow_start.refill(self._trials.ejected + self._selection.servers, TICK_INTERVAL_S)

    def _update_limit(self) -> None:
        # congestion is thinned out by the calls to the tiers below
        tolerance = CONGESTION_TOLERANCE / self._state.tiers_from_here
        self._limiter.tick(TICK_INTERVAL_S, self._state.latencies.spread, tolerance, self._state.rng)

    def _check_servers(self) -> None:
        """Ejects servers that hang or are far too slow; what hangs there is sent elsewhere if it may be."""
        timeout_s = self._ejection.hang_timeout_s()
        for server in self._ejection.hanging_servers():
            self._ejection.eject_unless_many(server)
            if self.servers.ejected_until[server]:
                self._resend_hanging(server, timeout_s)
        for server in self._selection.slow_servers:
            self._ejection.eject_unless_many(server)

    def _resend_hanging(self, server: int, timeout_s: float) -> None:
        """Sends again, elsewhere, what has been in flight for long at a server that hangs."""
        for (number, _), sent_at in list(self.servers.sent_at[server].items()):
            request = self._state.requests.get(number)
            if request is None or request.is_over or len(request.attempts_in_flight) > 1:
                continue
            is_old = self._state.now - sent_at >= timeout_s / HANG_RATIO
            if is_old and self._retry_credit >= 1.0 and self._may_repeat(request) and self._send(request):
                self._retry_credit -= 1.0
