"""End of a request: its final answer and the cancellation of its attempts in flight. No I/O."""

from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.request import Request
from wheatroute.balancing.retry_rules import may_reject
from wheatroute.balancing.tenant_quotas import TenantQuotas


class FinalAnswers:
    """Ends requests: writes final answers and cancels attempts that are still in flight."""

    def __init__(self, state: BalancerState, quotas: TenantQuotas) -> None:
        self._state, self._quotas = state, quotas

    def finish(self, request: Request) -> None:
        """Rejects or fails a request that no server has answered, and closes it."""
        settings = self._state.settings
        if request.quota_tenant >= 0 and not request.servers:
            self._quotas.return_token(request.quota_tenant)
        if may_reject(request):
            retry_after_s = settings.max_retry_after_s if settings.can_advise_retry else 0.0
            target_latency = settings.request_classes[request.class_number].target_latency
            self._state.writer.reject(request.number, min(retry_after_s, target_latency))
        else:
            self._state.writer.fail(request.number)
        self.close(request)

    def close(self, request: Request, kept: int = -1) -> None:
        """Ends a request and cancels its attempts in flight except number `kept`; -1 keeps none."""
        request.is_over = True
        for n in sorted(request.attempts_in_flight - {kept}):
            if self._state.settings.can_cancel:
                self._state.writer.cancel(request.number, n)
        if not request.attempts_in_flight:
            self._state.requests.pop(request.number, None)
