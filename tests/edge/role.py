"""Runs an edge role with a scripted primary, for tests."""

import logging
import os
from contextlib import asynccontextmanager

import trio
from edge.harness import (
    CONFIGURATION,
    TIME_LIMIT_S,
    read_all,
    serve_on_free_port,
    status,
)
from edge.primary import ScriptedPrimary

from wheatroute.cluster.settings import SETTINGS_VARIABLE, Bounds, Settings
from wheatroute.edge.listeners import Listeners, listen
from wheatroute.edge.main import EdgeRole


class Role:
    """A running edge role and its scripted primary; a test acts as client and platform by its methods."""

    def __init__(self, role, listeners, primary):
        self.role, self.node, self.primary = role, role._node, primary
        self.port = listeners.clients.getsockname()[1]
        self.ready_port = listeners.readiness.getsockname()[1]
        self.ended = trio.Event()

    async def exchange(self, data, port=None):
        async with await trio.open_tcp_stream("127.0.0.1", port or self.port) as stream:
            await stream.send_all(data)
            return await read_all(stream)

    async def ready(self):
        return status(await self.exchange(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n", self.ready_port))


@asynccontextmanager
async def running(*servers, seeds=None, seeds_file=None, early_signals=None):
    """Runs a role whose only control node is scripted.

    `seeds` are its initial seeds, `seeds_file` is the settings file that it reloads, and `early_signals` have
    arrived before it runs.
    """
    previous = os.environ.pop(SETTINGS_VARIABLE, None)
    if seeds_file is not None:
        os.environ[SETTINGS_VARIABLE] = str(seeds_file)
    try:
        async with _running(servers, seeds, early_signals) as edge:
            yield edge
    finally:
        os.environ.pop(SETTINGS_VARIABLE, None)
        if previous is not None:
            os.environ[SETTINGS_VARIABLE] = previous


@asynccontextmanager
async def _running(servers, seeds, early_signals):
    with trio.fail_after(TIME_LIMIT_S):
        async with trio.open_nursery() as nursery:
            for server in servers:
                server.port = await serve_on_free_port(nursery, server.serve)
            primary = ScriptedPrimary(CONFIGURATION, *servers)
            port = await serve_on_free_port(nursery, primary.serve)
            settings = Settings(
                node="edge-1",
                ip="127.0.0.1",
                zone="z",
                listen={},
                port_range=(port - 1, port),
                seeds=seeds or ("127.0.0.1:1",),
                bounds=Bounds(grace_s=4.0),
            )
            log = logging.getLogger("test-role")
            log.propagate = False
            log.addHandler(logging.NullHandler())
            listeners = Listeners(listen(("127.0.0.1", 0)), listen(("127.0.0.1", 0)))
            edge = Role(EdgeRole(settings, listeners, log), listeners, primary)

            async def run():
                await edge.role.run(early_signals)
                edge.ended.set()

            nursery.start_soon(run)
            yield edge
            nursery.cancel_scope.cancel()
