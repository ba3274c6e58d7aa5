"""A small HTTP/1.1 client that tells whether an answer is complete by its framing (RFC 9112, 6.3)."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field

CHUNK_BYTES = 65536


@dataclass
class Answer:
    """What a client has received; status 0 if there was no answer."""

    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    is_complete: bool = False  # whether the framing says that this is the whole answer
    error: str = ""

    def header(self, name: str) -> str:
        """Returns the first value of a header, an empty string without one."""
        return next((value for key, value in self.headers if key == name), "")


def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Answer:
    """Sends one request on a new connection, and reads the answer to its end."""
    host, _, port = address.rpartition(":")
    fields = {"Host": address, "Content-Length": str(len(body)), **headers}
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    answer = Answer()
    try:
        with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
            sock.settimeout(timeout_s)
            sock.sendall(head.encode() + b"\r\n" + body)
            _read_answer(sock, answer)
    except OSError as error:
        answer.error = str(error) or type(error).__name__
    return answer


def _read_answer(sock: socket.socket, answer: Answer) -> None:
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(CHUNK_BYTES)
        if not part:
            answer.error = "closed before the head"
            return
        data += part
    head, _, data = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    pairs = (line.partition(":") for line in lines[1:])
    answer.headers = [(name.strip().lower(), value.strip()) for name, _, value in pairs]
    if answer.header("transfer-encoding").lower() == "chunked":
        _read_chunks(sock, data, answer)
    elif answer.header("content-length"):
        _read_length(sock, data, int(answer.header("content-length")), answer)
    else:
        answer.body, answer.is_complete = data + _read_to_end(sock), True


def _read_to_end(sock: socket.socket) -> bytes:
    data = b""
    while part := sock.recv(CHUNK_BYTES):
        data += part
    return data


def _read_length(sock: socket.socket, data: bytes, length: int, answer: Answer) -> None:
    while len(data) < length:
        part = sock.recv(CHUNK_BYTES)
        if not part:
            answer.body, answer.error = data, "closed before the end"
            return
        data += part
    answer.body, answer.is_complete = data[:length], True


def _read_chunks(sock: socket.socket, data: bytes, answer: Answer) -> None:
    while True:
        while b"\r\n" not in data:
            part = sock.recv(CHUNK_BYTES)
            if not part:
                answer.error = "closed before the last chunk"
                return
            data += part
        line, _, data = data.partition(b"\r\n")
        size = int(line.partition(b";")[0], 16)
        while len(data) < size + 2:
            part = sock.recv(CHUNK_BYTES)
            if not part:
                answer.body += data[:size]
                answer.error = "closed inside a chunk"
                return
            data += part
        answer.body += data[:size]
        data = data[size + 2 :]
        if size == 0:
            answer.is_complete = True
            return
