"""Starts control nodes many times on a busy machine, and counts the exit statuses of their processes.

Detects processes that crash with a signal just after their start, while one thread loads the HTTP libraries
and the event loop already handles messages of peers that connect at once. Each round starts three nodes on
loopback, waits until all of them listen, and stops them with SIGTERM. `faulthandler` logs the stack of a
process that crashes.

    python benchmarks/starts.py                  500 starts beside busy processes, some minutes
    python benchmarks/starts.py --short --json   6 starts; one JSON object as the last line
"""

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOSTS = ("127.0.0.31", "127.0.0.32", "127.0.0.33")
FULL, SHORT = 500, 6  # numbers of starts
BUSY_PROCESSES = 8  # processes that load the machine meanwhile
LISTENING_EVENT = b'"listening"'
ROUND_TIMEOUT_S = 60.0  # for the nodes of a round to listen, and again for them to exit
BUSY_PROGRAM = "while True: pass"


def free_port():
    """Returns a port that was free on the first host; the next two are assumed to be free as well."""
    with socket.socket() as probe:
        probe.bind((HOSTS[0], 0))
        return min(probe.getsockname()[1], 65000)


def settings_text(host, port, folder):
    """Returns the contents of a node's settings file; it is YAML, of which JSON is a subset."""
    data = folder / f"{host}.disk"
    data.mkdir()
    return json.dumps(
        {
            "node": host,
            "ip": host,
            "zone": "z",
            "listen": {"control": f"{host}:{port + 2}"},
            "port_range": [port, port + 1],
            "seeds": [f"{one}:{port + 2}" for one in HOSTS],
            "bootstrap": True,
            "tolerate": {"machines": 1},
            "data_dir": str(data),
        }
    )


def start_node(folder, host, port):
    """Starts a node; returns its process and its log file."""
    path = folder / f"{host}.yaml"
    path.write_text(settings_text(host, port, folder))
    log = folder / f"{host}.log"
    environment = os.environ | {"WHEATROUTE_SETTINGS": str(path), "PYTHONFAULTHANDLER": "1"}
    with open(log, "wb") as output:
        command = [sys.executable, "-m", "wheatroute.system", "control"]
        return subprocess.Popen(command, cwd=ROOT, env=environment, stdout=output, stderr=output), log


def run_round():
    """Starts and stops three nodes; returns their exit statuses, and the logs of those that failed."""
    with tempfile.TemporaryDirectory(prefix="wheatroute-starts-") as name:
        folder, port = Path(name), free_port()
        nodes = [start_node(folder, host, port) for host in HOSTS]
        deadline = time.monotonic() + ROUND_TIMEOUT_S
        while time.monotonic() < deadline and any(_is_starting(process, log) for process, log in nodes):
            time.sleep(0.02)
        for process, _ in nodes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        codes = [process.wait(timeout=ROUND_TIMEOUT_S) for process, _ in nodes]
        logs = [log.read_text(errors="replace") for _, log in nodes]
        return codes, [text for code, text in zip(codes, logs, strict=True) if code]


def _is_starting(process, log):
    return process.poll() is None and LISTENING_EVENT not in log.read_bytes()


def main():
    """Prints the number of exits by status, and the log of each process that failed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--busy", type=int, default=BUSY_PROCESSES)
    options = parser.parse_args()
    starts = SHORT if options.short else FULL
    busy = [
        subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM])
        for _ in range(0 if options.short else options.busy)
    ]
    exit_counts = Counter()
    try:
        while exit_counts.total() < starts:
            codes, logs = run_round()
            exit_counts.update(codes)
            for text in logs:
                print(text, flush=True)
    finally:
        for process in busy:
            process.kill()
    result = {
        "starts": exit_counts.total(),
        "ends": {str(code): count for code, count in sorted(exit_counts.items())},
    }
    print(result)
    if options.json:
        print(json.dumps(result))


if __name__ == "__main__":
    main()
