"""Starts and stops the control role.

The import of the HTTP libraries takes up most of the startup time, so replication starts before it: control
nodes that start together have elected a primary by the time they accept requests.
"""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Sequence
from typing import TYPE_CHECKING

from wheatroute.cluster.reload import CHECK_INTERVAL_S, SettingsFile
from wheatroute.cluster.settings import Settings
from wheatroute.control.service import ControlService
from wheatroute.early_signals import STOP_SIGNALS, ignore_signals

if TYPE_CHECKING:
    from wheatroute.control.http_servers import HttpServer

# Time after the end of replication for which callers are still redirected to the next primary.
REDIRECT_S = 0.3
# Maximum wait for requests that are in flight at the HTTP servers.
SERVER_SHUTDOWN_TIMEOUT_S = 2.0


def _import_and_make_servers(
    settings: Settings, service: ControlService, log: logging.Logger
) -> list[HttpServer]:
    from wheatroute.control.http_servers import http_servers

    return http_servers(settings, service, log)


async def _watch_settings(settings_file: SettingsFile, service: ControlService) -> None:
    """Applies the settings file whenever its content has changed; no SIGHUP is needed."""
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        if settings_file.has_changed():
            service.apply_settings(settings_file.reload())


async def serve(settings: Settings, log: logging.Logger, early_signals: Sequence[int] = ()) -> None:
    """Runs the control role until SIGTERM or SIGINT; reloads the settings file on SIGHUP.

    `early_signals` are stop signals that arrived before this call; after one of them nothing is started.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop.set)
    if early_signals:
        log.info("stopped")
        return
    service = ControlService(settings, log)
    service.is_listening = False
    await service.start()
    settings_file = SettingsFile(settings, log)
    loop.add_signal_handler(signal.SIGHUP, lambda: service.apply_settings(settings_file.reload()))
    settings_watch = loop.create_task(_watch_settings(settings_file, service))
    servers = await asyncio.to_thread(_import_and_make_servers, settings, service, log)
    tasks = [loop.create_task(server.serve_listener()) for server in servers]
    service.is_listening = True
    host, port = settings.address("control")
    log.info("listening", extra={"control": f"{host}:{port}"})
    await stop.wait()
    log.info("stopping")
    settings_watch.cancel()
    await service.stop()
    await asyncio.sleep(REDIRECT_S)
    for server in servers:
        server.should_exit = True
    await asyncio.wait(tasks, timeout=SERVER_SHUTDOWN_TIMEOUT_S)
    for signal_number in (*STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(signal_number)
    ignore_signals()
    log.info("stopped")
