"""Log events of replication, one function each.

Names and fields are documented in docs/operators/system.md and stay.
"""

from __future__ import annotations

import logging

from wheatroute.replication.core import ReplicationCore
from wheatroute.replication.records import NodeRecord
from wheatroute.replication.storage import StorageError


def started(log: logging.Logger, record: NodeRecord, is_fresh: bool) -> None:
    """What the disk held at the start of the process; `is_fresh`: nothing."""
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
    """Who leads and who holds what is acknowledged has changed."""
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
    """What this node leaves behind; a warning where nobody has taken its roles over."""
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
    """The disk rejected a write."""
    log.error("disk-write-failed", extra={"error": str(error)})


def record_damaged(log: logging.Logger, damaged: list[str]) -> None:
    """Values on disk were not as they were written."""
    log.error("record-damaged", extra={"damaged": damaged})
