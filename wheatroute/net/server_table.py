"""Table of servers: addresses, states and numbers of attempts in flight. No I/O.

Servers are identified by number. A server's generation changes with its state, its start time and its
address: an attempt that was decided for an earlier generation must no longer be sent.
"""

from typing import NamedTuple

from wheatroute.balancing.interface import ServerState


class ListedState(NamedTuple):
    """A server's state in the list; `started_at` is Unix time in seconds, 0 if unknown."""

    state: ServerState
    started_at: float


UNKNOWN_STATE = ListedState(ServerState.LIVE, 0.0)


class ServerTable:
    """Holds the address, state, generation and attempts in flight of each server, by number."""

    def __init__(self) -> None:
        self._addresses: dict[int, tuple[str, int]] = {}
        self._states: dict[int, ListedState] = {}
        self._generations: dict[int, int] = {}
        self._in_flight: dict[int, int] = {}  # number of attempts and probes in flight

    def address(self, server: int) -> tuple[str, int]:
        """Returns a server's address; raises KeyError if it is unknown."""
        return self._addresses[server]

    def generation(self, server: int) -> int:
        """Returns how often the server's state, start time or address has changed."""
        return self._generations.get(server, 0)

    def started_at(self, server: int) -> float:
        """Returns a server's start time (Unix time in seconds), 0 if unknown."""
        return self._states.get(server, UNKNOWN_STATE).started_at

    def set_address(self, server: int, address: tuple[str, int]) -> bool:
        """Sets a server's address; returns whether it had a different one before."""
        has_changed = self._addresses.get(server, address) != address
        if has_changed:
            self._generations[server] = self.generation(server) + 1
        self._addresses[server] = address
        return has_changed

    def set_state(self, server: int, state: ServerState, started_at: float) -> None:
        """Sets a server's state and start time as given by the list."""
        new = ListedState(state, started_at)
        if self._states.get(server, new) != new:
            self._generations[server] = self.generation(server) + 1
        self._states[server] = new

    def begin(self, server: int) -> None:
        """Counts an attempt or probe that starts."""
        self._in_flight[server] = self._in_flight.get(server, 0) + 1

    def end(self, server: int) -> None:
        """Counts an attempt or probe that has ended."""
        self._in_flight[server] -= 1

    def is_in_use(self, server: int) -> bool:
        """Returns whether an attempt or probe to the server is in flight."""
        return bool(self._in_flight.get(server))

    def forget(self, server: int) -> None:
        """Removes a server, so that another one can use its number."""
        for by_server in (self._in_flight, self._addresses, self._states, self._generations):
            by_server.pop(server, None)
