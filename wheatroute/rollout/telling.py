"""A node's word on itself for those who judge a rollout: its account, what it holds, whether it is ready.

Owns the row and its pace. It must never hold the node up for a place that is away, nor call a node ready that
does not know its servers or could not confirm its settings.
"""

from __future__ import annotations

import os
import random
import resource
import secrets
import time
from pathlib import Path
from typing import Any

import trio

from wheatroute.agreement.node import place
from wheatroute.agreement.places import PlaceError, opened
from wheatroute.net.clock import now
from wheatroute.net.discovery import Discovery
from wheatroute.net.downstream import Downstream
from wheatroute.net.node_settings import NodeSettings
from wheatroute.net.upstream import Upstream
from wheatroute.rollout.account import Account

EVERY = 0.5  # seconds between two rows: half of a second is the finest that is judged by
PATIENCE = 1.0  # seconds for the place to take one
PAGE = os.sysconf("SC_PAGE_SIZE")


class Telling:
    """One node's. The environment says which program this is, and by which start its supervisor knows it."""

    def __init__(
        self,
        settings: NodeSettings,
        downstream: Downstream,
        upstream: Upstream,
        discovery: Discovery,
        following: Any,
        log: Any,
    ) -> None:
        self._name, self._downstream, self._upstream, self._log = settings.name, downstream, upstream, log
        self._discovery, self._following = discovery, following
        assert settings.rollout is not None
        self._program = os.environ.get("WHEATROUTE_PROGRAM", "")
        self._start = os.environ.get("WHEATROUTE_START") or secrets.token_hex(6)
        self._place = place(settings.rollout, random.Random(self._start), PATIENCE / 2.0)
        self.account = Account(settings.request_classes, settings.tenants, settings.terms.request_classes)
        downstream.set_account(self.account)
        self._beat = 0

    @property
    def key(self) -> str:
        return f"figures.{self._name}.{self._start}"

    def row(self) -> dict[str, Any]:
        """What it tells now."""
        self._beat += 1
        ready = self._discovery.has_full_list and (
            self._following is None or not self._following.member.acts.careful
        )
        used = resource.getrusage(resource.RUSAGE_SELF)
        return self.account.row(now()) | {
            "row": "figures",
            "name": self._name,
            "start": self._start,
            "program": self._program,
            "beat": self._beat,
            "ready": ready,
            "stopping": self._downstream.is_stopping,
            "cpu": used.ru_utime + used.ru_stime,
            "memory": _memory(),
            "connections": self._upstream.open_connections,
            "at": time.time(),
        }

    async def run(self) -> None:
        async with opened(self._place):
            said = ""
            while True:
                try:
                    with trio.fail_after(PATIENCE):
                        await self._place.say(self.key, self.row())
                    said = ""
                except (PlaceError, trio.TooSlowError) as trouble:
                    if not said:
                        said = str(trouble) or "the place does not answer"
                        self._log.warning("figures-untold", trouble=said)
                await trio.sleep(EVERY)


def _memory() -> int:
    """Bytes held now."""
    return int(Path("/proc/self/statm").read_bytes().split()[1]) * PAGE
