"""Publishes versions of a rig's settings as an operator does, and reads the status of store and processes."""

from __future__ import annotations

import json
import time
from contextlib import suppress
from pathlib import Path

import trio

from wheatroute.agreement import operator, version_content
from wheatroute.agreement.agreement_status import AgreementStatus, ProcessState
from wheatroute.agreement.errors import VersionStoreError
from wheatroute.agreement.versions import History
from wheatroute.rig.options import RigOptions
from wheatroute.rig.processes import RigError
from wheatroute.rig.processor_file import ProcessorInstance, processor_file
from wheatroute.rig.run_records import IN_FORCE, PublishedVersion, RunRecords, repeat_policies
from wheatroute.rig.settings import Settings, with_changes
from wheatroute.rig.version_backend import VersionBackend
from wheatroute.rig.waiting import WAIT_TIMEOUT_S

POLL_INTERVAL_S = 0.02
STORE_ERRORS = (VersionStoreError, trio.TooSlowError)


class VersionPublisher:
    """The operator's access to versions, which no fault of the rig's links affects."""

    def __init__(
        self,
        options: RigOptions,
        settings: Settings,
        records: RunRecords,
        backend: VersionBackend,
        folder: Path,
    ) -> None:
        self._options = options
        self._settings = settings
        self._records = records
        self._backend = backend
        self._folder = folder

    async def read_history(self) -> History:
        """Reads the history from the store, and records its versions, including those published by others.

        For a version that others published, the time of this read is recorded as its time of publication.
        """
        async with self._backend.operator_store() as store:
            history = await operator.read_history(store)
        known = {version.number for version in self._records.versions}
        for number, version in history.versions.items():
            if number not in known:
                policies = repeat_policies(version.content["settings"])
                self._records.versions.append(PublishedVersion(number, policies, time.monotonic()))
        self._record_outcomes(history)
        return history

    def settings_file(self, **changes: object) -> str:
        """Writes changed settings to a file for the command line, see `with_changes`; returns its path."""
        path = self._folder / f"settings{len(list(self._folder.iterdir()))}.json"
        path.write_text(json.dumps({"settings": self._changed(changes)}))
        return str(path)

    def _changed(self, changes: dict[str, object]) -> Settings:
        return with_changes(self._settings, changes, len(self._options.names))

    async def put(self, reason: str = "a change", over: int = 0, **changes: object) -> int:
        """Publishes changed settings, see `with_changes`; returns the version's number.

        `over` is the number of a pending version that the new one may replace.
        """
        settings = self._changed(changes)
        published_at = time.monotonic()
        async with self._backend.operator_store() as store:
            version = await operator.put_version(store, self._content(settings), reason, over)
        self._records.versions.append(
            PublishedVersion(version.number, repeat_policies(settings), published_at)
        )
        return version.number

    def _content(self, settings: Settings) -> Settings:
        """Returns the content of a version: for nodes, and for processors if there are any."""
        content: Settings = {"settings": settings}
        if self._options.processors:
            path = self._folder / "put.toml"
            path.write_text(processor_file(settings, len(self._options.names), ProcessorInstance()))
            content |= version_content.read_content(str(path))[0]
        return content

    async def wait_for_outcome(self, number: int, timeout_s: float = WAIT_TIMEOUT_S) -> str:
        """Waits until the outcome of a version is known; returns its state.

        Raises `trio.TooSlowError` after the timeout.
        """
        with trio.fail_after(timeout_s):
            async with self._backend.operator_store() as store:
                while True:
                    with suppress(*STORE_ERRORS):
                        history = await operator.read_history(store)
                        self._record_outcomes(history)
                        if history.versions[number].outcomes:
                            return history.versions[number].state
                    await trio.sleep(POLL_INTERVAL_S)

    def _record_outcomes(self, history: History) -> None:
        for published in self._records.versions:
            outcomes = (
                history.versions[published.number].outcomes if published.number in history.versions else []
            )
            if outcomes and outcomes[-1] != published.state:
                published.state = outcomes[-1]
                published.ended_at = published.ended_at or time.monotonic()

    async def status(self) -> AgreementStatus:
        """Returns the versions, and which of them each process acts on."""
        async with self._backend.operator_store() as store:
            return await operator.agreement_status(store)

    async def wait_until_agreed(
        self, number: int, names: list[str] | None = None, timeout_s: float = WAIT_TIMEOUT_S
    ) -> None:
        """Waits until all processes with these names act on version `number` and on no other.

        By default, waits for all nodes and processors. Raises `RigError` after the timeout.
        """
        expected = [
            status_name
            for name in names or self._options.names
            for status_name in self._options.status_names(name)
        ]
        statuses: dict[str, ProcessState] = {}
        with trio.move_on_after(timeout_s):
            while True:
                with suppress(*STORE_ERRORS):
                    statuses = await self._newest_statuses()
                    if all(_acts_on(statuses.get(name), number) for name in expected):
                        return
                await trio.sleep(POLL_INTERVAL_S)
        raise RigError(f"after {timeout_s:g} s, not all processes act on version {number}: {statuses}")

    async def _newest_statuses(self) -> dict[str, ProcessState]:
        """Returns the status by process name; if processes share a name, the one that was confirmed last."""
        processes = (await self.status()).processes
        return {
            process.name: process
            for process in sorted(processes, key=lambda process: -process.confirmed_ago_s)
        }


def _acts_on(status: ProcessState | None, number: int) -> bool:
    return status is not None and status.phase == IN_FORCE and status.version == number
