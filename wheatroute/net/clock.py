"""The node's clock. Reads the system clocks; no other I/O."""

import time

_UNIX_OFFSET_S = time.time() - time.monotonic()


def now() -> float:
    """Returns the Unix time in seconds, but monotonic.

    It is Unix time because start times in the list of servers are.
    """
    return time.monotonic() + _UNIX_OFFSET_S
