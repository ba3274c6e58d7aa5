"""The node's clock. Reads the system clocks; no other I/O."""

import time

_UNIX_OFFSET_S = time.time() - time.monotonic()


def now() -> float:
    """Returns a monotonic clock's time, as Unix time in seconds.

    Start times in the list of servers are Unix times too, so the two can be compared.
    """
    return time.monotonic() + _UNIX_OFFSET_S
