"""A tiny host of the decisions, and a whole node on loopback; both are answered the way a test says."""

import json
import random
import re
import socket
import struct
from contextlib import suppress
from dataclasses import replace
from itertools import count

import structlog
import trio

from wheatroute.__main__ import serve_node
from wheatroute.balancing.interface import DeduplicationGroup, Event, Idempotency, Outcome, ServerState
from wheatroute.balancing.settings import DecisionSettings, RequestClass
from wheatroute.decide import Balancer
from wheatroute.net import node_settings

SAFE, KEYED, UNSAFE = 0, 1, 2


def decision_settings(**changes):
    def request_class(idempotency, value, group=DeduplicationGroup.ALL):
        return RequestClass(
            target_latency=1.0,
            deadline=3.0,
            value=value,
            idempotency=idempotency,
            deduplication_group=group,
            retry_window=2.0,
        )

    usual = DecisionSettings(
        tick=0.005,
        can_hedge=True,
        can_cancel=True,
        can_advise_retry=True,
        max_retry_after_s=2.0,
        max_attempts=4,
        connect_timeout_s=0.1,
        excess_value_factor=0.05,
        idle_timeout_s=30.0,
        list_max_age_s=10.0,
        warmup_s=20.0,
        warmup_initial_share=0.1,
        drain_grace_s=0.5,
        overload_window_s=3.0,
        overload_multiple=3.0,
        report_how="answers",
        request_classes=[
            request_class(Idempotency.IDEMPOTENT, 5.0),
            request_class(Idempotency.KEYED, 3.0, DeduplicationGroup.CELL),
            request_class(Idempotency.NON_IDEMPOTENT, 3.0),
        ],
    )
    return replace(usual, **changes)


