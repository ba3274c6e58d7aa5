"""Measures how late the event loop reads data from its sockets. A trio instrument; does no I/O itself."""

import time

import trio

MIN_REAL_WAIT_S = 0.0005  # a shorter wait for sockets means that one was ready already


class EventLoopLag(trio.abc.Instrument):
    """Computes an upper bound of the time for which data that is read now has been waiting.

    A client's timeout counts from the arrival of the last byte of its request. That byte may have been
    waiting since the previous iteration of the event loop. Without this bound, a node whose event loop was
    blocked would answer requests after their deadlines.
    """

    def __init__(self) -> None:
        self.iterations = 0
        self._iteration_began = self._wait_began = self._unread_since = time.monotonic()

    def before_io_wait(self, timeout: float) -> None:
        """Called by trio before it waits for sockets."""
        self._wait_began = time.monotonic()

    def after_io_wait(self, timeout: float) -> None:
        """Called by trio after it has waited for sockets."""
        self.iterations += 1
        moment = time.monotonic()
        # If the loop had to wait, the data arrived at the end of the wait. If it had not, the data may have
        # been waiting since the start of the previous iteration.
        has_waited = moment - self._wait_began > MIN_REAL_WAIT_S
        self._unread_since = moment if has_waited else self._iteration_began
        self._iteration_began = moment

    @property
    def lag_s(self) -> float:
        """The longest time in seconds for which data that is read now may have been waiting."""
        return time.monotonic() - self._unread_since
