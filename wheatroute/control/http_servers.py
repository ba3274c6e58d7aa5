"""The HTTP servers of the control role.

Importing this module takes up most of the startup time, as it imports `litestar`, `uvicorn` and `pydantic`.
"""

from __future__ import annotations

import logging
import socket
from collections.abc import Mapping
from contextlib import AbstractContextManager, nullcontext
from functools import partial

import uvicorn
from litestar import Litestar

# Imported here so that the first change of the configuration doesn't wait for this import.
import wheatroute.control.schema  # noqa: F401
from wheatroute.cluster.listening import deepen_backlog, listening_socket
from wheatroute.cluster.process_limits import ACCEPT_BURST, control_connections
from wheatroute.cluster.settings import Settings
from wheatroute.control.api import (
    Handlers,
    body_limits,
    control_app,
    internal_app,
)
from wheatroute.control.limited_connections import ConnectionLimiter, LimitedProtocol
from wheatroute.control.service import ControlService

MAX_HEAD_BYTES = 16384
KEEP_ALIVE_S = 30  # time after which an idle connection is closed
GRACEFUL_SHUTDOWN_S = 1


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to `main.serve`, and opens its own listener."""

    def __init__(self, config: uvicorn.Config, listener: socket.socket) -> None:
        super().__init__(config)
        self._listener = listener

    async def serve_listener(self) -> None:
        """Serves until `should_exit` is set."""
        await self.serve(sockets=[self._listener])

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts to accept; the kernel keeps connections until they are accepted."""
        await super().startup(sockets)
        deepen_backlog(self._listener)

    def install_signal_handlers(self) -> None:
        """Does nothing: `main.serve` handles signals."""

    def capture_signals(self) -> AbstractContextManager[None]:  # type: ignore[override]
        """Does nothing; later versions of uvicorn call this instead of `install_signal_handlers`."""
        return nullcontext()


def http_servers(settings: Settings, service: ControlService, log: logging.Logger) -> list[HttpServer]:
    """Creates the HTTP servers of a control node: one for servers and operators, one for edge nodes.

    Raises OSError if an address is in use.
    """
    logging.getLogger("uvicorn.error").setLevel(logging.WARNING)
    host, port = settings.address("control")
    handlers = Handlers(service, port, log)
    limits = control_connections(settings.limits)
    bodies = body_limits(service.configuration_limits)
    callers = ConnectionLimiter(limits.callers, service.memory, service.limit_log)
    edge_nodes = ConnectionLimiter(limits.edge_nodes, service.memory, service.limit_log)
    internal = settings.ip, settings.internal_port
    return [
        _server(control_app(handlers), (host, port), callers, bodies.control),
        _server(internal_app(handlers), internal, edge_nodes, bodies.internal),
    ]


def _server(
    app: Litestar, address: tuple[str, int], limiter: ConnectionLimiter, max_body_bytes: Mapping[str, int]
) -> HttpServer:
    config = uvicorn.Config(
        app,
        backlog=ACCEPT_BURST,
        log_config=None,
        access_log=False,
        lifespan="off",
        timeout_keep_alive=KEEP_ALIVE_S,
        http=partial(LimitedProtocol, limiter=limiter, max_body_bytes=max_body_bytes),  # type: ignore[arg-type]
        h11_max_incomplete_event_size=MAX_HEAD_BYTES,
        loop="asyncio",
        ws="none",
        timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_S,
        server_header=False,
    )
    return HttpServer(config, listening_socket(address))
