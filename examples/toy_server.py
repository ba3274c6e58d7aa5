"""Two toy servers and a list service with their addresses, for trying out a node by hand.

    python examples/toy_server.py            the servers of examples/node.json, until interrupted

Each server answers any request after a short time with its name and a load report; `--slow SECONDS` delays
the second one. Not meant for any other use.
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

    def respond(self, body: bytes, **headers: str) -> None:
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Logs nothing."""


class Toy(Handler):
    def do_GET(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        server = self.server
        server.in_flight += 1
        time.sleep(server.service_time_s)
        server.in_flight -= 1
        self.respond(
            f"{server.name} served {self.command} {self.path}\n".encode(),
            Server_Load=f"TEXT active={server.in_flight}",
        )

    def do_POST(self) -> None:
        self.do_GET()


class ListService(Handler):
    def do_GET(self) -> None:
        query = parse_qs(urlsplit(self.path).query)
        if "after" in query:
            # The list never changes, so a watch waits and returns no changes.
            time.sleep(int(query.get("wait_ms", ["0"])[0]) / 1000)
            self.respond(b'{"version":0,"full":false,"servers":[]}')
        else:
            self.respond(json.dumps(NODE["known"]).encode())


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *arguments: object) -> None:
        """Prints no traceback for closed connections: a node closes the connection to cancel an attempt."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(*arguments)


def start(slow: float = 0.0) -> list[Server]:
    """Starts both servers and the list service, each in its own thread."""
    started = []
    for entry, service_time_s in zip(NODE["known"]["servers"], (0.02, 0.02 + slow), strict=True):
        host, port = entry["addr"].split(":")
        server = Server((host, int(port)), Toy)
        server.name, server.service_time_s, server.in_flight = entry["id"], service_time_s, 0
        started.append(server)
    host, port = NODE["discovery"].split(":")
    started.append(Server((host, int(port)), ListService))
    for server in started:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    return started


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--slow", type=float, default=0.0, metavar="SECONDS")
    start(parser.parse_args().slow)
    print("servers and list service are running; press Ctrl+C to stop")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        pass
