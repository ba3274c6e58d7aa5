"""Importing a library without the optional ones that it would load besides."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def without_package(name: str) -> Iterator[None]:
    """What is imported inside finds no library `name`, unless that is loaded already."""
    if name in sys.modules:
        yield
        return
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]
