"""Logging of the edge and control roles: one JSON object per line on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def open_log(node: str, role: str) -> logging.Logger:
    """Sets up and returns the logger of this process; each line has the node's name and its role."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(message)s",
            timestamp=True,
            static_fields={"node": node, "role": role},
            rename_fields={"levelname": "level", "message": "event"},
        )
    )
    log = logging.getLogger("wheatroute")
    log.handlers[:] = [handler]
    log.setLevel(logging.INFO)
    log.propagate = False
    return log
