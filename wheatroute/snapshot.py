"""Snapshots on disk: a line of head (format, version, length, SHA-256 of the body), then the body, JSON.

A snapshot is written beside the old one and renamed, so that a file is never a mixture of two. Nothing is
read of one that is cut short, changed, of another version, from the future or too old. Functions with a
path do I/O, which blocks. What is in the body is for the caller to check.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path
from typing import Any

import orjson

FORMAT, VERSION = b"wheatroute-snapshot", 1
MAX_BYTES = 1 << 28
MAX_CLOCK_SKEW_S = 5.0


class SnapshotError(Exception):
    """A snapshot can't be used; the message says why."""


def encode(body: dict[str, Any], written_at: float) -> bytes:
    """The bytes of a snapshot; `written_at` is Unix time, seconds."""
    data = orjson.dumps(body | {"written": written_at})
    return b"%s %d %d %s\n" % (FORMAT, VERSION, len(data), hashlib.sha256(data).hexdigest().encode()) + data


def decode(data: bytes, now: float, max_age_s: float) -> dict[str, Any]:
    """The body; raises `SnapshotError`, also for a snapshot older than `max_age_s`."""
    head, _, body = data.partition(b"\n")
    parts = head.split(b" ")
    if len(parts) != 4 or parts[0] != FORMAT or not parts[1].isdigit() or not parts[2].isdigit():
        raise SnapshotError("is no snapshot")
    if int(parts[1]) != VERSION:
        raise SnapshotError(f"is of version {int(parts[1])}, this program writes {VERSION}")
    if len(body) < int(parts[2]):
        raise SnapshotError(f"is cut short: {len(body)} bytes of {int(parts[2])}")
    if len(body) != int(parts[2]) or hashlib.sha256(body).hexdigest().encode() != parts[3]:
        raise SnapshotError("was changed since it was written")
    content: dict[str, Any] = orjson.loads(body)
    age = now - content["written"]
    if age < -MAX_CLOCK_SKEW_S:
        raise SnapshotError(f"is from the future, by {-age:.0f} s")
    if age > max_age_s:
        raise SnapshotError(f"is {age:.0f} s old, {max_age_s:.0f} s are allowed")
    return content


def write(path: str, data: bytes) -> None:
    """Replaces the snapshot at a path, or leaves the old one as it was; raises `OSError`."""
    temporary = f"{path}.new"
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.rename(temporary, path)
    # without it a loss of power may undo the rename
    folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def read(path: str, now: float, max_age_s: float) -> dict[str, Any]:
    """The body of the snapshot at a path; raises `SnapshotError` if there is none that can be used."""
    try:
        if os.path.getsize(path) > MAX_BYTES:
            raise SnapshotError("is too long")
        return decode(Path(path).read_bytes(), now, max_age_s)
    except OSError as error:
        raise SnapshotError(f"cannot be read: {error.strerror}") from error
