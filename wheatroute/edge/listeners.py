"""The edge role's listening sockets, opened before anything heavy is loaded.

A process that starts takes a third of a second of processor time to load its libraries. Connections that
arrive meanwhile wait in the listener's backlog instead of being refused.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass

from wheatroute.cluster.settings import Settings

BACKLOG = 1024


@dataclass(frozen=True)
class Listeners:
    """Open sockets for clients and for the platform's readiness probe."""

    clients: socket.socket
    readiness: socket.socket


def listen(address: tuple[str, int]) -> socket.socket:
    """Open a listening, non-blocking socket; raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(BACKLOG)
    return listener


def open_listeners(settings: Settings) -> Listeners:
    """Open both listeners; raises OSError."""
    return Listeners(listen(settings.address("front")), listen(settings.address("ready")))
