"""Client of the list service: starts with the list of servers in the settings, then fetches and watches it.

Does I/O; each watch and each fetch has its own connection. Invariants: a malformed entry never causes other
entries to be dropped, and an older response never reverts changes that a newer one made.
"""

import errno
import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

import h11
import orjson
import trio

from wheatroute.balancing.interface import Event, ListEntry
from wheatroute.net.addresses import format_address
from wheatroute.net.connection import Connection, MalformedError
from wheatroute.net.log import CloseReason, Logger, log_closed_connection
from wheatroute.net.node_settings import DiscoverySettings
from wheatroute.net.server_entries import ServerEntryReader, ServerRegistry

PATH = b"/discovery/hosts"
# An unresponsive watch is detected WATCH_WAIT_S plus RESPONSE_MARGIN_S after its request was sent. Three more
# attempts follow, each on a new connection, which may fail to be established. All of them are made within 6 s
# of the watch becoming unresponsive, because after 6 s the protocol treats changes as known to the node even
# if it has missed them.
WATCH_WAIT_S = 3.0  # time for which the list service may wait for changes
RESPONSE_MARGIN_S = 0.5  # time to answer after that wait; also the time to establish a connection
FIRST_WATCH_WAIT_MS = 1  # wait of a connection's first watch: short, to detect an unresponsive service soon
FETCH_TIMEOUT_S = 2.0  # below the 6 s after which the protocol treats a list as known to the node
# Delay before a failed watch is retried. The protocol requires that a watch is resumed within 200 ms.
RETRY_INTERVAL_S = 0.1
MAX_LIST_BYTES = 1 << 24
MAX_LOGGED_CHARACTERS = 120
UNKNOWN_VERSION = -1


class ListFilter(Protocol):
    """Corrects lists by the states of servers that other processes report."""

    def filter_message(self, document: object) -> object:
        """Returns the message, a full list or changes to a list, with its entries corrected."""


class EventSink(Protocol):
    """Accepts events for the decision module."""

    def add_event(self, *event: object) -> None:
        """Adds an event."""


