"""A snapshot on disk: written whole beside the old one and renamed, read whole or refused with the reason.

Owns the file's form: one line of head (format, version, length, SHA-256 of the body), then the body, JSON. It
must never leave a mixture of two, nor give anything of a file that is cut short, changed, of another version,
from the future or too old. What is in the body is for others to judge.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path
from typing import Any

import orjson

FORMAT, VERSION = b"wheatroute-snapshot", 1
LONGEST = 1 << 28  # bytes
AHEAD = 5.0  # seconds by which clocks may differ


class SnapshotError(Exception):
    """A snapshot that is no use, with the reason."""


def sealed(body: dict[str, Any], written: float) -> bytes:
    """The bytes of a snapshot; `written` is Unix time, seconds."""
    data = orjson.dumps(body | {"written": written})
    return b"%s %d %d %s\n" % (FORMAT, VERSION, len(data), hashlib.sha256(data).hexdigest().encode()) + data


def opened(data: bytes, now: float, oldest: float) -> dict[str, Any]:
    """The body; raises `SnapshotError`. `oldest` is the age in seconds beyond which it is no use."""
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
    told = orjson.loads(body)
    age = now - told["written"]
    if age < -AHEAD:
        raise SnapshotError(f"is from the future, by {-age:.0f} s")
    if age > oldest:
        raise SnapshotError(f"is {age:.0f} s old, {oldest:.0f} s are allowed")
    return told


def write(path: str, data: bytes) -> None:
    """The new one in the place of the old, or the old one as it was; raises `OSError`."""
    beside = f"{path}.new"
    descriptor = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.rename(beside, path)
    # guards against a rename that a loss of power undoes
    folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def read(path: str, now: float, oldest: float) -> dict[str, Any]:
    """What the file holds; raises `SnapshotError` for one that is no use, or none."""
    try:
        if os.path.getsize(path) > LONGEST:
            raise SnapshotError("is too long")
        return opened(Path(path).read_bytes(), now, oldest)
    except OSError as trouble:
        raise SnapshotError(f"cannot be read: {trouble.strerror}") from trouble
