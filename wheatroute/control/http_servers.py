"""The HTTP servers of the control role.

Importing this module takes up most of the startup time, as it imports `litestar`, `uvicorn` and `pydantic`.
"""

from __future__ import annotations

import logging
from contextlib import AbstractContextManager, nullcontext

import uvicorn
from litestar import Litestar

# Imported here so that the first change of the configuration doesn't wait for this import.
import wheatroute.control.schema  # noqa: F401
from wheatroute.cluster.settings import Settings
from wheatroute.control.api import Handlers, control_app, internal_app
from wheatroute.control.service import ControlService

KEEP_ALIVE_S = 30  # time after which an idle connection is closed
GRACEFUL_SHUTDOWN_S = 1


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to `main.serve`."""

    def install_signal_handlers(self) -> None:
        """Does nothing: `main.serve` handles signals."""

    def capture_signals(self) -> AbstractContextManager[None]:  # type: ignore[override]
        """Does nothing; later versions of uvicorn call this instead of `install_signal_handlers`."""
        return nullcontext()


def http_servers(settings: Settings, service: ControlService, log: logging.Logger) -> list[HttpServer]:
    """Creates the HTTP servers of a control node: one for servers and operators, one for edge nodes."""
    logging.getLogger("uvicorn.error").setLevel(logging.WARNING)
    host, port = settings.address("control")
    handlers = Handlers(service, port, log)
    return [
        _server(control_app(handlers), host, port),
        _server(internal_app(handlers), settings.ip, settings.internal_port),
    ]


def _server(app: Litestar, host: str, port: int) -> HttpServer:
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        log_config=None,
        access_log=False,
        lifespan="off",
        timeout_keep_alive=KEEP_ALIVE_S,
        http="h11",
        loop="asyncio",
        ws="none",
        timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_S,
        server_header=False,
    )
    return HttpServer(config)
