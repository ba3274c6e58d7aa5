"""How many nodes send to the same servers, and which of them this is. Free of I/O.

Owns the nodes seen and when. It must never assume fewer than there are for longer than a change takes to be
told: a node that comes counts at once, one that goes counts on for a while, and while nothing can be heard
all that were heard of last count on.
"""

from __future__ import annotations

from typing import Any

import orjson

from wheatroute.etcd import messages as wire

HOLD = 15.0  # seconds for which a node that went away counts on: a flapping one is not gone
STEP = 2.0  # seconds between two steps down: what a node may send grows by one node's part at a time


class Membership:
    """The peers under a prefix: one key a node, its name the rest of the key, the value its epoch."""

    def __init__(self, prefix: bytes, name: str, epoch: int) -> None:
        self.prefix, self.name, self.epoch = prefix, name, epoch
        self.epochs: dict[str, int] = {}  # of the nodes that are there, as their keys say
        self._gone: dict[str, float] = {}  # nodes that went away, and when
        self._here = {name}
        self._count, self._stepped = 1, 0.0

    @property
    def key(self) -> bytes:
        return self.prefix + self.name.encode()

    @property
    def doubled(self) -> bool:
        """Whether another process has this node's name: both count, and this one is not the one listed."""
        return self.epochs.get(self.name, self.epoch) != self.epoch

    # as a registry of the keys' follower

    def whole(self, kvs: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        troubles: list[str] = []
        self.epochs = {}
        for kv in kvs:
            self._enter(kv, troubles)
        self.told(list(self.epochs), now)
        return {"full": True, "servers": []}, troubles

    def changes(self, events: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        troubles: list[str] = []
        for event in events:
            if event.type == wire.DELETE:
                self.epochs.pop(self._name(event.kv.key), None)
            else:
                self._enter(event.kv, troubles)
        self.told(list(self.epochs), now)
        return {"full": True, "servers": []}, troubles

    def _name(self, key: bytes) -> str:
        return key[len(self.prefix) :].decode("utf-8", "backslashreplace")

    def _enter(self, kv: Any, troubles: list[str]) -> None:
        """A value that cannot be read is a node all the same: rather too many than too few."""
        name = self._name(kv.key)
        try:
            told = orjson.loads(kv.value)
            self.epochs[name] = int(told["epoch"])
        except (orjson.JSONDecodeError, TypeError, KeyError, ValueError):
            self.epochs[name] = -1
            troubles.append(f"node {name}: no epoch")

    # what is assumed

    def told(self, names: list[str], now: float) -> None:
        """The nodes that are there by now; this one is, whether its key is or not."""
        there = {*names, self.name}
        for name in self._here - there:
            self._gone[name] = now
        self._here = there
        for name in there:
            self._gone.pop(name, None)

    def assumed(self, now: float) -> tuple[int, int]:
        """How many nodes there are taken to be, and the place of this one among them, from 0.

        More count at once; fewer after a hold, and then one less at a time: the nodes that are left take the
        room of those that went little by little, so that a cold or crowded server sees no jump.
        """
        held = {name for name, since in self._gone.items() if now - since < HOLD}
        for name in set(self._gone) - held:
            del self._gone[name]
        names = sorted(self._here | held | {self.name})
        count = len(names) + self.doubled
        if count >= self._count:
            self._count, self._stepped = count, now
        elif now - self._stepped >= STEP:
            self._count, self._stepped = self._count - 1, now
        return self._count, min(names.index(self.name), self._count - 1)
