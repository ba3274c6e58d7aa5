"""A sound server: it reads a request whole, works on it for a short time, and answers."""

from __future__ import annotations

import socket
import time

from server_base import Server, main, read_body

WORK_S = 0.02


class SoundServer(Server):
    """Answers every request."""

    def answer(
        self, sock: socket.socket, method: str, path: str, headers: dict[str, str], data: bytes
    ) -> bytes | None:
        """Runs the request and answers it."""
        request_id, length = headers.get("request-id", ""), int(headers.get("content-length", 0))
        if (whole := read_body(sock, length, data)) is None:
            return None
        self.log("runs", request=request_id)
        time.sleep(WORK_S)
        body = f"{request_id} was run by {self.id}\n".encode()
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Server-Signature: {self.signature(request_id)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        sock.sendall(head.encode() + body)
        return whole[length:]


if __name__ == "__main__":
    main(SoundServer)
