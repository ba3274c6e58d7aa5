"""A version store in etcd, using the client of the `etcd` package.

Keys: PREFIX/log/NUMBER holds a record, PREFIX/nodes/NAME.START a process status, PREFIX/words/ID a drain
notice. A record is appended by a transaction that requires its key to be absent. `exchange` and `statuses`
raise an error if the response is from another cluster, or from a cluster that has gone back to an older
revision. `append` raises an error if its response is lost, as the record may or may not have been appended.
Does network I/O.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import orjson

from wheatroute.agreement.errors import VersionStoreError
from wheatroute.agreement.member_status import StoredStatus
from wheatroute.agreement.notice import StoredNotice
from wheatroute.agreement.records import StoredRecord
from wheatroute.agreement.version_store import MAX_RECORDS_PER_READ, parse_entry, unpack_statuses
from wheatroute.agreement.versions import canonical, digest
from wheatroute.etcd import messages as wire
from wheatroute.etcd.client import CALL_TIMEOUT_S, EtcdClient
from wheatroute.grpc.messages import CallError


class EtcdStore:
    """Implements `VersionStore` under a key prefix.

    `run` keeps the connections to the cluster; a request made before `run` is called waits for a connection.
    `timeout_s` applies to one call to one endpoint.
    """

    def __init__(
        self,
        endpoints: list[tuple[str, int]],
        prefix: str,
        rng: random.Random,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._client, self._timeout_s = EtcdClient(endpoints, rng), timeout_s
        self._log_prefix = f"{prefix}/log/".encode()
        self._status_prefix = f"{prefix}/nodes/".encode()
        self._notice_prefix = f"{prefix}/words/".encode()
        self.received_notices: list[StoredNotice] = []
        self.unreadable_keys: set[str] = set()  # keys of malformed statuses and drain notices
        self._notices_revision = 0  # drain notices were read up to this revision
        self._cluster_id = 0  # ID of the cluster that sent the first response
        self._revision = 0  # revision of the cluster in the last checked response

    async def run(self) -> None:
        """Keeps the connections to the cluster until cancelled."""
        await self._client.run()

    async def exchange(
        self, key: str, status: StoredStatus | None, after: int, expected_digest: str
    ) -> list[StoredRecord]:
        """Implements `VersionStore.exchange`."""
        with _store_errors():
            if status is not None:
                # The client may send the write again to another endpoint. Writing the status twice is
                # harmless, as long as it is written before the records are read.
                self._check_header((await self._put_status(key, status)).header)
            records = await self._read(max(1, after), reads_notices=status is not None)
            if after:
                if not records or records[0].get("seq") != after or digest(records[0]) != expected_digest:
                    raise VersionStoreError(
                        f"record {after} is missing or differs: "
                        "the store was replaced or restored from an older backup"
                    )
                records = records[1:]
            return records

    async def write_status(self, key: str, status: StoredStatus) -> None:
        """Implements `VersionStore.write_status`."""
        with _store_errors():
            await self._put_status(key, status)

    async def statuses(self) -> list[StoredStatus]:
        """Implements `VersionStore.statuses`."""
        with _store_errors():
            header, pairs = await self._client.range_all(self._status_prefix)
            self._check_header(header)
            entries = [self._parse_entry(pair) for pair in pairs]
            return [status for entry in entries if entry is not None for status in unpack_statuses(entry)]

    async def append(self, record: StoredRecord) -> bool:
        """Implements `VersionStore.append`."""
        key = self._record_key(record["seq"])
        with _store_errors():
            compare = wire.Compare(key=key, target=wire.VERSION, result=wire.EQUAL, version=0)
            put = wire.RequestOp(request_put=wire.PutRequest(key=key, value=canonical(record)))
            return bool((await self._client.txn([compare], [put])).succeeded)

    async def remove_statuses(self, keys: list[str]) -> None:
        """Implements `VersionStore.remove_statuses`."""
        with _store_errors():
            for key in keys:
                await self._client.delete(self._status_prefix + key.encode())

    async def write_drain_notices(self, notices: list[StoredNotice], expired_ids: list[str]) -> None:
        """Implements `VersionStore.write_drain_notices`."""
        with _store_errors():
            for notice in notices:
                await self._client.put(self._notice_prefix + notice["id"].encode(), orjson.dumps(notice))
            for server_id in expired_ids:
                await self._client.delete(self._notice_prefix + server_id.encode())

    async def _put_status(self, key: str, status: StoredStatus) -> Any:
        request = wire.PutRequest(key=self._status_prefix + key.encode(), value=orjson.dumps(status))
        return await self._call("Put", request, wire.PutResponse)

    async def _read(self, first: int, reads_notices: bool) -> list[StoredRecord]:
        """Reads the records from number `first` on and, with `reads_notices`, collects new drain notices.

        Uses one read-only transaction, so that records and notices are from the same revision.
        """
        log_end = wire.prefix_end(self._log_prefix)
        ranges = [
            wire.RangeRequest(key=self._record_key(first), range_end=log_end, limit=MAX_RECORDS_PER_READ + 1)
        ]
        if reads_notices:
            ranges.append(
                wire.RangeRequest(
                    key=self._notice_prefix,
                    range_end=wire.prefix_end(self._notice_prefix),
                    min_mod_revision=self._notices_revision + 1,
                )
            )
        request = wire.TxnRequest(success=[wire.RequestOp(request_range=read_range) for read_range in ranges])
        response = await self._call("Txn", request, wire.TxnResponse)
        self._check_header(response.header)
        log, *notices = [part.response_range.kvs for part in response.responses]
        records = [self._parse_record(pair) for pair in log]
        if notices:
            entries = [self._parse_entry(pair) for pair in notices[0]]
            self.received_notices += [entry for entry in entries if entry is not None]
            self._notices_revision = response.header.revision
        return records

    async def _call(self, method: str, message: Any, response_type: Any) -> Any:
        """Makes one call; the timeout leaves time for another endpoint if this one does not respond."""
        path = f"{wire.KV}{method}"
        return await self._client.call(path, message, response_type, timeout_s=self._timeout_s)

    def _record_key(self, number: int) -> bytes:
        return self._log_prefix + b"%012d" % number

    def _check_header(self, header: Any) -> None:
        """Raises `VersionStoreError` if a response is from another cluster, or has an older revision."""
        self._cluster_id = self._cluster_id or header.cluster_id
        if header.cluster_id != self._cluster_id:
            raise VersionStoreError(
                f"response from etcd cluster {header.cluster_id:x}, expected cluster {self._cluster_id:x}"
            )
        if header.revision < self._revision:
            raise VersionStoreError(
                f"the store has gone back to revision {header.revision} from revision {self._revision}"
            )
        self._revision = header.revision

    def _parse_entry(self, pair: Any) -> dict[str, Any] | None:
        return parse_entry(pair.key.decode(errors="replace"), pair.value, self.unreadable_keys)

    @staticmethod
    def _parse_record(pair: Any) -> StoredRecord:
        record = orjson.loads(pair.value)
        if not isinstance(record, dict):
            raise VersionStoreError(f"{pair.key.decode(errors='replace')} does not hold a JSON object")
        return record


@contextmanager
def _store_errors() -> Iterator[None]:
    """Turns errors of the client into `VersionStoreError`."""
    try:
        yield
    except (CallError, orjson.JSONDecodeError) as error:
        raise VersionStoreError(str(error)) from error
