"""Sockets for asyncio, which by itself accepts and reads more at a time than a crowd of clients allows."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

BACKLOG = 2048  # connections that the kernel keeps until they are accepted


def listening_socket(address: tuple[str, int]) -> socket.socket:
    """Returns a bound socket that doesn't listen yet; raises OSError if the address is in use."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
    except OSError:
        listener.close()
        raise
    return listener


def deepen_backlog(listener: socket.socket) -> None:
    """Lets the kernel keep more connections than asyncio accepts at a time, once asyncio listens."""
    with suppress(OSError):
        listener.listen(BACKLOG)


def limit_reads(transport: asyncio.BaseTransport, max_bytes: int) -> None:
    """Sets the maximum of a read; asyncio's own is 256 KiB, which may be held for each connection."""
    transport.max_size = max_bytes  # type: ignore[attr-defined]  # of asyncio's socket transports
