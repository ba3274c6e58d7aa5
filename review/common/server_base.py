"""A stand-in for a server: registers by heartbeats, leaves in order on SIGTERM, and answers requests.

The pages' registration is followed: a heartbeat that is not acknowledged within a second goes to the next
control node; on SIGTERM the server says `draining`, serves on, deregisters and ends.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

from bed import append_event, follow

DRAIN_S = 2.0  # `drain_ms` of the deployment
CHUNK_BYTES = 65536
SEGMENT_BYTES = 1460


class Server:
    """One server; a subclass says in `answer` how it answers."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.id: str = options["id"]
        self.state = "ready"
        self._seq = 0
        self._lock = threading.Lock()
        self._target = ""  # the node that acknowledged the last heartbeat
        self._stop = threading.Event()

    def log(self, event: str, **fields: object) -> None:
        """Records an event."""
        append_event(Path(self.options["record"]), self._lock, self.id, event, fields)

    # Registration

    def _beat(self, method: str = "PUT") -> bool:
        """Calls the control nodes until one acknowledges; returns False if none does."""
        controls = list(self.options["controls"])
        random.shuffle(controls)
        for control in [self._target, *controls] if self._target else controls:
            answer = follow(
                control,
                method,
                f"/-/instances/{self.id}",
                {"Content-Type": "application/json"},
                b"" if method == "DELETE" else self._heartbeat(),
            )
            if answer.status == 200 and answer.is_complete:
                url = json.loads(answer.body or b"{}").get("beat_url", "")
                self._target = url.removeprefix("http://").partition("/")[0]
                return True
            self._target = ""
        return False

    def _heartbeat(self) -> bytes:
        self._seq += 1
        content = {
            "backend": self.options["service"],
            "addr": self.options["address"],
            "zone": self.options["zone"],
            "generation": "v1",
            "slots": self.options.get("slots", 8),
            "state": self.state,
            "cold_ms": 0,
            "seq": self._seq,
        }
        return json.dumps(content).encode()

    def _beat_forever(self) -> None:
        while not self._stop.is_set():
            self._beat()
            self._stop.wait(self.options["heartbeat_s"])

    def leave(self) -> None:
        """Leaves in order: says `draining` until that is acknowledged, serves on, deregisters and ends."""
        self.state = "draining"
        while not self._beat():
            time.sleep(0.1)
        self.log("drain-acknowledged")
        time.sleep(DRAIN_S + self.options.get("linger_s", 1.5))
        self._stop.set()
        self._beat("DELETE")
        self.log("ended")
        os._exit(0)

    # Requests

    def run(self) -> None:
        """Listens, registers, and serves until it is ended."""
        host, _, port = self.options["address"].rpartition(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if "window_bytes" in self.options:  # a small window and segments as on a network, not on loopback
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.options["window_bytes"])
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        listener.bind((host, int(port)))
        listener.listen(128)
        stopped = threading.Event()
        signal.signal(signal.SIGTERM, lambda *_: stopped.set())
        threading.Thread(target=self._accept_forever, args=(listener,), daemon=True).start()
        threading.Thread(target=self._beat_forever, daemon=True).start()
        stopped.wait()
        self.leave()

    def _accept_forever(self, listener: socket.socket) -> None:
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        try:
            with sock:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                while True:
                    while b"\r\n\r\n" not in data:
                        part = sock.recv(CHUNK_BYTES)
                        if not part:
                            return
                        data += part
                    head, _, data = data.partition(b"\r\n\r\n")
                    lines = head.decode("latin-1").split("\r\n")
                    pairs = (line.partition(":") for line in lines[1:])
                    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
                    method, path, _ = lines[0].split(" ")
                    rest = self.answer(sock, method, path, headers, data)
                    if rest is None:
                        return
                    data = rest
        except OSError:
            pass

    def answer(
        self, sock: socket.socket, method: str, path: str, headers: dict[str, str], data: bytes
    ) -> bytes | None:
        """Answers a request; `data` are the first bytes of its body.

        Returns the bytes after the body, None if the connection has ended.
        """
        raise NotImplementedError

    def signature(self, request_id: str) -> str:
        """Returns the stamp of an answer."""
        return f"{self.id}.{request_id}"


def read_body(sock: socket.socket, length: int, data: bytes) -> bytes | None:
    """Reads the rest of a body; returns all of it and what follows, None if the connection ended before."""
    while len(data) < length:
        part = sock.recv(CHUNK_BYTES)
        if not part:
            return None
        data += part
    return data


def main(kind: type[Server]) -> None:
    """Runs a server with the options of the command line."""
    kind(json.loads(sys.argv[1])).run()
