"""Stored records of runs, one line of JSON per run. Reads files.

A field whose key in the file differs from its name has the key in its metadata. Keys and their order never
change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram

from wheatroute.fleet.results import Figures
from wheatroute.fleet.rules import Rule, Violation
from wheatroute.fleet.stored_keys import KEY, from_stored, to_stored

RUNS_FILE = "runs.jsonl"
MAX_LATENCY_US = 3_600_000_000  # upper end of the latency histograms
HISTOGRAM_DIGITS = 3  # significant decimal digits


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Holds what is stored about one run."""

    run_id: str = field(metadata={KEY: "run"})
    point: dict[str, Any]  # the swept keys and their values
    policy: str
    seed: int
    figures: Figures
    violations: list[Violation] = field(metadata={KEY: "broken"})  # the first violations only
    # fraction of the offered value that was earned, by the second in which requests arrived
    value_by_second: list[float] = field(metadata={KEY: "by_second"})
    # encoded histogram of the latencies of served requests, in microseconds
    latencies: str = field(metadata={KEY: "delays"})

    def encode(self) -> bytes:
        """Returns the record's line without the line break."""
        stored = to_stored(self)
        stored["figures"] = to_stored(self.figures)
        stored["broken"] = [tuple(violation) for violation in self.violations]
        return orjson.dumps(stored)


def decode_record(line: bytes) -> RunRecord:
    """Decodes the record in a line; raises KeyError if a key is missing."""
    stored = orjson.loads(line)
    stored["figures"] = from_stored(Figures, stored["figures"])
    stored["broken"] = [Violation(Rule(rule), *rest) for rule, *rest in stored["broken"]]
    return from_stored(RunRecord, stored)


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)


def stored_lines(folder: Path) -> dict[str, bytes]:
    """Returns the lines of a folder's file by run id, without line breaks; skips a truncated line."""
    lines = {}
    path = folder / RUNS_FILE
    for line in path.read_bytes().splitlines() if path.exists() else ():
        try:
            lines[orjson.loads(line)["run"]] = line
        except (orjson.JSONDecodeError, KeyError, TypeError):
            continue
    return lines


def read_records(folder: Path) -> list[RunRecord]:
    """Returns all records of a folder; raises KeyError if a key is missing from a record."""
    return [decode_record(line) for line in stored_lines(folder).values()]
