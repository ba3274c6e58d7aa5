"""Versions in etcd, through the client that follows servers there.

Owns the keys: PREFIX/log/NUMBER for a record, PREFIX/nodes/NAME.START for a row, PREFIX/words/ID for a word
about a server. A record is added by a
transaction that demands that its number is free. It must never take an answer of another cluster, or of one
that has gone back, for the store's; nor say that a record was added when the answer was lost.
"""

from __future__ import annotations

import random
from typing import Any

import orjson

from wheatroute.agreement.places import MOST, PlaceError, flat, legible
from wheatroute.agreement.versions import canonical, digest
from wheatroute.etcd import messages as wire
from wheatroute.etcd.client import CALL_TIMEOUT_S, EtcdClient
from wheatroute.grpc.messages import CallError


class EtcdPlace:
    """A place under a prefix. `run` keeps the connections; asking before it runs waits for one."""

    def __init__(
        self,
        endpoints: list[tuple[str, int]],
        prefix: str,
        chance: random.Random,
        time_out: float = CALL_TIMEOUT_S,
    ) -> None:
        self._cluster, self._time_out = EtcdClient(endpoints, chance), time_out
        self._log, self._nodes = f"{prefix}/log/".encode(), f"{prefix}/nodes/".encode()
        self._about = f"{prefix}/words/".encode()
        self.words: list[dict[str, Any]] = []
        self.skipped: set[str] = set()  # keys of rows and words that could not be read
        self._heard = 0  # up to which revision words were read
        self._number = 0  # of the cluster that answered first
        self._revision = 0

    async def run(self) -> None:
        await self._cluster.run()

    async def ask(self, key: str, row: dict[str, Any] | None, after: int, mark: str) -> list[dict[str, Any]]:
        with _said():
            if row is not None:
                told = wire.PutRequest(key=self._nodes + key.encode(), value=orjson.dumps(row))
                # a row may be written twice: what counts is that it is there before the records are read
                self._heed((await self._call("Put", told, wire.PutResponse)).header)
            first, end = self._key(max(1, after)), wire.prefix_end(self._log)
            asked = [wire.RangeRequest(key=first, range_end=end, limit=MOST + 1)]
            if row is not None:
                asked.append(
                    wire.RangeRequest(
                        key=self._about,
                        range_end=wire.prefix_end(self._about),
                        min_mod_revision=self._heard + 1,
                    )
                )
            # one transaction, which nothing is written by: both as of one revision, and one question
            whole = wire.TxnRequest(success=[wire.RequestOp(request_range=one) for one in asked])
            answer = await self._call("Txn", whole, wire.TxnResponse)
            self._heed(answer.header)
            log, *words = [one.response_range.kvs for one in answer.responses]
            records = [self._read(kv) for kv in log]
            if words:
                told = [self._legible(kv) for kv in words[0]]
                self.words += [word for word in told if word is not None]
                self._heard = answer.header.revision
            if after:
                if not records or records[0].get("seq") != after or digest(records[0]) != mark:
                    raise PlaceError(f"record {after} is not in the store: an older one, or another one")
                records = records[1:]
            return records

    async def say(self, key: str, row: dict[str, Any]) -> None:
        with _said():
            told = wire.PutRequest(key=self._nodes + key.encode(), value=orjson.dumps(row))
            await self._call("Put", told, wire.PutResponse)

    async def rows(self) -> list[dict[str, Any]]:
        with _said():
            header, kvs = await self._cluster.range_all(self._nodes)
            self._heed(header)
            told = [self._legible(kv) for kv in kvs]
            return [row for one in told if one is not None for row in flat(one)]

    async def add(self, record: dict[str, Any]) -> bool:
        key = self._key(record["seq"])
        with _said():
            compare = wire.Compare(key=key, target=wire.VERSION, result=wire.EQUAL, version=0)
            put = wire.RequestOp(request_put=wire.PutRequest(key=key, value=canonical(record)))
            return bool((await self._cluster.txn([compare], [put])).succeeded)

    async def drop(self, keys: list[str]) -> None:
        with _said():
            for key in keys:
                await self._cluster.delete(self._nodes + key.encode())

    async def tell(self, words: list[dict[str, Any]], old: list[str]) -> None:
        with _said():
            for word in words:
                await self._cluster.put(self._about + word["id"].encode(), orjson.dumps(word))
            for name in old:
                await self._cluster.delete(self._about + name.encode())

    async def _call(self, name: str, message: Any, kind: Any) -> Any:
        """Guards against a silent endpoint that takes all the time there is for a question."""
        return await self._cluster.call(f"{wire.KV}{name}", message, kind, timeout_s=self._time_out)

    def _key(self, number: int) -> bytes:
        return self._log + b"%012d" % number

    def _heed(self, header: Any) -> None:
        """Guards against another cluster at the old address, and one that was put back to an older state."""
        self._number = self._number or header.cluster_id
        if header.cluster_id != self._number:
            raise PlaceError(f"cluster {header.cluster_id:x} answers in the place of {self._number:x}")
        if header.revision < self._revision:
            raise PlaceError(f"the store is at revision {header.revision}, it was at {self._revision}")
        self._revision = header.revision

    def _legible(self, kv: Any) -> dict[str, Any] | None:
        return legible(kv.key.decode(errors="replace"), kv.value, self.skipped)

    @staticmethod
    def _read(kv: Any) -> dict[str, Any]:
        told = orjson.loads(kv.value)
        if not isinstance(told, dict):
            raise PlaceError(f"{kv.key.decode(errors='replace')} is no record")
        return told


class _said:  # noqa: N801 - reads as a part of the sentence
    """Turns what the client raises into `PlaceError`."""

    def __enter__(self) -> None:
        pass

    def __exit__(self, kind: Any, trouble: BaseException | None, trace: Any) -> None:
        if isinstance(trouble, CallError | orjson.JSONDecodeError):
            raise PlaceError(str(trouble)) from trouble
