"""The program's file: one TOML text for all fronts, checked whole before anything starts.

Owns its shape, its checks and what stands in where it is silent. It must never let a part of a file count:
whatever is wrong is told in one line each, with file, key and reason, and nothing of it is taken. What the
platform tells its node at start is `net/node_settings.py`'s, and has nothing to do with this.
"""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from wheatroute.balancing import settings
from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import DecisionSettings, TenantQuota
from wheatroute.net.addresses import parse_address
from wheatroute.wire_names import DEDUPLICATION_GROUP_NAMES, NameNumbering

Seconds = Annotated[float, Field(ge=0.0, allow_inf_nan=False)]
Some = Annotated[float, Field(gt=0.0, allow_inf_nan=False)]
Share = Annotated[float, Field(gt=0.0, le=1.0)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Name = Annotated[str, Field(min_length=1, max_length=200)]
WORDS = {
    "pure": Idempotency.IDEMPOTENT,
    "receipted": Idempotency.KEYED,
    "effectful": Idempotency.NON_IDEMPOTENT,
}
DESTINATION = "x-gateway-destination-endpoint"  # of the Gateway API's endpoint picker, with its namespace
NAMESPACE = "envoy.lb"


class ConfigError(Exception):
    """A file that is no use: `lines`, one for each thing that is wrong."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


class Table(BaseModel):
    """A table of the file: keys that it does not know are wrong."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


def _address(text: str) -> str:
    parse_address(text)
    return text


class Tls(Table):
    """Certificate and key of a listener."""

    certificate: Name
    key: Name
    client_authorities: str = ""


class Server(Table):
    """A server that the file itself lists."""

    id: Name
    address: str
    zone: str = ""
    model: str = ""
    cell: int = 0
    state: Literal["in_service", "terminating"] = "in_service"

    _checked = field_validator("address")(_address)


class RequestClass(Table):
    """What kind of requests there are, and what may be done with them."""

    name: Name
    effect: Literal["pure", "receipted", "effectful"]
    paths: list[Annotated[str, Field(pattern="^/")]] = Field(min_length=1)
    methods: list[Name] = []
    hard_stop: Some
    target_time: Some | None = None
    utility: Some = 1.0
    late_utility: Seconds = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window: Seconds = 0.0

    @model_validator(mode="after")
    def _ordered(self) -> RequestClass:
        if self.target_time is not None and self.target_time > self.hard_stop:
            raise ValueError("target_time is beyond hard_stop")
        return self


class Tenant(Table):
    """A tenant and its share, in requests a second for all nodes together; 0 for none."""

    name: Name
    rate: Seconds = 0.0


class Rules(Table):
    """What the servers of a pool bear. The names are those of the rules in `docs/design.md`."""

    cold_time: Seconds = 20.0
    cold_share: Share = 0.3
    drain_grace: Seconds = 2.0
    fall_span: Some = 1.0
    fall_multiple: Some = 3.0
    answer_slack: Seconds = 0.02


class EtcdTls(Table):
    """TLS towards etcd; without authorities those of the system count."""

    authorities: str = ""
    certificate: str = ""
    key: str = ""


class Etcd(Table):
    """Where the keys of a pool's servers are."""

    endpoints: list[str] = Field(min_length=1)
    prefix: Name
    nodes_prefix: str = ""
    user: str = ""
    password_file: str = ""
    tls: EtcdTls | None = None

    @field_validator("endpoints")
    @classmethod
    def _places(cls, told: list[str]) -> list[str]:
        return [_address(one) for one in told]

    @model_validator(mode="after")
    def _whole(self) -> Etcd:
        if bool(self.user) != bool(self.password_file):
            raise ValueError("user and password_file belong together")
        return self


class Pool(Table):
    """Servers that stand in for one another."""

    name: Name
    list_service: str | None = None
    etcd: Etcd | None = None
    zones: list[Name] = []
    zone: str = ""
    crossing_price: Seconds = 0.0
    connection_price: Seconds = 0.0
    connect_within: Some = 0.25
    rules: Rules = Rules()
    servers: list[Server] = []

    @field_validator("list_service")
    @classmethod
    def _place(cls, text: str | None) -> str | None:
        return text if text is None else _address(text)

    @model_validator(mode="after")
    def _whole(self) -> Pool:
        if sum(map(bool, (self.servers, self.list_service, self.etcd))) != 1:
            raise ValueError("servers of its own, a list_service or etcd: one of the three")
        _unlike("servers", [one.id for one in self.servers])
        if self.zone and self.zone not in self.zones:
            raise ValueError(f"zone {self.zone!r} is not among its zones")
        return self


class Headers(Table):
    """Which header of the proxy means what; an empty name turns one off."""

    request_id: Name = "x-request-id"
    time_out: str = "request-timeout"
    customer: str = "tenant"
    receipt: str = "idempotency-key"
    attempt: str = "x-envoy-attempt-count"
    repeated: str = "client-retry"
    work: str = ""


class Snapshot(Table):
    """Where a worker keeps what it knows; off without it."""

    path: Name
    every: Some = 5.0
    oldest: Some = 3600.0


class Processor(Table):
    """The external processor."""

    listen: str
    pool: Name
    workers: Annotated[int, Field(ge=1, le=64)] = 1
    destination_header: str = DESTINATION
    metadata_namespace: str = NAMESPACE
    time_header: str = ""
    tries: Annotated[int, Field(ge=1, le=20)] = 3
    most_connections: Count = 512
    most_streams: Count = 1000
    most_ids: Count = 200_000
    longest_advice: Seconds = 2.0
    headers: Headers = Headers()
    tls: Tls | None = None

    _checked = field_validator("listen")(_address)


class Agreement(Table):
    """Where versions of the settings live, and within which time all processes agree; off without it."""

    directory: str = ""
    relay: str = ""
    etcd: list[str] = []
    prefix: str = ""
    within: Some = 10.0

    @field_validator("etcd")
    @classmethod
    def _places(cls, told: list[str]) -> list[str]:
        return [_address(one) for one in told]

    @model_validator(mode="after")
    def _whole(self) -> Agreement:
        places = sum(map(bool, (self.directory, self.relay, self.etcd)))
        if places != 1 or bool(self.etcd) != bool(self.prefix):
            raise ValueError("a directory, a relay's directory, or etcd endpoints and a prefix")
        return self


class File(Table):
    """All of it."""

    name: Name = "wheatroute"
    seed: str = ""
    nodes: Count = 1
    node: Annotated[int, Field(ge=0)] = 0
    pools: list[Pool] = Field(min_length=1)
    traffic_types: list[RequestClass] = Field(min_length=1)
    customers: list[Tenant] = []
    processor: Processor | None = None
    snapshot: Snapshot | None = None
    agreement: Agreement | None = None

    @model_validator(mode="after")
    def _whole(self) -> File:
        for key, names in (
            ("pools", [one.name for one in self.pools]),
            ("traffic_types", [one.name for one in self.traffic_types]),
            ("customers", [one.name for one in self.customers]),
        ):
            _unlike(key, names)
        if self.node >= self.nodes:
            raise ValueError(f"node {self.node} of {self.nodes}: nodes are numbered from 0")
        if self.processor is not None and self.processor.pool not in [one.name for one in self.pools]:
            raise ValueError(f"processor.pool: no pool of the name {self.processor.pool!r}")
        return self


def _unlike(key: str, names: list[str]) -> None:
    twice = sorted({name for name in names if names.count(name) > 1}) if len(set(names)) < len(names) else []
    if twice:
        raise ValueError(f"{key}: two of the name {twice[0]!r}")


def read(path: str) -> File:
    """The file, whole and checked; raises `ConfigError`."""
    try:
        text = Path(path).read_bytes().decode()
        told = tomllib.loads(text)
    except OSError as trouble:
        raise ConfigError([f"{path}: cannot be read: {os.strerror(trouble.errno or 0)}"]) from trouble
    except UnicodeDecodeError as trouble:
        raise ConfigError([f"{path}: is not UTF-8 at byte {trouble.start}"]) from trouble
    except tomllib.TOMLDecodeError as trouble:
        raise ConfigError([f"{path}: is not TOML: {trouble}"]) from trouble
    try:
        return File.model_validate(told)
    except ValidationError as trouble:
        raise ConfigError([_line(path, one) for one in trouble.errors()]) from trouble


def _line(path: str, error: Any) -> str:
    key = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in error["loc"]).lstrip(".")
    reason = {"extra_forbidden": "is no key of this table", "missing": "is missing"}.get(
        error["type"], error["msg"].removeprefix("Value error, ")
    )
    return f"{path}: {key or 'the whole'}: {reason}" if error["loc"] else f"{path}: {reason}"


