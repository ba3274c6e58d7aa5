"""Imports a library without loading its optional dependencies."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def without_package(name: str) -> Iterator[None]:
    """Makes `import name` fail within the context, unless that package is loaded already."""
    if name in sys.modules:
        yield
        return
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]
