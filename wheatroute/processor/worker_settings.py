"""Derives the settings of one worker of the processor from the settings file. No I/O.

Each worker counts as a separate node: it shares no state with other workers and has its own node number.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from typing import Any

from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import DecisionSettings, RequestClass, TenantQuota
from wheatroute.config.pools import EtcdSettings, PoolSettings, ServerSettings
from wheatroute.config.processor import (
    AgreementSettings,
    HeaderNames,
    ProcessorSettings,
    SnapshotSettings,
)
from wheatroute.config.request_classes import RequestClassSettings
from wheatroute.config.settings import Settings
from wheatroute.config.settings_file import ConfigError
from wheatroute.net.addresses import NO_ADDRESS, parse_address
from wheatroute.net.node_settings import DiscoverySettings
from wheatroute.wire_names import DEDUPLICATION_GROUP_NAMES, NameNumbering

IDEMPOTENCY_NAMES = {
    "pure": Idempotency.IDEMPOTENT,
    "receipted": Idempotency.KEYED,
    "effectful": Idempotency.NON_IDEMPOTENT,
}


@dataclass(frozen=True, slots=True)
class SnapshotSource:
    """The source of the servers in a snapshot.

    It is stored in the snapshot, and a snapshot with a different source is not used.
    """

    pool: str
    # Empty if there is no list service.
    list_service: str
    # The key prefix of the servers in etcd, followed by etcd's endpoints; empty if they are not listed there.
    etcd: list[str]


@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """The settings of one worker, with mappings from names to the numbers that the balancer uses."""

    name: str
    seed: str
    decision: DecisionSettings
    request_classes: Mapping[str, int]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    models: Mapping[str, int]
    list_service: tuple[str, int] | None
    etcd: EtcdSettings | None
    # The file's list of servers in the format of the list service; empty if the file has none.
    initial_list: dict[str, Any]
    snapshot: SnapshotSettings | None
    snapshot_source: SnapshotSource
    agreement: AgreementSettings | None
    processor: ProcessorSettings

    @property
    def headers(self) -> HeaderNames:
        """The names of the request headers, by their meaning."""
        return self.processor.headers

    @property
    def discovery(self) -> DiscoverySettings:
        """The settings of the list service's client."""
        return DiscoverySettings(
            self.list_service or NO_ADDRESS,
            self.zones,
            self.models,
            self.decision.list_on_request,
            self.initial_list,
        )


def derive_worker_settings(settings: Settings, worker: int = 0) -> WorkerSettings:
    """Returns the settings of one worker; workers are numbered from 0.

    Raises `ConfigError` if the file has no [processor] section.
    """
    processor = settings.processor
    if processor is None:
        raise ConfigError(["section [processor] is missing"])
    pool = next(pool for pool in settings.pools if pool.name == processor.pool)
    zones = NameNumbering({zone: number for number, zone in enumerate(pool.zones)})
    return WorkerSettings(
        name=f"{settings.name}-{worker}" if processor.workers > 1 else settings.name,
        seed=f"{settings.seed}/{settings.node}/{worker}",
        decision=_decision_settings(settings, pool, processor, worker, zones),
        request_classes=_numbers([request_class.name for request_class in settings.request_classes]),
        tenants=_numbers([tenant.name for tenant in settings.tenants]),
        zones=zones,
        models=NameNumbering(),
        list_service=parse_address(pool.list_service) if pool.list_service else None,
        etcd=pool.etcd,
        initial_list=_initial_list(pool.servers),
        snapshot=_snapshot_settings(settings.snapshot, processor, worker),
        snapshot_source=_snapshot_source(pool),
        agreement=settings.agreement,
        processor=processor,
    )


def _numbers(names: list[str]) -> dict[str, int]:
    return {name: number for number, name in enumerate(names)}


def _initial_list(servers: list[ServerSettings]) -> dict[str, Any]:
    if not servers:
        return {}
    entries = [
        {
            "id": server.id,
            "addr": server.address,
            "zone": server.zone,
            "kind": server.model,
            "cell": server.cell,
            "state": server.state,
        }
        for server in servers
    ]
    return {"version": 0, "full": True, "servers": entries}


def _snapshot_source(pool: PoolSettings) -> SnapshotSource:
    etcd = [pool.etcd.prefix, *pool.etcd.endpoints] if pool.etcd else []
    return SnapshotSource(pool.name, pool.list_service or "", etcd)


def _snapshot_settings(
    snapshot: SnapshotSettings | None, processor: ProcessorSettings, worker: int
) -> SnapshotSettings | None:
    """Returns the snapshot settings of one worker; if there are several workers, each has its own path."""
    if snapshot is None or processor.workers == 1:
        return snapshot
    return snapshot.model_copy(update={"path": f"{snapshot.path}.{worker}"})


def _request_class(settings: RequestClassSettings) -> RequestClass:
    return RequestClass(
        target_latency=settings.target_latency_s or settings.deadline_s,
        stretch=0.0,
        deadline=settings.deadline_s,
        value=settings.value,
        late_value=settings.late_value,
        idempotency=IDEMPOTENCY_NAMES[settings.idempotency],
        deduplication_group=DEDUPLICATION_GROUP_NAMES[settings.deduplication_group],
        retry_window=settings.retry_window_s,
        is_streamed=False,
        paths=settings.paths,
        methods=settings.methods,
    )


def _decision_settings(
    settings: Settings,
    pool: PoolSettings,
    processor: ProcessorSettings,
    worker: int,
    zones: NameNumbering,
) -> DecisionSettings:
    """Returns the settings of the decision module.

    Hedging, cancelling and probing are turned off, because the proxy sends the attempts.
    """
    rules = pool.rules
    return DecisionSettings(
        nodes=settings.nodes * processor.workers,
        node=settings.node * processor.workers + worker,
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
        max_retry_after_s=processor.max_retry_after_s,
        max_attempts=processor.max_attempts,
        connect_timeout_s=pool.connect_timeout_s,
        idle_timeout_s=inf,
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
        answer_slack_s=rules.answer_slack_s,
        warmup_s=rules.warmup_s,
        warmup_initial_share=rules.warmup_initial_share,
        drain_grace_s=rules.drain_grace_s,
        overload_window_s=rules.overload_window_s,
        overload_multiple=rules.overload_multiple,
        request_classes=[_request_class(request_class) for request_class in settings.request_classes],
        # With 0, the work of a tick is always spread over several batches. This keeps each batch short, which
        # matters because proxies wait while a batch is handled.
        max_servers_per_tick=0,
        tenants=[TenantQuota(quota=tenant.rate) for tenant in settings.tenants],
    )
