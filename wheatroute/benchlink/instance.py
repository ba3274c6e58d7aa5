"""Translates between the simulator's messages and one node's `Balancer`. No I/O, no decisions.

Maps the ids of incoming messages to the balancer's dense numbers, and back in its commands. The keys and
values of messages are defined by the simulator.
"""

import random
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from wheatroute import peer_messages
from wheatroute.balancing.interface import AttemptOutcome, Event, ServerState
from wheatroute.decide import Balancer
from wheatroute.platform_settings import decision_settings
from wheatroute.wire_names import REPORT_FIGURES, NameNumbering

OUTCOME_NAMES = {
    "done": AttemptOutcome.SERVED,
    "err": AttemptOutcome.ERROR,
    "busy": AttemptOutcome.FULL,
    "etimedout": AttemptOutcome.TIMED_OUT,
    "econnrefused": AttemptOutcome.UNCONNECTED,
    "econnreset": AttemptOutcome.RESET,
    "ecanceled": AttemptOutcome.WITHDRAWN,
    "skipped": AttemptOutcome.MOOT,
}
STATE_NAMES = {"live": ServerState.LIVE, "quiescing": ServerState.DRAINING, "dead": ServerState.REMOVED}
HAS_COST, IS_REPEATED = 1, 2  # bits of "attrs" in an "ask" message


