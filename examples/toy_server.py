"""Two toy servers and the list service that knows them, for trying a node by hand.

    python examples/toy_server.py            the servers of examples/node.json, until interrupted

Each answers any command after a short time of its own, with its name and a load report; `--slow SECONDS`
makes the second one slow. Not for any use beyond trying.
"""

import argparse
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

NODE = json.loads((Path(__file__).parent / "node.json").read_text())


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def answer(self, body: bytes, **headers: str) -> None:
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Nothing for each command."""


class Toy(Handler):
    def do_GET(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        server = self.server
        server.held += 1
        time.sleep(server.takes)
        server.held -= 1
        self.answer(
            f"{server.name} served {self.command} {self.path}\n".encode(),
            Server_Load=f"TEXT active={server.held}",
        )

    def do_POST(self) -> None:
        self.do_GET()


class ListService(Handler):
    def do_GET(self) -> None:
        asked = parse_qs(urlsplit(self.path).query)
        if "after" in asked:  # nothing here ever changes: a watch waits and brings no news
            time.sleep(int(asked.get("wait_ms", ["0"])[0]) / 1000)
            self.answer(b'{"version":0,"full":false,"servers":[]}')
        else:
            self.answer(json.dumps(NODE["known"]).encode())


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *where: object) -> None:
        """A node that calls an attempt off closes its connection: that is no error worth a traceback."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(*where)


def start(slow: float = 0.0) -> list[Server]:
    """Starts both servers and the list service in threads of their own."""
    started = []
    for entry, takes in zip(NODE["known"]["servers"], (0.02, 0.02 + slow), strict=True):
        host, port = entry["addr"].split(":")
        server = Server((host, int(port)), Toy)
        server.name, server.takes, server.held = entry["id"], takes, 0
        started.append(server)
    host, port = NODE["discovery"].split(":")
    started.append(Server((host, int(port)), ListService))
    for server in started:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    return started


if __name__ == "__main__":
    flags = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    flags.add_argument("--slow", type=float, default=0.0, metavar="SECONDS")
    start(flags.parse_args().slow)
    print("servers and list are up; interrupt to stop")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        pass
