"""The status of an agreement as operators see it: its versions, and the state of each process. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from wheatroute.agreement.member_status import IN_FORCE, MemberStatus

STALE_STATUS_S = 10.0  # a process whose status is older may have ended and does not count as live


class ProcessState(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one process; the encoded names of its fields are the keys of `--json`."""

    name: str
    incarnation: str = msgspec.field(name="start")
    version: int
    joint_version: int = msgspec.field(name="joint")
    phase: str
    record: int  # number of the last record that the process has applied
    confirmed_ago_s: float  # age of the status: the reader's wall clock minus the writer's
    list_source: str
    list_revision: int
    unusable_version: int = msgspec.field(name="refuses")
    reason: str
    is_duplicate: bool = msgspec.field(name="doubled")  # another process has the same name


class AgreementStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The active and pending versions and all processes; encoded field names are the keys of `--json`."""

    active: int = msgspec.field(name="in_force")
    pending: int = msgspec.field(name="under_way")
    record: int  # number of the last record in the store
    processes: list[ProcessState]

    @property
    def is_settled(self) -> bool:
        """Whether no version is pending and every live process acts on the active version alone."""
        live = [process for process in self.processes if process.confirmed_ago_s < STALE_STATUS_S]
        return not self.pending and all(
            process.phase == IN_FORCE and process.version == self.active for process in live
        )

    def to_document(self) -> dict[str, Any]:
        """Returns the object that `--json` prints."""
        document: dict[str, Any] = msgspec.to_builtins(self)
        return document


def process_states(statuses: Sequence[MemberStatus], unix_time: float) -> list[ProcessState]:
    """Returns the states of all processes, sorted by name and incarnation; `unix_time` is the time now."""
    names = [status.name for status in statuses]
    states = [_process_state(status, unix_time, names.count(status.name) > 1) for status in statuses]
    return sorted(states, key=lambda state: (state.name, state.incarnation))


def _process_state(status: MemberStatus, unix_time: float, is_duplicate: bool) -> ProcessState:
    version, joint_version = status.versions
    list_source, list_revision = status.server_list
    return ProcessState(
        name=status.name,
        incarnation=status.incarnation,
        version=version,
        joint_version=joint_version,
        phase=status.phase,
        record=status.applied_record,
        confirmed_ago_s=round(max(0.0, unix_time - status.written_at), 3),
        list_source=list_source,
        list_revision=list_revision,
        unusable_version=status.unusable_version,
        reason=status.reason,
        is_duplicate=is_duplicate,
    )
