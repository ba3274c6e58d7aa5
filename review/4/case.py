"""An edge node that was frozen while a server left keeps it for good, once the primary has changed."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

import rig  # noqa: E402

DRAIN_S = rig.BOUNDS["drain_ms"] / 1000
CONTACT_S = rig.BOUNDS["contact_ms"] / 1000
FROZEN_S = 3.5  # `node_freeze` lasts 3.2 to 4.0 s on adomako-fx, 5 where nothing is said
GONE_AFTER_S, KILLED_AFTER_S = 1.0, 2.0  # from the start of the freeze
SERVE_ON_S = 10.0  # from the acknowledgement of the DELETE to the server's end
REQUESTS_PER_S = 90
EDGES = 9  # as on lts-tenun; 0.1 of them, one, is frozen
ROUTE = {
    "name": "lookup",
    "hostname": rig.HOST,
    "path_prefix": "/lookup/",
    "kind": "unsafe",
    "timeout_ms": 1500,
    "target_ms": 200,
    "priority": 0,
    "backend": "records",
    "retries": 1,
    "public": True,
}
CONFIGURATION = {
    "generation": 1,
    "routes": [ROUTE],
    "services": [{"name": "records", "health_path": "/healthz", "max_conns": 110}],
}


async def answer(server: rig.Server, request: rig.Message, writer: asyncio.StreamWriter) -> bool:
    """Answers after the time that a look-up takes."""
    await asyncio.sleep(0.045)
    server.answer(request, writer, b"x" * 800)
    return True


async def send_requests(deployment: rig.Deployment, answers: list[tuple[str, int]]) -> None:
    """Sends requests to the edge nodes in turn, each on a new connection, until cancelled."""
    pending: set[asyncio.Task[None]] = set()

    async def send(edge: rig.Node) -> None:
        request_id = rig.new_id()
        data = rig.request_bytes("POST", "/lookup/1", request_id, {"Timeout-Ms": "1500"}, b"q" * 600)
        response = await rig.exchange((edge.ip, rig.FRONT_PORT), data, 1.5)
        status = response.status if response is not None else 0
        answers.append((request_id, status))
        deployment.record.add(f"client: {request_id} at {edge.name}: {status or 'no answer'}")

    number = 0
    while True:
        task = asyncio.create_task(send(deployment.edges[number % len(deployment.edges)]))
        pending.add(task)
        task.add_done_callback(pending.discard)
        number += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def case(record: rig.Record, has_trouble: bool) -> int:
    """Runs the case; returns its result."""
    deployment = rig.Deployment(record, EDGES)
    servers = [
        rig.Server(record, f"i-{number}", "records", f"{deployment.network}.{30 + number}", answer)
        for number in range(1, 4)
    ]
    load = None
    try:
        await deployment.start()
        await deployment.configure(CONFIGURATION, 0)
        for server in servers:
            await server.start(deployment.control_addresses)
        await deployment.wait_until_ready()
        await asyncio.sleep(2.0)
        answers: list[tuple[str, int]] = []
        load = asyncio.create_task(send_requests(deployment, answers))
        await asyncio.sleep(2.0)
        return await _leave(record, deployment, servers[0], answers, has_trouble)
    finally:
        if load is not None:
            load.cancel()
        for server in servers:
            await server.end()
        await deployment.stop()


async def _leave(
    record: rig.Record,
    deployment: rig.Deployment,
    leaver: rig.Server,
    answers: list[tuple[str, int]],
    has_trouble: bool,
) -> int:
    """Has a server leave while an edge node is frozen, and kills the primary; returns the result."""
    primary = deployment.primary()
    if primary is None:
        raise rig.CannotRunError("no primary")
    frozen = deployment.edges[0]
    if has_trouble:
        frozen.send(signal.SIGSTOP)
        record.say(f"{frozen.name}: frozen")
    await asyncio.sleep(GONE_AFTER_S)

    # The planned end: DELETE first, then the server serves on.
    await leaver.stop_beats()
    path = f"/-/instances/{leaver.identity}"
    gone = await rig.call_control((primary.ip, rig.CONTROL_PORT), "DELETE", path, None)
    if gone is None or gone.status != 200:
        raise rig.CannotRunError("the DELETE was not acknowledged")
    gone_at = time.monotonic()
    record.say(f"{leaver.identity}: DELETE acknowledged by {primary.name}")
    touched_at = 0.0
    if has_trouble:
        await asyncio.sleep(KILLED_AFTER_S - GONE_AFTER_S)
        primary.send(signal.SIGKILL)
        record.say(f"{primary.name}: killed")
        await asyncio.sleep(FROZEN_S - KILLED_AFTER_S)
        frozen.send(signal.SIGCONT)
        touched_at = time.monotonic() + CONTACT_S
        record.say(f"{frozen.name}: thawed")
    await asyncio.sleep(gone_at + SERVE_ON_S - time.monotonic())

    # The server ends: what it still runs breaks off.
    await leaver.end()
    ended_at = time.monotonic()
    await asyncio.sleep(0.5)
    counted_from = max(gone_at + DRAIN_S, touched_at)
    late = [request.headers["request-id"] for at, request in leaver.arrivals if at > counted_from]
    early = [at for at, _ in leaver.arrivals if gone_at + 0.2 < at <= counted_from]
    served = sum(1 for _, status in answers if status == 200)
    cut = [one for one in answers if one[0] in late and one[1] != 200]
    record.say(f"{len(answers)} requests answered, {served} of them with 200")
    record.say(f"arrivals at {leaver.identity} from 0.2 s after its DELETE until then: {len(early)}")
    record.say(
        f"arrivals at {leaver.identity} later than drain_ms after its DELETE was acknowledged, from edge "
        f"nodes in touch: {len(late)}, of which without a success: {len(cut)}; it ended "
        f"{ended_at - gone_at:.1f} s after the acknowledgement"
    )
    record.add(json.dumps(late))
    return rig.BROKEN if late else rig.HELD


if __name__ == "__main__":
    rig.run_case(Path(__file__).resolve().parent, case)
