"""A stand-in for a proxy that asks an external processor for each request, with the servers behind it.

Owns an open loop of requests over a few connections, servers of unequal speed, and what it saw: how long
each decision took, how many decisions a request got. It speaks the published protocol over the client of
this repository, and never asks before the time that its pace gives, nor waits for an answer to ask again.

    python -m wheatroute.standin.proxy 127.0.0.1:9002 --rate 500 --seconds 10
"""

from __future__ import annotations

import gc
import json
import random
import time
from collections import Counter
from heapq import heappop, heappush
from pathlib import Path
from typing import Any

import click
import trio
from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingRequest, ProcessingResponse
from hdrh.histogram import HdrHistogram

from wheatroute.grpc.messages import Headers, Status
from wheatroute.standin.lean import Lean

PATH = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
DESTINATION = "x-gateway-destination-endpoint"
KINDS = (("view", "GET"), ("amend", "POST"), ("place", "POST"))
HEAD: Headers = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", PATH),
    (b":authority", b"processor"),
    (b"te", b"trailers"),
    (b"content-type", b"application/grpc"),
]
FINE = 0.0015  # seconds before something is due in which the clock is watched and not slept by
SETTLE = 0.1  # seconds between two connections
HIGHEST = 60_000_000  # microseconds that the histogram holds


def histogram() -> HdrHistogram:
    """A histogram of delays in microseconds."""
    return HdrHistogram(1, HIGHEST, 3)


def request_headers(name: str, kind: int, attempt: int, time_out: float = 2.0, **more: str) -> bytes:
    """The first message of a stream."""
    message = ProcessingRequest()
    told = {
        ":method": KINDS[kind][1],
        ":path": f"/{KINDS[kind][0]}/7",
        ":authority": "shop.local",
        "x-request-id": name,
        "request-timeout": f"{int(time_out * 1000)}m",
        "user-agent": "stand-in",
        "x-envoy-attempt-count": str(attempt),
        "x-forwarded-proto": "http",
        "accept": "*/*",
    }
    if kind == 1:
        told["idempotency-key"] = name
    for key, value in (told | more).items():
        one = message.request_headers.headers.headers.add()
        one.key, one.raw_value = key, value.encode()
    message.request_headers.end_of_stream = kind == 0
    return message.SerializeToString()


def response_headers(status: int, **more: str) -> bytes:
    """The message with a server's response headers."""
    message = ProcessingRequest()
    for key, value in ({":status": str(status), "content-type": "text/plain"} | more).items():
        one = message.response_headers.headers.headers.add()
        one.key, one.raw_value = key.replace("_", "-"), value.encode()
    return message.SerializeToString()


def destination(answer: Any) -> str:
    """The server that a decision names; empty for none."""
    for one in answer.request_headers.response.header_mutation.set_headers:
        if one.header.key == DESTINATION:
            return bytes(one.header.raw_value).decode()
    return ""


class Request:
    """One stream: asked, decided, answered by its server, ended."""

    __slots__ = ("proxy", "line", "number", "name", "kind", "attempt", "began", "answers", "place")

    def __init__(self, proxy: Proxy, name: str, kind: int, attempt: int) -> None:
        self.proxy, self.name, self.kind, self.attempt = proxy, name, kind, attempt
        self.answers, self.place = 0, ""

    def ask(self, line: Lean) -> None:
        """Opens the stream with the request's headers."""
        message = request_headers(self.name, self.kind, self.attempt)
        self.line, self.began = line, time.perf_counter()
        self.number = line.open(message, self)

    def message(self, message: bytes) -> None:
        """Handles a decision of the processor."""
        if self.answers == 0:
            self.proxy.delays.record_value(max(1, int((time.perf_counter() - self.began) * 1e6)))
        self.answers += 1
        answer = ProcessingResponse.FromString(message)
        which = answer.WhichOneof("response")
        if which == "immediate_response":
            self.proxy.count[f"immediate_{answer.immediate_response.status.code}"] += 1
        elif which == "request_headers":
            self.place = destination(answer)
            self.proxy.decided(self)
        elif which == "response_headers":
            self.line.half_close(self.number)
        if self.answers > 2:
            self.proxy.count["answers_too_many"] += 1

    def over(self, status: int) -> None:
        """The stream has ended."""
        self.proxy.ended(self, status)


