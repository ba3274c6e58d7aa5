"""Counts the outcomes of a node's requests, by request class and tenant. No I/O.

The figures are sums since the node's start, so that a report that is lost or late loses nothing. A request is
counted once, when it has ended.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

import msgspec

from wheatroute.agreement.member_status import StoredStatus
from wheatroute.balancing.settings import RequestClass
from wheatroute.net.exchange import REJECTED_STATUS, Exchange
from wheatroute.rollout.figures import duration_bucket
from wheatroute.rollout.statuses import ClassOutcomes, RequestFigures

LOSS_DELAY_S = 0.3  # after its deadline a request without an answer counts as lost
SERVED_STATUS = 200


class RequestAccounting:
    """The accounting of one node. Request classes and tenants are the node's numbers by name."""

    def __init__(
        self,
        request_classes: Mapping[str, int],
        tenants: Mapping[str, int],
        class_settings: Sequence[RequestClass],
    ) -> None:
        self._lost = 0  # of clients that have gone since
        self._open: dict[int, float] = {}  # deadlines of requests that have not ended
        # by the numbers of class and tenant; without their names
        self._outcomes: dict[tuple[int, int], ClassOutcomes] = defaultdict(ClassOutcomes)
        self._durations: dict[int, Counter[int]] = defaultdict(Counter)  # by class: counts by bucket
        self.update_settings(request_classes, tenants, class_settings)

    def update_settings(
        self,
        request_classes: Mapping[str, int],
        tenants: Mapping[str, int],
        class_settings: Sequence[RequestClass],
    ) -> None:
        """Uses other settings from here on."""
        self._class_names = {number: name for name, number in request_classes.items()}
        self._tenant_names = {number: name for name, number in tenants.items()}
        self._class_settings = class_settings

    def request_accepted(self, exchange: Exchange) -> None:
        """A request is to be answered."""
        if not exchange.is_complete:
            self._open[exchange.number] = exchange.deadline

    def request_answered(self, exchange: Exchange, now: float) -> None:
        """A request has its answer."""
        self._open.pop(exchange.number, None)
        outcomes = self._outcomes[exchange.request_class, exchange.tenant]
        outcomes.ended += 1
        outcomes.more_attempts += len(exchange.attempts) > 1
        status = exchange.response.status if exchange.response is not None else 0
        if status == SERVED_STATUS:
            elapsed_s = now - exchange.deadline + exchange.time_left_s
            target_s = self._class_settings[exchange.request_class].target_latency
            outcomes.in_time += elapsed_s <= target_s
            self._durations[exchange.request_class][duration_bucket(elapsed_s)] += 1
        elif status == REJECTED_STATUS:
            outcomes.rejected += 1
        else:
            outcomes.failed += 1

    def request_rejected(self, exchange: Exchange) -> None:
        """A request was rejected for want of capacity before it was accepted."""
        outcomes = self._outcomes[exchange.request_class, exchange.tenant]
        outcomes.ended += 1
        outcomes.rejected += 1

    def client_left(self, exchange: Exchange, now: float) -> None:
        """The client of an open request has closed its connection; an overdue request counts as lost."""
        self._lost += now > exchange.deadline + LOSS_DELAY_S
        self._open.pop(exchange.number, None)
        outcomes = self._outcomes[exchange.request_class, exchange.tenant]
        outcomes.ended += 1
        outcomes.client_left += 1

    def figures(self, now: float) -> StoredStatus:
        """Returns the sums since the start, by the names of classes and tenants, as stored."""
        lost = self._lost + sum(now > deadline + LOSS_DELAY_S for deadline in self._open.values())
        outcomes = [
            msgspec.structs.replace(
                counts,
                request_class=self._class_name(request_class),
                tenant=self._tenant_names.get(tenant, ""),
            )
            for (request_class, tenant), counts in self._outcomes.items()
        ]
        durations = {
            self._class_name(request_class): dict(counts) for request_class, counts in self._durations.items()
        }
        values = {name: self._class_settings[number].value for number, name in self._class_names.items()}
        figures = RequestFigures(lost=lost, outcomes=outcomes, durations=durations, values=values)
        return figures.to_stored()

    def _class_name(self, request_class: int) -> str:
        return self._class_names.get(request_class, f"class {request_class}")
