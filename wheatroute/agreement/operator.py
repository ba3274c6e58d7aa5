"""The operator's actions on versions: put one, wait for its outcome, read the history and the statuses.

Implements `wheatroute settings`. A put never replaces a version that the operator has not seen. If it is
unknown whether a put took effect, the operator is told so. Does I/O through a version store.
"""

from __future__ import annotations

import getpass
import random
import secrets
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

import trio

from wheatroute.agreement.agreement_status import AgreementStatus, process_states
from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.errors import (
    ConflictError,
    HistoryError,
    InvalidInputError,
    StoreUnavailableError,
    VersionStoreError,
    first_error,
)
from wheatroute.agreement.member_status import parse_status
from wheatroute.agreement.records import StoredRecord
from wheatroute.agreement.store_address import StoreAddress, open_store
from wheatroute.agreement.version_store import VersionStore, running_store
from wheatroute.agreement.versions import History, Version

Result = TypeVar("Result")
STORE_TIMEOUT_S = 5.0  # timeout for reading all records, and for each append
POLL_INTERVAL_S = 0.05
# An append is repeated if the store does not confirm it, or if another record was appended first.
MAX_APPEND_ATTEMPTS = 5


def store_from_url(url: str, timeout_s: float = 1.0) -> VersionStore:
    """Returns the store at `/a/directory`, or at `etcd://10.0.0.1:2379,10.0.0.2:2379/the/prefix`.

    `timeout_s` applies to one call to one endpoint. Raises `InvalidInputError`.
    """
    try:
        address = StoreAddress.from_url(url)
    except ValueError as error:
        raise InvalidInputError(f"{url}: {error}") from error
    return open_store(address, random.Random(), timeout_s)


def run_with_store(url: str, action: Callable[[VersionStore], Awaitable[Result]]) -> Result:
    """Runs an action with the store at `url`; raises `OperatorError`."""
    store = store_from_url(url)

    async def main() -> Result:
        async with running_store(store):
            return await action(store)

    try:
        return trio.run(main)
    except BaseExceptionGroup as group:
        raise _as_operator_error(first_error(group)) from group
    except (VersionStoreError, HistoryError, trio.TooSlowError) as error:
        raise _as_operator_error(error) from error


def _as_operator_error(error: BaseException) -> BaseException:
    if isinstance(error, VersionStoreError | HistoryError | trio.TooSlowError):
        return StoreUnavailableError(str(error) or "no response from the store in time")
    return error


class RecordChain(Protocol):
    """The state after a chain of records: a `History` or the progress of rollouts."""

    head: int
    head_digest: str

    def apply(self, document: StoredRecord) -> object:
        """Applies the next record; raises `HistoryError`."""


async def read_records(store: VersionStore, chain: RecordChain) -> None:
    """Reads all records of a store that follow those of `chain`, and applies them to it.

    Raises `VersionStoreError`, `HistoryError` or `trio.TooSlowError`.
    """
    with trio.fail_after(STORE_TIMEOUT_S):
        while documents := await store.exchange("", None, chain.head, chain.head_digest):
            for document in documents:
                chain.apply(document)


async def read_history(store: VersionStore) -> History:
    """Reads the history from the store; it is empty if the store has no records."""
    history = History()
    await read_records(store, history)
    return history


async def put_version(store: VersionStore, content: dict[str, Any], reason: str, over: int = 0) -> Version:
    """Puts a version; top-level keys that `content` does not have keep their values in the active version.

    `over` is the number of a pending version that may be replaced. Raises `OperatorError`.
    """
    if isinstance(store, DirectoryStore):
        store.create()
    put_id, author = secrets.token_hex(8), getpass.getuser()
    failure = ""
    for _ in range(MAX_APPEND_ATTEMPTS):
        try:
            history = await read_history(store)
        except VersionStoreError as error:
            failure = failure or str(error)
            await trio.sleep(POLL_INTERVAL_S)
            continue
        own = [version for version in history.versions.values() if version.put_id == put_id]
        if own:
            return own[0]
        full_content = _full_content(history, content, over)
        record = history.put_record(full_content, put_id, author, time.time(), reason)
        try:
            with trio.fail_after(STORE_TIMEOUT_S):
                await store.append(record)  # the next read shows whether it was appended
        except (VersionStoreError, trio.TooSlowError) as error:
            failure = str(error) or "no response from the store in time"
    failure = failure or "each time another record was appended first"
    raise StoreUnavailableError(
        f"unknown whether the version was put ({failure}): check `wheatroute settings log`"
    )


def _full_content(history: History, content: dict[str, Any], over: int) -> dict[str, Any]:
    """Returns the active version's content with the top-level keys of `content` replaced.

    Raises `ConflictError` if it must not be put: another version is pending, or the content is unchanged.
    """
    if history.pending not in (0, over):
        other = history.versions[history.pending]
        raise ConflictError(
            f"version {other.number} by {other.author} is still under way ({other.reason}): wait for "
            f"its outcome, or replace it with --over {other.number}"
        )
    active = history.versions.get(history.active)
    full_content = (active.content if active is not None else {}) | content
    if active is not None and not history.pending and active.content == full_content:
        raise ConflictError(f"version {active.number} is in force and has the same content")
    return full_content


async def wait_for_outcome(store: VersionStore, number: int, timeout_s: float) -> Version:
    """Waits until a version is active, replaced or withdrawn, or until the timeout; returns the version."""
    with trio.move_on_after(timeout_s):
        while True:
            version = (await read_history(store)).versions[number]
            if version.outcomes:
                return version
            await trio.sleep(POLL_INTERVAL_S)
    return (await read_history(store)).versions[number]


async def agreement_status(store: VersionStore) -> AgreementStatus:
    """Reads the active and the pending version, and the state of each process."""
    history = await read_history(store)
    statuses, unix_time = [parse_status(document) for document in await store.statuses()], time.time()
    return AgreementStatus(
        active=history.active,
        pending=history.pending,
        record=history.head,
        processes=process_states(statuses, unix_time),
    )
