"""How late the event loop sees what has arrived on its sockets. A trio instrument; no I/O of its own."""

import time

import trio

MIN_REAL_WAIT_S = 0.0005  # a wait for sockets that took less found them ready


class EventLoopLag(trio.abc.Instrument):
    """Upper bound of how long ago something that is read now may have arrived.

    A client's time counts from the last byte of its request, which may have lain unread since the previous
    iteration of the event loop. Without this bound a node that was held up would answer after deadlines.
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
        # it arrived during the wait if there was one, else after the wait before it
        has_waited = moment - self._wait_began > MIN_REAL_WAIT_S
        self._unread_since = moment if has_waited else self._iteration_began
        self._iteration_began = moment

    @property
    def lag_s(self) -> float:
        """Seconds for which something that is read now may have lain unread, at most."""
        return time.monotonic() - self._unread_since