class Host:
    """Servers are numbered; `answer(server, attempt)` tells (outcome, took), or None for never."""

    def __init__(self, servers=4, answer=None, seed=1, start=100.0, entries=None, report=None, **changes):
        self.settings = decision_settings(**changes)
        self.balancer = Balancer(self.settings, random.Random(seed))
        self.now, self.answer = start, answer or (lambda server, attempt: (Outcome.SERVED, 0.1))
        self.events, self.pending, self.did = [], [], []
        self.report = report or (lambda server: None)
        self.attempts, self.out, self.final, self.arrivals = {}, set(), {}, 0
        self.list(entries or [self.entry(s) for s in range(servers)], True)

    @staticmethod
    def entry(server, state=ServerState.LIVE, zone=0, cell=None, started=0.0):
        return (server, zone, 0, server // 2 if cell is None else cell, state, 1.0, started)

    def list(self, entries, whole=False):
        self.events.append((Event.SERVERS_LISTED, entries, whole))

    def ask(self, kind=SAFE, left=3.0, tenant=-1, repeated=False):
        number, self.arrivals = self.arrivals, self.arrivals + 1
        self.attempts[number] = []
        self.events.append((Event.ARRIVED, number, kind, left, tenant, repeated))
        return number

    def step(self, seconds=0.0):
        """One round now, then one a tick until `seconds` have gone by."""
        end = self.now + seconds
        while True:
            for item in sorted(one for one in self.pending if one[0] <= self.now + 1e-9):
                self.pending.remove(item)
                self._return(*item[1:])
            events, self.events = self.events, []
            self.balancer.handle_events(self.now, events, self)
            if self.now >= end - 1e-9:
                return self
            self.now += self.settings.tick

    def run(self, seconds, rate, kind=SAFE, **how):
        """Requests at an even rate."""
        for _ in range(int(seconds * rate)):
            self.ask(kind, **how)
            self.step(1.0 / rate)
        return self

    def _return(self, number, n, server, outcome, took):
        if (number, n) not in self.out:
            return
        self.out.discard((number, n))
        finished = number in self.final or outcome == Outcome.SERVED
        if outcome == Outcome.SERVED:
            self.final.setdefault(number, "served")
        self.events.append(
            (Event.ATTEMPT_ENDED, number, n, server, outcome, took, finished, self.report(server))
        )

    def sent(self, server, since=0.0):
        return sum(
            1 for what, when, *rest in self.did if what == "attempt" and rest[1] == server and when >= since
        )

    def count(self, what):
        return sum(1 for one in self.did if one[0] == what)

    # the writer

    def attempt(self, request, server, time_out):
        assert request not in self.final, "nothing goes out after the final answer"
        n = len(self.attempts[request])
        self.attempts[request].append(server)
        self.out.add((request, n))
        self.did.append(("attempt", self.now, request, server))
        outcome, took = self.answer(server, (request, n)) or (Outcome.TIMED_OUT, time_out)
        self.pending.append((self.now + took, request, n, server, outcome, took))

    def cancel(self, request, n):
        self.did.append(("withdraw", self.now, request, n))
        self.pending.append(
            (self.now + self.settings.tick, request, n, self.attempts[request][n], Outcome.WITHDRAWN, 0.5)
        )

    def reject(self, request, stay_away):
        self._end(request, "refused", stay_away)

    def fail(self, request):
        self._end(request, "failed", 0.0)

    def _end(self, request, word, stay_away):
        assert request not in self.final, "one final answer"
        self.final[request] = word
        self.did.append((word, self.now, request, stay_away))

    def wake_at(self, moment):
        assert moment > self.now

    def probe(self, server):
        self.did.append(("sound", self.now, server))

    def send_loads(self, figures):
        self.did.append(("tell", self.now, dict(figures)))

    def watch(self, enable):
        self.did.append(("watch", self.now, enable))

    def fetch(self):
        self.did.append(("fetch", self.now))

    def close(self, server):
        self.did.append(("close", self.now, server))

    def log(self, text):
        self.did.append(("log", self.now, text))


# a node on loopback, with servers and a list that answer the way a test says

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
FULL = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
STRAY = OK + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
RESET, SILENT = b"", None
NAMES = count(0x9B1F)
KINDS = {"view": "retryable", "amend": "dedup", "place": "fragile"}


def listed(version, full, entries):
    """A list service's answer."""
    body = json.dumps({"version": version, "full": full, "servers": entries}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class Peer:
    """One fake server; `answers` are given in turn, the last one for ever, each bytes, RESET or SILENT."""

    def __init__(self, *answers, name="s"):
        self.answers, self.name, self.got, self.lines, self.ended = list(answers), name, [], 0, trio.Event()
        self.stays = False  # it keeps connections open whatever it has answered
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.place = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def run(self):
        if self.listener.fileno() >= 0:  # else it is a dead one: connections are refused
            listener = trio.SocketListener(trio.socket.from_stdlib_socket(self.listener))
            await trio.serve_listeners(self.talk, [listener])

    async def talk(self, stream):
        self.lines += 1
        while (request := await read_message(stream)) is not None:
            self.got.append(request)
            answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
            if answer is SILENT:
                break
            if answer:
                await stream.send_all(answer)
            if answer not in (OK, FULL, ERROR, STRAY) and b"version" not in answer and not self.stays:
                if answer == RESET:
                    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                await stream.aclose()
                return
        with suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                pass
        self.ended.set()


async def read_message(stream):
    """One whole message, head and body; None at the end of the stream."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = await stream.receive_some()
        if not part:
            return None
        data += part
    head = data.split(b"\r\n\r\n")[0].lower()
    found = re.search(rb"content-length: (\d+)", head)
    while len(data) < len(head) + 4 + (int(found[1]) if found else 0):
        part = await stream.receive_some()
        if not part:
            return data
        data += part
    return data


def settings(deadline):
    return {
        "allowed": {
            "cancel": True,
            "conn-idle": 30.0,
            "connect-timeout": 0.5,
            "most-relays": 3,
            "retry-after": True,
            "max-retry-after": 2.0,
            "second-copies": True,
        },
        "balancers": 1,
        "dcs": ["z"],
        "skus": ["k"],
        "tick": 0.005,
        "tiers": ["t"],
        "tier": 0,
        "report": {"how": "answers", "fields": ["active"]},
        "membership-mode": "pushed",
        "rules": {
            "answer-slack": 0.02,
            "cold": 9.0,
            "cold-share": 0.4,
            "drain-grace": 2.0,
            "fall": 1.0,
            "fall-multiple": 3.0,
        },
        "traffic-types": [
            {
                "name": name,
                "effect": effect,
                "hard-stop": deadline,
                "target-time": deadline,
                "utility": 1.0,
                "overdue-utility": 0.5,
                "repeat-window": 2.0,
            }
            for name, effect in KINDS.items()
        ],
    }


def entry(peer, **changes):
    return {
        "id": peer.name,
        "addr": peer.place,
        "zone": "z",
        "kind": "k",
        "cell": 0,
        "state": "in_service",
        "weight": 1.0,
        "started_ms": 0,
    } | changes


def reserve_port():
    """A socket bound to a free port of loopback, for as long as it is open.

    It doesn't listen, so that a program which sets SO_REUSEADDR, as ours does, can listen on the port, and
    the system gives the port to no other process meanwhile.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation


class Node:
    """A whole node in this process, its servers, and what a client needs."""

    def __init__(
        self,
        folder,
        *peers,
        deadline=1.0,
        descriptors=256,
        discovery=None,
        nodes=1,
        changes=None,
        entries=None,
    ):
        self._reservation = reserve_port()
        self.port = self._reservation.getsockname()[1]
        self.peers, self.discovery = peers, discovery or Peer(SILENT)
        told = {
            "name": "n",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.place,
            "seed": "1",
            "limits": {"sockets": descriptors},
            "settings": settings(deadline) | {"balancers": nodes} | (changes or {}),
            "known": {"version": 1, "full": True, "servers": entries or [entry(one) for one in peers]},
        }
        self.told, self.path = told, folder / "config.json"
        self.path.write_text(json.dumps(told))
        self.settings, self.done = (
            node_settings.read_node_settings({"PROXY_CONFIG": str(self.path)}),
            trio.Event(),
        )

    async def _serve(self):
        await serve_node(self.settings, structlog.get_logger())
        self.done.set()

    async def connect(self):
        while True:
            try:
                return await trio.open_tcp_stream("127.0.0.1", self.port)
            except OSError:
                await trio.sleep(0.01)

    @staticmethod
    def message(kind="view", headers="", body="", time_out="1000m"):
        effect = KINDS.get(kind, "retryable")
        key = "Idempotency-Key: r1\r\n" if effect == "dedup" else ""
        method = "GET" if effect == "retryable" else "POST"
        return (
            f"{method} /{kind}/7?a=b%20c HTTP/1.1\r\nHost: backend.local\r\n"
            f"Request-Id: {next(NAMES):x}\r\nRequest-Timeout: {time_out}\r\n{key}{headers}"
            + (f"Content-Length: {len(body)}\r\n" if body else "")
            + f"\r\n{body}"
        ).encode()

    async def ask(self, *what, stream=None, **how):
        """Sends one request; its answer as (status, whole message)."""
        stream = stream or await self.connect()
        await stream.send_all(self.message(*what, **how))
        answer = await read_message(stream)
        return int(answer.split()[1]), answer


def story(tell):
    """Runs an async test with a deadline; what it starts in `nursery` ends with it."""

    def run(tmp_path):
        async def within():
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:

                    async def start(*peers, others=(), **how):
                        node = Node(tmp_path, *peers, **how)
                        for one in (*peers, *others, node.discovery):
                            nursery.start_soon(one.run)
                        nursery.start_soon(node._serve)
                        (await node.connect()).socket.close()
                        return node

                    await tell(start)
                    nursery.cancel_scope.cancel()

        trio.run(within)

    run.__name__ = tell.__name__
    return run


def only_slow(*slow):
    """Servers that are all well, those named four times slower."""
    return lambda server, attempt: (Outcome.SERVED, 0.4 if server in slow else 0.1)
