"""Reports a node's figures for canary analysis: its request counts, resource usage and readiness.

An unreachable store never delays the node. A node is ready once it has its full server list and, if it takes
part in an agreement, a confirmation of its settings. Does I/O through the rollout store.
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

from wheatroute.agreement.errors import VersionStoreError
from wheatroute.agreement.member_status import StoredStatus
from wheatroute.agreement.store_address import StoreAddress, open_store
from wheatroute.agreement.version_store import running_store
from wheatroute.net.clock import now
from wheatroute.net.discovery import Discovery
from wheatroute.net.downstream import Downstream
from wheatroute.net.node_settings import NodeSettings
from wheatroute.net.upstream import Upstream
from wheatroute.rollout.request_accounting import RequestAccounting
from wheatroute.rollout.statuses import ProcessFigures, figures_key

REPORT_INTERVAL_S = 0.5  # limits the time resolution of the analysis
STORE_TIMEOUT_S = 1.0
PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")


class FiguresReporter:
    """Writes the figures of one node to the rollout store.

    The program that the node runs, and the incarnation by which its supervisor identifies the process, come
    from the environment.
    """

    def __init__(
        self,
        settings: NodeSettings,
        downstream: Downstream,
        upstream: Upstream,
        discovery: Discovery,
        follower: Any,
        log: Any,
    ) -> None:
        self._name, self._downstream, self._upstream, self._log = settings.name, downstream, upstream, log
        self._discovery, self._follower = discovery, follower
        assert settings.rollout is not None
        self._program = os.environ.get("WHEATROUTE_PROGRAM", "")
        self._incarnation = os.environ.get("WHEATROUTE_START") or secrets.token_hex(6)
        address = StoreAddress.from_node_file(settings.rollout)
        self._store = open_store(address, random.Random(self._incarnation), STORE_TIMEOUT_S / 2.0)
        self.accounting = RequestAccounting(
            settings.request_classes, settings.tenants, settings.decision_settings.request_classes
        )
        downstream.set_account(self.accounting)
        self._heartbeat = 0

    @property
    def key(self) -> str:
        """The key of the node's status in the store."""
        return figures_key(self._name, self._incarnation)

    def next_status(self) -> StoredStatus:
        """Returns the status with the current figures and the next heartbeat."""
        self._heartbeat += 1
        is_ready = self._discovery.has_full_list and (
            self._follower is None or not self._follower.member.effective.is_conservative
        )
        usage = resource.getrusage(resource.RUSAGE_SELF)
        process = ProcessFigures(
            name=self._name,
            incarnation=self._incarnation,
            program=self._program,
            heartbeat=self._heartbeat,
            is_ready=is_ready,
            is_stopping=self._downstream.is_stopping,
            cpu_s=usage.ru_utime + usage.ru_stime,
            memory_bytes=_resident_bytes(),
            open_connections=self._upstream.open_connections,
            written_at=time.time(),
        )
        return self.accounting.figures(now()) | process.to_stored()

    async def run(self) -> None:
        """Writes the status every `REPORT_INTERVAL_S` until cancelled.

        Of consecutive failures only the first one is logged.
        """
        async with running_store(self._store):
            is_failing = False
            while True:
                try:
                    with trio.fail_after(STORE_TIMEOUT_S):
                        await self._store.write_status(self.key, self.next_status())
                    is_failing = False
                except (VersionStoreError, trio.TooSlowError) as error:
                    if not is_failing:
                        is_failing = True
                        self._log.warning(
                            "figures-report-failed", error=str(error) or "no response from the store in time"
                        )
                await trio.sleep(REPORT_INTERVAL_S)


def _resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_bytes().split()[1]) * PAGE_SIZE_BYTES
