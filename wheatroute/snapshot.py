"""Snapshots on disk: a header line (format, version, length and SHA-256 of the body), then the body as JSON.

A snapshot is written to a temporary file and renamed over the old one, so that a file never contains parts of
two snapshots. A snapshot that is truncated, modified, of another version, from the future or too old is
rejected as a whole. Functions with a `path` do blocking I/O. The body's contents are not checked; callers
must do that.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path
from typing import Any

import orjson

FORMAT, VERSION = b"wheatroute-snapshot", 1
MAX_BYTES = 1 << 28  # a larger file is not read
MAX_CLOCK_SKEW_S = 5.0  # a snapshot written further in the future than this is rejected


class SnapshotError(Exception):
    """A snapshot can't be used; the message lacks a subject, for example "has version 2, expected 1"."""


def encode(body: dict[str, Any], written_at: float) -> bytes:
    """Returns the bytes of a snapshot; `written_at` is a Unix time in seconds."""
    data = orjson.dumps(body | {"written": written_at})
    return b"%s %d %d %s\n" % (FORMAT, VERSION, len(data), hashlib.sha256(data).hexdigest().encode()) + data


def decode(data: bytes, now: float, max_age_s: float) -> dict[str, Any]:
    """Returns the body; raises `SnapshotError` if the snapshot is invalid or older than `max_age_s`.

    `now` is a Unix time in seconds.
    """
    head, _, body = data.partition(b"\n")
    parts = head.split(b" ")
    if len(parts) != 4 or parts[0] != FORMAT or not parts[1].isdigit() or not parts[2].isdigit():
        raise SnapshotError("is not a snapshot: invalid header line")
    if int(parts[1]) != VERSION:
        raise SnapshotError(f"has version {int(parts[1])}, expected {VERSION}")
    if len(body) < int(parts[2]):
        raise SnapshotError(f"is truncated: {len(body)} of {int(parts[2])} bytes")
    if len(body) != int(parts[2]) or hashlib.sha256(body).hexdigest().encode() != parts[3]:
        raise SnapshotError("was modified after it was written")
    content: dict[str, Any] = orjson.loads(body)
    age = now - content["written"]
    if age < -MAX_CLOCK_SKEW_S:
        raise SnapshotError(f"is {-age:.0f} s from the future")
    if age > max_age_s:
        raise SnapshotError(f"is {age:.0f} s old, the maximum is {max_age_s:.0f} s")
    return content


def write(path: str, data: bytes) -> None:
    """Replaces the snapshot at `path`; raises `OSError` if writing, renaming or the final fsync fails.

    The old snapshot stays in place until the rename.
    """
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
    # Without fsync of the directory, a power loss may undo the rename.
    folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def read(path: str, now: float, max_age_s: float) -> dict[str, Any]:
    """Returns the body of the snapshot at `path`; raises `SnapshotError` if there is no usable one."""
    try:
        if os.path.getsize(path) > MAX_BYTES:
            raise SnapshotError(f"is larger than the maximum of {MAX_BYTES} bytes")
        return decode(Path(path).read_bytes(), now, max_age_s)
    except OSError as error:
        raise SnapshotError(f"cannot be read: {error.strerror}") from error
