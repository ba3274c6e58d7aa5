"""A simulated server of the rig: runs requests, records each one, and fails a given ratio of them."""

from __future__ import annotations

import random
import time
from collections.abc import Mapping

import trio

from wheatroute.rig.addresses import Address
from wheatroute.rig.http_connection import HttpConnection, HttpMessage
from wheatroute.rig.run_records import Execution, ExecutionOutcome, RunRecords

MEAN_SERVICE_TIME_S = 0.01
LOAD_REQUEST_START = "GET /metrics/load "  # the start of a node's request for the load report


class Server:
    """Runs each request for a random time, then fails some of them.

    The ratios of failed requests are from 0 to 1, and their sum is at most 1.
    """

    def __init__(self, name: str, zone: str, cell: int, records: RunRecords, seed: int) -> None:
        self.name = name
        self.zone = zone
        self.cell = cell
        self.mean_service_time_s = MEAN_SERVICE_TIME_S
        self.reset_ratio = 0.0  # requests whose connection is closed without a response
        self.error_ratio = 0.0  # requests answered with status 500
        self.unanswered_ratio = 0.0  # requests never answered, with the connection left open
        self._in_flight = 0
        self._records = records
        self._rng = random.Random(f"{seed}/{name}")

    async def serve(self, stream: trio.SocketStream, node: str, sent_at: Mapping[Address, float]) -> None:
        """Serves one connection of a node.

        `sent_at` is the attribute of the connection's `TcpLink`: by the address from which the link
        connected, the time when the last bytes left the node. Without an entry, the time of reading is
        recorded.
        """
        connection = HttpConnection(stream)
        peer: Address = stream.socket.getpeername()
        while (request := await connection.read_message()) is not None:
            if request.start_line.startswith(LOAD_REQUEST_START):
                await connection.send_response(200, self._load_report().encode())
                continue
            # the execution is recorded as soon as the whole request has been read
            now = time.monotonic()
            outcome = self._draw_outcome()
            self._record(request, node, now, sent_at.get(peer, now), outcome)
            await self._run()
            if outcome is ExecutionOutcome.RESET:
                return
            if outcome is ExecutionOutcome.UNANSWERED:
                await trio.sleep_forever()
            status = 200 if outcome is ExecutionOutcome.ANSWERED else 500
            await connection.send_response(status, b"done", Server_Load=self._load_report())

    def _draw_outcome(self) -> ExecutionOutcome:
        draw = self._rng.random()
        if draw < self.reset_ratio:
            return ExecutionOutcome.RESET
        if draw < self.reset_ratio + self.error_ratio:
            return ExecutionOutcome.ERROR
        if draw < self.reset_ratio + self.error_ratio + self.unanswered_ratio:
            return ExecutionOutcome.UNANSWERED
        return ExecutionOutcome.ANSWERED

    def _record(
        self, request: HttpMessage, node: str, now: float, sent_at: float, outcome: ExecutionOutcome
    ) -> None:
        self._records.executions.append(
            Execution(
                started_at=now,
                server=self.name,
                zone=self.zone,
                cell=self.cell,
                node=node,
                request_id=request.headers.get("request-id", ""),
                request_class=request.path.lstrip("/").split("/", 1)[0],
                outcome=outcome,
                sent_at=sent_at,
            )
        )

    async def _run(self) -> None:
        self._in_flight += 1
        try:
            await trio.sleep(self._rng.expovariate(1.0 / self.mean_service_time_s))
        finally:
            self._in_flight -= 1

    def _load_report(self) -> str:
        return f"TEXT active={self._in_flight}"
