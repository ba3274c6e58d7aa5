"""`httpx` without its command line, whose terminal libraries take a fifth of an edge node's start."""

from __future__ import annotations

from wheatroute.imports import without_package

with without_package("pygments"):  # httpx goes on without its command line where this can't be imported
    import httpx

__all__ = ["httpx"]
