"""A byte stream over a socket, with or without TLS, and a backlog of unsent bytes.

Writes never block: bytes that the socket does not accept at once are kept in the backlog, and `pump` sends
them as the peer reads. The caller must limit the backlog. Protocols above TLS are the caller's concern.
"""

from __future__ import annotations

import socket
import ssl
from contextlib import suppress

import trio

CHUNK_BYTES = 65536  # maximum size of one read or write


class ByteStream:
    """Reads and writes a non-blocking socket; a `context` enables TLS.

    `host` is the name that the server's certificate must have.
    """

    def __init__(
        self,
        sock: socket.socket,
        context: ssl.SSLContext | None = None,
        server_side: bool = True,
        host: str | None = None,
    ) -> None:
        self.sock = sock
        sock.setblocking(False)
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.written = 0  # bytes that the socket has accepted
        self.closed = False
        self._backlog = bytearray()
        self._backlog_added = trio.Event()
        self._tls: ssl.SSLObject | None = None
        if context is not None:
            self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
            self._tls = context.wrap_bio(self._in, self._out, server_side=server_side, server_hostname=host)

    @property
    def backlog(self) -> int:
        """The number of unsent bytes, for which the peer's receive window has no room yet."""
        return len(self._backlog)

    @property
    def protocol(self) -> str | None:
        """The protocol that ALPN selected; None without TLS or ALPN."""
        return self._tls.selected_alpn_protocol() if self._tls else None

    @property
    def peer_certificate(self) -> bytes | None:
        """The peer's certificate in DER format; None without TLS or a certificate."""
        return self._tls.getpeercert(binary_form=True) if self._tls else None

    async def handshake(self) -> None:
        """Performs the TLS handshake if TLS is enabled.

        Raises `OSError` if it fails, in most cases its subclass `ssl.SSLError`.
        """
        while self._tls is not None:
            try:
                self._tls.do_handshake()
                self._put(self._out.read())
                return
            except ssl.SSLWantReadError:
                self._put(self._out.read())
                if not await self._fill():
                    raise ConnectionResetError("connection closed during the TLS handshake") from None
            except ssl.SSLError:
                self._put(self._out.read())  # the TLS alert with the reason
                raise

    async def read(self) -> bytes:
        """Returns the next bytes; empty at the end of the peer's data.

        Raises `OSError` if the connection is broken, and `trio.ClosedResourceError` if `close` is called
        while it waits.
        """
        if self._tls is None:
            return await self._receive()
        while True:
            try:
                data = self._tls.read(CHUNK_BYTES)
                self._put(self._out.read())
                return data
            except ssl.SSLWantReadError:
                self._put(self._out.read())
                if not await self._fill():
                    return b""
            except (ssl.SSLZeroReturnError, ssl.SSLEOFError):
                return b""

    async def _fill(self) -> bool:
        data = await self._receive()
        self._in.write(data) if data else self._in.write_eof()
        return bool(data)

    async def _receive(self) -> bytes:
        while True:
            # Wait before the first attempt: data is rarely available yet, and a failed recv costs as much
            # as a successful one.
            await trio.lowlevel.wait_readable(self.sock)
            try:
                return self.sock.recv(CHUNK_BYTES)
            except BlockingIOError:
                continue

    def write(self, data: bytes) -> None:
        """Sends bytes, or adds them to the backlog; raises `OSError` if the connection is broken."""
        if self._tls is not None:
            self._tls.write(data)
            data = self._out.read()
        self._put(data)

    def _put(self, data: bytes) -> None:
        if self.closed:
            raise BrokenPipeError("the stream is closed")
        if not data:
            return
        if not self._backlog:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            self.written += sent
            if sent == len(data):
                return
            data = data[sent:]
        self._backlog += data
        self._backlog_added.set()

    async def pump(self) -> None:
        """Sends the backlog until the stream is closed; must run concurrently with the reader."""
        while not self.closed:
            await self._backlog_added.wait()
            while self._backlog and not self.closed:
                await trio.lowlevel.wait_writable(self.sock)
                try:
                    sent = self.sock.send(memoryview(self._backlog)[:CHUNK_BYTES])
                except BlockingIOError:
                    continue
                self.written += sent
                del self._backlog[:sent]
            self._backlog_added = trio.Event()

    def close(self) -> None:
        """Closes the connection; unsent bytes are lost."""
        if self.closed:
            return
        self.closed = True
        self._backlog_added.set()
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()
