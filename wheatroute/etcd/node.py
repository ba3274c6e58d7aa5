"""The platform's node behind etcd: servers, and how many nodes there are, by its watch in the list's place.

Owns the joint between the follower's tasks and the node's numbering of servers. It must never ask a list
service as well, nor drop a server because etcd is away.
"""

from __future__ import annotations

from typing import Any

import trio

from wheatroute.balancing.interface import Event
from wheatroute.config import Etcd
from wheatroute.etcd.start import Etcd3
from wheatroute.net.discovery import Discovery
from wheatroute.net.rounds import Rounds
from wheatroute.net.servers import Servers


class FollowedList(Discovery):
    """The list of servers as etcd has it."""

    def __init__(self, boot: dict[str, Any], rounds: Rounds, servers: Servers, log: Any) -> None:
        super().__init__(boot, rounds, servers, log)
        self._etcd = Etcd3(
            Etcd.model_validate(boot["followed"]),
            boot["name"],
            self._take,
            self._tell,
            log,
            steady=boot["agreement"] is not None,
        )

    @property
    def acted_on(self) -> tuple[str, int]:
        return self._etcd.follower.source, self._etcd.follower.revision

    async def run(self) -> None:
        await self._etcd.run()

    async def leave(self) -> None:
        with trio.move_on_after(1.0):
            await self._etcd.leave()

    def _tell(self, nodes: int, node: int, caution: float) -> None:
        self.counted = {"nodes": nodes, "node": node}
        self._rounds.happened(Event.NODES_COUNTED, nodes, node, caution)

    def watch(self, enable: bool) -> None:
        """The follower's stream is always open."""

    def fetch(self) -> None:
        """As above: what there is has been told."""

    def move(self, place: tuple[str, int]) -> None:
        """A list service that the file names as well is not asked."""
