"""A stand-in etcd cluster in a separate process: `python -m wheatroute.rig.etcd_cluster MEMBERS`.

Prints the members' addresses first. Then reads commands from standard input, one JSON object per line, until
the input ends. Prints a line with the response to each command: an empty object, or one with an error under
the key `trouble`.
"""

from __future__ import annotations

import copy
import json
import sys
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import structlog
import trio

from wheatroute.etcd import messages as wire
from wheatroute.standin.etcd import Member
from wheatroute.standin.etcd_store import HistoryEntry, Store

ALL_MEMBERS = -1
FAULTS = {  # fields of `MemberFaults`, by the key in commands and scenario files
    "silent": "is_unresponsive",
    "behind": "revision_lag",
    "fragment_at": "max_fragment_events",
    "cut_after": "fragments_before_drop",
}


class Backup(NamedTuple):
    """A copy of the store at some time."""

    keys: dict[bytes, Any]
    history: list[HistoryEntry]
    revision: int


class Commands:
    """The commands that the cluster accepts.

    The names of the public methods and of their parameters are those of the commands.
    """

    def __init__(self, members: list[Member]) -> None:
        self._members = members
        self._store = members[0].store
        self._backup: Backup | None = None

    def set(self, member: int, **faults: Any) -> None:
        """Sets faults of a member by the keys of `FAULTS`; the member -1 means all members.

        A member that becomes silent also drops its streams.
        """
        for affected in self._members if member == ALL_MEMBERS else [self._members[member]]:
            for name, value in faults.items():
                setattr(affected.faults, FAULTS[name], value)
            if faults.get("silent"):
                affected.drop_streams()

    def put(self, key: str, value: str) -> None:
        """Sets the value of a key."""
        self._store.put(wire.PutRequest(key=key.encode(), value=value.encode()))

    def keep(self) -> None:
        """Makes a backup of the store, in place of an earlier backup."""
        keys = copy.deepcopy(self._store.keys)
        self._backup = Backup(keys, list(self._store.history), self._store.revision)

    def restore(self, cluster: int = 0) -> None:
        """Restores the backup, and sets the cluster's id to `cluster` if that is not 0.

        Raises `ValueError` if there is no backup.
        """
        if self._backup is None:
            raise ValueError('no backup to restore: the command "keep" makes one')
        self._replace(copy.deepcopy(self._backup.keys), list(self._backup.history), self._backup.revision)
        if cluster:
            self._store.cluster_id = cluster

    def clear(self, cluster: int) -> None:
        """Turns the cluster into an empty one with another id."""
        self._replace({}, [], 1)
        self._store.cluster_id = cluster

    def _replace(self, keys: dict[bytes, Any], history: list[HistoryEntry], revision: int) -> None:
        self._store.keys = keys
        self._store.history = history
        self._store.revision = revision
        for member in self._members:
            member.drop_streams()


def run_command(commands: Commands, line: str) -> dict[str, str]:
    """Runs the command in a JSON line; returns the response."""
    arguments = json.loads(line)
    try:
        getattr(commands, arguments.pop("order"))(**arguments)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return {"trouble": str(error)}
    return {}


async def main(member_count: int) -> None:
    """Runs the members, and the commands from standard input until it ends."""
    store = Store()
    members = [Member(store) for _ in range(member_count)]
    commands = Commands(members)
    async with trio.open_nursery() as nursery:
        for member in members:
            nursery.start_soon(member.run)
        print(json.dumps([list(member.address) for member in members]), flush=True)
        async for line in _input_lines():
            print(json.dumps(run_command(commands, line)), flush=True)
        nursery.cancel_scope.cancel()


async def _input_lines() -> AsyncIterator[str]:
    while line := await trio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True):
        yield line


if __name__ == "__main__":
    # logs go to standard error, because standard output is for responses to commands
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    trio.run(main, int(sys.argv[1]))
