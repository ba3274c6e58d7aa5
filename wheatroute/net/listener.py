"""The socket on which the node accepts clients. Does I/O on this socket only."""

import socket
import struct
from array import array
from collections.abc import Callable
from contextlib import suppress

import trio

BACKLOG = 1024
SO_ATTACH_FILTER = 26  # Linux, asm-generic/socket.h
# A classic BPF program that drops TCP segments with SYN set: loads the flags byte, tests SYN, drops or keeps.
_DROP_SYN = array(
    "B",
    b"".join(
        struct.pack("=HBBI", *instruction)
        for instruction in ((0x30, 0, 0, 13), (0x45, 0, 1, 2), (0x06, 0, 0, 0), (0x06, 0, 0, 0xFFFFFFFF))
    ),
)
_BPF_INSTRUCTION_BYTES = 8


class Listener:
    """A listening socket; `is_shared` lets another process listen on the same address (SO_REUSEPORT)."""

    def __init__(self, address: tuple[str, int], is_shared: bool) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if is_shared:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.bind(address)
        self._sock.listen(BACKLOG)

    async def wait(self) -> None:
        """Waits until a connection may be accepted."""
        await trio.lowlevel.wait_readable(self._sock)

    def accept(self) -> tuple[socket.socket, tuple[str, int]] | None:
        """Returns a client's socket and address; None if no client is waiting.

        Raises OSError if file descriptors are exhausted.
        """
        try:
            sock, address = self._sock.accept()
        except (BlockingIOError, ConnectionError):
            return None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, address

    def close(self, accept_one: Callable[[], bool]) -> None:
        """Accepts queued connections by calling `accept_one` until it returns False, then closes the socket.

        The kernel resets connections that are still queued on a listener when it is closed. Therefore a
        filter first keeps new connections out of the queue.
        """
        # If the kernel does not support filters, a connection that arrives between the last accept and the
        # close is reset.
        with suppress(OSError):
            program = struct.pack("HP", len(_DROP_SYN) // _BPF_INSTRUCTION_BYTES, _DROP_SYN.buffer_info()[0])
            self._sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
        with suppress(OSError):
            while accept_one():
                pass
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()
