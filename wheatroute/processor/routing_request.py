"""Reads a request from the headers that a proxy sends. No I/O.

The settings file assigns meanings to header names. Ambiguous input is rejected with a reason: two headers
with the same meaning, or a value that can't be parsed.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping, Sequence
from enum import IntEnum
from http import HTTPStatus
from typing import NamedTuple

from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import RequestClass
from wheatroute.config.processor import HeaderNames
from wheatroute.net.exchange import parse_work_hint
from wheatroute.wire_names import numbers_by_header_value

# An attempt number with more digits is ignored as implausible.
MAX_ATTEMPT_DIGITS = 6
NO_TENANT = -1
_TIMEOUT = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)([HMSmun]?)\Z")
# Units of gRPC's grpc-timeout, in seconds; a number without a unit is in milliseconds.
_TIMEOUT_UNITS_S = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9, "": 1e-3}


class InvalidRequestError(Exception):
    """The headers don't describe a valid request; holds the HTTP status and reason to respond with."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class HeaderMeaning(IntEnum):
    """The meaning of a request header."""

    PATH = 0
    METHOD = 1
    REQUEST_ID = 2
    TIMEOUT = 3
    TENANT = 4
    IDEMPOTENCY_KEY = 5
    ATTEMPT_NUMBER = 6
    CLIENT_RETRY = 7
    WORK_HINT = 8


class RoutingRequest(NamedTuple):
    """A request for which a server must be chosen; request class and tenant are numbers."""

    request_id: bytes
    request_class: int
    time_left_s: float
    # `NO_TENANT` if the request names no tenant or an unknown one.
    tenant: int
    is_client_retry: bool
    # 1 for the first attempt; 1 as well if the proxy sends no valid number.
    attempt_number: int
    # Cost of the request by its hint; 0 without a valid hint.
    work_hint: float = 0.0


def parse_timeout(text: str) -> float:
    """Returns a timeout in seconds; raises `InvalidRequestError`."""
    match = _TIMEOUT.match(text.strip())
    if match is None:
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "no usable time-out")
    return float(match[1]) * _TIMEOUT_UNITS_S[match[2]]


class RequestReader:
    """Reads requests from headers.

    `match_order` lists the numbers of request classes in the order in which they are matched.
    `strict_variants` maps each class that used to accept requests without an idempotency key to its strict
    variant, which is assigned to requests without a key.
    """

    def __init__(
        self,
        headers: HeaderNames,
        request_classes: Sequence[RequestClass],
        tenants: Mapping[str, int],
        match_order: Sequence[int] | None = None,
        strict_variants: Mapping[int, int] | None = None,
    ) -> None:
        self._meanings = _meanings(headers)
        self._request_classes = request_classes
        self._tenants = numbers_by_header_value(tenants)
        self._match_order = range(len(request_classes)) if match_order is None else match_order
        self._strict_variants = strict_variants or {}

    def read(self, headers: Iterable[tuple[str, bytes]]) -> RoutingRequest:
        """Returns the request that the headers describe; raises `InvalidRequestError`."""
        values = self._values(headers)
        request_class = self._match(values.get(HeaderMeaning.PATH, ""), values.get(HeaderMeaning.METHOD, ""))
        if not values.get(HeaderMeaning.REQUEST_ID):
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "no request id")
        if not values.get(HeaderMeaning.IDEMPOTENCY_KEY):
            request_class = self._without_key(request_class)
        time_left_s = self._request_classes[request_class].deadline
        if HeaderMeaning.TIMEOUT in values:
            time_left_s = min(time_left_s, parse_timeout(values[HeaderMeaning.TIMEOUT]))
        tenant = values.get(HeaderMeaning.TENANT, "").encode("latin-1")
        return RoutingRequest(
            request_id=values[HeaderMeaning.REQUEST_ID].encode("latin-1"),
            request_class=request_class,
            time_left_s=time_left_s,
            tenant=self._tenants.get(tenant, NO_TENANT),
            is_client_retry=values.get(HeaderMeaning.CLIENT_RETRY) == "1",
            attempt_number=_parse_attempt_number(values.get(HeaderMeaning.ATTEMPT_NUMBER, "")),
            work_hint=parse_work_hint(values.get(HeaderMeaning.WORK_HINT, "")),
        )

    def _values(self, headers: Iterable[tuple[str, bytes]]) -> dict[HeaderMeaning, str]:
        meanings = self._meanings
        values: dict[HeaderMeaning, str] = {}
        for name, value in headers:
            meaning = meanings.get(name)
            if meaning is None:
                continue
            if meaning in values:
                raise InvalidRequestError(HTTPStatus.BAD_REQUEST, f"{name} twice")
            values[meaning] = value.decode("latin-1")
        return values

    def _match(self, path: str, method: str) -> int:
        path = path.split("?", 1)[0]
        for number in self._match_order:
            request_class = self._request_classes[number]
            if request_class.methods and method not in request_class.methods:
                continue
            if any(_is_below(path, prefix) for prefix in request_class.paths):
                return number
        raise InvalidRequestError(HTTPStatus.NOT_FOUND, "no such request class")

    def _without_key(self, request_class: int) -> int:
        """Returns the class of a request without an idempotency key; raises `InvalidRequestError`."""
        if self._request_classes[request_class].idempotency != Idempotency.KEYED:
            return request_class
        if request_class not in self._strict_variants:
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "no key, which this request class needs")
        return self._strict_variants[request_class]


def _meanings(headers: HeaderNames) -> dict[str, HeaderMeaning]:
    """Returns the meanings of headers by their names in lower case."""
    names = {
        HeaderMeaning.REQUEST_ID: headers.request_id,
        HeaderMeaning.TIMEOUT: headers.timeout,
        HeaderMeaning.TENANT: headers.tenant,
        HeaderMeaning.IDEMPOTENCY_KEY: headers.idempotency_key,
        HeaderMeaning.ATTEMPT_NUMBER: headers.attempt_number,
        HeaderMeaning.CLIENT_RETRY: headers.client_retry,
        HeaderMeaning.WORK_HINT: headers.work_hint,
    }
    meanings = {name.lower(): meaning for meaning, name in names.items() if name}
    return meanings | {":path": HeaderMeaning.PATH, ":method": HeaderMeaning.METHOD}


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def _parse_attempt_number(text: str) -> int:
    return int(text) if text.isdigit() and len(text) <= MAX_ATTEMPT_DIGITS else 1
