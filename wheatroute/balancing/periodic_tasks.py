"""Runs the periodic work of the components, every `TICK_INTERVAL_S`. No I/O, no decisions."""

from collections import deque
from collections.abc import Callable
from math import inf

from wheatroute.balancing.components import Components
from wheatroute.balancing.concurrency_limit import CONGESTION_TOLERANCE
from wheatroute.balancing.parameters import TICK_INTERVAL_S, UPDATE_INTERVAL_S


class PeriodicTasks:
    """Runs the tasks of each tick at once or, with many servers, spread over several batches."""

    def __init__(self, components: Components) -> None:
        self._components = components
        self.pending = deque[Callable[[], None]]()  # remaining tasks of a tick with many servers
        self.next_tick = self._next_update = -inf

    def run(self, due_by: float, is_idle: bool) -> None:
        """Starts a tick or runs one pending task of the current tick.

        A pending task runs if the batch has no events other than timers (`is_idle`), or if the next tick is
        near. `due_by` is the present time plus the tolerance of `Balancer.handle_events`.
        """
        if not self.pending:
            self._start_tick()
        elif is_idle or due_by >= self.next_tick - TICK_INTERVAL_S / 2:
            self.pending.popleft()()

    def _start_tick(self) -> None:
        components, subset = self._components, self._components.subset
        now = components.state.now
        # After a stall of this node, answers that have arrived may still be unread. No server is checked
        # then, so that none is ejected for missing answers.
        is_stalled = now - self.next_tick > TICK_INTERVAL_S / 2
        self.next_tick = now + TICK_INTERVAL_S
        components.state.latencies.update_latest_median(now)
        components.recorder.update_served_rate(TICK_INTERVAL_S)
        components.quotas.refill(TICK_INTERVAL_S)
        tasks = self._tasks(now, is_stalled)
        if subset.size > subset.max_servers_at_once and components.limiter.limit < inf:
            # The tasks take longer with more servers, so each of the next batches runs one task. These
            # batches follow within a few steps of the clock. The first tick runs all tasks at once, because
            # the concurrency limit isn't set yet.
            self.pending.extend(tasks)
        else:
            for task in tasks:
                task()

    def _tasks(self, now: float, is_stalled: bool) -> list[Callable[[], None]]:
        """Returns the tasks of a tick, in order."""
        components = self._components
        tasks: list[Callable[[], None]] = []
        if now >= self._next_update:
            self._next_update = now + UPDATE_INTERVAL_S
            tasks += [lambda: components.state.latencies.update(now), components.idle.update]
        if components.reports.is_probing:
            tasks.append(components.reports.probe_next)
        if not is_stalled:
            tasks.append(self._check_servers)
        tasks += [self._refill_credit, self._update_limit, components.subset.update, components.queue.shed]
        return tasks

    def _check_servers(self) -> None:
        """Ejects servers that hang or are far too slow, and resends hanging requests where allowed."""
        components, timeout_s = self._components, self._components.ejection.hang_timeout_s()
        for server in components.ejection.eject_hanging():
            components.lifecycle.resend_hanging(server, timeout_s)
        components.ejection.eject_slow()

    def _refill_credit(self) -> None:
        components = self._components
        components.slow_start.refill(components.trials.ejected + components.subset.servers, TICK_INTERVAL_S)

    def _update_limit(self) -> None:
        limiter, state = self._components.limiter, self._components.state
        # Part of the time in flight is spent in the tiers below, so congestion of this tier raises it by a
        # smaller fraction. The tolerance is therefore smaller.
        tolerance = CONGESTION_TOLERANCE / state.tiers_from_here
        limiter.update(TICK_INTERVAL_S, state.latencies.spread, tolerance, state.rng)
