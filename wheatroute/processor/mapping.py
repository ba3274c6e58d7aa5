"""From a proxy's headers to a request, and from its answer's headers to an outcome. Free of I/O.

Owns which header means what, as the file maps them, and what load reports say. It must never guess: a header
that means one thing and comes twice, or a figure that is none, is refused with a reason.
"""

from __future__ import annotations

import base64
import binascii
import json
import re
from collections.abc import Iterable, Mapping, Sequence
from math import inf
from typing import Any, NamedTuple

from wheatroute.balancing.interface import Idempotency, Outcome
from wheatroute.balancing.settings import RequestClass
from wheatroute.net.exchange import parse_work_hint
from wheatroute.net.load_reports import MAX_LOAD_FIGURE, parse_load_report
from wheatroute.wire_names import in_header

LOAD = "endpoint-load-metrics"  # ORCA's header, with its binary and JSON forms
LOAD_BINARY = "endpoint-load-metrics-bin"
OWN_LOAD = "server-load"
_TIME = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)([HMSmun]?)\Z")
_UNITS = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9, "": 1e-3}
# ORCA's names and ours; named metrics go by the names that reports of our own use
_ORCA = {
    "cpu_utilization": "busy",
    "application_utilization": "busy",
    "rps_fractional": "rate",
    "rps": "rate",
    "eps": "error_rate",
    "named_metrics.inflight": "held",
    "named_metrics.queue": "queued",
}
# what the proxy's response flags say of an answer that it made up itself: bits of its access log's flags
_FLAGS = (
    (0x2 | 0x20 | 0x80, Outcome.UNCONNECTED),  # no healthy host, connection failure, overflow
    (0x4, Outcome.TIMED_OUT),
    (0x8 | 0x10 | 0x40, Outcome.RESET),
)


class UnfitError(Exception):
    """Headers that make no request: the status and reason to answer with."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Ask(NamedTuple):
    """What a proxy asks for."""

    name: bytes
    kind: int
    left: float
    tenant: int
    repeated: bool
    attempt: int
    work: float = 0.0


def seconds(text: str) -> float:
    """A time with the units of gRPC and of the platform; a bare number is milliseconds."""
    found = _TIME.match(text.strip())
    if found is None:
        raise UnfitError(400, "no usable time-out")
    return float(found[1]) * _UNITS[found[2]]


class Reader:
    """Reads requests by the file's mapping: `headers` by meaning, `kinds` in the order of their match."""

    def __init__(
        self,
        headers: Mapping[str, str],
        kinds: Sequence[RequestClass],
        tenants: Mapping[str, int],
        order: Sequence[int] | None = None,
        twins: Mapping[int, int] | None = None,
    ) -> None:
        self._meaning = {name.lower(): meaning for meaning, name in headers.items() if name}
        self._meaning |= {":path": "path", ":method": "method"}
        self._kinds, self._tenants = kinds, in_header(tenants)
        self._longest = [kind.deadline for kind in kinds]
        self._order = [(n, kinds[n]) for n in (range(len(kinds)) if order is None else order)]
        self._twins = twins or {}  # types that once needed no key: one without gets the strictest rules

    def ask(self, headers: Iterable[tuple[str, bytes]]) -> Ask:
        """The request; raises `UnfitError`."""
        meaning, found = self._meaning, {}
        for name, value in headers:
            what = meaning.get(name)
            if what is None:
                continue
            if what in found:
                raise UnfitError(400, f"{name} twice")
            found[what] = value.decode("latin-1")
        kind = self._kind(found.get("path", ""), found.get("method", ""))
        if not found.get("request_id"):
            raise UnfitError(400, "no request id")
        effect = self._kinds[kind].idempotency
        if effect == Idempotency.KEYED and not found.get("receipt"):
            if kind not in self._twins:
                raise UnfitError(400, "no key, which this request class needs")
            kind = self._twins[kind]
        left = self._longest[kind]
        if "time_out" in found:
            left = min(left, seconds(found["time_out"]))
        attempt = found.get("attempt", "1")
        return Ask(
            found["request_id"].encode("latin-1"),
            kind,
            left,
            self._tenants.get(found.get("customer", "").encode("latin-1"), -1),
            found.get("repeated") == "1",
            int(attempt) if attempt.isdigit() and len(attempt) < 7 else 1,
            parse_work_hint(found.get("work", "")),
        )

    def _kind(self, path: str, method: str) -> int:
        path = path.split("?", 1)[0]
        for kind, terms in self._order:
            if terms.methods and method not in terms.methods:
                continue
            if any(path == one or path.startswith(one.rstrip("/") + "/") for one in terms.paths):
                return kind
        raise UnfitError(404, "no such request class")


def outcome(headers: Mapping[str, bytes], flags: int = 0) -> Outcome:
    """What response headers say of an attempt; only a mark of server or proxy proves that it never ran."""
    status = headers.get(":status", b"")
    if len(status) != 3 or not status.isdigit():
        return Outcome.UNKNOWN
    for bits, means in _FLAGS:
        if flags & bits:
            return means
    code = int(status)
    if code in (503, 504) and headers.get("not-started", b"").strip() == b"1":
        return Outcome.FULL
    return Outcome.ERROR if code >= 500 else Outcome.SERVED


def load(headers: Mapping[str, bytes]) -> dict[str, float] | None:
    """The load report of an answer under our names, whichever form it has; what is malformed is left out."""
    if OWN_LOAD in headers:
        report, malformed = parse_load_report(headers[OWN_LOAD].decode("latin-1"))
        return None if malformed else report
    figures: dict[str, Any] = {}
    if LOAD in headers:
        form, _, text = headers[LOAD].decode("latin-1").partition(" ")
        figures = _text(text) if form == "TEXT" else _json(text) if form == "JSON" else {}
        figures = figures or (_binary(text.encode("latin-1")) if form == "BIN" else {})
    elif LOAD_BINARY in headers:
        figures = _binary(headers[LOAD_BINARY])
    found: dict[str, float] = {}
    for name, value in figures.items():
        ours = _ORCA.get(name)
        if ours and isinstance(value, int | float) and 0.0 <= value < MAX_LOAD_FIGURE:
            found[ours] = float(value)
    return found or None


def _text(text: str) -> dict[str, float]:
    found = {}
    for part in text.split(","):
        name, _, figure = part.strip().partition("=")
        try:
            found[name] = float(figure)
        except ValueError:
            continue
    return found


def _json(text: str) -> dict[str, Any]:
    try:
        told = json.loads(text, parse_constant=lambda _: inf)
    except (ValueError, RecursionError):
        return {}
    if not isinstance(told, dict):
        return {}
    named = told.get("named_metrics")
    return told | (
        {f"named_metrics.{name}": value for name, value in named.items()} if isinstance(named, dict) else {}
    )


def _binary(text: bytes) -> dict[str, Any]:
    from google.protobuf.message import DecodeError
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    try:
        report = OrcaLoadReport.FromString(base64.b64decode(text + b"=" * (-len(text) % 4), validate=True))
    except (binascii.Error, DecodeError):
        return {}
    figures: dict[str, Any] = {field.name: value for field, value in report.ListFields()}
    return figures | {f"named_metrics.{name}": value for name, value in report.named_metrics.items()}
