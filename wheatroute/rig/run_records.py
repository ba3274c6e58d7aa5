"""The ledger of a run: what its servers and clients saw, and what was done to it. Free of I/O.

Never asks the program what it did: a request is known by its id, at servers and at clients. Times are the
rig's own, of the monotonic clock, in seconds. `verdict` judges a run by this ledger.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency
from wheatroute.rig.loop_lateness import LoopLateness
from wheatroute.rig.settings import Settings

IDEMPOTENCY = {  # by the word of the settings
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
_DEDUPLICATION_GROUPS = {
    "all": DeduplicationGroup.ALL,
    "zone": DeduplicationGroup.ZONE,
    "cell": DeduplicationGroup.CELL,
}
IN_FORCE = "in force"  # states of a version, as the history of versions words them
WAS_IN_FORCE = "was"  # how the state of a version begins that was in force once
NO_RESPONSE = -1  # status of a request whose connection broke


class ExecutionOutcome(StrEnum):
    """What a server did after having run a request."""

    ANSWERED = "answered"
    ERROR = "error"
    RESET = "reset"
    UNANSWERED = "silent"


@dataclass(frozen=True, slots=True)
class Execution:
    """A server read a whole request and began to run it."""

    started_at: float
    server: str
    zone: str
    cell: int
    node: str
    request_id: str
    request_class: str
    outcome: ExecutionOutcome
    sent_at: float  # when the node's last byte of it was received by the kernel


@dataclass(slots=True)
class ClientRequest:
    """A request of a client and its response; status 0 while there is none, -1 for a broken connection."""

    sent_at: float
    node: str
    request_id: str
    request_class: str
    timeout_s: float
    status: int = 0
    ended_at: float = 0.0
    response_count: int = 0


class RepeatPolicy(NamedTuple):
    """Whether and where a request class lets a request run again."""

    idempotency: Idempotency
    deduplication_group: DeduplicationGroup
    repeat_window_s: float

    @classmethod
    def from_settings(cls, table: Settings) -> RepeatPolicy:
        """The policy of a class's table in the settings; an unknown value counts as the strictest."""
        return cls(
            IDEMPOTENCY.get(table.get("effect", ""), Idempotency.NON_IDEMPOTENT),
            _DEDUPLICATION_GROUPS.get(table.get("group", "all"), DeduplicationGroup.CELL),
            table.get("repeat-window", 0.0),
        )

    def allows(self, first: Execution, repeat: Execution) -> bool:
        """Whether a request that `first` had begun may run again as `repeat`."""
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
        """Whether some server may not run a request again that another one had begun."""
        if self.idempotency is Idempotency.KEYED:
            return self.deduplication_group is not DeduplicationGroup.ALL
        return self.idempotency is Idempotency.NON_IDEMPOTENT


@dataclass(slots=True)
class PublishedVersion:
    """A version of the settings as the operator knows it."""

    number: int
    repeat_policies: dict[str, RepeatPolicy]  # by request class
    published_at: float
    ended_at: float = 0.0  # when its outcome was known, 0 before
    state: str = ""

    @property
    def became_active(self) -> bool:
        """Whether the version was in force at any time."""
        return self.state == IN_FORCE or self.state.startswith(WAS_IN_FORCE)


class Downtime(NamedTuple):
    """A span in which a node was killed or stopped."""

    started_at: float
    ended_at: float
    node: str


class InjectedFault(NamedTuple):
    """A fault that the rig caused, or its end."""

    at: float
    text: str


@dataclass
class RunRecords:
    """Everything that was seen in a run."""

    executions: list[Execution] = field(default_factory=list)
    requests: dict[str, ClientRequest] = field(default_factory=dict)  # by request id
    versions: list[PublishedVersion] = field(default_factory=list)
    faults: list[InjectedFault] = field(default_factory=list)
    downtimes: list[Downtime] = field(default_factory=list)
    drained_at: dict[str, float] = field(default_factory=dict)  # by server: since when nothing may reach it
    lateness: LoopLateness = field(default_factory=LoopLateness)  # of the rig that writes these records

    def record_fault(self, now: float, text: str) -> None:
        """Records a fault that the rig causes or ends now."""
        self.faults.append(InjectedFault(now, text))

    def executions_by_request(self) -> dict[str, list[Execution]]:
        """Executions by request id, each request's in the order of time."""
        by_request: dict[str, list[Execution]] = {}
        for execution in sorted(self.executions, key=lambda one: one.started_at):
            by_request.setdefault(execution.request_id, []).append(execution)
        return by_request


def repeat_policies(settings: Settings) -> dict[str, RepeatPolicy]:
    """The policies of all request classes of the settings, by class."""
    return {table["name"]: RepeatPolicy.from_settings(table) for table in settings["traffic-types"]}
