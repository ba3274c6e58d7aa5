"""The statuses that supervisors, controllers and nodes write into the rollout store. No I/O.

A status is a JSON object whose key `row` says whether a supervisor, a controller or a node wrote it. Unknown
keys are ignored, and so are figures in an unknown format.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from wheatroute.agreement.documents import parse
from wheatroute.agreement.member_status import StoredStatus

FIGURES_FORMAT = 1
# Values of `row`: the status of a supervisor, of a controller, and the figures of a node's process.
SUPERVISOR_ROW, CONTROLLER_ROW, FIGURES_ROW = "keeper", "controller", "figures"


class FailedProgram(msgspec.Struct, frozen=True, array_like=True):
    """A program that failed to start at a node, or crashed there, in the rollout numbered `rollout`."""

    rollout: int
    program: str


class SupervisorStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of a node's supervisor."""

    row: str = SUPERVISOR_ROW
    name: str  # name of the node
    incarnation: str = msgspec.field(name="start", default="")  # random, new with each start
    heartbeat: int = msgspec.field(name="beat", default=0)  # incremented with each write
    site: str
    program: str = msgspec.field(name="runs")  # program of the serving process; "" if there is none
    # Whether a candidate is starting or a former process is draining.
    is_changing: bool = msgspec.field(name="changing")
    failed: list[FailedProgram]
    last_error: str = msgspec.field(name="trouble")  # "" if none
    crashes: int = 0
    programs: list[str]  # names of the programs in the supervisor's settings
    applied_record: int = msgspec.field(name="head", default=0)  # number of the last record applied

    def to_stored(self) -> StoredStatus:
        """Returns the document for the store."""
        return _to_stored(self)


class ControllerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of a controller."""

    row: str = CONTROLLER_ROW
    name: str = CONTROLLER_ROW
    incarnation: str = msgspec.field(name="start")  # random, new with each start
    heartbeat: int = msgspec.field(name="beat")  # incremented with each write
    findings: list[str]  # a line for each finding on the current stage
    applied_record: int = msgspec.field(name="head")  # number of the last record applied

    def to_stored(self) -> StoredStatus:
        """Returns the document for the store."""
        return _to_stored(self)


class ClassOutcomes(msgspec.Struct, array_like=True):
    """How many requests of a class and tenant have had each outcome since the node's start."""

    request_class: str = ""
    tenant: str = ""
    ended: int = 0
    in_time: int = 0  # served within the target latency of the class
    rejected: int = 0
    failed: int = 0
    more_attempts: int = 0  # requests with more than one attempt
    client_left: int = 0  # the client closed its connection before the response

    def since(self, earlier: ClassOutcomes) -> ClassOutcomes:
        """Returns the outcomes of the requests that have ended since `earlier` was read."""
        return ClassOutcomes(
            request_class=self.request_class,
            tenant=self.tenant,
            ended=self.ended - earlier.ended,
            in_time=self.in_time - earlier.in_time,
            rejected=self.rejected - earlier.rejected,
            failed=self.failed - earlier.failed,
            more_attempts=self.more_attempts - earlier.more_attempts,
            client_left=self.client_left - earlier.client_left,
        )


class RequestFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of a node's requests since its start, by outcome and by duration."""

    format: int = FIGURES_FORMAT
    lost: int  # requests without a response `LOSS_DELAY_S` after their deadline
    outcomes: list[ClassOutcomes] = msgspec.field(name="cells")
    # Number of served requests by request class and bucket of duration.
    durations: dict[str, dict[int, int]] = msgspec.field(name="times")
    values: dict[str, float] = msgspec.field(name="worth")  # value of a request, by class

    def to_stored(self) -> StoredStatus:
        """Returns the document for the store."""
        return _to_stored(self)


class ProcessFigures(msgspec.Struct, frozen=True, kw_only=True):
    """The state and the resource usage of a node's process, as it reports them."""

    row: str = FIGURES_ROW
    name: str  # name of the node
    incarnation: str = msgspec.field(name="start")  # unique to each start
    program: str
    heartbeat: int = msgspec.field(name="beat")  # incremented with each write
    is_ready: bool = msgspec.field(name="ready")
    is_stopping: bool = msgspec.field(name="stopping")
    cpu_s: float = msgspec.field(name="cpu")  # CPU seconds since the process started
    memory_bytes: int = msgspec.field(name="memory")
    open_connections: int = msgspec.field(name="connections")
    written_at: float = msgspec.field(name="at", default=0.0)  # Unix time; for display only

    def to_stored(self) -> StoredStatus:
        """Returns the document for the store."""
        return _to_stored(self)


@dataclass(frozen=True)
class NodeFigures:
    """The report of a node's process: the process itself and its requests."""

    process: ProcessFigures
    requests: RequestFigures


class _Format(msgspec.Struct, frozen=True):
    format: object


class _Readiness(msgspec.Struct, frozen=True):
    incarnation: str = msgspec.field(name="start")
    is_ready: bool = msgspec.field(name="ready", default=False)


def supervisor_key(node: str) -> str:
    """Returns the key of a supervisor's status in the store."""
    return f"{SUPERVISOR_ROW}.{node}"


def controller_key(incarnation: str) -> str:
    """Returns the key of a controller's status in the store."""
    return f"{CONTROLLER_ROW}.{incarnation}"


def figures_key(node: str, incarnation: str) -> str:
    """Returns the key of the figures of a node's process in the store."""
    return f"{FIGURES_ROW}.{node}.{incarnation}"


def supervisor_statuses(documents: Iterable[StoredStatus]) -> dict[str, SupervisorStatus]:
    """Returns the supervisors' statuses by node; raises `MalformedDocumentError` if one is malformed."""
    statuses = [parse(document, SupervisorStatus) for document in _of_row(documents, SUPERVISOR_ROW)]
    return {status.name: status for status in statuses}


def controller_statuses(documents: Iterable[StoredStatus]) -> list[ControllerStatus]:
    """Returns the controllers' statuses; raises `MalformedDocumentError` if one is malformed."""
    return [parse(document, ControllerStatus) for document in _of_row(documents, CONTROLLER_ROW)]


def node_figures(documents: Iterable[StoredStatus]) -> list[NodeFigures]:
    """Returns the figures of all nodes' processes; figures in an unknown format are left out.

    Raises `MalformedDocumentError` if any of them is malformed.
    """
    return [
        parse_figures(document)
        for document in _of_row(documents, FIGURES_ROW)
        if parse(document, _Format).format == FIGURES_FORMAT
    ]


def parse_figures(document: StoredStatus) -> NodeFigures:
    """Returns the figures in a document; raises `MalformedDocumentError` if they are malformed."""
    return NodeFigures(parse(document, ProcessFigures), parse(document, RequestFigures))


def is_process_ready(documents: Iterable[StoredStatus], incarnation: str) -> bool:
    """Returns whether a process reports that it is ready, whatever the format of its figures."""
    processes = (parse(document, _Readiness) for document in _of_row(documents, FIGURES_ROW))
    return any(process.incarnation == incarnation and process.is_ready for process in processes)


def _of_row(documents: Iterable[StoredStatus], row: str) -> Iterable[StoredStatus]:
    return (document for document in documents if document.get("row") == row)


def _to_stored(status: Any) -> StoredStatus:
    document: StoredStatus = msgspec.to_builtins(status, str_keys=True)
    return document
