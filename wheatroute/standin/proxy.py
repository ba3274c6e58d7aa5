"""A stand-in for a proxy that calls an external processor for each request, and for the servers behind it.

It generates an open-loop load over a few connections, with simulated servers of unequal speed, and records
the latency of each decision and the number of decisions for each request. It uses the published protocol with
a lightweight client. It never sends a request before its scheduled time, and sends the next one without
waiting for the decision.

    python -m wheatroute.standin.proxy 127.0.0.1:9002 --rate 500 --seconds 10
"""

from __future__ import annotations

import gc
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from pathlib import Path
from typing import Any

import click
import trio
from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingResponse
from hdrh.histogram import HdrHistogram

from wheatroute.grpc.messages import Headers, Status
from wheatroute.standin.ext_proc_messages import (
    NON_IDEMPOTENT,
    PATH,
    REQUEST_CLASSES,
    destination,
    request_headers,
    response_headers,
)
from wheatroute.standin.http2_client import Http2Client

CALL_HEADERS: Headers = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", PATH),
    (b":authority", b"processor"),
    (b"te", b"trailers"),
    (b"content-type", b"application/grpc"),
]
# For this long before an action is due the proxy polls the clock instead of sleeping.
SPIN_S = 0.0015
# Delay between connections, so that processes that share a listener get similar numbers of connections.
CONNECT_INTERVAL_S = 0.1
END_TIMEOUT_S = 5.0  # time after the last request within which open streams may still end
IDLE_SLEEP_S = 0.01  # sleep after the last request, while no action is due
MAX_DELAY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
SERVICE_TIME_S = 0.01  # mean service time of the fastest servers without congestion
# Number of speed classes of servers; a server's class is its port modulo SPEEDS. The mean service time of the
# classes is one, two or three times SERVICE_TIME_S.
SPEEDS = 3
CONGESTION_REQUESTS = 50  # requests in flight at a server that double its service time
MAX_ATTEMPTS = 2
# Messages of the processor on a stream: a decision, and a response to the server's response headers.
MAX_RESPONSES = 2


def histogram() -> HdrHistogram:
    """Returns an empty histogram of delays in microseconds."""
    return HdrHistogram(1, MAX_DELAY_US, SIGNIFICANT_DIGITS)


class Attempt:
    """One attempt of a request: a stream to the processor, and the response of the chosen server."""

    __slots__ = (
        "proxy",
        "client",
        "stream_id",
        "request_id",
        "request_class",
        "number",
        "started_at",
        "response_count",
        "server",
    )

    def __init__(self, proxy: Proxy, request_id: str, request_class: int, number: int) -> None:
        self.proxy = proxy
        self.request_id = request_id
        self.request_class = request_class
        self.number = number
        self.response_count = 0
        self.server = ""

    def start(self, client: Http2Client) -> None:
        """Opens the stream and sends the request's headers."""
        message = request_headers(self.request_id, self.request_class, self.number)
        self.client = client
        self.started_at = time.perf_counter()
        self.stream_id = client.open_call(message, self)

    def on_message(self, message: bytes) -> None:
        """Handles a message of the processor."""
        if self.response_count == 0:
            self.proxy.record_delay(time.perf_counter() - self.started_at)
        self.response_count += 1
        response = ProcessingResponse.FromString(message)
        response_type = response.WhichOneof("response")
        if response_type == "immediate_response":
            self.proxy.count[f"immediate_{response.immediate_response.status.code}"] += 1
        elif response_type == "request_headers":
            self.server = destination(response)
            self.proxy.on_decision(self)
        elif response_type == "response_headers":
            self.client.half_close(self.stream_id)
        if self.response_count > MAX_RESPONSES:
            self.proxy.count["answers_too_many"] += 1

    def on_end(self, status: int) -> None:
        """Reports the end of the stream to the proxy."""
        self.proxy.on_end(self, status)


