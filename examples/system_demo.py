"""The router set on loopback: three control nodes, one edge node and a toy model server.

The demo sends a configuration and a request, kills the primary with SIGKILL, sends another configuration to
the next primary, and sends one more request. All processes that it starts end with it.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

CONTROLS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
CONTROL_PORT, EDGE_PORT, READY_PORT, FIRST_PORT, SERVER_PORT = 18367, 18360, 18365, 18500, 18080
STEP_TIMEOUT_S = 20.0
ROUTE = {
    "name": "ask",
    "hostname": "demo.example",
    "path_prefix": "/ask/",
    "kind": "safe",
    "timeout_ms": 3000,
    "target_ms": 500,
    "priority": 0,
    "backend": "toy",
    "retries": 2,
    "public": True,
}


class ToyServer(BaseHTTPRequestHandler):
    """Answers every request with "hello"."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:  # noqa: N802, the name that http.server requires
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        body = b"hello\n"
        self.send_response(200)
        self.send_header("Request-Id", self.headers.get("Request-Id", ""))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *fields: object) -> None:
        """Logs nothing."""


def write_settings(node: str, ip: str, role: str, folder: Path) -> Path:
    """Writes the settings file of a process and returns its path; it is YAML, of which JSON is a subset."""
    data = folder / node
    data.mkdir()
    listen = (
        {"control": f"{ip}:{CONTROL_PORT}"}
        if role == "control"
        else {"front": f"{ip}:{EDGE_PORT}", "ready": f"{ip}:{READY_PORT}"}
    )
    content = {
        "node": node,
        "ip": ip,
        "zone": "here",
        "listen": listen,
        "port_range": [FIRST_PORT, FIRST_PORT + 15],
        "seeds": [f"{host}:{CONTROL_PORT}" for host in CONTROLS],
        "bootstrap": True,
        "counts_for_quorum": role == "control",
        "tolerate": {"machines": 1},
        "heartbeat_ms": 500,
        "data_dir": str(data) if role == "control" else None,
    }
    path = folder / f"{node}.yaml"
    path.write_text(json.dumps(content))
    return path


def start(role: str, path: Path) -> subprocess.Popen[bytes]:
    """Starts a process of the router set; its log is written beside its settings."""
    with path.with_suffix(".log").open("wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "wheatroute.system", role],
            stderr=log,
            env=os.environ | {"WHEATROUTE_SETTINGS": str(path)},
        )


def call(method: str, url: str, content: object = None, **headers: str) -> tuple[int, bytes]:
    """Sends a request; returns status and body, status 0 if there is no response."""
    data = None if content is None else json.dumps(content).encode()
    request = urllib.request.Request(url, data, headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=2.0) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def send_until_served(
    description: str, method: str, urls: list[str], content: object = None, **headers: str
) -> bytes:
    """Sends a request to the URLs in turn until one responds with 200; returns the body."""
    end = time.monotonic() + STEP_TIMEOUT_S
    while time.monotonic() < end:
        for url in urls:
            status, body = call(method, url, content, **headers)
            if status == 200:
                print(f"{description}: 200 from {url.split('/')[2]}")
                return body
        time.sleep(0.05)
    sys.exit(f"{description}: no response with status 200 within {STEP_TIMEOUT_S:.0f} s")


def configuration(generation: int, routes: list[dict[str, object]]) -> dict[str, object]:
    """Returns a configuration with these routes to the toy server."""
    return {"generation": generation, "routes": routes, "services": [{"name": "toy"}]}


def primary_of(folder: Path) -> str:
    """Returns the control node that became the leader last, by the logs."""
    latest = (-1, "")
    for name in CONTROLS:
        for line in (folder / f"control-{name}.log").read_text().splitlines():
            fields = json.loads(line)
            if fields["event"] == "view-changed" and fields["leading"]:
                latest = max(latest, (fields["epoch"], name))
    return latest[1]


def run_demo(folder: Path, processes: dict[str, subprocess.Popen[bytes]]) -> None:
    """Runs all steps of the demo; adds the processes that it starts to `processes`."""
    configure = [f"http://{host}:{CONTROL_PORT}/-/config" for host in CONTROLS]
    for host in CONTROLS:
        processes[host] = start("control", write_settings(f"control-{host}", host, "control", folder))
    processes["edge"] = start("edge", write_settings("edge", "127.0.0.1", "edge", folder))
    send_until_served("a configuration", "PUT", configure, configuration(1, [ROUTE]), **{"If-Match": "0"})
    heartbeat = {
        "backend": "toy",
        "addr": f"127.0.0.1:{SERVER_PORT}",
        "zone": "here",
        "slots": 4,
        "state": "ready",
        "seq": 1,
    }
    send_until_served(
        "a server's heartbeat",
        "PUT",
        [f"http://{host}:{CONTROL_PORT}/-/instances/toy-1" for host in CONTROLS],
        heartbeat,
    )
    send_until_served("the node is ready", "GET", [f"http://127.0.0.1:{READY_PORT}/-/readyz"])
    ask = [f"http://127.0.0.1:{EDGE_PORT}/ask/1"]
    send_until_served("a request", "POST", ask, "hello?", Host="demo.example", **{"Request-Id": "r1"})
    primary = primary_of(folder)
    processes[primary].send_signal(signal.SIGKILL)
    print(f"the primary, {primary}, was killed")
    killed_at = time.monotonic()
    second = [ROUTE, ROUTE | {"name": "more", "path_prefix": "/more/"}]
    send_until_served(
        "another configuration", "PUT", configure, configuration(2, second), **{"If-Match": "1"}
    )
    print(f"{time.monotonic() - killed_at:.2f} s after the loss")
    send_until_served(
        "a request on the new route",
        "POST",
        [f"http://127.0.0.1:{EDGE_PORT}/more/1"],
        "hello?",
        Host="demo.example",
        **{"Request-Id": "r2"},
    )


def main() -> None:
    server = ThreadingHTTPServer(("127.0.0.1", SERVER_PORT), ToyServer)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    processes: dict[str, subprocess.Popen[bytes]] = {}
    with tempfile.TemporaryDirectory() as folder:
        try:
            run_demo(Path(folder), processes)
        finally:
            for process in processes.values():
                process.terminate()
            for name, process in processes.items():
                print(f"{name} ended with {process.wait(15)}")


if __name__ == "__main__":
    main()
