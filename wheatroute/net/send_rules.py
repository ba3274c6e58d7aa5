"""Decides whether an attempt may still be sent: the last check before bytes are written to a server.

No I/O, except that the client's socket is checked for a disconnect.

Time passes between the decision to send an attempt and its bytes: its connection may have to be established,
and its server may read slowly. An attempt that is rejected here never ran.
"""

from collections.abc import Callable
from math import inf

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.net.clock import now
from wheatroute.net.exchange import Attempt, Exchange
from wheatroute.net.server_table import ServerTable

# An attempt to a server that is warming up is not sent if it was decided longer ago than this fraction of
# `DecisionSettings.overload_window_s`.
MAX_WARMUP_DECISION_AGE = 0.25


class SendRules:
    """Checks attempts before they are written.

    `on_client_gone` is called with an exchange whose client turns out to have disconnected.
    """

    def __init__(
        self, settings: DecisionSettings, servers: ServerTable, on_client_gone: Callable[[Exchange], None]
    ) -> None:
        self._servers = servers
        self._on_client_gone = on_client_gone
        self.update_settings(settings)

    def update_settings(self, settings: DecisionSettings) -> None:
        """Uses these settings and their request classes from now on."""
        self._settings, self._class_rules = settings, settings.request_classes

    def may_send(self, exchange: Exchange, attempt: Attempt) -> bool:
        """Returns whether an attempt may be written now.

        It may not if any of these holds:

        - the exchange is complete or past its deadline;
        - the attempt was withdrawn or has timed out;
        - the server's state, start time or address has changed since it was selected;
        - the server is warming up and was selected too long ago;
        - another attempt, which may have run, forbids a retry;
        - the client has disconnected.
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
        """Returns whether the attempt was decided too long ago for a server that is warming up.

        The server would receive it on top of all attempts decided since then, and fail under that load.
        """
        started_at = self._servers.started_at(attempt.server)
        if not started_at or now() >= started_at + self._settings.warmup_s:
            return False
        return 0.0 < MAX_WARMUP_DECISION_AGE * self._settings.overload_window_s < now() - attempt.sent_at

    def _is_forbidden(self, exchange: Exchange, attempt: Attempt) -> bool:
        """Returns whether another attempt that may have run forbids this one."""
        rules = self._class_rules[exchange.request_class]
        if rules.idempotency == Idempotency.IDEMPOTENT:
            return False
        sent_times = (
            other.sent_at for other in exchange.attempts if other.may_have_run and other is not attempt
        )
        first_sent_at = min(sent_times, default=inf)
        if rules.idempotency == Idempotency.NON_IDEMPOTENT:
            return first_sent_at < inf
        return now() >= first_sent_at + rules.retry_window - self._settings.tick

    def can_strand(self, exchange: Exchange) -> bool:
        """Returns whether its class's rules can forbid every further attempt once one may have run."""
        rules = self._class_rules[exchange.request_class]
        if rules.idempotency == Idempotency.KEYED:
            return rules.deduplication_group != DeduplicationGroup.ALL or rules.retry_window < rules.deadline
        return rules.idempotency == Idempotency.NON_IDEMPOTENT
