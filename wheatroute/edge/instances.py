"""Tracks the servers that this node knows: their registry state, and their health as seen by its attempts.

Does no I/O itself; callbacks query the kernel for unacknowledged bytes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from wheatroute.cluster.messages import Instance, InstanceState, RegistryVersion, Update
from wheatroute.cluster.settings import split_address

ERROR_SMOOTHING = 0.25  # weight of the newest response in a server's error rate
MAX_ERROR_RATE = 0.3  # error rate above which a server is ejected
ERROR_EJECTION_S = 2.0
REJECTION_BACKOFF_S = 0.25  # backoff after a request that the server rejected
FAILURE_BACKOFF_S = 0.5  # backoff after the first failure; doubles with each further one
MAX_BACKOFF_S = 4.0
ACKNOWLEDGE_TIMEOUT_S = 0.25  # time within which a running host acknowledges bytes written to it
ACKNOWLEDGE_CHECK_INTERVAL_S = 0.1  # seconds between two queries of the kernel for unacknowledged bytes


@dataclass(frozen=True)
class PendingAttempt:
    """An attempt that has received neither its first event nor a complete response."""

    started_at: float
    has_unacknowledged_bytes: Callable[[], bool]  # whether the server's host has yet to acknowledge bytes


class Server:
    """One incarnation of a server. Times are seconds of the node's monotonic clock."""

    __slots__ = (
        "instance",
        "address",
        "warmup_until",
        "consecutive_failures",
        "ejected_until",
        "left_at",
        "error_rate",
        "last_response_at",
        "pending",
        "_has_unacknowledged_bytes",
        "_acknowledge_checked_at",
    )

    def __init__(self, instance: Instance, now: float) -> None:
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.left_at = inf  # when it was first seen as draining or removed
        self.warmup_until = 0.0
        self.error_rate = 0.0
        self.last_response_at = now
        self.pending: dict[int, PendingAttempt] = {}  # oldest first
        self._has_unacknowledged_bytes = False
        self._acknowledge_checked_at = 0.0
        self.update(instance, now)

    def update(self, instance: Instance, now: float) -> None:
        """Applies the registry's newest state; a server that has left never returns under the same id."""
        self.instance = instance
        if instance.state in (InstanceState.DRAINING, InstanceState.REMOVED):
            self.leave(now)
        self.warmup_until = max(self.warmup_until, now + instance.warmup_remaining_ms / 1000.0)
        if instance.address:
            self.address = split_address(instance.address)

    @property
    def id(self) -> str:
        """Id of this incarnation."""
        return self.instance.id

    @property
    def has_left(self) -> bool:
        """Whether the server is draining or removed, so that it gets no new requests."""
        return self.left_at < inf

    def leave(self, now: float) -> None:
        """Excludes the server from new requests, for good."""
        self.left_at = min(self.left_at, now)

    def is_warming_up(self, now: float) -> bool:
        """Returns whether the server is still slower than usual after its start."""
        return self.warmup_until > now

    def is_degraded(self, now: float) -> bool:
        """Returns whether other servers should be tried first."""
        return self.ejected_until > now or self.instance.state == InstanceState.UNRESPONSIVE

    def record_failure(self, now: float) -> None:
        """Ejects the server after an attempt failed, for a time that doubles with each failure in a row."""
        backoff_s = min(MAX_BACKOFF_S, FAILURE_BACKOFF_S * 2 ** min(self.consecutive_failures, 4))
        self.consecutive_failures += 1
        self.ejected_until = now + backoff_s

    def record_response(self, now: float, is_error: bool) -> None:
        """Records a response, which ends an ejection.

        If the response is an error and the error rate is then too high, the server is ejected, however fast
        it responds.
        """
        self.last_response_at = now
        self.consecutive_failures = 0
        self.error_rate += ERROR_SMOOTHING * (is_error - self.error_rate)
        is_failing = is_error and self.error_rate > MAX_ERROR_RATE
        self.ejected_until = now + ERROR_EJECTION_S if is_failing else 0.0

    def record_rejection(self, now: float) -> None:
        """Backs off from the server briefly after it rejected a request for lack of capacity."""
        self.last_response_at = now
        self.ejected_until = max(self.ejected_until, now + REJECTION_BACKOFF_S)

    def unresponsive_for(self, now: float) -> float:
        """Returns the seconds for which attempts have been pending without any response."""
        if not self.pending:
            return 0.0
        return now - max(self.last_response_at, next(iter(self.pending.values())).started_at)

    def has_unacknowledged_bytes(self, now: float) -> bool:
        """Returns whether the server's host seems down: it hasn't acknowledged bytes of an attempt in time.

        The kernel of a running host acknowledges bytes at once, however busy the server is. The time allowed
        is `ACKNOWLEDGE_TIMEOUT_S` after the start of the attempt.
        """
        if not self.pending:
            return False
        if now - self._acknowledge_checked_at > ACKNOWLEDGE_CHECK_INTERVAL_S:
            self._acknowledge_checked_at = now
            overdue = (
                attempt
                for attempt in self.pending.values()
                if now - attempt.started_at > ACKNOWLEDGE_TIMEOUT_S
            )
            self._has_unacknowledged_bytes = any(attempt.has_unacknowledged_bytes() for attempt in overdue)
        return self._has_unacknowledged_bytes


