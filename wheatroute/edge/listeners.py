"""Opens the edge role's listening sockets, before large libraries are imported.

A starting process needs a third of a second of processor time to import its libraries. Connections that
arrive during that time wait in the listener's backlog instead of being refused.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass

from wheatroute.cluster.settings import Settings

BACKLOG = 1024


@dataclass(frozen=True)
class Listeners:
    """Listening sockets for clients and for the platform's readiness probe."""

    clients: socket.socket
    readiness: socket.socket


def listen(address: tuple[str, int]) -> socket.socket:
    """Opens a non-blocking listening socket; raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(BACKLOG)
    return listener


def open_listeners(settings: Settings) -> Listeners:
    """Opens both listeners at the addresses of the settings; raises OSError."""
    return Listeners(listen(settings.address("front")), listen(settings.address("ready")))
