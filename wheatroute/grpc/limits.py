"""What one connection may cost: limits of a peer, the reset budget and the keep-alive. No I/O.

Times are in seconds, of any clock that never goes back.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits of a peer: streams, bytes and resets; seconds for keep-alive."""

    max_streams: int = 1000  # open at a time
    max_message_bytes: int = 1 << 20
    max_header_list_bytes: int = 16384  # as HTTP/2 counts them (RFC 9113, 6.5.2)
    connection_window: int = 1 << 20  # unread bytes of one connection
    stream_window: int = 1 << 16  # unread bytes of one stream
    max_backlog_bytes: int = 1 << 20  # unsent bytes, beyond which the peer is not read
    max_resets: float = 400.0  # resets in reserve; one is added by each call that ends well
    reset_rate: float = 100.0  # resets added a second
    ping_interval_s: float = 30.0  # without anything received, after which the peer is pinged
    ping_timeout_s: float = 10.0  # for its answer


class ResetBudget:
    """Bounds how often a peer may open and reset streams, which costs the peer almost nothing.

    A token bucket: each reset takes one; see CVE-2023-44487 ("rapid reset").
    """

    def __init__(self, limits: ConnectionLimits, now: float) -> None:
        self._limits = limits
        self._tokens, self._updated_at = limits.max_resets, now

    def count_reset(self, now: float) -> None:
        """Counts a reset by the peer."""
        added = (now - self._updated_at) * self._limits.reset_rate
        self._tokens = min(self._limits.max_resets, self._tokens + added) - 1.0
        self._updated_at = now

    def count_completed_call(self) -> None:
        """Counts a call that ended well."""
        self._tokens = min(self._limits.max_resets, self._tokens + 1.0)

    @property
    def is_exhausted(self) -> bool:
        """Whether the peer has reset more streams than it may."""
        return self._tokens < 0.0


class KeepAliveAction(Enum):
    """What is to be done on a connection."""

    NOTHING = "nothing"
    PING = "ping"
    CLOSE = "close"


class KeepAlive:
    """Finds peers that are gone without closing the connection, which TCP may not notice for minutes."""

    def __init__(self, limits: ConnectionLimits, now: float) -> None:
        self._limits = limits
        self._last_received = now
        self._ping_sent_at = inf  # of the ping that is not answered yet

    @property
    def check_interval_s(self) -> float:
        """Seconds between two calls of `check`."""
        return min(self._limits.ping_interval_s, self._limits.ping_timeout_s) / 2

    def received(self, now: float) -> None:
        """Notes that bytes came from the peer."""
        self._last_received = now

    def ping_sent(self, now: float) -> None:
        """Notes that a ping goes out."""
        self._ping_sent_at = now

    def ping_answered(self) -> None:
        """Notes the answer to a ping."""
        self._ping_sent_at = inf

    def check(self, now: float) -> KeepAliveAction:
        """What is to be done now: anything that came after a ping answers it."""
        if self._last_received > self._ping_sent_at:
            self._ping_sent_at = inf
        if now - self._ping_sent_at > self._limits.ping_timeout_s:
            return KeepAliveAction.CLOSE
        is_idle = now - self._last_received > self._limits.ping_interval_s
        return KeepAliveAction.PING if self._ping_sent_at == inf and is_idle else KeepAliveAction.NOTHING
