"""One node's decisions on the bench's wire: ids to dense numbers on the way in, back on the way out.

The names in messages are the wire's. No I/O, no decisions.
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
HAS_COST, IS_REPEATED = 1, 2  # bits of an ask's "attrs"


class Instance:
    """The numbering of one node, and the `CommandWriter` of its decisions."""

    def __init__(self, seed: int, info: dict[str, Any]) -> None:
        self._servers = NameNumbering()
        self._addresses: list[str] = []
        self._short_names = peer_messages.ShortNames()
        self._zones = NameNumbering({name: i for i, name in enumerate(info.get("dcs") or [])})
        self._models = NameNumbering({name: i for i, name in enumerate(info.get("skus") or [])})
        self._classes = {kind["name"]: i for i, kind in enumerate(info.get("traffic-types") or [])}
        self._tenants = {one["name"]: i for i, one in enumerate(info.get("tenants") or [])}
        self._request_numbers: dict[int | None, int] = {}
        self._call_ids: dict[int, int] = {}
        self._in_flight: defaultdict[int, int] = defaultdict(int)
        self._ended: set[int] = set()
        self._next_number = 0
        self._to_forget: list[int] = []
        self.events: list[tuple[Any, ...]] = []
        self.decisions: list[dict[str, Any]] = []
        self._balancer = Balancer(decision_settings(info, self._zones), random.Random(seed))

    def handle_events(self, now: float) -> list[dict[str, Any]]:
        """Has all events handled that were added since the last call; returns the commands for the wire."""
        events, self.events, self.decisions = self.events, [], []
        self._balancer.handle_events(now, events, self)
        self._drop_forgotten()
        return self.decisions

    # what comes in

    def ask(self, message: dict[str, Any]) -> None:
        """A request has arrived."""
        call = message["call"]
        self._request_numbers[call] = number = self._next_number
        self._call_ids[number] = call
        self._next_number += 1
        kind = self._classes[message["band"]]
        tenant = self._tenants.get(message.get("client-group"), -1)
        repeated = bool(message.get("attrs", 0) & IS_REPEATED)
        work = message.get("cost", 0.0) if message.get("attrs", 0) & HAS_COST else 0.0
        self.events.append(
            (Event.ARRIVED, number, kind, message.get("left", 0.0), tenant, repeated, (), work)
        )

    def returned(self, message: dict[str, Any]) -> None:
        """An attempt has ended."""
        number = self._request_numbers.get(message["call"])
        if number is None:
            return
        finished = message.get("done-flag", False)
        self._in_flight[number] -= 1
        if finished:
            self._ended.add(number)
        outcome = OUTCOME_NAMES.get(message["result"], AttemptOutcome.UNKNOWN)
        self.events.append(
            (
                Event.ATTEMPT_ENDED,
                number,
                message.get("n", 0),
                self._server(message["server"]),
                outcome,
                message.get("took", 0.0),
                finished,
                _report(message),
            )
        )
        self._forget(number)

    def established(self, message: dict[str, Any]) -> None:
        """A streamed answer has begun."""
        number = self._request_numbers.get(message["call"])
        if number is not None:
            self.events.append(
                (Event.ANSWER_STARTED, number, message.get("n", 0), self._server(message["server"]))
            )

    def left(self, message: dict[str, Any]) -> None:
        """The client of a request has left."""
        number = self._request_numbers.get(message["call"])
        if number is not None:
            self._ended.add(number)
            self._forget(number)
            self.events.append((Event.CLIENT_LEFT, number))

    def targets(self, form: str, hosts: list[dict[str, Any]]) -> None:
        """A list of servers: `form` is "broken" for a failed one, "patch" for a change."""
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
        """A probe has ended."""
        outcome = OUTCOME_NAMES.get(message["result"], AttemptOutcome.UNKNOWN)
        self.events.append(
            (
                Event.PROBE_ENDED,
                self._server(message["server"]),
                outcome,
                message.get("took", 0.0),
                _report(message),
            )
        )

    def wakeup(self, _message: dict[str, Any]) -> None:
        """A moment asked for has come."""
        self.events.append((Event.TIMER_DUE,))

    def whisper(self, message: dict[str, Any]) -> None:
        """Another node has sent loads."""
        figures = peer_messages.decode_loads(message.get("body", ""), self._short_names.numbers)
        if figures:
            self.events.append((Event.PEER_REPORTED, figures))

    # what goes out

    def attempt(self, request: int, server: int, time_out: float) -> None:
        """Writes the command to send a request to a server."""
        self._in_flight[request] += 1
        self.decisions.append(
            {
                "m": "relay",
                "call": self._call_ids[request],
                "server": self._addresses[server],
                "cap": time_out,
            }
        )

    def cancel(self, request: int, n: int) -> None:
        """Writes the command to cancel an attempt."""
        self.decisions.append({"m": "withdraw", "call": self._call_ids[request], "n": n})

    def reject(self, request: int, stay_away: float) -> None:
        """Writes the final answer that a request did not run."""
        self.decisions.append({"m": "shed", "call": self._call_ids[request], "stay-away": stay_away})
        self._end(request)

    def fail(self, request: int) -> None:
        """Writes the final answer that a request failed."""
        self.decisions.append({"m": "finish-error", "call": self._call_ids[request]})
        self._end(request)

    def wake_at(self, moment: float) -> None:
        """Writes the command to wake this node."""
        self.decisions.append({"m": "wake-me", "moment": moment, "key-back": 0})

    def probe(self, server: int) -> None:
        """Writes the command to probe a server."""
        self.decisions.append({"m": "sound-out", "server": self._addresses[server]})

    def send_loads(self, figures: Mapping[int, float]) -> None:
        """Writes the messages of these loads to all other nodes."""
        for body in peer_messages.encode_loads(
            (self._addresses[server], held) for server, held in figures.items()
        ):
            self.decisions.append({"m": "signal", "target": None, "body": body})

    def watch(self, enable: bool) -> None:
        """Writes the command to begin or end the stream of list changes."""
        self.decisions.append({"m": "watch", "enable": enable})

    def fetch(self) -> None:
        """Writes the command to fetch the full list."""
        self.decisions.append({"m": "fetch"})

    def close(self, server: int) -> None:
        """Writes the command to close idle connections to a server."""
        self.decisions.append({"m": "close", "server": self._addresses[server]})

    def log(self, text: str) -> None:
        """Writes a log line."""
        self.decisions.append({"m": "log", "msg": text})

    def _server(self, address: str) -> int:
        number = self._servers[address]
        if number == len(self._addresses):
            self._addresses.append(address)
            self._short_names.add(address, number)
        return number

    def _end(self, number: int) -> None:
        self._ended.add(number)
        self._forget(number)

    def _forget(self, number: int) -> None:
        """Lets go of a request that is over with no attempt out, once the round's decisions are written.

        Until then a decision may still name it: a withdrawal crosses with the outcome.
        """
        if number in self._ended and self._in_flight[number] <= 0:
            self._to_forget.append(number)

    def _drop_forgotten(self) -> None:
        for number in self._to_forget:
            call = self._call_ids.pop(number, None)
            self._request_numbers.pop(call, None)
            self._ended.discard(number)
            self._in_flight.pop(number, None)
        self._to_forget.clear()


def _report(message: dict[str, Any]) -> dict[str, float] | None:
    stats = message.get("server-stats")
    return {REPORT_FIGURES.get(name, name): figure for name, figure in stats.items()} if stats else None