class Instance:
    """One node of the simulation: collects its events, and is the `CommandWriter` of its balancer."""

    def __init__(self, seed: int, info: dict[str, Any]) -> None:
        self._servers = NameNumbering()
        self._addresses: list[str] = []
        self._short_names = peer_messages.ShortNames()
        self._zones = NameNumbering({name: i for i, name in enumerate(info.get("dcs") or [])})
        self._models = NameNumbering({name: i for i, name in enumerate(info.get("skus") or [])})
        self._request_classes = {entry["name"]: i for i, entry in enumerate(info.get("traffic-types") or [])}
        self._tenants = {entry["name"]: i for i, entry in enumerate(info.get("tenants") or [])}
        self._request_numbers: dict[int | None, int] = {}
        self._call_ids: dict[int, int] = {}
        self._in_flight: defaultdict[int, int] = defaultdict(int)
        self._over: set[int] = set()
        self._next_number = 0
        self._to_remove: list[int] = []
        self.events: list[tuple[Any, ...]] = []
        self.decisions: list[dict[str, Any]] = []
        self._balancer = Balancer(decision_settings(info, self._zones), random.Random(seed))

    def handle_events(self, now: float) -> list[dict[str, Any]]:
        """Handles all events added since the last call; returns the commands as messages."""
        events, self.events, self.decisions = self.events, [], []
        self._balancer.handle_events(now, events, self)
        self._remove_scheduled()
        return self.decisions

    # incoming messages

    def ask(self, message: dict[str, Any]) -> None:
        """Adds the arrival of a request."""
        call = message["call"]
        self._request_numbers[call] = number = self._next_number
        self._call_ids[number] = call
        self._next_number += 1
        request_class = self._request_classes[message["band"]]
        tenant = self._tenants.get(message.get("client-group"), -1)
        is_repeated = bool(message.get("attrs", 0) & IS_REPEATED)
        cost = message.get("cost", 0.0) if message.get("attrs", 0) & HAS_COST else 0.0
        self.events.append(
            (Event.ARRIVED, number, request_class, message.get("left", 0.0), tenant, is_repeated, (), cost)
        )

    def returned(self, message: dict[str, Any]) -> None:
        """Adds the end of an attempt; ignored if the request is no longer known."""
        number = self._request_numbers.get(message["call"])
        if number is None:
            return
        is_finished = message.get("done-flag", False)
        self._in_flight[number] -= 1
        if is_finished:
            self._over.add(number)
        outcome = OUTCOME_NAMES.get(message["result"], AttemptOutcome.UNKNOWN)
        self.events.append(
            (
                Event.ATTEMPT_ENDED,
                number,
                message.get("n", 0),
                self._server(message["server"]),
                outcome,
                message.get("took", 0.0),
                is_finished,
                _load_report(message),
            )
        )
        self._remove_when_idle(number)

    def established(self, message: dict[str, Any]) -> None:
        """Adds the start of a streamed response."""
        number = self._request_numbers.get(message["call"])
        if number is not None:
            self.events.append(
                (Event.ANSWER_STARTED, number, message.get("n", 0), self._server(message["server"]))
            )

    def left(self, message: dict[str, Any]) -> None:
        """Adds that the client of a request has left."""
        number = self._request_numbers.get(message["call"])
        if number is not None:
            self._over.add(number)
            self._remove_when_idle(number)
            self.events.append((Event.CLIENT_LEFT, number))

    def targets(self, form: str, hosts: list[dict[str, Any]]) -> None:
        """Adds a server list: `form` is "broken" if the fetch failed, "patch" for changes only."""
        if form == "broken":
            self.events.append((Event.LIST_FAILED,))
            return
        entries = [
            (
                self._server(one["server"]),
                self._zones[one.get("dc", "")],
                self._models[one.get("model", "")],
                one.get("stripe", 0),
                STATE_NAMES.get(one.get("status", "live"), ServerState.DRAINING),
                one.get("scale", 1.0),
                one.get("started-at", 0.0),
            )
            for one in hosts
        ]
        self.events.append((Event.SERVERS_LISTED, entries, form != "patch"))

    def echo(self, message: dict[str, Any]) -> None:
        """Adds the result of a probe."""
        outcome = OUTCOME_NAMES.get(message["result"], AttemptOutcome.UNKNOWN)
        self.events.append(
            (
                Event.PROBE_ENDED,
                self._server(message["server"]),
                outcome,
                message.get("took", 0.0),
                _load_report(message),
            )
        )

    def wakeup(self, _message: dict[str, Any]) -> None:
        """Adds that a requested timer is due."""
        self.events.append((Event.TIMER_DUE,))

    def whisper(self, message: dict[str, Any]) -> None:
        """Adds the server loads that another node has sent."""
        loads = peer_messages.decode_loads(message.get("body", ""), self._short_names.numbers)
        if loads:
            self.events.append((Event.PEER_REPORTED, loads))

    # outgoing commands

    def attempt(self, request: int, server: int, timeout_s: float) -> None:
        """Writes the command to send a request to a server."""
        self._in_flight[request] += 1
        self.decisions.append(
            {
                "m": "relay",
                "call": self._call_ids[request],
                "server": self._addresses[server],
                "cap": timeout_s,
            }
        )

    def cancel(self, request: int, n: int) -> None:
        """Writes the command to cancel attempt `n` of a request."""
        self.decisions.append({"m": "withdraw", "call": self._call_ids[request], "n": n})

    def reject(self, request: int, retry_after_s: float) -> None:
        """Writes the final answer that a request is rejected, and when it may be sent again."""
        self.decisions.append({"m": "shed", "call": self._call_ids[request], "stay-away": retry_after_s})
        self._end(request)

    def fail(self, request: int) -> None:
        """Writes the final answer that a request failed."""
        self.decisions.append({"m": "finish-error", "call": self._call_ids[request]})
        self._end(request)

    def wake_at(self, moment: float) -> None:
        """Writes the command to wake this node at a moment."""
        self.decisions.append({"m": "wake-me", "moment": moment, "key-back": 0})

    def probe(self, server: int) -> None:
        """Writes the command to probe a server."""
        self.decisions.append({"m": "sound-out", "server": self._addresses[server]})

    def send_loads(self, loads: Mapping[int, float]) -> None:
        """Writes messages with the loads of these servers to all other nodes."""
        for body in peer_messages.encode_loads(
            (self._addresses[server], load) for server, load in loads.items()
        ):
            self.decisions.append({"m": "signal", "target": None, "body": body})

    def watch(self, enable: bool) -> None:
        """Writes the command to start or stop watching the server list."""
        self.decisions.append({"m": "watch", "enable": enable})

    def fetch(self) -> None:
        """Writes the command to fetch the full server list."""
        self.decisions.append({"m": "fetch"})

    def close(self, server: int) -> None:
        """Writes the command to close the idle connections to a server."""
        self.decisions.append({"m": "close", "server": self._addresses[server]})

    def log(self, text: str) -> None:
        """Writes a log line for the operators."""
        self.decisions.append({"m": "log", "msg": text})

    def _server(self, address: str) -> int:
        number = self._servers[address]
        if number == len(self._addresses):
            self._addresses.append(address)
            self._short_names.add(address, number)
        return number

    def _end(self, number: int) -> None:
        self._over.add(number)
        self._remove_when_idle(number)

    def _remove_when_idle(self, number: int) -> None:
        """Schedules the removal of a request that is over and has no attempt in flight.

        It is removed only after the batch's commands are written, since until then a command may still
        refer to it: a cancellation can cross with the outcome of the attempt.
        """
        if number in self._over and self._in_flight[number] <= 0:
            self._to_remove.append(number)

    def _remove_scheduled(self) -> None:
        for number in self._to_remove:
            call = self._call_ids.pop(number, None)
            self._request_numbers.pop(call, None)
            self._over.discard(number)
            self._in_flight.pop(number, None)
        self._to_remove.clear()


def _load_report(message: dict[str, Any]) -> dict[str, float] | None:
    """Returns the server's load report under internal names, None if the message has none."""
    stats = message.get("server-stats")
    return {REPORT_FIGURES.get(name, name): figure for name, figure in stats.items()} if stats else None