class Proxy:
    """Asks at an even pace, with a little chance, whatever becomes of what was asked before."""

    def __init__(
        self,
        place: tuple[str, int],
        rate: float,
        seconds: float,
        connections: int,
        seed: int,
        vanish: float = 0.0,
    ) -> None:
        self._rate, self._seconds, self._vanish = rate, seconds, vanish
        self._chance, self._seed = random.Random(seed), seed
        self.lines = [Lean(place, HEAD) for _ in range(connections)]
        self.delays = histogram()
        self.count: Counter[str] = Counter()
        self._heap: list[tuple[float, int, Any]] = []  # what comes due: requests, and answers of servers
        self._order = 0
        self._decisions: dict[str, int] = {}  # of unsafe requests
        self._crowd: Counter[str] = Counter()
        self._open = 0
        self.seen: dict[str, list[float]] = {}  # when each server was decided for, on the machine's clock

    async def run(self) -> None:
        """Sends requests for the given time, and waits for the answers."""
        async with trio.open_nursery() as nursery:
            for line in self.lines:
                await line.connect()
                nursery.start_soon(line.run)
                await trio.sleep(SETTLE)  # so that processes that share a listener share the connections
            await self._loop()
            nursery.cancel_scope.cancel()

    async def _loop(self) -> None:
        begin, asked = trio.current_time(), 0
        end = begin + self._seconds
        next_at = begin
        while True:
            moment = trio.current_time()
            while next_at <= moment and next_at < end:
                self._ask(f"{self._seed:x}-{asked:x}", self._chance.randrange(3), 1)
                asked += 1
                next_at += self._chance.expovariate(self._rate)
            while self._heap and self._heap[0][0] <= moment:
                heappop(self._heap)[2]()
            if next_at >= end and not self._open or moment > end + 5.0:
                return
            due = self._heap[0][0] if self._heap else end + 9.0
            due = min(due, next_at if next_at < end else moment + 0.01)
            if due - moment > FINE:
                await trio.sleep_until(due - FINE)
            else:
                # guards against requests sent in clumps: the system's timer knows whole milliseconds only
                await trio.lowlevel.checkpoint()

    def _ask(self, name: str, kind: int, attempt: int) -> None:
        one = Request(self, name, kind, attempt)
        self.count["requests"] += 1
        up = [line for line in self.lines if line.up]
        if up:
            self._open += 1
            one.ask(up[self._chance.randrange(len(up))])
        else:
            self.count["not_asked"] += 1

    def _later(self, moment: float, what: Any) -> None:
        self._order += 1
        heappush(self._heap, (moment, self._order, what))

    def decided(self, one: Request) -> None:
        """The server gets the request: those with higher ports are slower, and slower yet when crowded."""
        self.count["decisions"] += 1
        if one.kind == 2:
            self._decisions[one.name] = self._decisions.get(one.name, 0) + 1
        self.seen.setdefault(one.place, []).append(time.monotonic())
        port = int(one.place.rsplit(":", 1)[1])
        self._crowd[one.place] += 1
        took = 0.01 * (1 + port % 3) * self._chance.uniform(0.5, 1.5) * (1 + self._crowd[one.place] / 50)
        gone = self._chance.random() < self._vanish
        self._later(trio.current_time() + took, lambda: self._vanished(one) if gone else self._respond(one))

    def _respond(self, one: Request) -> None:
        self._crowd[one.place] -= 1
        load = f"TEXT named_metrics.inflight={self._crowd[one.place]}"
        if one.line.up:
            one.line.send(one.number, response_headers(200, endpoint_load_metrics=load))

    def _vanished(self, one: Request) -> None:
        """The stream ends without the response's headers; the proxy tries once more under the same id."""
        self._crowd[one.place] -= 1
        self.count["vanished"] += 1
        one.line.cancel(one.number)
        self._open -= 1
        if one.attempt == 1:
            self._ask(one.name, one.kind, 2)

    def ended(self, one: Request, status: int) -> None:
        """Counts how a stream ended."""
        self._open -= 1
        if one.answers == 0:
            self.count["unanswered"] += 1
        if status != Status.OK:
            self.count[f"ended_{Status(status).name.lower() if status >= 0 else 'reset'}"] += 1

    def report(self) -> dict[str, Any]:
        """What was seen, as a JSON object."""
        return {
            "count": dict(self.count),
            "delays": self.delays.encode().decode(),
            "unsafe_twice": sum(1 for n in self._decisions.values() if n > 1),
        }


@click.command()
@click.argument("place")
@click.option("--rate", type=float, default=500.0, help="requests a second")
@click.option("--seconds", type=float, default=5.0)
@click.option("--connections", type=int, default=2)
@click.option("--seed", type=int, default=1)
@click.option("--vanish", type=float, default=0.0, help="share of requests whose end is never told")
@click.option("--seen", type=click.Path(), help="writes there when each server was decided for")
@click.option("--json", "as_json", is_flag=True, help="one JSON object, the histogram encoded")
def main(
    place: str,
    rate: float,
    seconds: float,
    connections: int,
    seed: int,
    vanish: float,
    seen: str | None,
    as_json: bool,
) -> None:
    """Asks the external processor at PLACE for decisions and says what it saw."""
    host, _, port = place.rpartition(":")
    proxy = Proxy((host, int(port)), rate, seconds, connections, seed, vanish)
    gc.freeze()
    gc.set_threshold(10000, 20, 50)
    trio.run(proxy.run)
    if seen is not None:
        Path(seen).write_text(json.dumps(proxy.seen))
    if as_json:
        click.echo(json.dumps(proxy.report()))
        return
    for name, number in sorted(proxy.count.items()):
        click.echo(f"{name} {number}")
    for part in (50, 99, 99.9, 100):
        click.echo(f"p{part:g} {proxy.delays.get_value_at_percentile(part) / 1000:.2f} ms")


if __name__ == "__main__":
    main()
