"""The endpoints of the rig: servers that keep a ledger, list services, and clients that ask in the open.

Owns the records' facts: a server writes down a request in the moment in which it is whole, a client each
answer in the moment in which it is whole. They must never look at the program's own word for anything.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any

import trio

from wheatroute.rig.loop_lateness import MAX_EXCUSED_S
from wheatroute.rig.run_records import ClientRequest, Execution, RunRecords

LONGEST_HEAD = 65536
PATIENCE = 1.0  # seconds beyond its deadline that a client waits, to see an answer that comes late
BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, ValueError)
Head = tuple[str, dict[str, str], bytes]


class Line:
    """HTTP/1.1 messages on one connection, as the rig's own clients and servers write them."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self._buffer = stream, b""

    async def message(self) -> Head | None:
        """First line, headers in lower case, body; None at the end of the stream."""
        while b"\r\n\r\n" not in self._buffer:
            if len(self._buffer) > LONGEST_HEAD or not await self._more():
                return None
        head, self._buffer = self._buffer.split(b"\r\n\r\n", 1)
        first, *rest = head.decode("latin-1").split("\r\n")
        parts = (one.partition(":") for one in rest)
        headers = {name.strip().lower(): value.strip() for name, _, value in parts}
        length = int(headers.get("content-length", "0"))
        while len(self._buffer) < length:
            if not await self._more():
                return None
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return first, headers, body

    async def _more(self) -> bool:
        data = await self.stream.receive_some(65536)
        self._buffer += data
        return bool(data)

    async def answer(self, status: int, body: bytes, **headers: str) -> None:
        """Sends a response."""
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        await self.stream.send_all("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def listen(serve: Callable[[trio.SocketStream], Any], nursery: trio.Nursery) -> tuple[str, int]:
    """Serves on a place that the kernel gives; returns it."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=512)
    place: tuple[str, int] = listeners[0].socket.getsockname()

    async def guarded(stream: trio.SocketStream) -> None:
        async with stream:
            with suppress(*BROKEN):
                await serve(stream)

    nursery.start_soon(lambda: trio.serve_listeners(guarded, listeners, handler_nursery=nursery))
    return place


class Server:
    """A server: takes so long, and after having run ends a share of the connections with no answer."""

    def __init__(self, name: str, zone: str, cell: int, records: RunRecords, seed: int) -> None:
        self.name, self.zone, self.cell, self._records = name, zone, cell, records
        self._chance = random.Random(f"{seed}/{name}")
        self.takes = 0.01
        self.reset = self.error = self.silent = 0.0  # shares of what it has run
        self.held = 0

    async def serve(
        self, stream: trio.SocketStream, node: str, sent: Mapping[tuple[str, int], float]
    ) -> None:
        """One connection; `sent` says when the last bytes on it left the node, by its place at this side."""
        line, place = Line(stream), stream.socket.getpeername()
        while (message := await line.message()) is not None:
            first, headers, _ = message
            if first.startswith("GET /metrics/load "):
                await line.answer(200, f"TEXT active={self.held}".encode())
                continue
            chance = self._chance.random()
            how = (
                "reset"
                if chance < self.reset
                else "error"
                if chance < self.reset + self.error
                else "silent"
                if chance < self.reset + self.error + self.silent
                else "answered"
            )
            kind = first.split(" ")[1].lstrip("/").split("/", 1)[0]
            at = time.monotonic()
            self._records.executions.append(
                Execution(
                    at,
                    self.name,
                    self.zone,
                    self.cell,
                    node,
                    headers.get("request-id", ""),
                    kind,
                    how,
                    sent.get(place, at),
                )
            )
            self.held += 1
            try:
                await trio.sleep(self._chance.expovariate(1.0 / self.takes))
            finally:
                self.held -= 1
            if how == "reset":
                return
            if how == "silent":
                await trio.sleep_forever()
            status = 200 if how == "answered" else 500
            await line.answer(status, b"done", Server_Load=f"TEXT active={self.held}")


class ListService:
    """One node's agent of the list; `say` changes what it tells."""

    def __init__(self) -> None:
        self.version = 1
        self.servers: dict[str, dict[str, Any]] = {}
        self._before: dict[str, dict[str, Any]] = {}  # as they were
        self._news = trio.Event()

    def say(self, entry: dict[str, Any]) -> None:
        """Changes an entry of the list."""
        self._before[entry["id"]] = self.servers.get(entry["id"], entry | {"_since": 0})
        self.servers[entry["id"]] = entry | {"_since": self.version + 1}
        self.version += 1
        news, self._news = self._news, trio.Event()
        news.set()

    def put_back(self, versions: int) -> None:
        """An older state, as a service restored from a backup has it; whoever watches is told all of it."""
        self.version -= versions
        for name, one in list(self.servers.items()):
            if one["_since"] > self.version:
                self.servers[name] = self._before[name]
        news, self._news = self._news, trio.Event()
        news.set()

    def _told(self, after: int) -> bytes:
        found = [
            {key: value for key, value in one.items() if key != "_since"}
            for one in self.servers.values()
            if one["_since"] > after
        ]
        return json.dumps({"version": self.version, "full": after < 0, "servers": found}).encode()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one connection of a node."""
        line = Line(stream)
        while (message := await line.message()) is not None:
            _, _, query = message[0].split(" ")[1].partition("?")
            told = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
            after = int(told.get("after", "-1"))
            if after == self.version:
                with trio.move_on_after(int(told.get("wait_ms", "0")) / 1000):
                    await self._news.wait()
            await line.answer(200, self._told(after if after <= self.version else -1))


class Clients:
    """Clients of one node: they ask at their own pace, whatever comes back."""

    def __init__(self, node: str, place: tuple[str, int], records: RunRecords, seed: int) -> None:
        self.node, self._place, self._records = node, place, records
        self._chance = random.Random(f"{seed}/callers/{node}")
        self._idle: list[Line] = []
        self._number = 0
        self.rate = 0.0  # requests a second; 0 for none
        self.kinds: dict[str, tuple[float, str]] = {}  # by type: its part of the requests, and its form
        self.left = 2.0

    async def run(self) -> None:
        """Sends requests at the given rate until it is cancelled."""
        async with trio.open_nursery() as nursery:
            due = trio.current_time()
            while True:
                if self.rate <= 0.0:
                    await trio.sleep(0.02)
                    due = trio.current_time()
                    continue
                due += self._chance.expovariate(self.rate)
                await trio.sleep_until(due)
                nursery.start_soon(self.ask)

    async def ask(self, kind: str = "") -> ClientRequest:
        """One request."""
        if not kind:
            names = sorted(self.kinds)
            kind = self._chance.choices(names, [self.kinds[name][0] for name in names])[0]
        self._number += 1
        request = f"{self.node}-{self._number:06x}"
        form = self.kinds[kind][1]
        head = [
            f"{'GET' if form == 'retryable' else 'POST'} /{kind}/{self._number} HTTP/1.1",
            "Host: rig",
            f"Request-Id: {request}",
            f"Request-Timeout: {int(self.left * 1000)}m",
        ]
        if form != "retryable":
            head.append("Content-Length: 2")
        if form == "dedup":
            head.append(f"Idempotency-Key: k-{request}")
        text = ("\r\n".join(head) + "\r\n\r\n" + ("" if form == "retryable" else "go")).encode()
        asked = ClientRequest(time.monotonic(), self.node, request, kind, self.left)
        self._records.requests[request] = asked
        with trio.move_on_after(self.left + PATIENCE + MAX_EXCUSED_S):
            await self._play(asked, text)
        asked.ended_at = asked.ended_at or time.monotonic()
        return asked

    async def _play(self, asked: ClientRequest, text: bytes) -> None:
        for first in (True, False):
            kept = first and bool(self._idle)  # the second time on a new connection
            try:
                line = self._idle.pop() if kept else Line(await trio.open_tcp_stream(*self._place))
            except OSError:
                asked.status = -1
                return
            try:
                await line.stream.send_all(text)
                message = await line.message()
            except BROKEN:
                message = None
            except BaseException:
                line.stream.socket.close()  # its client gives up
                raise
            if message is not None:
                asked.status, asked.ended_at = int(message[0].split(" ")[1]), time.monotonic()
                asked.response_count += 1
                if message[1].get("connection", "").lower() == "close":
                    await line.stream.aclose()
                else:
                    self._idle.append(line)
                return
            await line.stream.aclose()
            if not kept:
                break  # a kept connection may have been closed before the request was read: once more
        asked.status = -1
