"""Where streams, the module and the list of servers meet: one dispatcher a process.

Owns the rounds of this front, the servers' addresses and the attempts that proxies carry out. One is out from
the decision until the proxy says what became of it, or its time is over. It must never tell the module
of an end twice or not at all, and sends nothing to a server itself.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Any

import trio

from wheatroute.balancing.interface import Event, Outcome, Report, ServerState
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.decide import Balancer
from wheatroute.grpc.call import Call
from wheatroute.grpc.session import Session
from wheatroute.net.addresses import NO_ADDRESS
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.clock import now
from wheatroute.net.discovery import Discovery
from wheatroute.net.exchange import Attempt, Exchange, Response
from wheatroute.net.node_settings import DiscoverySettings
from wheatroute.processor.attempt_history import AttemptHistory
from wheatroute.processor.routing_request import RequestReader
from wheatroute.processor.streams import ROUTED, Asked, Place, Stream, Words

SWEEP = 0.02  # seconds between two looks at attempts whose time is over
GRACE = 0.05  # seconds after its time in which a proxy may still say what became of an attempt


class Turns(BalancerDriver):
    """Rounds that are played at the end of a burst, without waking a task for each."""

    def __init__(self, terms: DecisionSettings, seed: str, log: Any) -> None:
        super().__init__(terms, seed, log)
        self.quiet = False  # a burst is being read: its end plays the round
        self.dirty: set[Session] = set()  # sessions with answers to send

    @property
    def balancer(self) -> Balancer:
        """The balancer that decides for all streams."""
        return self._balancer

    def add_event(self, *event: Any) -> None:
        """Adds an event; the next batch is due at once unless this is part of a burst."""
        self._events.append(event)
        if not self.quiet:
            self._has_events.set()

    def turn(self) -> None:
        """All that came in this burst, and what came of it."""
        self.quiet = True
        while self._events:
            self.handle_events(now())
        self.quiet = False
        self._set_timer()

    def handle_events(self, moment: float) -> None:
        """Handles a batch and writes what the streams have to send."""
        super().handle_events(moment)
        for session in self.dirty:
            session.flush()
        self.dirty.clear()


class Dispatcher:
    """The servers' side of the rounds, and what streams are told by."""

    def __init__(self, told: dict[str, Any], log: Any) -> None:
        self._log = log
        self.rounds = Turns(told["terms"], told["seed"], log)
        self.rounds.upstream = self
        self.words = Words(told["destination_header"], told["metadata_namespace"], told["time_header"])
        self._headers = told["headers"]
        self._reader = RequestReader(told["headers"], told["terms"].request_classes, told["tenants"])
        self._attempt_history = AttemptHistory(
            told["terms"].request_classes, told["remembered"], told["most_ids"]
        )
        self._places: dict[int, bytes] = {}
        self._busy: dict[int, int] = {}
        self._out: list[tuple[float, int, Stream]] = []  # attempts out, by when their time is over
        self.asked = self.decisions = 0

    def agree(
        self,
        names: dict[str, int],
        tenants: dict[str, int],
        terms: DecisionSettings,
        twins: dict[int, int],
        binding: bool,
    ) -> None:
        """Other terms; what is matched first follows from the order of `names`."""
        kinds = terms.request_classes
        self.rounds.update_settings(terms, binding)
        self._reader = RequestReader(self._headers, kinds, tenants, list(names.values()), twins)
        longest = max(kind.deadline for kind in kinds)
        self._attempt_history.update_settings(kinds, 2.0 * longest + max(kind.retry_window for kind in kinds))

    async def run(self) -> None:
        """Ends attempts that proxies never speak of again."""
        while True:
            await trio.sleep(SWEEP)
            moment, ended = now(), False
            while self._out and (self._out[0][0] <= moment or self._out[0][2].place != Place.DECIDED):
                stream = heappop(self._out)[2]
                self.rounds.quiet = True
                stream.give_up()
                ended = True
            if ended:
                self.rounds.turn()

    def opened(self, call: Call) -> Stream:
        """The receiver of a stream that a proxy has opened."""
        return Stream(call, self, self.words)

    def burst(self) -> None:
        """Handles the events of one read of a connection."""
        self.rounds.turn()

    # streams

    def arrived(self, stream: Stream, headers: Any) -> Asked:
        """Adds the request that a stream's headers describe."""
        self.rounds.quiet = True
        self.asked += 1
        request = self._reader.read((one.key, one.raw_value or one.value.encode()) for one in headers)
        attempt_record, earlier = self._attempt_history.begin_attempt(
            request.request_id,
            request.request_class,
            now(),
            request.time_left_s,
            request.attempt_number,
        )
        exchange = Asked(stream, request, attempt_record)
        exchange.on_response = stream.settled
        self.rounds.add_request(exchange, earlier)
        return exchange

    def left(self, exchange: Asked) -> None:
        """The proxy went before there was a decision: nothing ran."""
        self.rounds.quiet = True
        self._attempt_history.record_never_ran(exchange.attempt_record)
        self.rounds.abandon_request(exchange)

    def refused(self, exchange: Asked) -> None:
        """The module gave it up before there was a decision: the same id may be asked for again."""
        self._attempt_history.record_never_ran(exchange.attempt_record)

    def ended(self, exchange: Asked, outcome: Outcome, report: Report | None) -> None:
        """Notes how the attempt of a request ended."""
        attempt = exchange.stream.attempt
        if attempt is None:
            return
        self.rounds.quiet = True
        if outcome in (Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT):
            self._attempt_history.record_never_ran(exchange.attempt_record)
        self._busy[attempt.server] -= 1
        self.rounds.finish_attempt(exchange, attempt, outcome, report)

    def answered(self, call: Call) -> None:
        """Notes that a stream has something to send."""
        self.rounds.dirty.add(call.session)

    # the servers' side of the rounds

    def start_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        """Answers a stream with the address of its server."""
        assert isinstance(exchange, Asked)
        place = self._places.get(attempt.server)
        moment = now()
        left = exchange.deadline - moment
        # entered before it is written: the stream may end while it is
        self._attempt_history.record_decision(exchange.attempt_record, attempt.server, moment)
        self._busy[attempt.server] = self._busy.get(attempt.server, 0) + 1
        if place is None or not exchange.stream.decided(attempt, place, left):
            self._attempt_history.record_never_ran(exchange.attempt_record)
            self._busy[attempt.server] -= 1
            self.rounds.finish_attempt(exchange, attempt, Outcome.MOOT, None)
            return
        self.decisions += 1
        heappush(self._out, (exchange.deadline + GRACE, exchange.number, exchange.stream))
        exchange.complete(Response(ROUTED))

    def set_address(self, server: int, address: tuple[str, int]) -> None:
        """Sets a server's address, as the proxies get it."""
        self._places[server] = b"%s:%d" % (address[0].encode(), address[1])

    def set_state(self, server: int, state: ServerState, started_at: float) -> None:
        """Nothing lies here between a decision and its answer to the proxy that could still be held back."""

    def release(self, server: int) -> bool:
        """Forgets a server unless attempts are in flight there; whether it was forgotten."""
        if self._busy.get(server):
            return False
        self._busy.pop(server, None)
        self._places.pop(server, None)
        return True

    def probe(self, server: int) -> None:
        """Proxies carry attempts out; there is nothing here to probe with."""

    def close_idle(self, server: int) -> None:
        """Connections to servers are the proxy's."""


