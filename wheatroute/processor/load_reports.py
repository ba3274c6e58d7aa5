"""Reads load reports from response headers: the project's format, and ORCA in its three formats. No I/O.

ORCA (Open Request Cost Aggregation) is published as `xds.data.orca.v3.OrcaLoadReport`. Malformed metrics are
ignored.
"""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Mapping
from math import inf
from typing import Any

from wheatroute.net.load_reports import MAX_LOAD_FIGURE, parse_load_report

OWN_HEADER = "server-load"
# The value begins with the format: TEXT, JSON or BIN.
ORCA_HEADER = "endpoint-load-metrics"
ORCA_BINARY_HEADER = "endpoint-load-metrics-bin"
_NAMED_METRICS = "named_metrics"
# ORCA's metric names, mapped to the names of the project's format. Servers choose the names of ORCA's named
# metrics; only those that the project's format also has are read.
_METRIC_NAMES = {
    "cpu_utilization": "busy",
    "application_utilization": "busy",
    "rps_fractional": "rate",
    "rps": "rate",
    "eps": "error_rate",
    "named_metrics.inflight": "held",
    "named_metrics.queue": "queued",
}


def read_load_report(headers: Mapping[str, bytes]) -> dict[str, float] | None:
    """Returns a response's load metrics under the project's names; None if it has no valid ones."""
    if OWN_HEADER in headers:
        report, malformed = parse_load_report(headers[OWN_HEADER].decode("latin-1"))
        return None if malformed else report
    report = {}
    for name, value in _orca_metrics(headers).items():
        metric = _METRIC_NAMES.get(name)
        if metric and isinstance(value, int | float) and 0.0 <= value < MAX_LOAD_FIGURE:
            report[metric] = float(value)
    return report or None


def _orca_metrics(headers: Mapping[str, bytes]) -> dict[str, Any]:
    """Returns ORCA's metrics under ORCA's names; the values are not validated."""
    if ORCA_HEADER in headers:
        report_format, _, text = headers[ORCA_HEADER].decode("latin-1").partition(" ")
        match report_format:
            case "TEXT":
                return _parse_text(text)
            case "JSON":
                return _parse_json(text)
            case "BIN":
                return _parse_binary(text.encode("latin-1"))
        return {}
    if ORCA_BINARY_HEADER in headers:
        return _parse_binary(headers[ORCA_BINARY_HEADER])
    return {}


def _parse_text(text: str) -> dict[str, Any]:
    metrics = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        try:
            metrics[name] = float(value)
        except ValueError:
            continue
    return metrics


def _parse_json(text: str) -> dict[str, Any]:
    try:
        # NaN and infinities, which JSON does not allow, become a value that is out of range.
        document = json.loads(text, parse_constant=lambda _: inf)
    except (ValueError, RecursionError):
        return {}
    if not isinstance(document, dict):
        return {}
    named = document.get(_NAMED_METRICS)
    return document | (_prefixed(named) if isinstance(named, dict) else {})


def _parse_binary(text: bytes) -> dict[str, Any]:
    # Imported here so that workers that receive no binary reports start without the cost of the import.
    from google.protobuf.message import DecodeError
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    padded = text + b"=" * (-len(text) % 4)
    try:
        report = OrcaLoadReport.FromString(base64.b64decode(padded, validate=True))
    except (binascii.Error, DecodeError):
        return {}
    metrics: dict[str, Any] = {field.name: value for field, value in report.ListFields()}
    return metrics | _prefixed(report.named_metrics)


def _prefixed(named: Mapping[str, Any]) -> dict[str, Any]:
    return {f"{_NAMED_METRICS}.{name}": value for name, value in named.items()}
