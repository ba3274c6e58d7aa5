"""A stand-in etcd cluster in a process of its own: `python -m wheatroute.rig.etcd_cluster MEMBERS`.

Owns one store with its members, and takes orders as JSON lines on standard input; it ends with its input.
Prints the members' places first, then an answer a line.
"""

from __future__ import annotations

import copy
import json
import sys
from typing import Any

import structlog
import trio

from wheatroute.etcd import messages as wire
from wheatroute.standin.etcd import Member
from wheatroute.standin.etcd_store import Store


class Orders:
    """What can be asked of the cluster, by name."""

    def __init__(self, members: list[Member]) -> None:
        self.members, self.store = members, members[0].store
        self._kept: tuple[Any, ...] | None = None

    def set(self, member: int, **attributes: Any) -> None:
        """Faults of a member: `silent`, `behind`; -1 for all of them."""
        for one in self.members if member < 0 else [self.members[member]]:
            for name, value in attributes.items():
                setattr(one, name, value)
            if attributes.get("silent"):
                one.drop_streams()

    def put(self, key: str, value: str) -> None:
        """Puts a key."""
        self.store.put(wire.PutRequest(key=key.encode(), value=value.encode()))

    def keep(self) -> None:
        """A backup."""
        self._kept = (copy.deepcopy(self.store.keys), list(self.store.history), self.store.revision)

    def restore(self, cluster: int = 0) -> None:
        """The backup in the place of what is there; with another number, as another cluster."""
        if self._kept is None:
            raise ValueError("nothing was kept")
        self.store.keys, self.store.history, self.store.revision = (
            copy.deepcopy(self._kept[0]),
            list(self._kept[1]),
            self._kept[2],
        )
        if cluster:
            self.store.cluster = cluster
        for one in self.members:
            one.drop_streams()

    def clear(self, cluster: int) -> None:
        """Another, empty cluster."""
        self.store.keys, self.store.history, self.store.revision = {}, [], 1
        self.store.cluster = cluster
        for one in self.members:
            one.drop_streams()


async def main(count: int) -> None:
    """Serves and follows orders from standard input; prints the members' addresses first."""
    store = Store()
    members = [Member(store) for _ in range(count)]
    orders = Orders(members)
    async with trio.open_nursery() as nursery:
        for one in members:
            nursery.start_soon(one.run)
        print(json.dumps([list(one.place) for one in members]), flush=True)
        async for line in _lines():
            told = json.loads(line)
            try:
                getattr(orders, told.pop("order"))(**told)
                print("{}", flush=True)
            except (AttributeError, TypeError, ValueError) as trouble:
                print(json.dumps({"trouble": str(trouble)}), flush=True)
        nursery.cancel_scope.cancel()


async def _lines() -> Any:
    while True:
        line = await trio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        if not line:
            return
        yield line


if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))  # the other is for answers
    trio.run(main, int(sys.argv[1]))
