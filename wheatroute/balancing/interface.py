"""Types of the balancer's interface: the events that it receives and the commands that it writes. No I/O.

A host (a node on sockets, the external processor, the simulator's link, the simulated fleet) calls
`Balancer.handle_events(now, events, writer)`. `events` is a list of plain tuples in the order in which the
events happened, each an `Event` followed by its fields. Plain tuples keep the cost low, since every request
causes several events.

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

The host identifies requests, servers, request classes, tenants and zones by small dense integers; `tenant` is
-1 for a request without a tenant. `attempt` numbers the attempts of a request from 0, in the order in which
the balancer writes them. Durations are in seconds; points in time are in seconds on the clock of `now`. The
other fields:

- `time_left`: seconds until the request's deadline, counted from its arrival.
- `is_repeated`: whether the client says that it has sent this request before.
- `earlier`: attempts that the host's client already made for this request (`EarlierAttempt`), if the client
  retries requests itself; they count as the request's first attempts.
- `work`: a hint at the cost of the request, in any unit that is the same for all requests of its class; 0 if
  there is no hint.
- `elapsed`: seconds from the sending of the attempt or probe to its outcome.
- `is_finished`: whether the request needs no further attempt, because its client has a response or has left.
- `report`: the server's load report as values by name, or None.
- `entries`, `is_full`: a list of `ListEntry`; the full list if `is_full`, else only the changed entries.
- `nodes`, `node`: how many nodes send to the same servers, and the index of this node, from 0.
- `caution`: a divisor, 1 or more, of the rate at which this node sends to servers that are warming up. It is
  above 1 while the other nodes may not yet include this node in their count of nodes.
- `loads`: load by server, as in `CommandWriter.send_loads`.
- `applies_to_pending`: whether the new `settings` also apply to requests that arrived before the change; if
  not, such a request keeps the rules under which it arrived.
"""

from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import Any, Protocol


class Event(IntEnum):
    """The kinds of events; the module docstring lists the fields of each."""

    ARRIVED = 0  # a request arrived
    ANSWER_STARTED = 1  # the first byte of a streamed answer was sent to the client
    ATTEMPT_ENDED = 2
    CLIENT_LEFT = 3  # the client of a request disconnected or gave up
    SERVERS_LISTED = 4  # a full server list, or a change of the list, was received
    LIST_FAILED = 5  # a watch or fetch of the server list failed or was dropped
    PROBE_ENDED = 6
    TIMER_DUE = 7  # a time passed to `CommandWriter.wake_at` has come
    NODES_COUNTED = 8  # the number of nodes or the index of this node changed
    PEER_REPORTED = 9  # another node sent the loads that servers reported to it
    SETTINGS_CHANGED = 10


class AttemptOutcome(IntEnum):
    """How an attempt or a probe ended. FULL, UNCONNECTED and MOOT prove that the request never ran.

    The simulated fleet writes the member names into its output, so they must not change.
    """

    SERVED = 0
    ERROR = 1  # the server answered with an error
    FULL = 2  # the server rejected the request because it has no free capacity
    TIMED_OUT = 3  # timed out after the request was written completely; a timeout before that is MOOT
    UNCONNECTED = 4  # no connection could be opened, or it broke before the request was written completely
    RESET = 5  # the connection broke; the request may have run
    WITHDRAWN = 6  # this node cancelled the attempt
    # The request was not written completely or not at all, for a reason that says nothing about the server:
    # the request had ended, the attempt was out of time or no longer allowed, or the host had no file
    # descriptor left.
    MOOT = 7
    UNKNOWN = 8  # any other end, for instance a malformed response; the request may have run


class Idempotency(IntEnum):
    """Whether a request may run more than once; ordered from the most permissive to the strictest."""

    IDEMPOTENT = 0
    KEYED = 1  # the servers of the request's deduplication group drop repeats with the same idempotency key
    NON_IDEMPOTENT = 2


class DeduplicationGroup(IntEnum):
    """Which servers drop a repeat of a keyed request; ordered from the most permissive to the strictest."""

    ALL = 0
    ZONE = 1
    CELL = 2


class ServerState(IntEnum):
    """State of a server according to the server list."""

    LIVE = 0
    DRAINING = 1
    REMOVED = 2


EventFields = tuple[Any, ...]
# server, zone, model, cell, state, the server's weight in the list (no decision uses it), and the time at
# which the server's process started (0: unknown)
ListEntry = tuple[int, int, int, int, ServerState, float, float]
EarlierAttempt = tuple[int, float, bool]  # server (-1: unknown), time of sending, whether it may have run
Report = Mapping[str, float]  # values of a load report by name
EventBatch = Sequence[EventFields]


class CommandWriter(Protocol):
    """Receives the commands of a batch in the order in which they must be executed."""

    def attempt(self, request: int, server: int, timeout_s: float) -> None:
        """Sends the request to the server with a timeout; 0 means until the client leaves.

        The attempt never lasts beyond the request's deadline.
        """

    def cancel(self, request: int, n: int) -> None:
        """Cancels attempt number `n` of a request."""

    def reject(self, request: int, retry_after_s: float) -> None:
        """Gives the final answer that the client may safely send the request again after `retry_after_s`.

        The request did not run, or the rules of its class allow it to run again (`retry_rules.may_reject`).
        """

    def fail(self, request: int) -> None:
        """Gives the final answer that the request failed and may have run."""

    def wake_at(self, moment: float) -> None:
        """Requests a call with `Event.TIMER_DUE` at `moment` or later, in seconds on the clock of `now`."""

    def probe(self, server: int) -> None:
        """Sends a probe to a server; its result must be reported as `Event.PROBE_ENDED`."""

    def send_loads(self, loads: Mapping[int, float]) -> None:
        """Sends the loads of these servers to all other nodes.

        A load is the number of requests in progress at the server or, if servers report their queue length
        and rate, the seconds that a new request would wait there (`LoadReports.record_report`).
        """

    def watch(self, enable: bool) -> None:
        """Starts or stops watching the server list for changes."""

    def fetch(self) -> None:
        """Fetches the full server list once."""

    def close(self, server: int) -> None:
        """Closes the idle connections to a server."""

    def log(self, text: str) -> None:
        """Writes a log line for the operators."""
