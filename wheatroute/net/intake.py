"""Makes of a client's message the request that it asks for, by the settings in force.

Owns the names of requests that came of late. It must never take one name twice, nor a request whose form
lacks what makes a repeat of it safe.
"""

import re
from collections import deque
from typing import Any

import h11
import trio

from wheatroute.balancing.interface import Idempotency
from wheatroute.net.connection import MalformedError
from wheatroute.net.exchange import Exchange, hinted
from wheatroute.wire_names import in_header, in_path

KNOWN = 2.0  # a request's name is remembered for this multiple of the longest deadline
ONCE = (b"request-id", b"idempotency-key", b"request-timeout", b"tenant")
_TIME_OUT = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])\Z")
_UNITS = {b"m": 1e3, b"u": 1e6}

# by class, while its form changes: the forms in which it may come as well, and its strict twin
Forms = dict[int, tuple[frozenset[Idempotency], int]]


def time_left(text: bytes) -> float:
    """Seconds."""
    found = _TIME_OUT.match(text)
    if found is None:
        raise MalformedError(400, "no usable Request-Timeout")
    return float(found[1]) / _UNITS[found[2]]


class Intake:
    """Request classes, tenants, and the names that are taken."""

    def __init__(self, boot: dict[str, Any]) -> None:
        self._kinds = in_path(boot["request_classes"])
        self._tenants = in_header(boot["tenants"])
        self._work_header = boot["work_header"]
        self._terms = boot["terms"].request_classes
        self.longest = max(kind.deadline for kind in self._terms) or 1.0  # deadline, seconds
        self._also: Forms = {}
        self._names: set[bytes] = set()  # of requests that are out or were of late
        self._asked: deque[tuple[float, bytes]] = deque()  # and until when they are remembered

    def agree(self, boot: dict[str, Any], also: Forms) -> None:
        """Other settings; `also` has the forms in which a class may come as well, and its strict twin.

        A class's form follows from its effect, and clients hear of a change earlier or later than this node.
        """
        self._kinds, self._tenants, self._also = (
            in_path(boot["request_classes"]),
            in_header(boot["tenants"]),
            also,
        )
        self._terms = boot["terms"].request_classes
        # never shorter: names that were taken are remembered for as long as was said then
        self.longest = max(self.longest, *(kind.deadline for kind in self._terms))

    def exchange(self, request: h11.Request, path: bytes, body: bytes, lag: float, until: float) -> Exchange:
        """What a client asks for; raises MalformedError where it cannot be had.

        `lag` is how long the message may have lain unread, `until` when it must be answered, seconds.
        """
        kind = self._kinds.get(path.lstrip(b"/").split(b"/", 1)[0])
        if kind is None:
            raise MalformedError(404, "no such request class")
        headers = dict(request.headers)
        if any(sum(name == one for name, _ in request.headers) > 1 for one in ONCE):
            raise MalformedError(400, "a header twice that means one thing")
        name, key = headers.get(b"request-id", b""), headers.get(b"idempotency-key", b"")
        effect = self._terms[kind].idempotency
        if self._also:
            kind, effect = self._form(kind, effect, request.method, bool(key))
        if request.method != (b"GET" if effect == Idempotency.IDEMPOTENT else b"POST"):
            raise MalformedError(405, "not the method of this request class")
        if body and effect == Idempotency.IDEMPOTENT:
            raise MalformedError(400, "a body that this request class has not")
        if not name:
            raise MalformedError(400, "no Request-Id")
        if bool(key) != (effect == Idempotency.KEYED):
            raise MalformedError(400, "Idempotency-Key does not suit this request class")
        exchange = Exchange(request.method, request.target, name, key, body)
        exchange.kind = kind
        left = time_left(headers.get(b"request-timeout", b"")) - lag
        exchange.left = max(0.0, min(left, until - trio.current_time()))
        exchange.tenant = self._tenants.get(headers.get(b"tenant", b""), -1)
        exchange.repeated = headers.get(b"client-retry", b"").strip() == b"1"
        exchange.work = hinted(headers.get(self._work_header, b"")) if self._work_header else 0.0
        self._remember(name)
        return exchange

    def _form(self, kind: int, effect: Idempotency, method: bytes, key: bool) -> tuple[int, Idempotency]:
        """Class and form of a request; guards against a repeat where its form lacks what makes it safe."""
        came_as = (
            Idempotency.IDEMPOTENT
            if method == b"GET"
            else Idempotency.KEYED
            if key
            else Idempotency.NON_IDEMPOTENT
        )
        forms, twin = self._also.get(kind, (frozenset(), kind))
        if came_as == effect or came_as not in forms:
            return kind, effect
        # the class's own rules do, unless they rest on a key that it has not, or are looser than its form
        return (
            twin if effect == Idempotency.KEYED or came_as == Idempotency.NON_IDEMPOTENT else kind
        ), came_as

    def _remember(self, name: bytes) -> None:
        """Guards against the name of another client's request: a server would take it for a repeat."""
        moment = trio.current_time()
        while self._asked and self._asked[0][0] <= moment:
            self._names.discard(self._asked.popleft()[1])
        if name in self._names:
            raise MalformedError(409, "this Request-Id was used before")
        self._names.add(name)
        self._asked.append((moment + KNOWN * self.longest, name))
