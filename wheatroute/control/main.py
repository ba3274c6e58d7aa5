"""Starts and stops the control role.

Replication begins before the HTTP libraries are loaded, the longest part of a start: where all control nodes
start together, they have elected a primary by the time that they can be asked.
"""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import TYPE_CHECKING

from wheatroute.cluster.reload import CHECK_INTERVAL_S, SettingsFile
from wheatroute.cluster.settings import Settings
from wheatroute.control.service import ControlService

if TYPE_CHECKING:
    from wheatroute.control.http_servers import HttpServer

LAST_ANSWERS = 0.3  # seconds after handing over in which callers are still sent to the next primary
LAST_CALLS = 2.0  # seconds for what the HTTP servers have under way


def _loaded(settings: Settings, service: ControlService, log: logging.Logger) -> list[HttpServer]:
    from wheatroute.control.http_servers import http_servers

    return http_servers(settings, service, log)


async def _watch_settings(file: SettingsFile, service: ControlService) -> None:
    """Takes a settings file that changed without a signal."""
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        if file.has_changed():
            service.take_settings(file.reload())


async def serve(settings: Settings, log: logging.Logger) -> None:
    """Runs until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    service = ControlService(settings, log)
    await service.start()
    file = SettingsFile(settings, log)
    loop.add_signal_handler(signal.SIGHUP, lambda: service.take_settings(file.reload()))
    watch = loop.create_task(_watch_settings(file, service))
    servers = await asyncio.to_thread(_loaded, settings, service, log)
    tasks = [loop.create_task(server.serve()) for server in servers]
    host, port = settings.address("control")
    log.info("listening", extra={"control": f"{host}:{port}"})
    await stop.wait()
    log.info("stopping")
    watch.cancel()
    await service.stop()
    await asyncio.sleep(LAST_ANSWERS)
    for server in servers:
        server.should_exit = True
    await asyncio.wait(tasks, timeout=LAST_CALLS)
    log.info("stopped")
