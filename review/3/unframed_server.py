"""A server whose streams have no length: they end with their connection, as the pages allow."""

from __future__ import annotations

import socket
import time

from server_base import Server, main, read_body

EVENTS = 8
GAP_S = 0.1
HALF_S = 1.0  # time between the two halves of the first event


def events() -> list[bytes]:
    """Returns the events of a whole answer."""
    return [
        b"id: %d\ndata: a line of the quotation, number %d\n\n" % (one, one) for one in range(1, EVENTS + 1)
    ]


class UnframedServer(Server):
    """Streams its answer, the first event in two writes."""

    def answer(
        self, sock: socket.socket, method: str, path: str, headers: dict[str, str], data: bytes
    ) -> bytes | None:
        """Runs the request and streams the events; the connection ends with the answer."""
        request_id, length = headers.get("request-id", ""), int(headers.get("content-length", 0))
        if read_body(sock, length, data) is None:
            return None
        self.log("runs", request=request_id, path=path)
        head = (
            "HTTP/1.1 200 OK\r\n"
            "Content-Type: text/event-stream\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Server-Signature: {self.signature(request_id)}\r\n"
            "Connection: close\r\n\r\n"
        )
        first, *others = events()
        sock.sendall(head.encode() + first[:20])
        self.log("sent-half-of-the-first-event", request=request_id)
        time.sleep(HALF_S)
        sock.sendall(first[20:])
        for event in others:
            time.sleep(GAP_S)
            sock.sendall(event)
        self.log("sent-whole-answer", request=request_id, body_bytes=sum(map(len, events())))
        return None


if __name__ == "__main__":
    main(UnframedServer)
