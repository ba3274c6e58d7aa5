"""Counts the outcomes of a node's requests, by request class and tenant. No I/O.

The counts are totals since the node's start, so that no request is missed when a report is lost or late. Each
request is counted once, when it has ended.
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

# A request without a response counts as lost this long after its deadline.
LOSS_DELAY_S = 0.3
SERVED_STATUS = 200


class RequestAccounting:
    """Counts the requests of one node by outcome and by duration.

    `request_classes` and `tenants` map names to the numbers that the node uses; `class_settings` is indexed
    by the number of the class.
    """

    def __init__(
        self,
        request_classes: Mapping[str, int],
        tenants: Mapping[str, int],
        class_settings: Sequence[RequestClass],
    ) -> None:
        # Lost requests whose clients have closed their connections.
        self._lost = 0
        # Deadlines of the requests that have not ended, by request number; times are those of `net.clock`.
        self._open: dict[int, float] = {}
        # Outcomes by the numbers of class and tenant; the names in them are not set.
        self._outcomes: dict[tuple[int, int], ClassOutcomes] = defaultdict(ClassOutcomes)
        # Number of served requests by class number and bucket of duration.
        self._durations: dict[int, Counter[int]] = defaultdict(Counter)
        self.update_settings(request_classes, tenants, class_settings)

    def update_settings(
        self,
        request_classes: Mapping[str, int],
        tenants: Mapping[str, int],
        class_settings: Sequence[RequestClass],
    ) -> None:
        """Replaces the settings; the counts are kept."""
        self._class_names = {number: name for name, number in request_classes.items()}
        self._tenant_names = {number: name for name, number in tenants.items()}
        self._class_settings = class_settings

    def request_accepted(self, exchange: Exchange) -> None:
        """Records that a request was accepted.

        It counts as lost if it is still open `LOSS_DELAY_S` after its deadline.
        """
        if not exchange.is_complete:
            self._open[exchange.number] = exchange.deadline

    def request_answered(self, exchange: Exchange, now: float) -> None:
        """Counts a request that has its response; `now` is a time of `net.clock`, like its deadline."""
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
        """Counts a request that was rejected for lack of capacity before it was accepted."""
        outcomes = self._outcomes[exchange.request_class, exchange.tenant]
        outcomes.ended += 1
        outcomes.rejected += 1

    def client_left(self, exchange: Exchange, now: float) -> None:
        """Counts an open request whose client has closed its connection; if it is overdue, also as lost."""
        self._lost += now > exchange.deadline + LOSS_DELAY_S
        self._open.pop(exchange.number, None)
        outcomes = self._outcomes[exchange.request_class, exchange.tenant]
        outcomes.ended += 1
        outcomes.client_left += 1

    def figures(self, now: float) -> StoredStatus:
        """Returns the totals since the start, by the names of classes and tenants, as they are stored."""
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
