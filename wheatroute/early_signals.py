"""Signals that arrive before a process can handle them, or when it is about to end.

I/O: installs signal handlers. Imports no other library, so that it can be used before slow imports.
"""

import signal
import time

STOP_SIGNALS = signal.SIGTERM, signal.SIGINT


class EarlySignals(list[int]):
    """The stop signals that have arrived, and the time of the first one on the monotonic clock."""

    def __init__(self) -> None:
        super().__init__()
        self._first_at = 0.0

    def record(self, number: int) -> None:
        """Adds a signal that arrives now."""
        if not self:
            self._first_at = time.monotonic()
        self.append(number)

    @property
    def age_s(self) -> float:
        """Seconds since the first signal, 0 if there is none."""
        return time.monotonic() - self._first_at if self else 0.0


def record_early_signals() -> EarlySignals:
    """Records stop signals in the returned list until a receiver is opened; ignores SIGHUP."""
    early = EarlySignals()
    for number in STOP_SIGNALS:
        signal.signal(number, lambda number, _: early.record(number))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return early


def ignore_signals() -> None:
    """Ignores signals for the rest of the process, which is about to end.

    The interpreter restores the default action of signals that have a handler before the process has ended.
    """
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