class Schedule:
    """Runs actions at given times, in the order of these times."""

    def __init__(self) -> None:
        # Actions with the time at which they are due and their sequence number.
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._added_count = 0  # orders actions that are due at the same time

    def add(self, due: float, action: Callable[[], None]) -> None:
        """Schedules an action for a time of trio's clock."""
        self._added_count += 1
        heappush(self._heap, (due, self._added_count, action))

    def run_due(self, now: float) -> None:
        """Runs all actions that are due."""
        while self._heap and self._heap[0][0] <= now:
            heappop(self._heap)[2]()

    @property
    def next_due(self) -> float:
        """The time at which the next action is due; infinity if there is none."""
        return self._heap[0][0] if self._heap else float("inf")


@dataclass(frozen=True)
class LoadOptions:
    """The load that a proxy generates."""

    rate: float  # requests per second
    duration_s: float
    connections: int
    seed: int
    # Fraction of attempts whose stream is reset, so that the processor never learns their outcome.
    vanish_ratio: float = 0.0


class Proxy:
    """Sends requests at random times with a constant mean rate, independent of earlier requests' outcomes."""

    def __init__(self, address: tuple[str, int], options: LoadOptions) -> None:
        self.delays = histogram()
        self.count: Counter[str] = Counter()
        # Times of the decisions by server, in seconds of the monotonic clock.
        self.decided_at: dict[str, list[float]] = {}
        self._options = options
        self._rng = random.Random(options.seed)
        self._clients = [Http2Client(address, CALL_HEADERS) for _ in range(options.connections)]
        self._schedule = Schedule()
        # Number of decisions by request id, for requests that are not idempotent.
        self._unsafe_decisions: Counter[str] = Counter()
        self._in_flight: Counter[str] = Counter()  # requests in flight by server
        self._open_count = 0  # number of open streams

    async def run(self) -> None:
        """Sends requests for the given time, then waits for the open streams to end."""
        async with trio.open_nursery() as nursery:
            for client in self._clients:
                await client.connect()
                nursery.start_soon(client.run)
                await trio.sleep(CONNECT_INTERVAL_S)
            await self._send_requests()
            nursery.cancel_scope.cancel()

    async def _send_requests(self) -> None:
        next_at = trio.current_time()
        end = next_at + self._options.duration_s
        sent_count = 0
        while True:
            now = trio.current_time()
            while next_at <= now and next_at < end:
                request_id = f"{self._options.seed:x}-{sent_count:x}"
                self._start_attempt(request_id, self._rng.randrange(len(REQUEST_CLASSES)), 1)
                sent_count += 1
                next_at += self._rng.expovariate(self._options.rate)
            self._schedule.run_due(now)
            if next_at >= end and not self._open_count or now > end + END_TIMEOUT_S:
                return
            next_send = next_at if next_at < end else now + IDLE_SLEEP_S
            await _sleep_until_shortly_before(min(self._schedule.next_due, next_send), now)

    def _start_attempt(self, request_id: str, request_class: int, number: int) -> None:
        self.count["requests"] += 1
        clients = [client for client in self._clients if client.is_open]
        if not clients:
            self.count["not_asked"] += 1
            return
        self._open_count += 1
        client = clients[self._rng.randrange(len(clients))]
        Attempt(self, request_id, request_class, number).start(client)

    def record_delay(self, delay_s: float) -> None:
        """Records the latency of a decision."""
        self.delays.record_value(max(1, int(delay_s * 1e6)))

    def on_decision(self, attempt: Attempt) -> None:
        """Sends an attempt to the chosen server; schedules its response, or a reset of the stream."""
        self.count["decisions"] += 1
        if attempt.request_class == NON_IDEMPOTENT:
            self._unsafe_decisions[attempt.request_id] += 1
        self.decided_at.setdefault(attempt.server, []).append(time.monotonic())
        self._in_flight[attempt.server] += 1
        service_time_s = self._draw_service_time(attempt.server)
        has_vanished = self._rng.random() < self._options.vanish_ratio
        action = self._vanish if has_vanished else self._respond
        self._schedule.add(trio.current_time() + service_time_s, lambda: action(attempt))

    def _draw_service_time(self, server: str) -> float:
        """Returns a random service time in seconds; it rises with the server's number of requests in flight.

        The port of a server determines its speed class, see `SPEEDS`.
        """
        port = int(server.rsplit(":", 1)[1])
        congestion = 1 + self._in_flight[server] / CONGESTION_REQUESTS
        return SERVICE_TIME_S * (1 + port % SPEEDS) * self._rng.uniform(0.5, 1.5) * congestion

    def _respond(self, attempt: Attempt) -> None:
        self._in_flight[attempt.server] -= 1
        load = f"TEXT named_metrics.inflight={self._in_flight[attempt.server]}"
        if attempt.client.is_open:
            attempt.client.send(attempt.stream_id, response_headers(200, endpoint_load_metrics=load))

    def _vanish(self, attempt: Attempt) -> None:
        """Resets the stream without response headers; retries with the same id, up to MAX_ATTEMPTS in all."""
        self._in_flight[attempt.server] -= 1
        self.count["vanished"] += 1
        attempt.client.cancel(attempt.stream_id)
        self._open_count -= 1
        if attempt.number < MAX_ATTEMPTS:
            self._start_attempt(attempt.request_id, attempt.request_class, attempt.number + 1)

    def on_end(self, attempt: Attempt, status: int) -> None:
        """Counts how a stream ended."""
        self._open_count -= 1
        if attempt.response_count == 0:
            self.count["unanswered"] += 1
        if status != Status.OK:
            self.count[f"ended_{Status(status).name.lower() if status >= 0 else 'reset'}"] += 1

    def report(self) -> dict[str, Any]:
        """Returns the counts and the encoded histogram as a JSON object.

        `unsafe_twice` is the number of non-idempotent requests with more than one decision.
        """
        return {
            "count": dict(self.count),
            "delays": self.delays.encode().decode(),
            "unsafe_twice": sum(count > 1 for count in self._unsafe_decisions.values()),
        }


