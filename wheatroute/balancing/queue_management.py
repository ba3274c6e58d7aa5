"""Sends queued requests when there is capacity, and sheds those that can't be in time. No I/O."""

from math import inf

from wheatroute.balancing.attempt_sender import AttemptSender
from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.final_answers import FinalAnswers
from wheatroute.balancing.half_open_trials import HalfOpenTrials
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.outcome_recorder import OutcomeRecorder
from wheatroute.balancing.parameters import EXCESS_CAPACITY_FRACTION, MAX_SCANS, UPDATE_INTERVAL_S
from wheatroute.balancing.request import Request
from wheatroute.balancing.request_queue import RequestQueue
from wheatroute.balancing.server_selection import ServerSelection
from wheatroute.balancing.server_subset import ServerSubset

START_MARGIN = 1.25  # how long before its target a queued request must start, in expected latencies


class QueueManager:
    """Queues requests that find no capacity; sends them later, or sheds those that can't be in time."""

    def __init__(
        self,
        state: BalancerState,
        limiter: ConcurrencyLimiter,
        subset: ServerSubset,
        selection: ServerSelection,
        trials: HalfOpenTrials,
        recorder: OutcomeRecorder,
        sender: AttemptSender,
        answers: FinalAnswers,
    ) -> None:
        self._state, self._limiter, self._trials = state, limiter, trials
        self._subset, self._selection = subset, selection
        self._recorder, self._sender, self._answers = recorder, sender, answers
        self._queue = RequestQueue()
        self._shed_at = -inf  # when requests were last shed

    def enqueue(self, request: Request) -> None:
        """Queues a request until there is capacity for it."""
        request.is_queued = True
        latencies = self._state.latencies
        mean_s = latencies.mean[request.class_number] * request.relative_size
        expected_s = mean_s * max(1.0, latencies.latest_median)
        self._queue.add(request.target - START_MARGIN * expected_s, request)
        # Shedding goes through the whole queue, so it is done only when 1 / MAX_SCANS of the queue was added
        # since it was last done. Otherwise the cost of each request would grow with the length of the queue.
        if self._queue.added_since_shed * MAX_SCANS >= len(self._queue):
            self.shed()

    def shed(self) -> None:
        """Rejects the requests that can't be served in time; see `RequestQueue.shed`.

        Only nodes of the entry tier (`tier` 0) shed, once they have measured a served rate.
        """
        latencies = self._state.latencies
        if not self._recorder.served_rate or self._state.settings.tier or not self._queue:
            self._queue.added_since_shed = 0
            return
        mean = latencies.mean
        mean_latency_s = sum(mean) / len(mean) or 1.0
        # The recent served rate may be low only because demand was low. So if the capacity allows a higher
        # rate, that one is used.
        possible_rate = self._limiter.capacity / mean_latency_s / max(1.0, latencies.latest_median)
        rate = max(self._recorder.served_rate, possible_rate)

        def work_s(request: Request) -> float:
            return (
                (mean[request.class_number] or mean_latency_s) * request.relative_size / mean_latency_s / rate
            )

        for request in self._queue.shed(self._state.now, work_s):
            request.is_queued = False
            self._answers.finish(request)
            self._shed_at = self._state.now

    def _has_no_capacity(self, fraction: float = 1.0) -> bool:
        """Returns whether requests limited to this fraction of the capacity must wait.

        That is if the fraction is in use, no half-open trial is due, and no server is lightly loaded.
        """
        limiter = self._limiter
        return (
            bool(self._subset.servers)
            and limiter.in_flight >= limiter.capacity * fraction
            and not self._trials.is_due()
            and not self._selection.has_lightly_loaded()
        )

    def drain(self) -> None:
        """Sends queued requests while there is capacity.

        Requests are sent in the order of their latest start or, for `UPDATE_INTERVAL_S` after any were shed,
        in the order of their value.
        """
        queue = self._queue
        if not queue or self._has_no_capacity():
            return
        is_excess_full, removed, has_trial = False, [], self._trials.is_due()
        is_long = len(queue) > MAX_SCANS
        is_by_value = self._state.now - self._shed_at < UPDATE_INTERVAL_S
        for *_, start_by, _, request in queue.by_value if is_by_value else queue.by_start:
            if is_excess_full and request.capacity_fraction < 1.0 and not request.is_over:
                continue
            if request.is_over or self._sender.send(request):
                request.is_queued = False
                removed.append((start_by, request))
                continue
            # If a request that may go to any server and use all capacity can't be sent, no other can either,
            # so a long queue isn't searched further.
            is_ordinary = not request.servers and request.capacity_fraction == 1.0
            if self._has_no_capacity() or (is_long and is_ordinary and not has_trial):
                break
            is_excess_full = is_excess_full or self._has_no_capacity(EXCESS_CAPACITY_FRACTION)
        for start_by, request in removed:
            queue.remove(start_by, request)
