"""The records of a run: what its servers and clients observed, and which faults were injected. Does no I/O.

The program is never asked what it did: the request's id connects what the servers and the client observed of
a request. Times are seconds of the rig's own monotonic clock. `verdict` judges a run by these records.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency
from wheatroute.rig.loop_lateness import LoopLateness
from wheatroute.rig.settings import Settings

IDEMPOTENCY = {  # by the value of `effect` in the settings
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
_DEDUPLICATION_GROUPS = {  # by the value of `group` in the settings
    "all": DeduplicationGroup.ALL,
    "zone": DeduplicationGroup.ZONE,
    "cell": DeduplicationGroup.CELL,
}
# The state of the version in force, in the history of versions.
IN_FORCE = "in force"
# The state of a version that was in force earlier begins with this word.
WAS_IN_FORCE = "was"
# The status of a request whose connection broke or could not be opened.
NO_RESPONSE = -1


class ExecutionOutcome(StrEnum):
    """How a server responds after it has run a request."""

    ANSWERED = "answered"
    ERROR = "error"
    RESET = "reset"
    UNANSWERED = "silent"


@dataclass(frozen=True, slots=True)
class Execution:
    """One execution of a request: a server has read the whole request and begins to run it."""

    started_at: float
    server: str
    zone: str
    cell: int
    node: str
    request_id: str
    request_class: str
    outcome: ExecutionOutcome
    sent_at: float  # when the kernel received the last byte of the request from the node


@dataclass(slots=True)
class ClientRequest:
    """A request of a client and its response.

    `status` is the HTTP status of the response, 0 if none has arrived, or `NO_RESPONSE`. `ended_at` is 0
    while the client waits.
    """

    sent_at: float
    node: str
    request_id: str
    request_class: str
    timeout_s: float
    status: int = 0
    ended_at: float = 0.0
    response_count: int = 0


class RepeatPolicy(NamedTuple):
    """Whether a request class allows a request to be executed again, and on which servers.

    A keyed request may be repeated for `repeat_window_s` after its first execution, by the servers in the
    deduplication group of the first server.
    """

    idempotency: Idempotency
    deduplication_group: DeduplicationGroup
    repeat_window_s: float

    @classmethod
    def from_settings(cls, table: Settings) -> RepeatPolicy:
        """Returns the policy in a class's table of the settings; an unknown value counts as the strictest."""
        return cls(
            IDEMPOTENCY.get(table.get("effect", ""), Idempotency.NON_IDEMPOTENT),
            _DEDUPLICATION_GROUPS.get(table.get("group", "all"), DeduplicationGroup.CELL),
            table.get("repeat-window", 0.0),
        )

    def allows(self, first: Execution, repeat: Execution) -> bool:
        """Returns whether a request that was executed as `first` may be executed again as `repeat`."""
        if self.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        if self.idempotency is Idempotency.IDEMPOTENT:
            return True
        if repeat.started_at - first.started_at > self.repeat_window_s:
            return False
        if self.deduplication_group is DeduplicationGroup.ALL:
            return True
        if self.deduplication_group is DeduplicationGroup.ZONE:
            return first.zone == repeat.zone
        return first.cell == repeat.cell

    @property
    def may_forbid_repeat(self) -> bool:
        """Whether the policy may forbid a server to run a request that another server has started."""
        if self.idempotency is Idempotency.KEYED:
            return self.deduplication_group is not DeduplicationGroup.ALL
        return self.idempotency is Idempotency.NON_IDEMPOTENT


@dataclass(slots=True)
class PublishedVersion:
    """A version of the settings, as its operator sees it; `state` is its last outcome, at first empty."""

    number: int
    repeat_policies: dict[str, RepeatPolicy]  # by request class
    published_at: float
    ended_at: float = 0.0  # when its outcome became known; 0 before
    state: str = ""

    @property
    def became_active(self) -> bool:
        """Whether the version was in force at any time."""
        return self.state == IN_FORCE or self.state.startswith(WAS_IN_FORCE)


class Downtime(NamedTuple):
    """A period in which a node was killed or stopped."""

    started_at: float
    ended_at: float
    node: str


class InjectedFault(NamedTuple):
    """A fault that the rig injected, or the end of one."""

    at: float
    text: str


@dataclass
class RunRecords:
    """Everything that was observed in a run."""

    executions: list[Execution] = field(default_factory=list)
    requests: dict[str, ClientRequest] = field(default_factory=dict)  # by request id
    versions: list[PublishedVersion] = field(default_factory=list)
    faults: list[InjectedFault] = field(default_factory=list)
    downtimes: list[Downtime] = field(default_factory=list)
    # by server: when its drain was announced; after a grace period, no more requests may reach the server
    drained_at: dict[str, float] = field(default_factory=dict)
    # the delay of the event loop of the rig that writes these records
    lateness: LoopLateness = field(default_factory=LoopLateness)

    def record_fault(self, now: float, text: str) -> None:
        """Records a fault that the rig injects or ends at `now`."""
        self.faults.append(InjectedFault(now, text))

    def executions_by_request(self) -> dict[str, list[Execution]]:
        """Returns the executions by request id, those of each request in order of time."""
        by_request: dict[str, list[Execution]] = {}
        for execution in sorted(self.executions, key=lambda execution: execution.started_at):
            by_request.setdefault(execution.request_id, []).append(execution)
        return by_request


def repeat_policies(settings: Settings) -> dict[str, RepeatPolicy]:
    """Returns the policies of all request classes of the settings, by the name of the class."""
    return {table["name"]: RepeatPolicy.from_settings(table) for table in settings["traffic-types"]}
