"""Runs the tests of the current folder; those that KNOWN-RED.txt lists as known failures run separately.

Each line of that file has the test as pytest names it, the cause and the issue, separated by ` | `. At most
three lines are allowed. Without the file, or with an empty one, this is the same as `python -m pytest`.
Arguments are passed on to the run of all other tests: `-n auto` spreads them over the cores.
"""

import subprocess
import sys
from pathlib import Path

MAX_ENTRIES = 3
PYTEST = [sys.executable, "-m", "pytest"]


def fail(reason: str) -> int:
    """Prints what is wrong with KNOWN-RED.txt; returns the exit status."""
    print(f"KNOWN-RED.txt: {reason}")
    return 1


def main() -> int:
    path = Path("KNOWN-RED.txt")
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if not lines:
        return subprocess.run([*PYTEST, *sys.argv[1:]]).returncode
    if len(lines) > MAX_ENTRIES:
        return fail(f"{len(lines)} lines, {MAX_ENTRIES} at most")
    known = [[part.strip() for part in line.split("|")] for line in lines]
    if malformed := next(
        (line for line, parts in zip(lines, known, strict=True) if len(parts) != 3 or not all(parts)), None
    ):
        return fail(f"not a test, its cause and its issue: {malformed}")
    tests = [parts[0] for parts in known]
    listing = [*PYTEST, "--collect-only", "-q", "-o", "addopts="]
    found = subprocess.run(listing, capture_output=True, text=True).stdout.splitlines()
    for test in tests:
        if tests.count(test) > 1 or test not in found:
            return fail(f"no test of that name, or named twice: {test}")
    status = subprocess.run([*PYTEST, *sys.argv[1:], *(f"--deselect={test}" for test in tests)]).returncode
    print("\nknown red, run apart:")
    for test, cause, issue in known:
        run = subprocess.run([*PYTEST, test], capture_output=True, text=True)
        result = {0: "PASSES AGAIN, its line is to go", 1: "fails as said"}.get(run.returncode, "did not run")
        print(f"  {test}: {result} ({cause}; issue {issue})")
        status = status or (run.returncode if run.returncode not in (0, 1) else 0)
    return status


if __name__ == "__main__":
    sys.exit(main())
