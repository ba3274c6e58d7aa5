"""Admission: the deadlines and value of a new request and the share of capacity that it may use. No I/O."""

from collections.abc import Sequence

from wheatroute.balancing.interface import EarlierAttempt
from wheatroute.balancing.load_reports import LoadReports
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.parameters import EXCESS_CAPACITY_FRACTION, HEDGE_MARGIN
from wheatroute.balancing.request import Request
from wheatroute.balancing.retry_rules import deduplication_group
from wheatroute.balancing.tenant_quotas import TenantQuotas


class RequestAdmission:
    """Creates the `Request` of each request that arrives."""

    def __init__(self, state: BalancerState, reports: LoadReports, quotas: TenantQuotas) -> None:
        self._state, self._reports, self._quotas = state, reports, quotas
        # Seconds by request class. At the entry tier: `time_left` of the last arrived request that isn't
        # repeated. At a tier below: the longest `time_left` of any request.
        self._typical_time_left: list[float] = []

    def apply_settings(self) -> None:
        """Derives whether this is the entry tier and which values are low; measurements are kept."""
        classes = self._state.settings.request_classes
        self._is_entry = self._state.settings.tier == 0
        self._typical_time_left += [0.0] * (len(classes) - len(self._typical_time_left))
        # If servers report their queues, all nodes see the same free capacity. Requests whose class has a
        # lower value than this bound may use only a small part of that capacity; otherwise they would fill it
        # and keep out more valuable requests.
        self._low_value_bound = (
            EXCESS_CAPACITY_FRACTION * sum(request_class.value for request_class in classes) / len(classes)
        )

    def new_request(
        self, number: int, class_number: int, time_left: float, tenant: int, is_repeated: bool, work: float
    ) -> Request:
        """Creates a request with its deadlines, its value and the fraction of capacity that it may use.

        `time_left` is in seconds; a `work` of 0 means that there is no hint.
        """
        settings, now, latencies = self._state.settings, self._state.now, self._state.latencies
        rules = settings.request_classes[class_number]
        elapsed = self._elapsed(class_number, time_left, is_repeated)
        deadline = now + time_left - 2 * settings.tick
        target = min(deadline, now + rules.target_latency - elapsed)
        value = rules.value
        if not settings.work_counts:
            value /= latencies.mean[class_number] or 1.0
        quota_tenant = self._quotas.take_token(tenant) if self._is_entry else tenant
        is_within_quota = quota_tenant == tenant
        value *= 1.0 if is_within_quota else settings.excess_value_factor
        if target <= now:
            value *= rules.late_value
        give_up_at = deadline if rules.late_value or not self._is_entry else max(target, now)
        request = Request(number, class_number, rules, target, give_up_at, value)
        request.relative_size = latencies.relative_size(class_number, work)
        request.quota_tenant = quota_tenant
        request.capacity_fraction = 1.0 if is_within_quota else EXCESS_CAPACITY_FRACTION
        if self._reports.reports_wait and rules.value < self._low_value_bound:
            request.capacity_fraction *= EXCESS_CAPACITY_FRACTION**2
        return request

    def add_earlier(self, request: Request, earlier: Sequence[EarlierAttempt]) -> None:
        """Adds the attempts that the client made earlier, for a client that retries requests itself."""
        for server, sent_at, may_have_run in earlier:
            if may_have_run and not request.may_have_run:
                request.group = deduplication_group(request.rules, self._state.servers, server)
                request.first_sent_at = sent_at
            request.may_have_run += may_have_run
            request.servers.append(server)
            request.idle_buckets.append(0)
            request.opened_connection.append(False)

    def _elapsed(self, class_number: int, time_left: float, is_repeated: bool) -> float:
        """Estimates the seconds that a request has used before its arrival here.

        At the entry tier, a request that isn't repeated has used none, whatever its `time_left`. Clients
        differ in their timeouts, and a client with a longer timeout must not make the requests of the others
        look late.
        """
        typical = self._typical_time_left
        if not self._is_entry:
            # This is a call from the tier above, which doesn't always pass on the client's deadline.
            longest = typical[class_number] = max(typical[class_number], time_left)
            return longest - time_left
        if not is_repeated:
            typical[class_number] = time_left
            return 0.0
        is_shorter = time_left < (1.0 - HEDGE_MARGIN) * typical[class_number]
        return self._state.settings.request_classes[class_number].deadline - time_left if is_shorter else 0.0