def told_to_processor(file: File, worker: int = 0) -> dict[str, Any]:
    """What one worker of the processor is told, in the words of the rest of the program.

    A worker is one more node: it shares nothing with the others and has a place of its own in the split.
    """
    front = file.processor
    if front is None:
        raise ConfigError(["no [processor] in the file"])
    pool = next(one for one in file.pools if one.name == front.pool)
    zones, models = NameNumbering({zone: i for i, zone in enumerate(pool.zones)}), NameNumbering()
    request_classes = [_request_class(one) for one in file.traffic_types]
    longest = max(one.deadline for one in request_classes)
    return {
        "name": f"{file.name}-{worker}" if front.workers > 1 else file.name,
        "seed": f"{file.seed}/{file.node}/{worker}",
        "terms": _decision_settings(file, pool, front, request_classes, worker, zones),
        "zones": zones,
        "models": models,
        "tenants": {one.name: i for i, one in enumerate(file.customers)},
        "discovery": parse_address(pool.list_service) if pool.list_service else None,
        "etcd": pool.etcd,
        "snapshot": _snapshot(file, front, worker),
        "agreement": _agreement(file.agreement) if file.agreement else None,
        "request_classes": {one.name: i for i, one in enumerate(file.traffic_types)},
        "source": {
            "pool": pool.name,
            "list_service": pool.list_service or "",
            "etcd": [pool.etcd.prefix, *pool.etcd.endpoints] if pool.etcd else [],
        },
        "known": {
            "version": 0,
            "full": True,
            "servers": [
                {
                    "id": one.id,
                    "addr": one.address,
                    "zone": one.zone,
                    "kind": one.model,
                    "cell": one.cell,
                    "state": one.state,
                }
                for one in pool.servers
            ],
        }
        if pool.servers
        else {},
        "headers": front.headers.model_dump(),
        "destination_header": front.destination_header,
        "metadata_namespace": front.metadata_namespace,
        "time_header": front.time_header,
        "most_ids": front.most_ids,
        # an id may come again for as long as its request or the window of its key lasts
        "remembered": 2.0 * longest + max(one.retry_window for one in request_classes),
    }


