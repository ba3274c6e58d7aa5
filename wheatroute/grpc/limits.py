"""Resource limits of one connection: streams and bytes, the reset budget and the keep-alive. No I/O.

Times are in seconds of any monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits on what a peer may use of one connection, and the times of the keep-alive."""

    max_streams: int = 1000  # streams that may be open at the same time
    max_message_bytes: int = 1 << 20
    max_header_list_bytes: int = 16384  # size as defined by HTTP/2 (RFC 9113, 6.5.2)
    # Flow-control windows: the bytes that the peer may send before this side has read earlier ones.
    connection_window: int = 1 << 20
    stream_window: int = 1 << 16
    # Nothing more is read from the peer while more bytes than this wait to be sent to it.
    max_backlog_bytes: int = 1 << 20
    # Resets that the peer may send in a burst; each completed call allows one more, up to this number.
    max_resets: float = 400.0
    reset_rate: float = 100.0  # resets per second that are added to the budget
    # Time without received bytes after which a ping is sent.
    ping_interval_s: float = 30.0
    ping_timeout_s: float = 10.0  # maximum time from a ping to its acknowledgement


class ResetBudget:
    """Limits how often a peer may open and reset streams, which costs the peer almost nothing.

    A token bucket: each reset takes one token. Protects against CVE-2023-44487 ("rapid reset").
    """

    def __init__(self, limits: ConnectionLimits, now: float) -> None:
        self._limits = limits
        self._tokens, self._updated_at = limits.max_resets, now

    def count_reset(self, now: float) -> None:
        """Takes a token for a reset by the peer."""
        added = (now - self._updated_at) * self._limits.reset_rate
        self._tokens = min(self._limits.max_resets, self._tokens + added) - 1.0
        self._updated_at = now

    def count_completed_call(self) -> None:
        """Adds a token for a call whose response was sent completely."""
        self._tokens = min(self._limits.max_resets, self._tokens + 1.0)

    @property
    def is_exhausted(self) -> bool:
        """Whether the peer has reset more streams than allowed."""
        return self._tokens < 0.0


class KeepAliveAction(Enum):
    """What the session must do now to keep the connection alive."""

    NOTHING = "nothing"
    PING = "ping"
    CLOSE = "close"


class KeepAlive:
    """Detects peers that disappeared without closing the connection, which TCP may miss for minutes."""

    def __init__(self, limits: ConnectionLimits, now: float) -> None:
        self._limits = limits
        self._last_received = now
        self._ping_sent_at = inf  # time of the unacknowledged ping

    @property
    def check_interval_s(self) -> float:
        """The time between two calls of `check`."""
        return min(self._limits.ping_interval_s, self._limits.ping_timeout_s) / 2

    def received(self, now: float) -> None:
        """Notes that bytes were received from the peer."""
        self._last_received = now

    def ping_sent(self, now: float) -> None:
        """Notes that a ping is sent."""
        self._ping_sent_at = now

    def ping_answered(self) -> None:
        """Notes that the ping was acknowledged."""
        self._ping_sent_at = inf

    def check(self, now: float) -> KeepAliveAction:
        """Returns what to do now; any bytes received after a ping count as its acknowledgement."""
        if self._last_received > self._ping_sent_at:
            self._ping_sent_at = inf
        if now - self._ping_sent_at > self._limits.ping_timeout_s:
            return KeepAliveAction.CLOSE
        is_idle = now - self._last_received > self._limits.ping_interval_s
        return KeepAliveAction.PING if self._ping_sent_at == inf and is_idle else KeepAliveAction.NOTHING
