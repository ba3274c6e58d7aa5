"""The node's clock. Reads the system's clocks, no other I/O."""

import time

_UNIX_OFFSET_S = time.time() - time.monotonic()


def now() -> float:
    """Unix time in seconds that never goes back, as start times in the list of servers are Unix times."""
    return time.monotonic() + _UNIX_OFFSET_S
