"""Runs the short form of every benchmark once, so that a rename can't break one unnoticed.

No figure is checked: each benchmark must exit with status 0 and print one JSON object as its last line. They
run one at a time: each starts several processes, and the rollout benchmark once timed out beside another one
(cause not traced).
"""

import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

MAX_PARALLEL = 1
TIMEOUT_S = 180.0  # for one benchmark
SHOWN_CHARACTERS = 2000  # from the end of a failed benchmark's standard error


def failure(output: str, status: int) -> str:
    """Returns what is wrong with a run, an empty string if nothing is."""
    if status:
        return f"status {status}"
    lines = output.strip().splitlines()
    try:
        result = json.loads(lines[-1]) if lines else None
    except ValueError:
        result = None
    return "" if isinstance(result, dict) and result else "the last line is no JSON object"


def run(path: Path) -> bool:
    """Runs a benchmark and prints its result; returns whether it passed."""
    started_at = time.monotonic()
    command = [sys.executable, str(path), "--short", "--json"]
    try:
        completed = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)
        reason, stderr = failure(completed.stdout, completed.returncode), completed.stderr
    except subprocess.TimeoutExpired:
        reason, stderr = f"timed out after {TIMEOUT_S:g} s", ""
    print(f"{path.name}: {reason or 'ok'}, {time.monotonic() - started_at:.0f} s", flush=True)
    if reason:
        print(stderr[-SHOWN_CHARACTERS:], flush=True)
    return not reason


def main() -> int:
    """Runs all benchmarks; returns 1 if one failed."""
    paths = sorted(Path("benchmarks").glob("*.py"))
    with ThreadPoolExecutor(MAX_PARALLEL) as pool:
        return 0 if all(list(pool.map(run, paths))) else 1


if __name__ == "__main__":
    sys.exit(main())