class Listed(Discovery):
    """The list of servers: from a list service or from etcd, where the file names one, else from the file."""

    def __init__(
        self, told: dict[str, Any], driver: BalancerDriver, dispatcher: Dispatcher, log: Any
    ) -> None:
        self._served, self._etcd = told["discovery"] is not None, told["etcd"]
        self._name, self.entries = told["name"], dict[str, dict[str, Any]]()
        self.etcd: Any = None
        self._steady = told.get("agreement") is not None
        self._floor: tuple[int, int] | None = None  # of a snapshot's list, which an older one does not undo
        self._peers_kept: list[str] = []
        settings = DiscoverySettings(
            told["discovery"] or NO_ADDRESS,
            told["zones"],
            told["models"],
            told["terms"].list_on_request,
            told["known"],
        )
        super().__init__(settings, driver, dispatcher, log)
        self.has_full_list = True

    async def run(self) -> None:
        """Keeps the list of servers up to date until it is cancelled."""
        if self._served:
            await super().run()
        elif self._etcd is not None:
            # imported here: who does not follow etcd does not pay for it
            from wheatroute.etcd.services import EtcdServices

            self.etcd = EtcdServices(self._etcd, self._name, self._apply, self._tell, self._log, self._steady)
            if self._floor is not None and self._steady:
                self.etcd.follower.resume_from(*self._floor)
            if self.etcd.membership is not None and self._peers_kept:
                self.etcd.membership.update(self._peers_kept, now())
            await self.etcd.run()
        else:
            await trio.sleep_forever()

    @property
    def list_version(self) -> tuple[str, int]:
        """Whose list this worker acts on, and up to which revision of it."""
        if self.etcd is not None:
            return self.etcd.follower.source, self.etcd.follower.revision
        return super().list_version if self._served else ("the file", 0)

    def _tell(self, nodes: int, node: int, caution: float) -> None:
        self.node_counts = {"nodes": nodes, "node": node}
        self._driver.add_event(Event.NODES_COUNTED, nodes, node, caution)

    def _apply(self, told: Any) -> None:
        """Hands it on, and keeps each entry as it was told, for the snapshot."""
        super()._apply(told)
        if not isinstance(told, dict) or not isinstance(told.get("servers"), list):
            return
        if told.get("full"):
            self.entries.clear()
        for one in told["servers"]:
            if isinstance(one, dict) and isinstance(one.get("id"), str):
                self.entries[one["id"]] = one
                if one.get("state") == "terminated":
                    del self.entries[one["id"]]

    def peers(self) -> list[str]:
        """The nodes that were heard of, for the snapshot."""
        membership = self.etcd.membership if self.etcd is not None else None
        return sorted(membership.epochs) if membership is not None else self._peers_kept

    @property
    def floor(self) -> tuple[int, int] | None:
        """The cluster and revision of the list, for the snapshot."""
        return tuple(self.etcd.follower.min_position) if self.etcd is not None else self._floor

    def take_again(self, servers: Any, peers: Any, floor: Any = None) -> None:
        """What a snapshot holds: the list until another is heard, and the nodes that count until then."""
        if isinstance(floor, list) and len(floor) == 2 and all(isinstance(one, int) for one in floor):
            self._floor = floor[0], floor[1]
        if isinstance(servers, list):
            self._apply({"full": True, "servers": servers})
        if isinstance(peers, list):
            self._peers_kept = [name for name in peers if isinstance(name, str)]

    def watch(self, enable: bool) -> None:
        """Watches the list, where a list service serves it."""
        if self._served:
            super().watch(enable)

    def fetch(self) -> None:
        """Fetches the list, where a list service serves it."""
        if self._served:
            super().fetch()

    def retake(self, told: dict[str, Any]) -> None:
        """Takes a new file's servers, or its list service."""
        if self._served and told["discovery"]:
            self.switch_service(told["discovery"])
        elif told["known"] and not self._served and self._etcd is None:
            self._apply(told["known"])
