"""Starts control nodes many times beside load, and counts how their processes end.

Guards against a process that dies on a signal just after its start, when one thread loads the HTTP libraries
while the event loop already talks to peers that speak at once. Each round starts three nodes on loopback,
waits until all of them listen, and ends them with SIGTERM. `faulthandler` writes what a dying process did.

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
FULL, SHORT = 500, 6  # starts
BUSY = 8  # processes that burn the machine meanwhile
LISTENS = b'"listening"'
PATIENCE = 60.0  # seconds for a round to listen, and to end
BURN = "while True: pass"


def free_port():
    """A port that was free on the first host; the next two are taken to be free as well."""
    with socket.socket() as probe:
        probe.bind((HOSTS[0], 0))
        return min(probe.getsockname()[1], 65000)


def settings(host, port, folder):
    """One node's settings file; JSON is YAML too."""
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


def started(folder, host, port):
    """One node's process, and the file that it writes its log to."""
    path = folder / f"{host}.yaml"
    path.write_text(settings(host, port, folder))
    log = folder / f"{host}.log"
    environment = os.environ | {"WHEATROUTE_SETTINGS": str(path), "PYTHONFAULTHANDLER": "1"}
    with open(log, "wb") as output:
        command = [sys.executable, "-m", "wheatroute.system", "control"]
        return subprocess.Popen(command, cwd=ROOT, env=environment, stdout=output, stderr=output), log


def one_round():
    """Three nodes are started together; how each ended, and the logs of those that didn't end with 0."""
    with tempfile.TemporaryDirectory(prefix="wheatroute-starts-") as name:
        folder, port = Path(name), free_port()
        nodes = [started(folder, host, port) for host in HOSTS]
        end = time.monotonic() + PATIENCE
        while time.monotonic() < end and any(_starting(process, log) for process, log in nodes):
            time.sleep(0.02)
        for process, _ in nodes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        codes = [process.wait(timeout=PATIENCE) for process, _ in nodes]
        logs = [log.read_text(errors="replace") for _, log in nodes]
        return codes, [text for code, text in zip(codes, logs, strict=True) if code]


def _starting(process, log):
    return process.poll() is None and LISTENS not in log.read_bytes()


def main():
    """Counts ends by status; prints the log of each that isn't 0."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--busy", type=int, default=BUSY)
    asked = parser.parse_args()
    starts = SHORT if asked.short else FULL
    busy = [subprocess.Popen([sys.executable, "-c", BURN]) for _ in range(0 if asked.short else asked.busy)]
    ends = Counter()
    try:
        while ends.total() < starts:
            codes, logs = one_round()
            ends.update(codes)
            for text in logs:
                print(text, flush=True)
    finally:
        for process in busy:
            process.kill()
    told = {"starts": ends.total(), "ends": {str(code): count for code, count in sorted(ends.items())}}
    print(told)
    if asked.json:
        print(json.dumps(told))


if __name__ == "__main__":
    main()
