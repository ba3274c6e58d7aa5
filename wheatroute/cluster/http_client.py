"""`httpx` without its command line, whose terminal libraries take a fifth of an edge node's startup time."""

from __future__ import annotations

from wheatroute.imports import without_package

with without_package("pygments"):  # if this import fails, httpx skips its command line
    import httpx

__all__ = ["httpx"]
