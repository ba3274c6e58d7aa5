"""Records of runs, as they are stored: one JSON line for each. Reads files.

Fields whose keys in the file differ carry the key. Keys and their order never change.
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
MAX_LATENCY_US = 3_600_000_000  # that a histogram of latencies reaches to
HISTOGRAM_DIGITS = 3  # significant ones


@dataclass(frozen=True, slots=True)
class RunRecord:
    """What is stored of one run."""

    run_id: str = field(metadata={KEY: "run"})
    point: dict[str, Any]  # the swept keys and their values
    policy: str
    seed: int
    figures: Figures
    violations: list[Violation] = field(metadata={KEY: "broken"})  # the first of them
    # fraction earned, by the second of arrival
    value_by_second: list[float] = field(metadata={KEY: "by_second"})
    # of served requests, in microseconds, as an encoded histogram
    latencies: str = field(metadata={KEY: "delays"})

    def encode(self) -> bytes:
        """The record's line, without its end."""
        stored = to_stored(self)
        stored["figures"] = to_stored(self.figures)
        stored["broken"] = [tuple(violation) for violation in self.violations]
        return orjson.dumps(stored)


def decode_record(line: bytes) -> RunRecord:
    """The record of a line; KeyError if a key is missing."""
    stored = orjson.loads(line)
    stored["figures"] = from_stored(Figures, stored["figures"])
    stored["broken"] = [Violation(Rule(rule), *rest) for rule, *rest in stored["broken"]]
    return from_stored(RunRecord, stored)


def new_histogram() -> HdrHistogram:
    """An empty histogram of latencies, in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)


def stored_lines(folder: Path) -> dict[str, bytes]:
    """The lines of a folder's file by run, without their ends; one that was cut short is left out."""
    lines = {}
    path = folder / RUNS_FILE
    for line in path.read_bytes().splitlines() if path.exists() else ():
        try:
            lines[orjson.loads(line)["run"]] = line
        except (orjson.JSONDecodeError, KeyError, TypeError):
            continue
    return lines


def read_records(folder: Path) -> list[RunRecord]:
    """All records of a folder; KeyError if one lacks a key."""
    return [decode_record(line) for line in stored_lines(folder).values()]