def _snapshot(file: File, front: Processor, worker: int) -> dict[str, Any] | None:
    if file.snapshot is None:
        return None
    told = file.snapshot.model_dump()
    return told | {"path": f"{told['path']}.{worker}"} if front.workers > 1 else told


def _agreement(told: Agreement) -> dict[str, Any]:
    if told.etcd:
        return {
            "etcd": [parse_address(one) for one in told.etcd],
            "prefix": told.prefix,
            "within": told.within,
        }
    place = {"relay": told.relay} if told.relay else {"directory": told.directory}
    return place | {"within": told.within}


def _request_class(one: RequestClass) -> settings.RequestClass:
    return settings.RequestClass(
        target_latency=one.target_time or one.hard_stop,
        stretch=0.0,
        deadline=one.hard_stop,
        value=one.utility,
        late_value=one.late_utility,
        idempotency=WORDS[one.effect],
        deduplication_group=DEDUPLICATION_GROUP_NAMES[one.group],
        retry_window=one.repeat_window,
        is_streamed=False,
        paths=one.paths,
        methods=one.methods,
    )


def _decision_settings(
    file: File,
    pool: Pool,
    front: Processor,
    request_classes: list[settings.RequestClass],
    worker: int,
    zones: NameNumbering,
) -> DecisionSettings:
    """Those of one worker: the proxy carries attempts out, so it can't hedge, cancel or probe."""
    rules = pool.rules
    return DecisionSettings(
        nodes=file.nodes * front.workers,
        node=file.node * front.workers + worker,
        tick=0.001,
        tier=0,
        tiers=1,
        zones=max(1, len(pool.zones)),
        zone=zones[pool.zone],
        can_hedge=False,
        can_cancel=False,
        can_probe=False,
        has_peers=False,
        can_advise_retry=True,
        max_retry_after_s=front.longest_advice,
        max_attempts=front.tries,
        connect_timeout_s=pool.connect_within,
        idle_timeout_s=float("inf"),
        calls_per_connection=1,
        max_open_connections=0,
        excess_value_factor=0.05,
        time_left_passed_on=True,
        connection_price=pool.connection_price,
        crossing_price=pool.crossing_price,
        waste_price=0.0,
        late_price=0.0,
        report_how="answers",
        reported=[],
        work_counts=False,
        list_max_age_s=10.0,
        list_on_request=False,
        answer_slack_s=rules.answer_slack,
        warmup_s=rules.cold_time,
        warmup_initial_share=rules.cold_share,
        drain_grace_s=rules.drain_grace,
        overload_window_s=rules.fall_span,
        overload_multiple=rules.fall_multiple,
        request_classes=request_classes,
        max_servers_per_tick=0,  # a proxy waits for every round: beats are always played in parts
        tenants=[TenantQuota(quota=one.rate) for one in file.customers],
    )
