"""The number of nodes that send to the same servers, and the index of this one. A state machine without I/O.

Invariant: the estimate is below the true number for no longer than a change takes to be received. A new node
is counted at once, one that disappeared is still counted for `REMOVAL_DELAY_S`; while etcd can't be reached
the last known nodes are counted. Times are in seconds of a monotonic clock.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson

from wheatroute.etcd import messages as wire

# Time for which a node that disappeared is still counted, as it may be flapping.
REMOVAL_DELAY_S = 15.0
DECREASE_INTERVAL_S = 2.0  # interval between two decreases of the estimate, each by one node
NO_EPOCH = -1  # epoch of a node whose value is malformed


class MembershipEstimate(NamedTuple):
    """The number of nodes, and the index of this one in their sorted names, from 0."""

    node_count: int
    node_index: int


def decode_epoch(value: bytes) -> int | None:
    """Returns the epoch in a node's value; None if the value is malformed."""
    try:
        return int(orjson.loads(value)["epoch"])
    except (orjson.JSONDecodeError, TypeError, KeyError, ValueError):
        return None


class Membership:
    """Counts the nodes under a prefix.

    Each node has one key: the prefix and the node's name. Its value is a JSON object with the epoch: the Unix
    time in milliseconds at which the node's process started.
    """

    def __init__(self, prefix: bytes, name: str, epoch: int) -> None:
        self.prefix, self.name, self.epoch = prefix, name, epoch
        self.epochs: dict[str, int] = {}  # epochs of the nodes that have a key, by name
        self._disappeared_at: dict[str, float] = {}
        self._present = {name}
        self._estimate, self._estimated_at = 1, 0.0  # the estimate, and when it was last changed

    @property
    def key(self) -> bytes:
        """The key of this node."""
        return self.prefix + self.name.encode()

    @property
    def has_duplicate(self) -> bool:
        """Whether another process has registered under this node's name; both are counted."""
        return self.epochs.get(self.name, self.epoch) != self.epoch

    # Methods of `WatchedKeys`.

    def load(self, kvs: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        """Applies all keys of one revision; returns no servers, and an error for each malformed value."""
        errors: list[str] = []
        self.epochs = {}
        for kv in kvs:
            self._add(kv, errors)
        self.update(list(self.epochs), now)
        return {"full": True, "servers": []}, errors

    def apply(self, events: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        """Applies the events of one revision; returns no servers, and an error for each malformed value."""
        errors: list[str] = []
        for event in events:
            if event.type == wire.DELETE:
                self.epochs.pop(self._name(event.kv.key), None)
            else:
                self._add(event.kv, errors)
        self.update(list(self.epochs), now)
        return {"full": True, "servers": []}, errors

    def _name(self, key: bytes) -> str:
        return key[len(self.prefix) :].decode("utf-8", "backslashreplace")

    def _add(self, kv: Any, errors: list[str]) -> None:
        """Adds a node, even if its value is malformed, as the estimate must not be too low."""
        name = self._name(kv.key)
        epoch = decode_epoch(kv.value)
        self.epochs[name] = NO_EPOCH if epoch is None else epoch
        if epoch is None:
            errors.append(f"node {name}: the value has no valid epoch")

    # The estimate.

    def update(self, names: list[str], now: float) -> None:
        """Sets the nodes that are present; this node always is, even without a key."""
        present = {*names, self.name}
        for name in self._present - present:
            self._disappeared_at[name] = now
        self._present = present
        for name in present:
            self._disappeared_at.pop(name, None)

    def estimate(self, now: float) -> MembershipEstimate:
        """Returns the estimated number of nodes, and the index of this one.

        The estimate rises at once; it falls after a delay, and by one node at a time, so that the remaining
        nodes take over the capacity of the others gradually, without a jump in the load of cold or congested
        servers.
        """
        recent = {name for name, since in self._disappeared_at.items() if now - since < REMOVAL_DELAY_S}
        for name in set(self._disappeared_at) - recent:
            del self._disappeared_at[name]
        names = sorted(self._present | recent | {self.name})
        count = len(names) + self.has_duplicate
        if count >= self._estimate:
            self._estimate, self._estimated_at = count, now
        elif now - self._estimated_at >= DECREASE_INTERVAL_S:
            self._estimate, self._estimated_at = self._estimate - 1, now
        return MembershipEstimate(self._estimate, min(names.index(self.name), self._estimate - 1))
