"""The servers that this node knows, by the registry's word and by what its own sockets met."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wheatroute.cluster.messages import Instance, InstanceState, RegistryVersion, Update
from wheatroute.cluster.settings import split_address

ERROR_SMOOTHING = 0.25  # weight of the newest answer in a server's share of errors
FAILING = 0.3  # share of errors from which a server is passed over
FAILING_PAUSE = 2.0  # seconds
SHED_PAUSE = 0.25  # seconds that a server is passed over which turned a request away
FAILURE_PAUSE = 0.5  # seconds that a server is passed over after its first failed connection
LONGEST_PAUSE = 4.0
ACKNOWLEDGED_WITHIN = 0.25  # seconds in which a machine that is there acknowledges what was written to it
ACKNOWLEDGED_LOOK = 0.1  # seconds between two questions to the kernel about that


@dataclass(frozen=True)
class Outstanding:
    """An attempt that has no first token yet."""

    since: float  # when it began
    unacknowledged: Callable[[], bool]  # whether the server's machine lacks some of what was written


class Server:
    """One incarnation of a server."""

    __slots__ = (
        "instance",
        "place",
        "cold_until",
        "failures",
        "avoid_until",
        "left",
        "error_share",
        "heard",
        "out",
        "_unacknowledged",
        "_looked_at",
    )

    def __init__(self, instance: Instance, now: float) -> None:
        self.failures = 0
        self.avoid_until = 0.0
        self.left = False  # draining or gone, by whoever said so first
        self.cold_until = 0.0
        self.error_share = 0.0
        self.heard = now
        self.out: dict[int, Outstanding] = {}  # attempts without a first token, the oldest first
        self._unacknowledged = False
        self._looked_at = 0.0
        self.take(instance, now)

    def take(self, instance: Instance, now: float) -> None:
        """The registry's newest word; a server that was leaving never comes back under its id."""
        self.instance = instance
        self.left = self.left or instance.state in (InstanceState.DRAINING, InstanceState.REMOVED)
        self.cold_until = max(self.cold_until, now + instance.warmup_remaining_ms / 1000.0)
        if instance.address:
            self.place = split_address(instance.address)

    @property
    def id(self) -> str:
        """The id of this incarnation."""
        return self.instance.id

    @property
    def usable(self) -> bool:
        """Whether anything new may be sent to it."""
        return not self.left

    def doubtful(self, now: float) -> bool:
        """Whether it should be passed over while there are others."""
        return self.avoid_until > now or self.instance.state == InstanceState.UNRESPONSIVE

    def failed(self, now: float) -> None:
        """A connection to it was refused, reset or never came up."""
        pause = min(LONGEST_PAUSE, FAILURE_PAUSE * 2 ** min(self.failures, 4))
        self.failures += 1
        self.avoid_until = now + pause

    def answered(self, now: float, error: bool) -> None:
        """It gave an answer; one that fails often is passed over, however fast it does."""
        self.heard = now
        self.failures = 0
        self.error_share += ERROR_SMOOTHING * (error - self.error_share)
        failing = error and self.error_share > FAILING
        self.avoid_until = now + FAILING_PAUSE if failing else 0.0

    def shed(self, now: float) -> None:
        """It turned a request away."""
        self.heard = now
        self.avoid_until = max(self.avoid_until, now + SHED_PAUSE)

    def silent_for(self, now: float) -> float:
        """Seconds for which it has had requests and answered none of them."""
        if not self.out:
            return 0.0
        return now - max(self.heard, next(iter(self.out.values())).since)

    def unacknowledged(self, now: float) -> bool:
        """Whether its machine is gone as it seems: nobody there takes what was written a while ago.

        The kernel of a machine that is there acknowledges at once, however busy the server is.
        """
        if not self.out:
            return False
        if now - self._looked_at > ACKNOWLEDGED_LOOK:
            self._looked_at = now
            old = (one for one in self.out.values() if now - one.since > ACKNOWLEDGED_WITHIN)
            self._unacknowledged = any(one.unacknowledged() for one in old)
        return self._unacknowledged


class InstanceTable:
    """All servers, by service."""

    def __init__(self) -> None:
        self.version = RegistryVersion()
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, list[Server]] = {}

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, identity: str) -> Server | None:
        """The server with this id, if it is known."""
        return self._servers.get(identity)

    def silent(self, now: float, patience: float) -> dict[str, float]:
        """By server that seems gone, for how many seconds it has answered nothing.

        It does if it answers nothing for longer than `patience`, or its machine doesn't acknowledge.
        """
        usable = (server for servers in self._by_service.values() for server in servers)
        return {
            server.id: server.silent_for(now)
            for server in usable
            if server.silent_for(now) > patience or server.unacknowledged(now)
        }

    def of(self, service: str) -> list[Server]:
        """The servers of a service to which something new may be sent."""
        return self._by_service.get(service, [])

    def apply(self, update: Update, now: float) -> list[Server]:
        """Takes an update in; returns the servers that have left by it."""
        if update.registry < self.version:
            return []
        self.version = update.registry
        left = [server for instance in update.instances if (server := self._take(instance, now))]
        if update.is_full and update.is_settled:
            listed = {instance.id for instance in update.instances}
            left += [self._remove(identity) for identity in list(self._servers) if identity not in listed]
        self._sort()
        return left

    def _take(self, instance: Instance, now: float) -> Server | None:
        """Adds or changes a server; returns it if it has left by this."""
        server = self._servers.get(instance.id)
        if server is None:
            if instance.state != InstanceState.REMOVED:
                self._servers[instance.id] = Server(instance, now)
            return None
        if instance.state == InstanceState.REMOVED:
            return self._remove(instance.id)
        stayed = server.usable
        server.take(instance, now)
        return server if stayed and not server.usable else None

    def _remove(self, identity: str) -> Server:
        server = self._servers.pop(identity)
        server.left = True
        return server

    def _sort(self) -> None:
        self._by_service = {}
        for server in self._servers.values():
            if server.usable:
                self._by_service.setdefault(server.instance.service, []).append(server)

    def misdirected(self, server: Server) -> None:
        """Another server answered at this one's address: this one is gone."""
        server.left = True
        self._sort()
