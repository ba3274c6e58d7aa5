"""One instance of the decisions on the wire: ids to small numbers on the way in, back on the way out."""

import random
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from wheatroute import talk
from wheatroute.balancing.interface import Event, Outcome, ServerState
from wheatroute.decide import Balancer
from wheatroute.platform_settings import decision_settings
from wheatroute.wire_names import REPORT_FIGURES, NameNumbering

OUTCOMES = {
    "done": Outcome.SERVED,
    "err": Outcome.ERROR,
    "busy": Outcome.FULL,
    "etimedout": Outcome.TIMED_OUT,
    "econnrefused": Outcome.UNCONNECTED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.WITHDRAWN,
    "skipped": Outcome.MOOT,
}
STATES = {"live": ServerState.LIVE, "quiescing": ServerState.DRAINING, "dead": ServerState.REMOVED}
HINTED, REPEATED = 1, 2


class Instance:
    """Holds the numbering of one instance and is the writer of its decisions."""

    def __init__(self, seed: int, info: dict[str, Any]) -> None:
        self._servers = NameNumbering()
        self._addresses: list[str] = []
        self._known = talk.Known()
        self._zones = NameNumbering({name: i for i, name in enumerate(info.get("dcs") or [])})
        self._models = NameNumbering({name: i for i, name in enumerate(info.get("skus") or [])})
        self._classes = {kind["name"]: i for i, kind in enumerate(info.get("traffic-types") or [])}
        self._tenants = {one["name"]: i for i, one in enumerate(info.get("tenants") or [])}
        self._numbers: dict[int | None, int] = {}
        self._calls: dict[int, int] = {}
        self._out: defaultdict[int, int] = defaultdict(int)
        self._over: set[int] = set()
        self._taken = 0
        self._spent: list[int] = []
        self.events: list[tuple[Any, ...]] = []
        self.decisions: list[dict[str, Any]] = []
        self._balancer = Balancer(decision_settings(info, self._zones), random.Random(seed))

    def round(self, now: float) -> list[dict[str, Any]]:
        events, self.events, self.decisions = self.events, [], []
        self._balancer.handle_events(now, events, self)
        self._drop_spent()
        return self.decisions

    # what comes in

    def ask(self, message: dict[str, Any]) -> None:
        call = message["call"]
        self._numbers[call] = number = self._taken
        self._calls[number] = call
        self._taken += 1
        kind = self._classes[message["band"]]
        tenant = self._tenants.get(message.get("client-group"), -1)
        repeated = bool(message.get("attrs", 0) & REPEATED)
        work = message.get("cost", 0.0) if message.get("attrs", 0) & HINTED else 0.0
        self.events.append(
            (Event.ARRIVED, number, kind, message.get("left", 0.0), tenant, repeated, (), work)
        )

    def returned(self, message: dict[str, Any]) -> None:
        number = self._numbers.get(message["call"])
        if number is None:
            return
        finished = message.get("done-flag", False)
        self._out[number] -= 1
        if finished:
            self._over.add(number)
        outcome = OUTCOMES.get(message["result"], Outcome.UNKNOWN)
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
        number = self._numbers.get(message["call"])
        if number is not None:
            self.events.append(
                (Event.ANSWER_STARTED, number, message.get("n", 0), self._server(message["server"]))
            )

    def left(self, message: dict[str, Any]) -> None:
        number = self._numbers.get(message["call"])
        if number is not None:
            self._over.add(number)
            self._forget(number)
            self.events.append((Event.CLIENT_LEFT, number))

    def targets(self, form: str, hosts: list[dict[str, Any]]) -> None:
        if form == "broken":
            self.events.append((Event.LIST_FAILED,))
            return
        entries = [
            (
                self._server(one["server"]),
                self._zones[one.get("dc", "")],
                self._models[one.get("model", "")],
                one.get("stripe", 0),
                STATES.get(one.get("status", "live"), ServerState.DRAINING),
                one.get("scale", 1.0),
                one.get("started-at", 0.0),
            )
            for one in hosts
        ]
        self.events.append((Event.SERVERS_LISTED, entries, form != "patch"))

    def echo(self, message: dict[str, Any]) -> None:
        outcome = OUTCOMES.get(message["result"], Outcome.UNKNOWN)
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
        self.events.append((Event.TIMER_DUE,))

    def whisper(self, message: dict[str, Any]) -> None:
        figures = talk.unpack(message.get("body", ""), self._known.names)
        if figures:
            self.events.append((Event.PEER_REPORTED, figures))

    # what goes out

    def attempt(self, request: int, server: int, time_out: float) -> None:
        self._out[request] += 1
        self.decisions.append(
            {"m": "relay", "call": self._calls[request], "server": self._addresses[server], "cap": time_out}
        )

    def cancel(self, request: int, n: int) -> None:
        self.decisions.append({"m": "withdraw", "call": self._calls[request], "n": n})

    def reject(self, request: int, stay_away: float) -> None:
        self.decisions.append({"m": "shed", "call": self._calls[request], "stay-away": stay_away})
        self._end(request)

    def fail(self, request: int) -> None:
        self.decisions.append({"m": "finish-error", "call": self._calls[request]})
        self._end(request)

    def wake_at(self, moment: float) -> None:
        self.decisions.append({"m": "wake-me", "moment": moment, "key-back": 0})

    def probe(self, server: int) -> None:
        self.decisions.append({"m": "sound-out", "server": self._addresses[server]})

    def send_loads(self, figures: Mapping[int, float]) -> None:
        for body in talk.pack((self._addresses[server], held) for server, held in figures.items()):
            self.decisions.append({"m": "signal", "target": None, "body": body})

    def watch(self, enable: bool) -> None:
        self.decisions.append({"m": "watch", "enable": enable})

    def fetch(self) -> None:
        self.decisions.append({"m": "fetch"})

    def close(self, server: int) -> None:
        self.decisions.append({"m": "close", "server": self._addresses[server]})

    def log(self, text: str) -> None:
        self.decisions.append({"m": "log", "msg": text})

    def _server(self, address: str) -> int:
        number = self._servers[address]
        if number == len(self._addresses):
            self._addresses.append(address)
            self._known.add(address, number)
        return number

    def _end(self, number: int) -> None:
        self._over.add(number)
        self._forget(number)

    def _forget(self, number: int) -> None:
        """Lets go of a request that is over with no attempt out, once the round's decisions are written.

        Until then a decision may still name it: a withdrawal crosses with the outcome.
        """
        if number in self._over and self._out[number] <= 0:
            self._spent.append(number)

    def _drop_spent(self) -> None:
        for number in self._spent:
            call = self._calls.pop(number, None)
            self._numbers.pop(call, None)
            self._over.discard(number)
            self._out.pop(number, None)
        self._spent.clear()


def _report(message: dict[str, Any]) -> dict[str, float] | None:
    stats = message.get("server-stats")
    return {REPORT_FIGURES.get(name, name): figure for name, figure in stats.items()} if stats else None