class Discovery:
    """Keeps the node's list of servers up to date with a list service.

    Passes changes to the driver as events, and addresses and states to `servers`.
    """

    def __init__(
        self, settings: DiscoverySettings, driver: EventSink, servers: ServerRegistry, log: Logger
    ) -> None:
        self._address = settings.address
        self._driver, self._log = driver, log
        self._entries = ServerEntryReader(settings.zones, settings.models, servers)
        self._version = UNKNOWN_VERSION
        self._responses_applied = 0
        self.has_full_list = False
        # "nodes": the number of nodes; "node": the index of this one, from 0.
        self.node_counts: dict[str, int] = {}
        self._is_on_request = settings.is_on_request
        # Set only if the settings enable agreement between processes.
        self.list_filter: ListFilter | None = None
        self._watch_scope: trio.CancelScope | None = None
        self._fetches: set[trio.CancelScope] = set()
        self._nursery: trio.Nursery
        self._apply(settings.initial_list)

    @property
    def numbers(self) -> Mapping[str, int]:
        """The numbers of servers by id; ids are the same on every node."""
        return self._entries.numbers.by_id

    @property
    def list_version(self) -> tuple[str, int]:
        """The source of the list that this node uses, and the list's version (0 if unknown)."""
        return format_address(self._address), max(0, self._version)

    async def run(self) -> None:
        """Runs the tasks of watches and fetches until cancelled."""
        async with trio.open_nursery() as self._nursery:
            if not self._is_on_request:
                self.watch(True)
            await trio.sleep_forever()

    async def leave(self) -> None:
        """Deregisters this node as it stops; with a list service there is nothing to do."""

    def watch(self, enable: bool) -> None:
        """Stops the current watch, and starts a new one if `enable` is set."""
        if self._watch_scope is not None:
            self._watch_scope.cancel()
            self._watch_scope = None
        if enable:
            self._watch_scope = trio.CancelScope()
            self._nursery.start_soon(self._watch, self._watch_scope)

    def fetch(self) -> None:
        """Requests the full list once."""
        self._nursery.start_soon(self._fetch)

    def switch_service(self, address: tuple[str, int]) -> None:
        """Switches to another list service and requests its list immediately.

        Each list service has its own version numbers.
        """
        if address == self._address:
            return
        self._address, self._version = address, UNKNOWN_VERSION
        self._responses_applied += 1
        for scope in list(self._fetches):
            scope.cancel()
            self.fetch()
        if self._watch_scope is not None:
            self.watch(True)

    # Tasks of watches and fetches.

    async def _watch(self, scope: trio.CancelScope) -> None:
        """Watches the list; after a failure it retries, or ends if lists are only sent on request."""
        with scope:
            while True:
                await self._with_connection(self._watch_on)
                self._driver.add_event(Event.LIST_FAILED)
                if self._is_on_request:
                    return
                await trio.sleep(RETRY_INTERVAL_S)

    async def _watch_on(self, connection: Connection) -> CloseReason:
        """Sends one watch request after another until one times out."""
        wait_ms = FIRST_WATCH_WAIT_MS
        while True:
            query = b""
            timeout_s = RESPONSE_MARGIN_S
            if self._version >= 0:
                query = b"?after=%d&wait_ms=%d" % (self._version, wait_ms)
                timeout_s += wait_ms / 1000.0
            with trio.move_on_after(timeout_s) as limit:
                await self._request_list(connection, PATH + query)
            if limit.cancelled_caught:
                return CloseReason.TIMED_OUT
            wait_ms = int(WATCH_WAIT_S * 1000)

    async def _fetch(self) -> None:
        with trio.CancelScope() as scope:
            self._fetches.add(scope)
            if await self._with_connection(self._fetch_on) != CloseReason.CLOSE_REQUESTED:
                self._driver.add_event(Event.LIST_FAILED)
        self._fetches.discard(scope)

    async def _fetch_on(self, connection: Connection) -> CloseReason:
        with trio.move_on_after(FETCH_TIMEOUT_S):
            await self._request_list(connection, PATH)
            return CloseReason.CLOSE_REQUESTED
        return CloseReason.TIMED_OUT

    # Connections to the list service.

    async def _with_connection(self, use: Callable[[Connection], Awaitable[CloseReason]]) -> CloseReason:
        """Calls `use` with a connection to the list service; returns why the connection was closed."""
        connection, reason, address = None, CloseReason.STOPPING, self._address
        try:
            connection = await self._connect()
            reason = await use(connection)
        except (OSError, MalformedError):
            reason = CloseReason.RESET
        except Exception:
            reason = CloseReason.FAULT
            self._log.exception("unhandled-exception")
        finally:
            if connection is not None:
                connection.close()
                reason = reason if address == self._address else CloseReason.CLOSED_BY_NODE
                log_closed_connection(
                    self._log,
                    "list",
                    connection.peer,
                    reason,
                    connection.opened_at,
                    connection.message_count,
                )
        return reason

    async def _connect(self) -> Connection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            if sock.connect_ex(self._address) == errno.EINPROGRESS:
                with trio.move_on_after(RESPONSE_MARGIN_S):
                    await trio.lowlevel.wait_writable(sock)
            sock.getpeername()  # raises OSError unless the socket is connected
            connection = Connection(sock, h11.CLIENT, format_address(self._address))
            connection.max_body_bytes = MAX_LIST_BYTES
            return connection
        except BaseException:
            sock.close()
            raise

    async def _request_list(self, connection: Connection, target: bytes) -> None:
        responses_applied = self._responses_applied
        self._handle_response(await self._get(connection, target), responses_applied)

    async def _get(self, connection: Connection, target: bytes) -> object:
        """Requests `target` and returns the JSON of the response; raises MalformedError if it is unusable."""
        headers = [(b"Host", format_address(self._address).encode())]
        connection.send(h11.Request(method=b"GET", target=target, headers=headers))
        await connection.read_message()
        if connection.peer != format_address(self._address):
            # The node was switched to another list service meanwhile; this response is from the previous one.
            raise MalformedError(0, "the response is from the previous list service")
        body = connection.body
        if connection.head.status_code != 200:
            raise MalformedError(0, "the list service returned no list: the status is not 200")
        if not connection.start_next_message():
            raise MalformedError(0, "the list service closes the connection after this response")
        try:
            return orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise MalformedError(0, "the list of servers is not valid JSON") from error

    # Handling of received lists.

    def _handle_response(self, document: object, responses_applied: int) -> None:
        """Applies a response unless a newer one has been applied since its request was sent.

        `responses_applied` is the number of responses that had been applied when the request was sent.

        An older full list may arrive after a newer change and would, for instance, make a draining server
        live again. If the response's version is lower than the known one although no other response was
        applied since its request was sent, the list service has restarted and numbers its versions anew: its
        list is applied, and further requests use its new version numbers.
        """
        fields = document if isinstance(document, dict) else {}
        version = fields.get("version")
        is_older = isinstance(version, int) and version < self._version
        if is_older and responses_applied != self._responses_applied:
            return
        if is_older:
            self._log.warning("list-service-restarted", version=version, previous_version=self._version)
        self._responses_applied += 1
        if not is_older or fields.get("full"):
            self._apply(document)
        else:
            # These are changes to a list that this node does not have, so it requests the full list.
            self._version = UNKNOWN_VERSION
        if is_older and self._watch_scope is not None:
            self.watch(True)

    def apply_reported_states(self, servers: list[dict[str, Any]]) -> None:
        """Applies server states that other processes have reported, to servers of this node's list."""
        self._apply({"heard": True, "full": False, "servers": servers})

    def _apply(self, document: object) -> None:
        """Passes a list, or changes to it, to the decision module; malformed entries are skipped."""
        if self.list_filter is not None:
            document = self.list_filter.filter_message(document)
        if not isinstance(document, dict) or not isinstance(document.get("servers"), list):
            return
        is_full = bool(document.get("full", False))
        self._entries.begin_list(is_full)
        entries = self._read_entries(document["servers"])
        if isinstance(document.get("version"), int):
            self._version = document["version"]
        if is_full:
            self._entries.finish_full_list()
        self.has_full_list = self.has_full_list or is_full
        if entries or is_full:
            self._driver.add_event(Event.SERVERS_LISTED, entries, is_full)

    def _read_entries(self, servers: list[object]) -> list[ListEntry]:
        entries = []
        for entry in servers:
            try:
                entries += self._entries.read(entry)
            except (TypeError, ValueError, KeyError, AttributeError) as error:
                self._log.warning(
                    "entry-skipped",
                    entry=repr(entry)[:MAX_LOGGED_CHARACTERS],
                    error=str(error)[:MAX_LOGGED_CHARACTERS],
                )
        return entries
