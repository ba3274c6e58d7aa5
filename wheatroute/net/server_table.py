"""What the node knows of servers besides their connections: addresses, states, attempts in flight. No I/O.

Servers are numbers. A server's generation changes with its state, its start time and its address: an
attempt that was decided for an earlier generation must not be sent any more.
"""

from typing import NamedTuple

from wheatroute.balancing.interface import ServerState


class ListedState(NamedTuple):
    """What the list says of a server; `started_at` is Unix time in seconds, 0 where unknown."""

    state: ServerState
    started_at: float


UNKNOWN_STATE = ListedState(ServerState.LIVE, 0.0)


class ServerTable:
    """The servers by number."""

    def __init__(self) -> None:
        self._addresses: dict[int, tuple[str, int]] = {}
        self._states: dict[int, ListedState] = {}
        self._generations: dict[int, int] = {}
        self._in_flight: dict[int, int] = {}  # attempts and probes

    def address(self, server: int) -> tuple[str, int]:
        """Returns a server's address; raises KeyError for one without."""
        return self._addresses[server]

    def generation(self, server: int) -> int:
        """Returns how often the server's state or address has changed."""
        return self._generations.get(server, 0)

    def started_at(self, server: int) -> float:
        """Returns a server's start, Unix time in seconds, 0 where unknown."""
        return self._states.get(server, UNKNOWN_STATE).started_at

    def set_address(self, server: int, address: tuple[str, int]) -> bool:
        """Sets a server's address; returns whether it had another one before."""
        has_changed = self._addresses.get(server, address) != address
        if has_changed:
            self._generations[server] = self.generation(server) + 1
        self._addresses[server] = address
        return has_changed

    def set_state(self, server: int, state: ServerState, started_at: float) -> None:
        """Sets what the list says of a server."""
        new = ListedState(state, started_at)
        if self._states.get(server, new) != new:
            self._generations[server] = self.generation(server) + 1
        self._states[server] = new

    def begin(self, server: int) -> None:
        """Counts an attempt or probe that begins."""
        self._in_flight[server] = self._in_flight.get(server, 0) + 1

    def end(self, server: int) -> None:
        """Counts an attempt or probe that has ended."""
        self._in_flight[server] -= 1

    def is_in_use(self, server: int) -> bool:
        """Whether an attempt or probe to the server is in flight."""
        return bool(self._in_flight.get(server))

    def forget(self, server: int) -> None:
        """Forgets a server, so that another can have its number."""
        for by_server in (self._in_flight, self._addresses, self._states, self._generations):
            by_server.pop(server, None)
