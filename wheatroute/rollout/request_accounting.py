"""Counts the outcomes of a node's requests, by request class and tenant. No I/O.

The figures are sums since the node's start, so that a report that is lost or late loses nothing. A request is
counted once, when it has ended.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import Any

from wheatroute.balancing.settings import RequestClass
from wheatroute.net.exchange import REJECTED_STATUS, Exchange
from wheatroute.rollout.figures import (
    ENDED,
    FAILED,
    FIGURES_FORMAT,
    IN_TIME,
    LEFT,
    MORE_ATTEMPTS,
    OUTCOME_COUNT,
    REJECTED,
    duration_bucket,
)

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
        self._cells: dict[tuple[int, int], list[int]] = defaultdict(lambda: [0] * OUTCOME_COUNT)
        self._durations: dict[int, Counter[int]] = defaultdict(Counter)  # by class: counts by bucket
        self.update_settings(request_classes, tenants, class_settings)

    def update_settings(
        self,
        request_classes: Mapping[str, int],
        tenants: Mapping[str, int],
        class_settings: Sequence[RequestClass],
    ) -> None:
        """Use other settings from here on."""
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
        cell = self._cells[exchange.request_class, exchange.tenant]
        cell[ENDED] += 1
        cell[MORE_ATTEMPTS] += len(exchange.attempts) > 1
        status = exchange.response.status if exchange.response is not None else 0
        if status == SERVED_STATUS:
            elapsed_s = now - exchange.deadline + exchange.time_left_s
            target_s = self._class_settings[exchange.request_class].target_latency
            cell[IN_TIME] += elapsed_s <= target_s
            self._durations[exchange.request_class][duration_bucket(elapsed_s)] += 1
        else:
            cell[REJECTED if status == REJECTED_STATUS else FAILED] += 1

    def request_rejected(self, exchange: Exchange) -> None:
        """A request was rejected for want of capacity before it was accepted."""
        cell = self._cells[exchange.request_class, exchange.tenant]
        cell[ENDED] += 1
        cell[REJECTED] += 1

    def client_left(self, exchange: Exchange, now: float) -> None:
        """The client of an open request has closed its connection; an overdue request counts as lost."""
        self._lost += now > exchange.deadline + LOSS_DELAY_S
        self._open.pop(exchange.number, None)
        cell = self._cells[exchange.request_class, exchange.tenant]
        cell[ENDED] += 1
        cell[LEFT] += 1

    def figures(self, now: float) -> dict[str, Any]:
        """Return the sums since the start, by the names of classes and tenants, as stored."""
        lost = self._lost + sum(now > deadline + LOSS_DELAY_S for deadline in self._open.values())
        cells = [
            [self._class_name(request_class), self._tenant_names.get(tenant, ""), *counts]
            for (request_class, tenant), counts in self._cells.items()
        ]
        durations = {
            self._class_name(request_class): {str(bucket): count for bucket, count in counts.items()}
            for request_class, counts in self._durations.items()
        }
        worth = {name: self._class_settings[number].value for number, name in self._class_names.items()}
        return {"format": FIGURES_FORMAT, "lost": lost, "cells": cells, "times": durations, "worth": worth}

    def _class_name(self, request_class: int) -> str:
        return self._class_names.get(request_class, f"class {request_class}")
