"""Lifecycle of a request: arrival, ends of attempts, retries, disconnection of the client. No I/O."""

from collections.abc import Sequence
from heapq import heappush

from wheatroute.balancing.attempt_sender import AttemptSender
from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.final_answers import FinalAnswers
from wheatroute.balancing.interface import AttemptOutcome, EarlierAttempt, Report
from wheatroute.balancing.load_reports import LoadReports
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.outcome_recorder import OutcomeRecorder
from wheatroute.balancing.outlier_ejection import HANG_RATIO
from wheatroute.balancing.parameters import MIN_SAMPLES
from wheatroute.balancing.queue_management import QueueManager
from wheatroute.balancing.request import Request
from wheatroute.balancing.request_admission import RequestAdmission
from wheatroute.balancing.retry_rules import may_repeat
from wheatroute.balancing.server_subset import ServerSubset

# Retry budget: retries after an attempt that may have run, as a fraction of the requests that arrive.
RETRY_FRACTION = 0.1
# Cap of the retry credit: one retry plus those earned by 2 * MIN_SAMPLES requests; `hedging` caps its credit
# likewise. Without the cap, a long period without retries would allow a burst of them.
MAX_RETRY_CREDIT = 1.0 + RETRY_FRACTION * MIN_SAMPLES * 2


class RequestLifecycle:
    """Handles the events of requests: sends, queues, retries and ends them."""

    def __init__(
        self,
        state: BalancerState,
        limiter: ConcurrencyLimiter,
        reports: LoadReports,
        subset: ServerSubset,
        recorder: OutcomeRecorder,
        admission: RequestAdmission,
        sender: AttemptSender,
        queue: QueueManager,
        answers: FinalAnswers,
    ) -> None:
        self._state, self._limiter, self._reports, self._subset = state, limiter, reports, subset
        self._recorder, self._admission, self._sender = recorder, admission, sender
        self._queue, self._answers = queue, answers
        self._retry_credit = 1.0

    def arrived(
        self,
        number: int,
        class_number: int,
        time_left: float,
        tenant: int,
        is_repeated: bool,
        earlier: Sequence[EarlierAttempt] = (),
        work: float = 0.0,
    ) -> None:
        """Handles the arrival of a request: sends it, queues it, or ends it at once."""
        state = self._state
        request = self._admission.new_request(number, class_number, time_left, tenant, is_repeated, work)
        state.requests[number] = request
        self._retry_credit = min(self._retry_credit + RETRY_FRACTION, MAX_RETRY_CREDIT)
        self._admission.add_earlier(request, earlier)
        is_late = request.give_up_at <= state.now
        if is_late or (earlier and not may_repeat(request, state.settings, state.now)):
            self._answers.finish(request)
            return
        # A negative number distinguishes this timer from a hedge timer (`Balancer._run_timers`).
        heappush(state.timers, (request.give_up_at, -number - 1, request))
        if not self._sender.send(request):
            (self._answers.finish if request.may_have_run else self._queue.enqueue)(request)

    def attempt_ended(
        self,
        number: int,
        n: int,
        server: int,
        outcome: AttemptOutcome,
        elapsed_s: float,
        is_finished: bool,
        report: Report | None,
    ) -> None:
        """Records how an attempt ended, then ends its request, retries it or awaits its other attempts."""
        request = self._state.requests.get(number)
        if request is None or n not in request.attempts_in_flight:
            return
        request.attempts_in_flight.discard(n)
        servers = self._state.servers
        servers.in_flight[server] -= 1
        self._limiter.in_flight -= server in self._subset.weights
        servers.sent_at[server].pop((number, n), None)
        if report and outcome == AttemptOutcome.SERVED:
            self._reports.record_report(server, report, elapsed_s)
        self._recorder.record(request, n, server, outcome, elapsed_s)
        if outcome not in (AttemptOutcome.FULL, AttemptOutcome.UNCONNECTED, AttemptOutcome.MOOT):
            request.may_have_run += 1
        if is_finished or outcome == AttemptOutcome.SERVED:
            self._answers.close(request)
        elif not request.is_over and not request.attempts_in_flight and not request.is_queued:
            self._retry(request)
        if request.is_over and not request.attempts_in_flight:
            self._state.requests.pop(number, None)

    def _retry(self, request: Request) -> None:
        """Retries a request that has no attempt in flight, or ends it."""
        state = self._state
        is_late = state.now + state.settings.tick >= request.give_up_at
        # The retry budget keeps retries from adding to an overload.
        has_credit = not request.may_have_run or self._retry_credit >= 1.0
        if not may_repeat(request, state.settings, state.now) or is_late or not has_credit:
            self._answers.finish(request)
            return
        self._retry_credit -= 1.0 if request.may_have_run else 0.0
        if not self._sender.send(request):
            (self._answers.finish if request.may_have_run else self._queue.enqueue)(request)

    def resend_hanging(self, server: int, timeout_s: float) -> None:
        """Resends requests that have been in flight at a hanging server for at least the p95 latency.

        They are sent to other servers. `PeriodicTasks` calls this for each server that it ejects as hanging.
        `timeout_s` is the time without an answer after which a server counts as hanging; divided by
        `HANG_RATIO` it is the p95 latency.
        """
        state = self._state
        for (number, _), sent_at in list(state.servers.sent_at[server].items()):
            request = state.requests.get(number)
            if request is None or request.is_over or len(request.attempts_in_flight) > 1:
                continue
            if state.now - sent_at < timeout_s / HANG_RATIO or self._retry_credit < 1.0:
                continue
            if may_repeat(request, state.settings, state.now) and self._sender.send(request):
                self._retry_credit -= 1.0

    def answer_started(self, number: int, n: int, server: int) -> None:
        """Ends a request whose streamed answer has begun, and cancels its other attempts.

        The client has received the first byte of this answer, so no other answer can replace it.
        """
        request = self._state.requests.get(number)
        if request is not None and n in request.attempts_in_flight:
            self._state.servers.answered_at[server] = self._state.now
            self._answers.close(request, n)

    def client_left(self, number: int) -> None:
        """Ends a request without an answer, because its client no longer waits for it."""
        request = self._state.requests.get(number)
        if request is not None and not request.is_over:
            self._answers.close(request)
