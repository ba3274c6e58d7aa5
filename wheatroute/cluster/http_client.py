"""`httpx` without its command line, whose terminal libraries take a fifth of an edge node's startup time."""

from __future__ import annotations

from wheatroute.imports import without

with without("pygments"):  # if this import fails, httpx skips its command line
    import httpx

__all__ = ["httpx"]