async def _sleep_until_shortly_before(due: float, now: float) -> None:
    """Sleeps until `SPIN_S` before a time, or only lets other tasks run if that time has come.

    The system's timer has a resolution of one millisecond: without this requests would be sent in bursts.
    """
    if due - now > SPIN_S:
        await trio.sleep_until(due - SPIN_S)
    else:
        await trio.lowlevel.checkpoint()


def _tune_garbage_collection() -> None:
    """Makes garbage collections rare, so that they are not measured as delays of the processor."""
    gc.freeze()
    gc.set_threshold(10000, 20, 50)


def _print_report(proxy: Proxy) -> None:
    for name, number in sorted(proxy.count.items()):
        click.echo(f"{name} {number}")
    for percentile in (50, 99, 99.9, 100):
        delay_ms = proxy.delays.get_value_at_percentile(percentile) / 1000
        click.echo(f"p{percentile:g} {delay_ms:.2f} ms")


@click.command()
@click.argument("address")
@click.option("--rate", type=float, default=500.0, help="requests per second")
@click.option("--seconds", type=float, default=5.0)
@click.option("--connections", type=int, default=2)
@click.option("--seed", type=int, default=1)
@click.option("--vanish", type=float, default=0.0, help="fraction of attempts whose stream is reset")
@click.option("--seen", type=click.Path(), help="file for the times of the decisions by server, as JSON")
@click.option("--json", "as_json", is_flag=True, help="print one JSON object with the encoded histogram")
def main(
    address: str,
    rate: float,
    seconds: float,
    connections: int,
    seed: int,
    vanish: float,
    seen: str | None,
    as_json: bool,
) -> None:
    """Sends requests to the external processor at ADDRESS and prints the results."""
    host, _, port = address.rpartition(":")
    proxy = Proxy((host, int(port)), LoadOptions(rate, seconds, connections, seed, vanish))
    _tune_garbage_collection()
    trio.run(proxy.run)
    if seen is not None:
        Path(seen).write_text(json.dumps(proxy.decided_at))
    if as_json:
        click.echo(json.dumps(proxy.report()))
    else:
        _print_report(proxy)


if __name__ == "__main__":
    main()
