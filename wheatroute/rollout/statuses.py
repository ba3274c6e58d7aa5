"""The statuses that supervisors, controllers and nodes write into the rollout store. No I/O.

A status is a JSON object with the kind of its author in `row`. Keys that this program does not know are
ignored, and so are the figures of a format that it does not know.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from wheatroute.agreement.documents import parse
from wheatroute.agreement.member_status import StoredStatus

FIGURES_FORMAT = 1
SUPERVISOR_ROW, CONTROLLER_ROW, FIGURES_ROW = "keeper", "controller", "figures"


class FailedProgram(msgspec.Struct, frozen=True, array_like=True):
    """A program that did not come up at a node, or crashed there, in a rollout."""

    rollout: int
    program: str


class SupervisorStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of a node's supervisor."""

    row: str = SUPERVISOR_ROW
    name: str  # of the node
    incarnation: str = msgspec.field(name="start", default="")
    heartbeat: int = msgspec.field(name="beat", default=0)
    site: str
    program: str = msgspec.field(name="runs")  # that serves; "" for none
    is_changing: bool = msgspec.field(name="changing")
    failed: list[FailedProgram]
    trouble: str
    crashes: int = 0
    programs: list[str]  # that are installed
    applied_record: int = msgspec.field(name="head", default=0)

    def to_stored(self) -> StoredStatus:
        """Return the document for the store."""
        return _to_stored(self)


class ControllerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of a controller."""

    row: str = CONTROLLER_ROW
    name: str = CONTROLLER_ROW
    incarnation: str = msgspec.field(name="start")
    heartbeat: int = msgspec.field(name="beat")
    findings: list[str]
    applied_record: int = msgspec.field(name="head")

    def to_stored(self) -> StoredStatus:
        """Return the document for the store."""
        return _to_stored(self)


class ClassOutcomes(msgspec.Struct, array_like=True):
    """How many requests of a class and tenant had each outcome, since the node's start."""

    request_class: str = ""
    tenant: str = ""
    ended: int = 0
    in_time: int = 0
    rejected: int = 0
    failed: int = 0
    more_attempts: int = 0  # requests with more than one attempt
    client_left: int = 0

    def since(self, earlier: ClassOutcomes) -> ClassOutcomes:
        """Return the outcomes of the requests that have ended since earlier ones were read."""
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
    """What a node's requests came to since its start."""

    format: int = FIGURES_FORMAT
    lost: int  # requests without an answer after their deadline
    outcomes: list[ClassOutcomes] = msgspec.field(name="cells")
    # by request class and bucket of duration: requests that were served
    durations: dict[str, dict[int, int]] = msgspec.field(name="times")
    values: dict[str, float] = msgspec.field(name="worth")  # of a request, by class

    def to_stored(self) -> StoredStatus:
        """Return the document for the store."""
        return _to_stored(self)


class ProcessFigures(msgspec.Struct, frozen=True, kw_only=True):
    """What a node's process says of itself."""

    row: str = FIGURES_ROW
    name: str  # of the node
    incarnation: str = msgspec.field(name="start")
    program: str
    heartbeat: int = msgspec.field(name="beat")
    is_ready: bool = msgspec.field(name="ready")
    is_stopping: bool = msgspec.field(name="stopping")
    cpu_s: float = msgspec.field(name="cpu")  # since its start
    memory_bytes: int = msgspec.field(name="memory")
    open_connections: int = msgspec.field(name="connections")
    written_at: float = msgspec.field(name="at", default=0.0)  # Unix time; for display only

    def to_stored(self) -> StoredStatus:
        """Return the document for the store."""
        return _to_stored(self)


@dataclass(frozen=True)
class NodeFigures:
    """The status of a node's process."""

    process: ProcessFigures
    requests: RequestFigures


class _Format(msgspec.Struct, frozen=True):
    format: object


class _Readiness(msgspec.Struct, frozen=True):
    incarnation: str = msgspec.field(name="start")
    is_ready: bool = msgspec.field(name="ready", default=False)


def supervisor_key(node: str) -> str:
    """Return the key of a supervisor's status in the store."""
    return f"{SUPERVISOR_ROW}.{node}"


def controller_key(incarnation: str) -> str:
    """Return the key of a controller's status in the store."""
    return f"{CONTROLLER_ROW}.{incarnation}"


def figures_key(node: str, incarnation: str) -> str:
    """Return the key of the figures of a node's process in the store."""
    return f"{FIGURES_ROW}.{node}.{incarnation}"


def supervisor_statuses(documents: Iterable[StoredStatus]) -> dict[str, SupervisorStatus]:
    """Return the supervisors' statuses by node; raises `MalformedDocumentError` for a malformed one."""
    statuses = [parse(one, SupervisorStatus) for one in _of_row(documents, SUPERVISOR_ROW)]
    return {status.name: status for status in statuses}


def controller_statuses(documents: Iterable[StoredStatus]) -> list[ControllerStatus]:
    """Return the controllers' statuses; raises `MalformedDocumentError` for a malformed one."""
    return [parse(one, ControllerStatus) for one in _of_row(documents, CONTROLLER_ROW)]


def node_figures(documents: Iterable[StoredStatus]) -> list[NodeFigures]:
    """Return the figures of all nodes' processes that are of the format that this program knows.

    Raises `MalformedDocumentError` for malformed ones.
    """
    return [
        parse_figures(one)
        for one in _of_row(documents, FIGURES_ROW)
        if parse(one, _Format).format == FIGURES_FORMAT
    ]


def parse_figures(document: StoredStatus) -> NodeFigures:
    """Return the figures in a document; raises `MalformedDocumentError` if they are malformed."""
    return NodeFigures(parse(document, ProcessFigures), parse(document, RequestFigures))


def is_process_ready(documents: Iterable[StoredStatus], incarnation: str) -> bool:
    """Whether a process says that it is ready, whatever the format of its figures."""
    processes = (parse(one, _Readiness) for one in _of_row(documents, FIGURES_ROW))
    return any(process.incarnation == incarnation and process.is_ready for process in processes)


def _of_row(documents: Iterable[StoredStatus], row: str) -> Iterable[StoredStatus]:
    return (document for document in documents if document.get("row") == row)


def _to_stored(status: Any) -> StoredStatus:
    document: StoredStatus = msgspec.to_builtins(status, str_keys=True)
    return document
