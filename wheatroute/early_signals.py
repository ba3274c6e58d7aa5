"""Signals that arrive before a process can handle them, or when it is about to end.

I/O: installs signal handlers. Imports no other library, so that it can be used before slow imports.
"""

import signal

STOP_SIGNALS = signal.SIGTERM, signal.SIGINT


def record_early_signals() -> list[int]:
    """Records stop signals in the returned list until a receiver is opened; ignores SIGHUP."""
    early: list[int] = []
    for number in STOP_SIGNALS:
        signal.signal(number, lambda number, _: early.append(number))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return early


def ignore_signals() -> None:
    """Ignores signals for the rest of the process, which is about to end.

    The interpreter restores the default action of signals that have a handler before the process has ended.
    """
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
