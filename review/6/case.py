"""A stream that breaks off is resumed at a server more than its route's `retries` allows."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

import rig  # noqa: E402

EVENTS = 13  # the mean length of a stream on a small site
STREAMS_PER_S, FOR_S = 30, 25.0
# The dose of `garble` on the small sites: 0.6 of the servers break off 0.03 of their answers.
SPOILING_SERVERS, SPOILED = 3, 0.03
RETRIES = 1
MOST_ALLOWED = 3  # BUDGET: "Over three client requests"
ROUTE = {
    "name": "draft",
    "hostname": rig.HOST,
    "path_prefix": "/draft/",
    "kind": "streaming",
    "timeout_ms": 6000,
    "target_ms": 800,
    "priority": 0,
    "backend": "llm",
    "retries": RETRIES,
    "resume": True,
    "gap_aim_ms": 300,
    "public": True,
}
CONFIGURATION = {
    "generation": 1,
    "routes": [ROUTE],
    "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 370}],
}


def event(number: int) -> bytes:
    """Returns one event of a stream as a chunk."""
    text = b"id: %d\ndata: piece %d\n\n" % (number, number)
    return b"%x\r\n%s\r\n" % (len(text), text)


class StreamServer(rig.Server):
    """Answers with a stream of `EVENTS` events; breaks off a share `spoiled` of them halfway."""

    def __init__(self, record: rig.Record, identity: str, ip: str, spoiled: float) -> None:
        super().__init__(record, identity, "llm", ip, self._handle)
        self._spoiled = spoiled

    async def _handle(self, server: rig.Server, request: rig.Message, writer: asyncio.StreamWriter) -> bool:
        fields = self.stamp(request) | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        await asyncio.sleep(0.05)
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        breaks_off = random.random() < self._spoiled
        for number in range(int(request.headers.get("last-event-id", "-1")) + 1, EVENTS):
            if breaks_off and number == EVENTS // 2:
                self.record.add(f"{self.identity}: breaks off {request.headers['request-id']}")
                writer.transport.abort()
                return False
            writer.write(event(number))
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        return True


async def send(deployment: rig.Deployment, edge: rig.Node, results: list[bool]) -> None:
    """Sends one request, and checks the stream that comes back."""
    request_id = rig.new_id()
    data = rig.request_bytes("POST", "/draft/1", request_id, {"Timeout-Ms": "6000"}, b"q" * 900)
    response = await rig.exchange((edge.ip, rig.FRONT_PORT), data, 6.0)
    text = b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(EVENTS))
    is_whole = response is not None and response.status == 200 and response.body == text
    results.append(is_whole)
    deployment.record.add(f"client: {request_id} at {edge.name}: {'whole' if is_whole else 'not whole'}")


async def case(record: rig.Record, has_trouble: bool) -> int:
    """Runs the case; returns its result."""
    deployment = rig.Deployment(record)
    servers = [
        StreamServer(
            record,
            f"i-{number}",
            f"{deployment.network}.{30 + number}",
            SPOILED if has_trouble and number <= SPOILING_SERVERS else 0.0,
        )
        for number in range(1, 6)
    ]
    results: list[bool] = []
    try:
        await deployment.start()
        await deployment.configure(CONFIGURATION, 0)
        for server in servers:
            await server.start(deployment.control_addresses)
        await deployment.wait_until_ready()
        await asyncio.sleep(4.0)
        pending = set()
        for number in range(int(STREAMS_PER_S * FOR_S)):
            edge = deployment.edges[number % len(deployment.edges)]
            pending.add(asyncio.create_task(send(deployment, edge, results)))
            await asyncio.sleep(1 / STREAMS_PER_S)
        await asyncio.wait(pending)
    finally:
        for server in servers:
            await server.end()
        await deployment.stop()
    ran_on: dict[str, set[str]] = defaultdict(set)
    for server in servers:
        for _, request in server.arrivals:
            ran_on[request.headers["request-id"]].add(server.identity)
    over = {request_id: where for request_id, where in ran_on.items() if len(where) > RETRIES}
    for request_id, where in over.items():
        record.add(f"{request_id} ran on {', '.join(sorted(where))}")
    record.say(f"{len(results)} requests, {sum(results)} of them answered with the whole stream")
    record.say(f"requests that ran on more than {RETRIES} server(s), none of which crashed: {len(over)}")
    return rig.BROKEN if len(over) > MOST_ALLOWED else rig.HELD


if __name__ == "__main__":
    rig.run_case(Path(__file__).resolve().parent, case)
