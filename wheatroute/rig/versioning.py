"""Versions of a rig's settings as its operator puts them, and what the store and processes say of them."""

from __future__ import annotations

import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

import trio

from wheatroute.agreement import operator, version_content
from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.errors import VersionStoreError
from wheatroute.agreement.version_store import VersionStore, running_store
from wheatroute.rig.parts import PATIENCE, RigParts
from wheatroute.rig.processes import RigError
from wheatroute.rig.records import Known
from wheatroute.rig.settings import change, file_text


class RigVersions(RigParts):
    """The operator's side of versions."""

    async def note(self) -> Any:
        """What the store says of the versions; also those that others put."""
        async with self._place() as place:
            history = await operator.read_history(place)
        for number, version in history.versions.items():
            if number not in [one.number for one in self.records.versions]:
                kinds = {one["name"]: one for one in version.content["settings"]["traffic-types"]}
                self.records.versions.append(Known(number, kinds, time.monotonic()))
        self._note(history)
        return history

    def file_of(self, **changes: Any) -> str:
        """A file with the settings, some of them changed, for the command line."""
        path = self.folder / f"settings{len(list(self.folder.iterdir()))}.json"
        path.write_text(json.dumps({"settings": change(self.settings, changes, len(self.names))}))
        return str(path)

    @asynccontextmanager
    async def _place(self) -> AsyncIterator[VersionStore]:
        """The operator's own way to the store, with no link between."""
        if self.kind == "directory" or self.cluster is None:
            yield DirectoryStore(str(self.folder / "store"))
            return
        ends = ",".join("{}:{}".format(*place) for place in self.cluster.places)
        async with running_store(operator.store_from_url(f"etcd://{ends}/rig")) as place:
            yield place

    async def put(self, why: str = "a change", over: int = 0, **changes: Any) -> int:
        """Puts the settings with changes, by path: `look__effect="fragile"` is a request class's key."""
        settings = change(self.settings, changes, len(self.names))
        moment = time.monotonic()
        async with self._place() as place:
            content: dict[str, Any] = {"settings": settings}
            if self.processors:
                path = self.folder / "put.toml"
                path.write_text(file_text(settings, len(self.names), {}))
                content |= version_content.read_content(str(path))[0]
            version = await operator.put_version(place, content, why, over)
        self.records.versions.append(
            Known(version.number, {one["name"]: one for one in settings["traffic-types"]}, moment)
        )
        return version.number

    async def ended(self, number: int, patience: float = PATIENCE) -> str:
        """What becomes of a version: its state."""
        with trio.fail_after(patience):
            async with self._place() as place:
                while True:
                    with suppress(VersionStoreError, trio.TooSlowError):
                        history = await operator.read_history(place)
                        self._note(history)
                        if history.versions[number].outcomes:
                            return history.versions[number].state
                    await trio.sleep(0.02)

    def _note(self, history: Any) -> None:
        for known in self.records.versions:
            life = history.versions[known.number].outcomes if known.number in history.versions else []
            if life and life[-1] != known.state:
                known.state, known.ended = life[-1], known.ended or time.monotonic()

    async def status(self) -> dict[str, Any]:
        """The status of the agreement, from its store."""
        async with self._place() as place:
            return await operator.agreement_status(place)

    async def agreed(self, number: int, names: list[str] | None = None, patience: float = PATIENCE) -> None:
        """Waits until the nodes (all that run) act on a version alone."""
        with trio.move_on_after(patience):
            while True:
                rows = {}
                with suppress(VersionStoreError, trio.TooSlowError):
                    told = await self.status()
                    for row in sorted(told["processes"], key=lambda row: -row["confirmed_ago_s"]):
                        rows[row["name"]] = row
                if all(
                    name in rows and rows[name]["phase"] == "in force" and rows[name]["version"] == number
                    for one in names or self.names
                    for name in self._rows(one)
                ):
                    return
                await trio.sleep(0.02)
        raise RigError(f"waited {patience:g} s until all act on version {number}: {rows}")
