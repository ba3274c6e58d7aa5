"""Translates entries of the list of servers for the decision module and updates the server registry.

No I/O. Servers are not evaluated here: the contents of the list are passed on unchanged.
"""

from collections.abc import Mapping
from math import isfinite
from typing import Any, Protocol

from wheatroute.balancing.interface import ListEntry, ServerState
from wheatroute.net.addresses import parse_address
from wheatroute.net.server_numbers import ServerNumbers

STATES = {
    "in_service": ServerState.LIVE,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.REMOVED,
}


class ServerRegistry(Protocol):
    """Keeps addresses and states of servers by number."""

    def set_address(self, server: int, address: tuple[str, int]) -> None:
        """Sets a server's address."""

    def set_state(self, server: int, state: ServerState, started_at: float) -> None:
        """Sets a server's state and its start time (Unix time in seconds)."""

    def close_idle(self, server: int) -> None:
        """Closes idle connections to a server."""

    def release(self, server: int) -> bool:
        """Removes a server; returns False, and keeps it, while it is in use."""


class ServerEntryReader:
    """Reads entries of the list of servers.

    `zones` and `models` map names to numbers; they must assign a number to an unknown name.
    """

    def __init__(self, zones: Mapping[str, int], models: Mapping[str, int], servers: ServerRegistry) -> None:
        self._zones, self._models, self._servers = zones, models, servers
        self.numbers = ServerNumbers()

    def begin_list(self, is_full: bool) -> None:
        """Prepares for the entries of a full list, or of changes to a list."""
        self.numbers.free_unused(self._servers.release)
        if is_full:
            self.numbers.mark_all_removed()

    def finish_full_list(self) -> None:
        """Marks servers that the full list did not contain as removed."""
        for server in self.numbers.removed:
            self._servers.set_state(server, ServerState.REMOVED, 0.0)

    def read(self, fields: Any) -> list[ListEntry]:
        """Returns the `ListEntry` of a server from its fields in the list.

        If another server had the same number before, an entry that removes that server comes first. Raises
        TypeError, ValueError, KeyError or AttributeError for a malformed entry.
        """
        identity = fields["id"]
        if not isinstance(identity, str):
            raise ValueError('"id" must be a string')
        state = STATES.get(fields.get("state", "in_service"), ServerState.DRAINING)
        weight, cell = float(fields.get("weight", 1.0)), int(fields.get("cell", 0))
        started_at = float(fields.get("started_ms", 0)) / 1000.0
        if not (isfinite(weight) and isfinite(started_at)):
            raise ValueError('"weight" and "started_ms" must be finite numbers')
        zone, model = str(fields.get("zone", "")), str(fields.get("kind", ""))
        has_address = state != ServerState.REMOVED or "addr" in fields
        address = parse_address(fields["addr"]) if has_address else None
        location = self._zones[zone], self._models[model], cell
        server, is_reused = self.numbers.assign(identity)
        if state == ServerState.REMOVED:
            self.numbers.mark_removed(identity)
            self._servers.close_idle(server)
        else:
            self.numbers.mark_present(identity)
        if address is not None:
            self._servers.set_address(server, address)
        self._servers.set_state(server, state, started_at)
        entry = (server, *location, state, weight, started_at)
        if is_reused:
            return [(server, *location, ServerState.REMOVED, weight, 0.0), entry]
        return [entry]
