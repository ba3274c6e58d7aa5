"""A control node's record and soft state on disk, in LMDB, with a checksum over each value. Blocking I/O.

LMDB keeps the last commit intact if a write is cut short. `sync` is called after each commit, since a commit
counts only once the disk has confirmed it. A node whose record can't be read takes a new identity: its old
promises and documents then count for nothing, which is as safe as the loss of the disk. Keys and values must
stay those of earlier versions.
"""

from __future__ import annotations

import os
import zlib
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

import lmdb
import msgspec

from wheatroute.replication.records import AcceptorRecord, Document, NodeRecord

FILE_NAME = "control.mdb"
MAP_DISK_FRACTION = 0.6  # largest part of the disk that the database may use
MIN_MAP_BYTES = 8 << 20
MAX_READERS = 4
CHECKSUM_BYTES = 4

_IDENTITY, _ACCEPTOR, _DOCUMENT, _SOFT_STATE = b"identity", b"witness", b"document", b"hint"


class StorageError(Exception):
    """The disk rejected a write, or a value on it is missing or damaged."""


class Storage(Protocol):
    """Storage that outlives a process. All calls may block, and must come from one thread at a time."""

    def read(self) -> NodeRecord | None:
        """Returns the record, or None if there is no readable one."""

    def write(self, record: NodeRecord) -> None:
        """Writes and syncs the changed values; if that raises StorageError, the old record stays valid."""

    def scrub(self) -> list[str]:
        """Compares the disk with what was written last; returns the names of the values that differ.

        These values count as not written, so that the next `write` writes them again.
        """

    def read_soft_state(self) -> bytes:
        """Returns the soft state written last, or an empty value."""

    def write_soft_state(self, payload: bytes) -> None:
        """Writes and syncs soft state; if that raises StorageError, the old one stays valid."""

    def close(self) -> None:
        """Closes the file."""


class LmdbStorage:
    """`Storage` in one file of `folder`, whose database uses at most `MAP_DISK_FRACTION` of `disk_mb`."""

    def __init__(self, folder: str, disk_mb: int) -> None:
        self._path = Path(folder) / FILE_NAME
        self._map_bytes = max(MIN_MAP_BYTES, int(disk_mb * MAP_DISK_FRACTION) << 20)
        self._environment: Any = None
        self._written: dict[bytes, Any] = {}

    def read(self) -> NodeRecord | None:
        """Returns the record, or None if there is none or it is unreadable; renames an unreadable file."""
        if not self._path.exists():
            return None
        try:
            with self._open().begin() as transaction:
                values = {key: transaction.get(key) for key in (_IDENTITY, _ACCEPTOR, _DOCUMENT)}
            if all(value is None for value in values.values()):
                return None
            return NodeRecord(
                identity=msgspec.msgpack.decode(_verified(values[_IDENTITY]), type=str),
                acceptor=msgspec.msgpack.decode(_verified(values[_ACCEPTOR]), type=AcceptorRecord),
                document=msgspec.msgpack.decode(_verified(values[_DOCUMENT]), type=Document),
            )
        except (lmdb.Error, msgspec.DecodeError, StorageError):
            self._set_aside()
            return None

    def write(self, record: NodeRecord) -> None:
        """Writes and syncs the changed values; if that raises StorageError, the old record stays valid."""
        values = {_IDENTITY: record.identity, _ACCEPTOR: record.acceptor, _DOCUMENT: record.document}
        changed = {key: value for key, value in values.items() if self._written.get(key) is not value}
        try:
            with self._open().begin(write=True) as transaction:
                for key, value in changed.items():
                    transaction.put(key, _with_checksum(msgspec.msgpack.encode(value)))
            self._open().sync(True)
        except (lmdb.Error, OSError) as error:
            # The content of the disk is unknown now, so the next write writes everything. An environment that
            # failed once is not used again.
            self._written = {}
            self.close()
            raise StorageError(str(error)) from error
        self._written = values

    def scrub(self) -> list[str]:
        """Compares the disk with what was written last; returns the names of the values that differ.

        These values count as not written, so that the next `write` writes them again.
        """
        damaged = [key for key, value in self._written.items() if not self._is_on_disk(key, value)]
        for key in damaged:
            del self._written[key]
        return [key.decode() for key in damaged]

    def _is_on_disk(self, key: bytes, value: Any) -> bool:
        try:
            with self._open().begin() as transaction:
                return bool(transaction.get(key) == _with_checksum(msgspec.msgpack.encode(value)))
        except (lmdb.Error, OSError):
            return False

    def read_soft_state(self) -> bytes:
        """Returns the soft state written last, or an empty value."""
        if not self._path.exists():
            return b""
        try:
            with self._open().begin() as transaction:
                return _verified(transaction.get(_SOFT_STATE))
        except (lmdb.Error, StorageError):
            return b""

    def write_soft_state(self, payload: bytes) -> None:
        """Writes and syncs soft state; if that raises StorageError, the old one stays valid."""
        try:
            with self._open().begin(write=True) as transaction:
                transaction.put(_SOFT_STATE, _with_checksum(payload))
            self._open().sync(True)
        except (lmdb.Error, OSError) as error:
            self._written = {}
            self.close()
            raise StorageError(str(error)) from error

    def close(self) -> None:
        """Closes the file."""
        environment, self._environment = self._environment, None
        if environment is not None:
            with suppress(lmdb.Error, OSError):
                environment.close()

    def _open(self) -> Any:
        if self._environment is None:
            self._environment = lmdb.open(
                str(self._path),
                subdir=False,
                lock=False,
                map_size=self._map_bytes,
                readahead=False,
                # Without this, pages on disk could contain parts of the process's memory, including keys.
                meminit=True,
                max_readers=MAX_READERS,
            )
            self._sync_directory()
        return self._environment

    def _sync_directory(self) -> None:
        """Syncs the directory, without which a new file might not survive a crash."""
        descriptor = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _set_aside(self) -> None:
        """Renames an unreadable file, so that it can be examined later."""
        self.close()
        with suppress(OSError):
            os.replace(self._path, self._path.with_suffix(".unreadable"))
            self._sync_directory()


class MemoryStorage:
    """`Storage` for machines without a disk: it stores nothing."""

    def read(self) -> NodeRecord | None:
        """Returns None, since nothing outlives the process."""
        return None

    def write(self, record: NodeRecord) -> None:
        """Discards the record."""

    def scrub(self) -> list[str]:
        """Returns no names, since there is nothing that could be damaged."""
        return []

    def read_soft_state(self) -> bytes:
        """Returns an empty value, since nothing outlives the process."""
        return b""

    def write_soft_state(self, payload: bytes) -> None:
        """Discards the soft state."""

    def close(self) -> None:
        """Does nothing."""


def _with_checksum(data: bytes) -> bytes:
    return zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big") + data


def _verified(data: bytes | None) -> bytes:
    if data is None or len(data) < CHECKSUM_BYTES:
        raise StorageError("a value on disk is missing or shorter than its checksum")
    body = data[CHECKSUM_BYTES:]
    if zlib.crc32(body) != int.from_bytes(data[:CHECKSUM_BYTES], "big"):
        raise StorageError("the checksum of a value on disk doesn't match its content")
    return body
