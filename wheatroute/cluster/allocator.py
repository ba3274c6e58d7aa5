"""Has the C library's allocator return the memory of large buffers to the system as soon as they are freed.

glibc raises the size from which a buffer gets a mapping of its own whenever such a buffer is freed. Later
large buffers then share the heap with small objects, which keep it from shrinking: after bodies of many sizes
have grown side by side, the process holds far more than it uses.
"""

from __future__ import annotations

import ctypes
from contextlib import suppress

M_MMAP_THRESHOLD = -3  # parameter of mallopt(3)
LARGE_BUFFER_BYTES = 131072


def give_large_buffers_mappings_of_their_own() -> None:
    """Fixes the size from which a buffer is mapped by itself; does nothing if the C library isn't glibc."""
    with suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES)
