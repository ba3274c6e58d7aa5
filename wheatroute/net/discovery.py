"""The list of servers: what the node was told at start, then fetches and watches.

Owns the connection to the list service, and the numbers of servers. It must never drop a good entry for a
bad one beside it, nor judge a server: what the list says goes to the module as it came.
"""

import errno
import socket
from collections.abc import Awaitable, Callable, Mapping
from math import isfinite
from typing import Any

import h11
import orjson
import trio

from wheatroute.balancing.interface import Event, ListEntry, ServerState
from wheatroute.net.boot import address
from wheatroute.net.connection import Connection, MalformedError
from wheatroute.net.log import Reason, ended
from wheatroute.net.rounds import Rounds, now
from wheatroute.net.servers import Servers

PATH = b"/discovery/hosts"
STATES = {
    "in_service": ServerState.LIVE,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.REMOVED,
}
# a watch that falls silent is found out WAIT and LATE after it was asked, then asked anew three times, each
# on a connection that may not come up, before what it misses counts as told: 6 s after it fell silent
WAIT = 3.0  # seconds that a watch waits for news
LATE = 0.5  # seconds after its wait in which a watch must answer, and for a connection to come up
AT_ONCE = 1  # ms that the first call of a connection waits, so that one which is silent is found out soon
PATIENCE = 2.0  # seconds for a fetch: after 6 the protocol counts it as told
AGAIN = 0.1  # pause before another try, inside the 200 ms in which a watch goes on
LONGEST_LIST = 1 << 24
REST = 30.0  # seconds after which the number of a server that is gone may be another's


