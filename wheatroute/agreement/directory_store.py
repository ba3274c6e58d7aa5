"""A version store in a directory, for the processes of one machine.

Layout: `log/NUMBER.json` holds a record, `nodes/KEY` a process status, `words/DIGEST.json` a drain notice. A
record is written to a temporary file, fsynced and hard-linked under its number, so that a record is either
complete or absent and is never overwritten. The `_blocking` methods do file I/O; the asynchronous ones run
them in a thread.
"""

from __future__ import annotations

import os
import re
import secrets
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

import orjson
import trio

from wheatroute.agreement.errors import VersionStoreError
from wheatroute.agreement.member_status import StoredStatus
from wheatroute.agreement.notice import StoredNotice
from wheatroute.agreement.records import StoredRecord
from wheatroute.agreement.version_store import MAX_RECORDS_PER_READ, parse_entry, unpack_statuses
from wheatroute.agreement.versions import canonical, digest

_KEY_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,150}\Z")


class DirectoryStore:
    """Implements `VersionStore` in the directory `path`."""

    def __init__(self, path: str) -> None:
        self._log_directory = Path(path) / "log"
        self._status_directory = Path(path) / "nodes"
        self._notice_directory = Path(path) / "words"
        self.path = path
        self.received_notices: list[StoredNotice] = []
        self.unreadable_keys: set[str] = set()  # keys of malformed statuses and drain notices
        # By name of a drain notice's file: its mtime (ns) and inode when it was last read.
        self._notice_files: dict[str, tuple[int, int]] = {}

    async def exchange(
        self, key: str, status: StoredStatus | None, after: int, expected_digest: str
    ) -> list[StoredRecord]:
        """Implements `VersionStore.exchange`."""
        return await _in_thread(self.exchange_blocking, key, status, after, expected_digest)

    async def statuses(self) -> list[StoredStatus]:
        """Implements `VersionStore.statuses`."""
        return await _in_thread(self.statuses_blocking)

    async def append(self, record: StoredRecord) -> bool:
        """Implements `VersionStore.append`."""
        return await _in_thread(self.append_blocking, record)

    async def remove_statuses(self, keys: list[str]) -> None:
        """Implements `VersionStore.remove_statuses`."""
        await _in_thread(self.remove_statuses_blocking, keys)

    async def write_status(self, key: str, status: StoredStatus) -> None:
        """Implements `VersionStore.write_status`."""
        await _in_thread(self.write_status_blocking, key, status)

    async def write_drain_notices(self, notices: list[StoredNotice], expired_ids: list[str]) -> None:
        """Implements `VersionStore.write_drain_notices`."""
        await _in_thread(self.write_drain_notices_blocking, notices, expired_ids)

    def create(self) -> None:
        """Creates the store's directories if they are missing.

        Only relays, and the commands that put versions or that start and control rollouts, call this. All
        other processes fail if the directories are missing, and so notice that a store has been deleted.
        """
        try:
            self._log_directory.mkdir(parents=True, exist_ok=True)
            self._status_directory.mkdir(exist_ok=True)
        except OSError as error:
            raise _store_error(self.path, error) from error

    def exchange_blocking(
        self, key: str, status: StoredStatus | None, after: int, expected_digest: str
    ) -> list[StoredRecord]:
        """Writes the status and reads the records after `after`; see `VersionStore.exchange`."""
        try:
            if status is not None:
                self._write_status_file(key, status)
                notices = self.changed_drain_notices_blocking()
                self.received_notices.extend(notices)
            if not self._log_directory.is_dir():
                raise VersionStoreError(f"{self.path}: the store has no log directory")
            if after:
                self._check_head(after, expected_digest)
            records: list[StoredRecord] = []
            while len(records) < MAX_RECORDS_PER_READ:
                record = self._read_record(after + len(records) + 1)
                if record is None:
                    break
                records.append(record)
            return records
        except (OSError, ValueError) as error:
            raise _store_error(self.path, error) from error

    def write_status_blocking(self, key: str, status: StoredStatus) -> None:
        """Writes a status without reading anything; see `VersionStore.write_status`."""
        try:
            self._write_status_file(key, status)
        except (OSError, ValueError) as error:
            raise _store_error(self.path, error) from error

    def statuses_blocking(self) -> list[StoredStatus]:
        """Returns the statuses of all processes; malformed ones are skipped."""
        try:
            statuses: list[StoredStatus] = []
            for path in sorted(self._status_directory.iterdir()):
                if not path.name.startswith("."):
                    with suppress(FileNotFoundError):
                        entry = parse_entry(path.name, path.read_bytes(), self.unreadable_keys)
                        statuses += unpack_statuses(entry) if entry is not None else []
            return statuses
        except (OSError, ValueError) as error:
            raise _store_error(self.path, error) from error

    def append_blocking(self, record: StoredRecord) -> bool:
        """Appends a record; returns False if a record of that number exists already."""
        temporary = self._log_directory / f".{secrets.token_hex(8)}"
        try:
            _write_new(temporary, canonical(record), is_synced=True)
            try:
                os.link(temporary, self._record_path(record["seq"]))
            except FileExistsError:
                return False
            finally:
                with suppress(OSError):
                    temporary.unlink()
            _sync_directory(self._log_directory)
            return True
        except OSError as error:
            raise _store_error(self.path, error) from error

    def remove_statuses_blocking(self, keys: list[str]) -> None:
        """Removes statuses; missing ones are ignored."""
        for key in keys:
            with suppress(OSError):
                (self._status_directory / _checked_key(key)).unlink()

    def changed_drain_notices_blocking(self) -> list[StoredNotice]:
        """Returns the drain notices that were written since the last call."""
        try:
            found = [
                (entry.name, entry.stat())
                for entry in os.scandir(self._notice_directory)
                if not entry.name.startswith(".")
            ]
        except FileNotFoundError:
            return []
        files = {name: (stat.st_mtime_ns, stat.st_ino) for name, stat in found}
        notices = []
        for name, identity in files.items():
            if self._notice_files.get(name) != identity:
                with suppress(FileNotFoundError):
                    data = (self._notice_directory / name).read_bytes()
                    notice = parse_entry(name, data, self.unreadable_keys)
                    notices += [notice] if notice is not None else []
        self._notice_files = files
        return notices

    def write_drain_notices_blocking(self, notices: list[StoredNotice], expired_ids: list[str]) -> None:
        """Writes drain notices and removes those of `expired_ids`."""
        try:
            self._notice_directory.mkdir(exist_ok=True)
            for notice in notices:
                _replace(self._notice_directory / _notice_file_name(notice["id"]), orjson.dumps(notice))
            for server_id in expired_ids:
                (self._notice_directory / _notice_file_name(server_id)).unlink(missing_ok=True)
        except OSError as error:
            raise _store_error(self.path, error) from error

    def _write_status_file(self, key: str, status: StoredStatus) -> None:
        # Not fsynced, because no process acts on statuses from before a power loss.
        _replace(self._status_directory / _checked_key(key), orjson.dumps(status))

    def _check_head(self, number: int, expected_digest: str) -> None:
        """Raises `VersionStoreError` unless the log contains the last record that the reader has applied."""
        head = self._read_record(number)
        if head is None or digest(head) != expected_digest:
            raise VersionStoreError(
                f"{self.path}: record {number} {'differs' if head else 'is missing'}: "
                "the store was replaced or restored from an older backup"
            )

    def _record_path(self, number: int) -> Path:
        return self._log_directory / f"{number:012d}.json"

    def _read_record(self, number: int) -> StoredRecord | None:
        try:
            record = orjson.loads(self._record_path(number).read_bytes())
        except FileNotFoundError:
            return None
        if not isinstance(record, dict):
            raise ValueError(f"record {number} is not a JSON object")
        return record


def _replace(path: Path, data: bytes) -> None:
    """Replaces a file atomically, without fsync."""
    temporary = path.with_name(f".{path.name}.{secrets.token_hex(4)}")
    _write_new(temporary, data, is_synced=False)
    os.rename(temporary, path)


def _write_new(path: Path, data: bytes, is_synced: bool) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        if is_synced:
            os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _checked_key(key: str) -> str:
    if not _KEY_PATTERN.match(key) or key.startswith("."):
        raise ValueError(f"{key!r} is not a valid key of a status")
    return key


def _notice_file_name(server_id: str) -> str:
    """Returns the file name of a server's notice: a digest of the id, which may be any text."""
    return digest(server_id)[:40] + ".json"


def _sync_directory(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _store_error(path: str, error: Exception) -> VersionStoreError:
    reason = error.strerror if isinstance(error, OSError) else str(error)
    return VersionStoreError(f"{path}: {reason}")


async def _in_thread(function: Callable[..., Any], *arguments: Any) -> Any:
    return await trio.to_thread.run_sync(partial(function, *arguments), abandon_on_cancel=True)