class InstanceTable:
    """Holds all servers, by id and by service."""

    def __init__(self) -> None:
        self.version = RegistryVersion()
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, list[Server]] = {}  # only servers that may get new requests

    def __len__(self) -> int:
        return len(self._servers)

    def ids(self) -> set[str]:
        """Returns the ids of all servers that this node knows."""
        return set(self._servers)

    def get(self, server_id: str) -> Server | None:
        """Returns the server with this id, None if it is unknown."""
        return self._servers.get(server_id)

    def available(self, service: str) -> list[Server]:
        """Returns the servers of a service that may get new requests."""
        return self._by_service.get(service, [])

    def unresponsive_for(self, now: float, response_timeout_s: float) -> dict[str, float]:
        """Returns the seconds without a response of each server that seems to be down, by id.

        A server seems down if that time exceeds `response_timeout_s`, or if its host does not acknowledge
        bytes.
        """
        available = (server for servers in self._by_service.values() for server in servers)
        return {
            server.id: server.unresponsive_for(now)
            for server in available
            if server.unresponsive_for(now) > response_timeout_s or server.has_unacknowledged_bytes(now)
        }

    def apply(self, update: Update, now: float) -> list[Server]:
        """Applies a registry update unless it is outdated; returns the servers that it drains or removes."""
        if update.registry < self.version:
            return []
        self.version = update.registry
        departed = [server for instance in update.instances if (server := self._update(instance, now))]
        if update.is_full and update.is_settled:
            current_ids = {instance.id for instance in update.instances}
            missing_ids = [server_id for server_id in self._servers if server_id not in current_ids]
            departed += [self._remove(server_id, now) for server_id in missing_ids]
        self._group_by_service()
        return departed

    def _update(self, instance: Instance, now: float) -> Server | None:
        """Adds or updates a server; returns it if it has left with this update."""
        server = self._servers.get(instance.id)
        if server is None:
            if instance.state != InstanceState.REMOVED:
                self._servers[instance.id] = Server(instance, now)
            return None
        if instance.state == InstanceState.REMOVED:
            return self._remove(instance.id, now)
        had_left = server.has_left
        server.update(instance, now)
        return server if server.has_left and not had_left else None

    def _remove(self, server_id: str, now: float) -> Server:
        server = self._servers.pop(server_id)
        server.leave(now)
        return server

    def _group_by_service(self) -> None:
        self._by_service = {}
        for server in self._servers.values():
            if not server.has_left:
                self._by_service.setdefault(server.instance.service, []).append(server)

    def mark_left(self, server: Server, now: float) -> None:
        """Excludes a server from new requests, because its address now belongs to another server."""
        server.leave(now)
        self._group_by_service()
