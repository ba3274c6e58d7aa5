"""Whether an attempt may still be sent: the last check before bytes go to a server.

No I/O, besides a look at the socket of the client.

Between the decision for an attempt and its first byte time passes: its connection is established, or its
server reads slowly. An attempt that is rejected here never ran.
"""

from collections.abc import Callable
from math import inf

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.net.clock import now
from wheatroute.net.exchange import Attempt, Exchange
from wheatroute.net.server_table import ServerTable

# Fraction of `DecisionSettings.overload_window_s`: a server that is warming up is not sent what was decided
# longer ago.
MAX_WARMUP_DECISION_AGE = 0.25


class SendRules:
    """The rules for sending attempts; `on_client_gone` is called for an exchange whose client has gone."""

    def __init__(
        self, settings: DecisionSettings, servers: ServerTable, on_client_gone: Callable[[Exchange], None]
    ) -> None:
        self._servers = servers
        self._on_client_gone = on_client_gone
        self.update_settings(settings)

    def update_settings(self, settings: DecisionSettings) -> None:
        """Puts other settings in force."""
        self._settings, self._class_rules = settings, settings.request_classes

    def may_send(self, exchange: Exchange, attempt: Attempt) -> bool:
        """Whether an attempt may be written now.

        It may not once the exchange is complete or past its deadline, the attempt is withdrawn or out of
        time, the server has changed its state, start or address, a server that is warming up was selected
        long ago, another attempt forbids it, or the client has gone.
        """
        if exchange.is_complete or attempt.is_withdrawn or attempt.scope.cancel_called:
            return False
        if now() >= exchange.deadline:
            return False
        if self._servers.generation(attempt.server) != attempt.server_generation:
            return False
        if self._is_stale_for_warmup(attempt):
            return False
        if len(exchange.attempts) > 1 and self._is_forbidden(exchange, attempt):
            return False
        if exchange.is_client_gone is not None and exchange.is_client_gone():
            self._on_client_gone(exchange)
            return False
        return True

    def _is_stale_for_warmup(self, attempt: Attempt) -> bool:
        """Whether it was decided too long ago for a server that is warming up.

        The server would get it in addition to what was decided since, and fail under that.
        """
        started_at = self._servers.started_at(attempt.server)
        if not started_at or now() >= started_at + self._settings.warmup_s:
            return False
        return 0.0 < MAX_WARMUP_DECISION_AGE * self._settings.overload_window_s < now() - attempt.sent_at

    def _is_forbidden(self, exchange: Exchange, attempt: Attempt) -> bool:
        """Whether another attempt that may have run forbids this one."""
        rules = self._class_rules[exchange.request_class]
        if rules.idempotency == Idempotency.IDEMPOTENT:
            return False
        others = (one.sent_at for one in exchange.attempts if one.may_have_run and one is not attempt)
        first_sent_at = min(others, default=inf)
        if rules.idempotency == Idempotency.NON_IDEMPOTENT:
            return first_sent_at < inf
        return now() >= first_sent_at + rules.retry_window - self._settings.tick

    def can_strand(self, exchange: Exchange) -> bool:
        """Whether an attempt that may have run can leave the exchange without any attempt that is allowed."""
        rules = self._class_rules[exchange.request_class]
        if rules.idempotency == Idempotency.KEYED:
            return rules.deduplication_group != DeduplicationGroup.ALL or rules.retry_window < rules.deadline
        return rules.idempotency == Idempotency.NON_IDEMPOTENT
