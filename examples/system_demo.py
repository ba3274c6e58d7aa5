"""The router set on loopback: three control nodes, one edge node and a toy model server.

It takes a configuration, carries a request, ends the primary without a word, takes another configuration from
whoever leads next, and carries one more request. Everything that it starts ends with it.
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
PATIENCE = 20.0  # seconds for each step
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
    """Says hello to whatever it is asked."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:  # noqa: N802, the name that http.server asks for
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        body = b"hello\n"
        self.send_response(200)
        self.send_header("Request-Id", self.headers.get("Request-Id", ""))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *fields: object) -> None:
        """No line for a request."""


def settings(node: str, ip: str, role: str, folder: Path) -> Path:
    """The settings file of one process; JSON is YAML too."""
    data = folder / node
    data.mkdir()
    listen = (
        {"control": f"{ip}:{CONTROL_PORT}"}
        if role == "control"
        else {"front": f"{ip}:{EDGE_PORT}", "ready": f"{ip}:{READY_PORT}"}
    )
    told = {
        "node": node,
        "ip": ip,
        "zone": "here",
        "listen": listen,
        "port_range": [FIRST_PORT, FIRST_PORT + 15],
        "seeds": [f"{one}:{CONTROL_PORT}" for one in CONTROLS],
        "bootstrap": True,
        "counts_for_quorum": role == "control",
        "tolerate": {"machines": 1},
        "heartbeat_ms": 500,
        "data_dir": str(data) if role == "control" else None,
    }
    path = folder / f"{node}.yaml"
    path.write_text(json.dumps(told))
    return path


def start(role: str, path: Path) -> subprocess.Popen[bytes]:
    """One process of the router set, its log beside its settings."""
    with path.with_suffix(".log").open("wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "wheatroute.system", role],
            stderr=log,
            env=os.environ | {"WHEATROUTE_SETTINGS": str(path)},
        )


def call(method: str, url: str, content: object = None, **headers: str) -> tuple[int, bytes]:
    """One request; 0 where nobody answers."""
    data = None if content is None else json.dumps(content).encode()
    asked = urllib.request.Request(url, data, headers, method=method)
    try:
        with urllib.request.urlopen(asked, timeout=2.0) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def until_served(what: str, method: str, urls: list[str], content: object = None, **headers: str) -> bytes:
    """Asks one after the other until one says 200."""
    end = time.monotonic() + PATIENCE
    while time.monotonic() < end:
        for url in urls:
            status, body = call(method, url, content, **headers)
            if status == 200:
                print(f"{what}: 200 from {url.split('/')[2]}")
                return body
        time.sleep(0.05)
    sys.exit(f"{what}: no answer of 200 within {PATIENCE:.0f} s")


def configuration(generation: int, routes: list[dict[str, object]]) -> dict[str, object]:
    return {"generation": generation, "routes": routes, "services": [{"name": "toy"}]}


def primary_of(folder: Path) -> str:
    """The control node whose log says last that it leads."""
    latest = (-1, "")
    for name in CONTROLS:
        for line in (folder / f"control-{name}.log").read_text().splitlines():
            told = json.loads(line)
            if told["event"] == "view-changed" and told["leading"]:
                latest = max(latest, (told["epoch"], name))
    return latest[1]


def play(folder: Path, processes: dict[str, subprocess.Popen[bytes]]) -> None:
    configure = [f"http://{one}:{CONTROL_PORT}/-/config" for one in CONTROLS]
    for one in CONTROLS:
        processes[one] = start("control", settings(f"control-{one}", one, "control", folder))
    processes["edge"] = start("edge", settings("edge", "127.0.0.1", "edge", folder))
    until_served("a configuration", "PUT", configure, configuration(1, [ROUTE]), **{"If-Match": "0"})
    beat = {
        "backend": "toy",
        "addr": f"127.0.0.1:{SERVER_PORT}",
        "zone": "here",
        "slots": 4,
        "state": "ready",
        "seq": 1,
    }
    until_served(
        "a server's heartbeat",
        "PUT",
        [f"http://{one}:{CONTROL_PORT}/-/instances/toy-1" for one in CONTROLS],
        beat,
    )
    until_served("the node is ready", "GET", [f"http://127.0.0.1:{READY_PORT}/-/readyz"])
    ask = [f"http://127.0.0.1:{EDGE_PORT}/ask/1"]
    until_served("a request", "POST", ask, "hello?", Host="demo.example", **{"Request-Id": "r1"})
    primary = primary_of(folder)
    processes[primary].send_signal(signal.SIGKILL)
    print(f"the primary, {primary}, is ended without a word")
    begun = time.monotonic()
    second = [ROUTE, ROUTE | {"name": "more", "path_prefix": "/more/"}]
    until_served("another configuration", "PUT", configure, configuration(2, second), **{"If-Match": "1"})
    print(f"{time.monotonic() - begun:.2f} s after the loss")
    until_served(
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
            play(Path(folder), processes)
        finally:
            for process in processes.values():
                process.terminate()
            for name, process in processes.items():
                print(f"{name} ended with {process.wait(15)}")


if __name__ == "__main__":
    main()
