"""Log events of replication, one function each.

Names and fields are documented for operators in docs/operators/system.md; a change here must be made there
too.
"""

from __future__ import annotations

import logging

from wheatroute.replication.core import ReplicationCore
from wheatroute.replication.records import Document, NodeRecord
from wheatroute.replication.storage import StorageError


def started(log: logging.Logger, record: NodeRecord, is_fresh: bool) -> None:
    """Logs the record with which the process starts; `is_fresh`: the disk held no readable record."""
    log.info(
        "replication-started",
        extra={
            "identity": record.identity,
            "fresh": is_fresh,
            "epoch": record.acceptor.view.epoch,
            "sequence": record.document.version.sequence,
        },
    )


def view_changed(log: logging.Logger, core: ReplicationCore) -> None:
    """Logs a new view, or that this node began or ceased to lead; the field `seats` lists the voters."""
    view = core.view
    log.info(
        "view-changed",
        extra={
            "epoch": view.epoch,
            "leading": core.is_leading,
            "primary": view.primary,
            "members": list(view.members),
            "seats": list(view.voters),
        },
    )


def stopped(log: logging.Logger, core: ReplicationCore, now: float, waited_s: float) -> None:
    """Logs this node's roles as it stops; a warning if no other node has taken them over.

    `waited_s`: seconds since the stop began. The field `seat` says whether this node is still a voter.
    """
    is_released = core.can_stop(now)
    log.log(
        logging.INFO if is_released else logging.WARNING,
        "replication-stopped",
        extra={
            "released": is_released,
            "waited_s": round(waited_s, 2),
            "leads": core.is_leading,
            "member": core.identity in core.view.members,
            "seat": core.identity in core.view.voters,
            "epoch": core.view.epoch,
        },
    )


def write_failed(log: logging.Logger, error: StorageError) -> None:
    """Logs that the disk rejected a write."""
    log.error("disk-write-failed", extra={"error": str(error)})


def record_damaged(log: logging.Logger, damaged: list[str]) -> None:
    """Logs the names of values on disk that differ from what was written."""
    log.error("record-damaged", extra={"damaged": damaged})


def commit_failed(log: logging.Logger, document: Document) -> None:
    """Logs the exception with which the rest of this node failed to apply a committed document."""
    version = document.version
    log.exception("unhandled-exception", extra={"sequence": version.sequence, "epoch": version.epoch})
