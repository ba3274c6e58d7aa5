"""Parses a client's message into an exchange according to the current settings. No I/O.

Remembers recent request ids. Invariants: no request id is accepted twice while it is remembered, and a
request whose class allows retries is accepted only with what makes them safe (the method GET, or an
idempotency key).
"""

import re
from collections import deque
from collections.abc import Mapping, Sequence

import h11
import trio

from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import RequestClass
from wheatroute.net.connection import MalformedError
from wheatroute.net.exchange import Exchange, parse_work_hint
from wheatroute.wire_names import numbers_by_header_value, numbers_by_path_segment

# How long a request id is remembered, as a multiple of the longest deadline.
REQUEST_ID_MEMORY_DEADLINES = 2.0
# Headers that may occur only once in a request.
SINGLE_HEADERS = (b"request-id", b"idempotency-key", b"request-timeout", b"tenant")
_TIMEOUT = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])\Z")
_UNITS_PER_SECOND = {b"m": 1e3, b"u": 1e6}

# The form of a request is its method and whether it has an idempotency key. A form is represented by the
# idempotency that requires it. For each request class whose form is changing, this maps its number to the
# other forms that are accepted, and to the number of the class that requests enter if they need strict rules.
AlternativeForms = dict[int, tuple[frozenset[Idempotency], int]]


def parse_timeout(text: bytes) -> float:
    """Parses a Request-Timeout ("480m", "1500u") into seconds; raises MalformedError."""
    found = _TIMEOUT.match(text)
    if found is None:
        raise MalformedError(400, "no usable Request-Timeout")
    return float(found[1]) / _UNITS_PER_SECOND[found[2]]


class RequestParser:
    """Parses requests by their request classes and tenants, and rejects ids that were used before.

    `request_classes` and `tenants` map names to numbers; `class_rules` has the rules of each class at its
    number. `work_header` is the lower-case name of the header with the work hint, empty for none.
    """

    def __init__(
        self,
        request_classes: Mapping[str, int],
        tenants: Mapping[str, int],
        class_rules: Sequence[RequestClass],
        work_header: bytes,
    ) -> None:
        self._request_classes = numbers_by_path_segment(request_classes)
        self._tenants = numbers_by_header_value(tenants)
        self._work_header = work_header
        self._class_rules = class_rules
        self.max_deadline_s = max(rules.deadline for rules in class_rules) or 1.0
        self._other_forms: AlternativeForms = {}
        self._request_ids: set[bytes] = set()
        self._request_id_expiries: deque[tuple[float, bytes]] = deque()

    def update_settings(
        self,
        request_classes: Mapping[str, int],
        tenants: Mapping[str, int],
        class_rules: Sequence[RequestClass],
        other_forms: AlternativeForms,
    ) -> None:
        """Uses these settings from now on.

        The form that a class requires follows from its idempotency. Clients may learn of a change earlier or
        later than this node, so while a class changes, its requests are also accepted in the forms that
        `other_forms` lists for it.
        """
        self._request_classes = numbers_by_path_segment(request_classes)
        self._tenants = numbers_by_header_value(tenants)
        self._other_forms = other_forms
        self._class_rules = class_rules
        # Never decreases, so that ids expire in the order in which they were accepted: each id is remembered
        # by the longest deadline that applied when it was accepted.
        self.max_deadline_s = max(self.max_deadline_s, *(rules.deadline for rules in class_rules))

    def parse(
        self, request: h11.Request, path: bytes, body: bytes, lag_s: float, answer_by: float
    ) -> Exchange:
        """Returns an exchange for a client's request; raises MalformedError with the status to answer.

        `lag_s` is the longest time for which the message may have been waiting unread, `answer_by` the time
        on trio's clock by which the node must have answered.
        """
        request_class = self._request_classes.get(path.lstrip(b"/").split(b"/", 1)[0])
        if request_class is None:
            raise MalformedError(404, "no such request class")
        headers = dict(request.headers)
        if any(sum(name == single for name, _ in request.headers) > 1 for single in SINGLE_HEADERS):
            raise MalformedError(400, "a header twice that means one thing")
        request_id = headers.get(b"request-id", b"")
        idempotency_key = headers.get(b"idempotency-key", b"")
        idempotency = self._class_rules[request_class].idempotency
        if self._other_forms:
            request_class, idempotency = self._match_form(
                request_class, idempotency, request.method, bool(idempotency_key)
            )
        self._check_form(idempotency, request.method, request_id, idempotency_key, body)
        exchange = Exchange(request.method, request.target, request_id, idempotency_key, body)
        exchange.request_class = request_class
        time_left_s = parse_timeout(headers.get(b"request-timeout", b"")) - lag_s
        exchange.time_left_s = max(0.0, min(time_left_s, answer_by - trio.current_time()))
        exchange.tenant = self._tenants.get(headers.get(b"tenant", b""), -1)
        exchange.is_client_retry = headers.get(b"client-retry", b"").strip() == b"1"
        if self._work_header:
            exchange.work_hint = parse_work_hint(headers.get(self._work_header, b""))
        self._remember(request_id)
        return exchange

    @staticmethod
    def _check_form(
        idempotency: Idempotency, method: bytes, request_id: bytes, idempotency_key: bytes, body: bytes
    ) -> None:
        """Raises MalformedError unless a request has the form that its class requires."""
        if method != (b"GET" if idempotency == Idempotency.IDEMPOTENT else b"POST"):
            raise MalformedError(405, "not the method of this request class")
        if body and idempotency == Idempotency.IDEMPOTENT:
            raise MalformedError(400, "a body that this request class has not")
        if not request_id:
            raise MalformedError(400, "no Request-Id")
        if bool(idempotency_key) != (idempotency == Idempotency.KEYED):
            raise MalformedError(400, "Idempotency-Key does not suit this request class")

    def _match_form(
        self, request_class: int, idempotency: Idempotency, method: bytes, has_key: bool
    ) -> tuple[int, Idempotency]:
        """Returns the class and idempotency by which a request is handled, such that every retry is safe."""
        if method == b"GET":
            form = Idempotency.IDEMPOTENT
        else:
            form = Idempotency.KEYED if has_key else Idempotency.NON_IDEMPOTENT
        forms, strict_class = self._other_forms.get(request_class, (frozenset(), request_class))
        if form == idempotency or form not in forms:
            return request_class, idempotency
        # The rules of the class apply unless they require a key that the request lacks, or are less strict
        # than the form of the request.
        needs_strict = idempotency == Idempotency.KEYED or form == Idempotency.NON_IDEMPOTENT
        return (strict_class if needs_strict else request_class), form

    def _remember(self, request_id: bytes) -> None:
        """Remembers a request id; raises MalformedError if it is known already.

        A server would take the request for a retry of the earlier one.
        """
        moment = trio.current_time()
        while self._request_id_expiries and self._request_id_expiries[0][0] <= moment:
            self._request_ids.discard(self._request_id_expiries.popleft()[1])
        if request_id in self._request_ids:
            raise MalformedError(409, "this Request-Id was used before")
        self._request_ids.add(request_id)
        expires_at = moment + REQUEST_ID_MEMORY_DEADLINES * self.max_deadline_s
        self._request_id_expiries.append((expires_at, request_id))
