"""Types at the border of the decisions: the events of a batch, and the commands that answer it. No I/O.

A host (a node on sockets, the external processor, the bench's link, the simulated fleet) calls
`Balancer.handle_events(now, events, writer)`. `events` is a list of plain tuples, an `Event` first and its
fields after it, in the order in which they happened. They are tuples as several are made for each request.

    (Event.ARRIVED, request, request_class, time_left, tenant, is_repeated[, earlier[, work]])
    (Event.ANSWER_STARTED, request, attempt, server)
    (Event.ATTEMPT_ENDED, request, attempt, server, outcome, elapsed, is_finished, report)
    (Event.CLIENT_LEFT, request)
    (Event.SERVERS_LISTED, entries, is_full)
    (Event.LIST_FAILED,)
    (Event.PROBE_ENDED, server, outcome, elapsed, report)
    (Event.TIMER_DUE,)
    (Event.NODES_COUNTED, nodes, node, caution)
    (Event.PEER_REPORTED, loads)
    (Event.SETTINGS_CHANGED, settings, is_binding)

Requests, servers, request classes, tenants and zones are small dense numbers that the host gives out;
`tenant` is -1 where there is none. Attempts of a request are numbered from 0 in the order in which they are
written. Times are in seconds. `report` is None or maps a name to a figure. Where a client of the host
repeats a request by itself, `earlier` holds the attempts before this one (`EarlierAttempt`): they count as
the request's first attempts. `work` is a hint of what the request costs, in any unit that is the same for all
requests of its class; 0 without a hint.
"""

from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import Any, Protocol


class Event(IntEnum):
    """What can have happened since the last batch."""

    ARRIVED = 0  # a request
    ANSWER_STARTED = 1  # the first byte of a streamed answer went to the client
    ATTEMPT_ENDED = 2
    CLIENT_LEFT = 3  # nobody waits for the request any more
    SERVERS_LISTED = 4  # a full list, or a change of one
    LIST_FAILED = 5  # a watch or fetch of the list failed, or was dropped
    PROBE_ENDED = 6
    TIMER_DUE = 7  # a moment given to `CommandWriter.wake_at` has come
    NODES_COUNTED = 8  # how many nodes there are, and which of them this one is
    PEER_REPORTED = 9  # what another node heard servers to hold
    SETTINGS_CHANGED = 10  # `is_binding`: also for requests taken before


class Outcome(IntEnum):
    """How an attempt ended. FULL, UNCONNECTED and MOOT prove that it never ran."""

    SERVED = 0
    ERROR = 1  # the server answered with an error
    FULL = 2  # rejected by the server for want of capacity
    TIMED_OUT = 3
    UNCONNECTED = 4  # no connection could be opened
    RESET = 5  # the connection broke
    WITHDRAWN = 6  # cancelled by this node
    MOOT = 7  # never sent: the request had ended before
    UNKNOWN = 8


class Idempotency(IntEnum):
    """Whether a request may run more than once, from the loosest to the strictest."""

    IDEMPOTENT = 0
    KEYED = 1  # servers of its deduplication group drop a repeat under the same key
    NON_IDEMPOTENT = 2


class DeduplicationGroup(IntEnum):
    """Which servers drop a repeat of a keyed request, from the loosest to the strictest."""

    ALL = 0
    ZONE = 1
    CELL = 2


class ServerState(IntEnum):
    """State of a server by the list."""

    LIVE = 0
    DRAINING = 1
    REMOVED = 2


EventFields = tuple[Any, ...]
# server, zone, model, cell, state, size, start
ListEntry = tuple[int, int, int, int, ServerState, float, float]
EarlierAttempt = tuple[int, float, bool]  # server (-1: unknown), when it was sent, whether it may have run
Report = Mapping[str, float]
EventBatch = Sequence[EventFields]


class CommandWriter(Protocol):
    """Takes the commands of a batch in the order in which they are to be carried out."""

    def attempt(self, request: int, server: int, timeout_s: float) -> None:
        """Send the request to the server; with a timeout of 0 until the client leaves."""

    def cancel(self, request: int, n: int) -> None:
        """Cancel one attempt of a request."""

    def reject(self, request: int, retry_after_s: float) -> None:
        """Final answer: did not run and may be sent again, after `retry_after_s`."""

    def fail(self, request: int) -> None:
        """Final answer: failed, may have run."""

    def wake_at(self, moment: float) -> None:
        """Call with `Event.TIMER_DUE` at this moment or later."""

    def probe(self, server: int) -> None:
        """Probe a server."""

    def send_loads(self, loads: Mapping[int, float]) -> None:
        """Send to all other nodes what these servers hold."""

    def watch(self, enable: bool) -> None:
        """Begin or end the stream of list changes."""

    def fetch(self) -> None:
        """Fetch the full list once."""

    def close(self, server: int) -> None:
        """Close idle connections to a server."""

    def log(self, text: str) -> None:
        """Write a log line for the operators."""