class Discovery:
    """One node's view of the list service."""

    def __init__(self, boot: dict[str, Any], rounds: Rounds, servers: Servers, log: Any) -> None:
        self._place, self._rounds, self._servers, self._log = boot["discovery"], rounds, servers, log
        self._zones, self._models = boot["zones"], boot["models"]
        self._numbers: dict[str, int] = {}
        self._gone: dict[str, float] = {}  # servers off the list, and since when
        self._free: list[int] = []  # numbers that were theirs
        self._version = -1
        self._turn = 0  # how many answers of the list service were taken
        self.known = False
        self.counted: dict[str, int] = {}  # how many nodes there are and which this is, if that is heard
        self._on_request = boot["terms"].list_on_request
        self.leaving: Any = None  # what other processes say of servers, where processes agree
        self._watch_scope: trio.CancelScope | None = None
        self._fetches: set[trio.CancelScope] = set()
        self._nursery: trio.Nursery
        self._take(boot["known"])

    @property
    def numbers(self) -> Mapping[str, int]:
        """The numbers of servers by the ids that are the same at every node."""
        return self._numbers

    @property
    def acted_on(self) -> tuple[str, int]:
        """Whose list this node acts on, and up to which version of it."""
        return "{}:{}".format(*self._place), max(0, self._version)

    async def run(self) -> None:
        async with trio.open_nursery() as self._nursery:
            if not self._on_request:
                self.watch(True)
            await trio.sleep_forever()

    def watch(self, enable: bool) -> None:
        if self._watch_scope is not None:
            self._watch_scope.cancel()
            self._watch_scope = None
        if enable:
            self._watch_scope = trio.CancelScope()
            self._nursery.start_soon(self._watch, self._watch_scope)

    def fetch(self) -> None:
        self._nursery.start_soon(self._fetch)

    def move(self, place: tuple[str, int]) -> None:
        """Another list service from now on, with versions of its own; what it lists is asked for at once."""
        if place == self._place:
            return
        self._place, self._version, self._turn = place, -1, self._turn + 1
        for scope in list(self._fetches):
            scope.cancel()
            self.fetch()
        if self._watch_scope is not None:
            self.watch(True)

    async def _watch(self, scope: trio.CancelScope) -> None:
        """Watches for as long as that works; where changes come unasked it also goes on after a failure."""
        with scope:
            while True:
                await self._talk(self._follow)
                self._rounds.happened(Event.LIST_FAILED)
                if self._on_request:
                    return
                await trio.sleep(AGAIN)

    async def _follow(self, line: Connection) -> Reason:
        """One watch after the other, until one is not answered."""
        wait = AT_ONCE
        while True:
            since = b"?after=%d&wait_ms=%d" % (self._version, wait) if self._version >= 0 else b""
            with trio.move_on_after(wait / 1000.0 + LATE if since else LATE) as limit:
                await self._ask(line, PATH + since)
            if limit.cancelled_caught:
                return Reason.TIMED_OUT
            wait = int(WAIT * 1000)

    async def _fetch(self) -> None:
        with trio.CancelScope() as scope:
            self._fetches.add(scope)
            if await self._talk(self._whole_list) != Reason.ASKED:
                self._rounds.happened(Event.LIST_FAILED)
        self._fetches.discard(scope)

    async def _whole_list(self, line: Connection) -> Reason:
        with trio.move_on_after(PATIENCE):
            await self._ask(line, PATH)
            return Reason.ASKED
        return Reason.TIMED_OUT

    async def _talk(self, use: Callable[[Connection], Awaitable[Reason]]) -> Reason:
        """Gives `use` a connection to the list service; returns why that ended."""
        line, reason, place = None, Reason.STOPPING, self._place
        try:
            line = await self._connect()
            reason = await use(line)
        except (OSError, MalformedError):
            reason = Reason.BROKEN
        except Exception:
            reason = Reason.FAULT
            self._log.exception("fault")
        finally:
            if line is not None:
                line.close()
                reason = reason if place == self._place else Reason.SHUT
                ended(self._log, "list", line.peer, reason, line.since, line.messages)
        return reason

    async def _connect(self) -> Connection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            if sock.connect_ex(self._place) == errno.EINPROGRESS:
                with trio.move_on_after(LATE):
                    await trio.lowlevel.wait_writable(sock)
            sock.getpeername()  # an error unless it is connected
            line = Connection(sock, h11.CLIENT, f"{self._place[0]}:{self._place[1]}")
            line.longest = LONGEST_LIST
            return line
        except BaseException:
            sock.close()
            raise

    async def _ask(self, line: Connection, target: bytes) -> None:
        turn = self._turn
        self._answered(await self._call(line, target), turn)

    def _answered(self, told: Any, turn: int) -> None:
        """Takes an answer to a question asked when `turn` answers were taken, unless it is the older one.

        Guards against a whole list that lands behind a newer change, and calls a draining server live again.
        Where nothing came between and the version still goes back, the service has started anew: what it
        lists is taken as it is, and what is asked from here on counts from its own versions.
        """
        version = told.get("version") if isinstance(told, dict) else None
        back = isinstance(version, int) and version < self._version
        if back and turn != self._turn:
            return
        if back:
            self._log.warning("list-starts-anew", version=version, acted_on=self._version)
        self._turn += 1
        if not back or told.get("full"):
            self._take(told)
        else:
            self._version = -1  # changes to a list that this node does not know: it asks for all of it
        if back and self._watch_scope is not None:
            self.watch(True)

    async def _call(self, line: Connection, target: bytes) -> Any:
        host = b"%s:%d" % (self._place[0].encode(), self._place[1])
        line.send(h11.Request(method=b"GET", target=target, headers=[(b"Host", host)]))
        await line.message()
        if line.peer != "{}:{}".format(*self._place):
            # guards against the old service's last answer taken for the new one's
            raise MalformedError(0, "moved")
        body = line.body
        if line.head.status_code != 200:
            raise MalformedError(0, "no list")
        if not line.next_message():
            raise MalformedError(0, "closed")
        try:
            return orjson.loads(body)
        except orjson.JSONDecodeError as trouble:
            raise MalformedError(0, "list is not JSON") from trouble

    # entries

    def heed(self, servers: list[dict[str, Any]]) -> None:
        """Servers of the own list as they are by what other processes say."""
        self._take({"heard": True, "full": False, "servers": servers})

    def _take(self, told: Any) -> None:
        """Hands a list or its changes to the module; what is malformed is left out."""
        if self.leaving is not None:
            told = self.leaving.listed(told)
        if not isinstance(told, dict) or not isinstance(told.get("servers"), list):
            return
        self._let_go()
        entries, whole = [], bool(told.get("full", False))
        if whole:
            self._gone = {name: self._gone.get(name, now()) for name in self._numbers}
        for one in told["servers"]:
            try:
                entries += self._entries(one)
            except (TypeError, ValueError, KeyError, AttributeError) as trouble:
                self._log.warning("entry-skipped", entry=repr(one)[:120], trouble=str(trouble)[:120])
        if isinstance(told.get("version"), int):
            self._version = told["version"]
        for name in self._gone if whole else ():
            self._servers.stands(self._numbers[name], ServerState.REMOVED, 0.0)
        self.known = self.known or whole
        if entries or whole:
            self._rounds.happened(Event.SERVERS_LISTED, entries, whole)

    def _let_go(self) -> None:
        """Guards against growing with every server that ever was: numbers of those gone are used again."""
        for name, since in list(self._gone.items()):
            if now() - since > REST and self._servers.release(self._numbers[name]):
                self._free.append(self._numbers.pop(name))
                del self._gone[name]

    def _entries(self, one: dict[str, Any]) -> list[ListEntry]:
        """An entry; before the first of a number that was another's, one that says that the other is gone."""
        if not isinstance(one["id"], str):
            raise ValueError("no id")
        state = STATES.get(one.get("state", "in_service"), ServerState.DRAINING)
        size, cell = float(one.get("weight", 1.0)), int(one.get("cell", 0))
        started = float(one.get("started_ms", 0)) / 1000.0
        if not (isfinite(size) and isfinite(started)):
            raise ValueError("a figure that is none")
        zone, model = str(one.get("zone", "")), str(one.get("kind", ""))
        place = address(one["addr"]) if state != ServerState.REMOVED or "addr" in one else None
        server, entries = self._numbers.get(one["id"], -1), []
        figures = self._zones[zone], self._models[model], cell
        if server < 0:
            server = len(self._numbers)  # where none is free, all that were given out are in use
            if self._free:
                server = self._free.pop()
                entries.append((server, *figures, ServerState.REMOVED, size, 0.0))
            self._numbers[one["id"]] = server
        if state == ServerState.REMOVED:
            self._gone[one["id"]] = now()
            self._servers.shut_idle(server)
        else:
            self._gone.pop(one["id"], None)
        if place is not None:
            self._servers.place(server, place)
        self._servers.stands(server, state, started)
        return [*entries, (server, *figures, state, size, started)]
