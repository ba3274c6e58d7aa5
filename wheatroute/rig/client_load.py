"""The clients of one node of the rig: they send requests at a given rate, and record each response."""

from __future__ import annotations

import random
import time
from typing import NamedTuple

import trio

from wheatroute.balancing.interface import Idempotency
from wheatroute.rig.addresses import Address
from wheatroute.rig.http_connection import CONNECTION_ERRORS, HttpConnection, HttpMessage
from wheatroute.rig.loop_lateness import MAX_EXCUSED_S
from wheatroute.rig.run_records import IDEMPOTENCY, NO_RESPONSE, ClientRequest, RunRecords

# A client waits for this long after the deadline of a request, to record a response that is late.
LATE_RESPONSE_WAIT_S = 1.0
# Interval between checks of the rate while it is 0.
IDLE_CHECK_INTERVAL_S = 0.02
DEFAULT_TIMEOUT_S = 2.0
BODY = b"go"


class ClassLoad(NamedTuple):
    """The weight by which a request class is drawn, and the idempotency of its requests."""

    weight: float
    idempotency: Idempotency


class ClientLoad:
    """An open-loop load: sends requests at its rate, however long responses take."""

    def __init__(self, node: str, address: Address, records: RunRecords, seed: int) -> None:
        self.rate = 0.0  # requests per second; 0 for none
        self.timeout_s = DEFAULT_TIMEOUT_S
        self._node = node
        self._address = address
        self._records = records
        self._rng = random.Random(f"{seed}/callers/{node}")
        self._classes: dict[str, ClassLoad] = {}
        self._idle: list[HttpConnection] = []
        self._request_count = 0

    def set_class(self, name: str, weight: float, effect: str) -> None:
        """Sets the weight of a request class; `effect` is the value of this key in the class's settings."""
        self._classes[name] = ClassLoad(weight, IDEMPOTENCY[effect])

    def clear_classes(self) -> None:
        """Removes all request classes."""
        self._classes.clear()

    async def run(self) -> None:
        """Sends requests at the rate until it is cancelled."""
        async with trio.open_nursery() as nursery:
            send_at = trio.current_time()
            while True:
                if self.rate <= 0.0:
                    await trio.sleep(IDLE_CHECK_INTERVAL_S)
                    send_at = trio.current_time()
                    continue
                send_at += self._rng.expovariate(self.rate)
                await trio.sleep_until(send_at)
                nursery.start_soon(self.send)

    async def send(self, request_class: str = "") -> ClientRequest:
        """Sends one request and waits until it ends; without a class, draws one by the weights."""
        request_class = request_class or self._draw_class()
        self._request_count += 1
        request_id = f"{self._node}-{self._request_count:06x}"
        message = self._message(request_class, request_id)
        request = ClientRequest(time.monotonic(), self._node, request_id, request_class, self.timeout_s)
        self._records.requests[request_id] = request
        with trio.move_on_after(self.timeout_s + LATE_RESPONSE_WAIT_S + MAX_EXCUSED_S):
            await self._exchange(request, message)
        request.ended_at = request.ended_at or time.monotonic()
        return request

    def _draw_class(self) -> str:
        names = sorted(self._classes)
        return self._rng.choices(names, [self._classes[name].weight for name in names])[0]

    def _message(self, request_class: str, request_id: str) -> bytes:
        idempotency = self._classes[request_class].idempotency
        method, body = ("GET", b"") if idempotency is Idempotency.IDEMPOTENT else ("POST", BODY)
        lines = [
            f"{method} /{request_class}/{self._request_count} HTTP/1.1",
            "Host: rig",
            f"Request-Id: {request_id}",
            f"Request-Timeout: {int(self.timeout_s * 1000)}m",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        if idempotency is Idempotency.KEYED:
            lines.append(f"Idempotency-Key: k-{request_id}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def _exchange(self, request: ClientRequest, message: bytes) -> None:
        """Sends a request, on an idle connection if there is one, and records its response.

        If no response arrives on an idle connection, the request is sent again on a new one, because the
        other side may have closed the idle connection before it read the request.
        """
        if self._idle and await self._exchange_on(self._idle.pop(), request, message):
            return
        try:
            connection = HttpConnection(await trio.open_tcp_stream(*self._address))
        except OSError:
            request.status = NO_RESPONSE
            return
        if not await self._exchange_on(connection, request, message):
            request.status = NO_RESPONSE

    async def _exchange_on(self, connection: HttpConnection, request: ClientRequest, message: bytes) -> bool:
        """Sends a request on this connection and records the response; returns whether one arrived."""
        try:
            await connection.stream.send_all(message)
            response = await connection.read_message()
        except CONNECTION_ERRORS:
            response = None
        except BaseException:
            connection.stream.socket.close()  # cancelled: the client stops waiting
            raise
        if response is None:
            await connection.stream.aclose()
            return False
        await self._record_response(connection, request, response)
        return True

    async def _record_response(
        self, connection: HttpConnection, request: ClientRequest, response: HttpMessage
    ) -> None:
        request.status = response.status
        request.ended_at = time.monotonic()
        request.response_count += 1
        if response.headers.get("connection", "").lower() == "close":
            await connection.stream.aclose()
        else:
            self._idle.append(connection)
