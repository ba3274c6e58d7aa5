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
    (Event.SETTINGS_CHANGED, settings, applies_to_pending)

Requests, servers, request classes, tenants and zones are small dense numbers that the host gives out;
`tenant` is -1 where there is none. `attempt` numbers the attempts of a request from 0, in the order in which
they are written. Durations are in seconds, moments in seconds on the clock of `now`. The other fields:

- `time_left`: seconds until the request's deadline, as it arrives.
- `is_repeated`: whether the client says that it has sent this request before.
- `earlier`: where the host's client repeats a request by itself, the attempts before this one
  (`EarlierAttempt`); they count as the request's first attempts.
- `work`: a hint of what the request costs, in any unit that is the same for all requests of its class; 0
  without a hint.
- `elapsed`: seconds from the sending of the attempt or probe to its outcome.
- `is_finished`: whether the request needs no further attempt: its client has a response, or is gone.
- `report`: the server's load report, None or figures by name.
- `entries`, `is_full`: a list of `ListEntry`; the full list, or else only what has changed in it.
- `nodes`, `node`: how many nodes send to the same servers, and the index of this one, from 0.
- `caution`: a divisor, 1 or more, of what this node sends to servers that warm up. It is above 1 while the
  other nodes may not count this one.
- `loads`: load by server, as in `CommandWriter.send_loads`.
- `applies_to_pending`: whether the new `settings` also apply to requests that arrived before them; else those
  requests keep the rules under which they arrived.
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
    SETTINGS_CHANGED = 10  # `applies_to_pending`: also for requests taken before


class AttemptOutcome(IntEnum):
    """How an attempt ended. FULL, UNCONNECTED and MOOT prove that it never ran."""

    SERVED = 0
    ERROR = 1  # the server answered with an error
    FULL = 2  # rejected by the server for want of capacity
    TIMED_OUT = 3  # after it was written completely; else MOOT
    UNCONNECTED = 4  # no connection could be opened, or it broke before the request was written completely
    RESET = 5  # the connection broke
    WITHDRAWN = 6  # cancelled by this node
    # Not written, or not completely, for a reason that says nothing of the server: the request had ended, the
    # attempt was out of time or not allowed any more, or the host had no descriptor for a connection.
    MOOT = 7
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
# server, zone, model, cell, state; size: the server's weight by the list, which no decision uses; start: when
# its process started, 0 where that is unknown
ListEntry = tuple[int, int, int, int, ServerState, float, float]
EarlierAttempt = tuple[int, float, bool]  # server (-1: unknown), moment of sending, whether it may have run
Report = Mapping[str, float]
EventBatch = Sequence[EventFields]


class CommandWriter(Protocol):
    """Takes the commands of a batch in the order in which they are to be carried out."""

    def attempt(self, request: int, server: int, timeout_s: float) -> None:
        """Send the request to the server, with a timeout; 0: until the client leaves.

        It never lasts beyond the request's deadline.
        """

    def cancel(self, request: int, n: int) -> None:
        """Cancel attempt number `n` of a request."""

    def reject(self, request: int, retry_after_s: float) -> None:
        """Final answer: the client may send it again unharmed, after `retry_after_s`.

        It did not run, or may run once more by the rules of its class (`retry_rules.may_reject`).
        """

    def fail(self, request: int) -> None:
        """Final answer: failed, may have run."""

    def wake_at(self, moment: float) -> None:
        """Call with `Event.TIMER_DUE` at this moment or later; in seconds on the clock of `now`."""

    def probe(self, server: int) -> None:
        """Probe a server."""

    def send_loads(self, loads: Mapping[int, float]) -> None:
        """Send the load of these servers to all other nodes.

        In requests that a server holds; where servers report what is queued and their rate, in seconds that a
        request would wait (`LoadReports.take_report`).
        """

    def watch(self, enable: bool) -> None:
        """Begin or end the stream of list changes."""

    def fetch(self) -> None:
        """Fetch the full list once."""

    def close(self, server: int) -> None:
        """Close idle connections to a server."""

    def log(self, text: str) -> None:
        """Write a log line for the operators."""
