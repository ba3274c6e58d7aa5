"""Lets a worker of the processor take part in an agreement: applies versions to its dispatcher."""

from __future__ import annotations

import random
import secrets
from typing import Any

from pydantic import ValidationError

from wheatroute.agreement import joint_terms
from wheatroute.agreement.adapter import AdaptedVersion, DeriveSettings, VersionAdapter
from wheatroute.agreement.drain_notices import DrainNotices
from wheatroute.agreement.member import Member
from wheatroute.agreement.node import MAX_ENDPOINTS_PER_EXCHANGE, open_store
from wheatroute.agreement.version_follower import EXCHANGE_TIMEOUT_FRACTION, VersionFollower
from wheatroute.agreement.versions import ContentError
from wheatroute.config.processor import AgreementSettings
from wheatroute.config.settings import Settings
from wheatroute.config.settings_file import describe_error
from wheatroute.net.addresses import parse_address
from wheatroute.net.log import Logger
from wheatroute.processor.discovery import WorkerDiscovery
from wheatroute.processor.dispatcher import Dispatcher
from wheatroute.processor.worker_settings import WorkerSettings, derive_worker_settings


def derive_for_worker(settings: Settings, worker: int) -> DeriveSettings:
    """Return a function that derives what a worker acts on from a version's content and the worker's file."""

    def derive(content: dict[str, Any]) -> dict[str, Any]:
        if "file" not in content:
            return _derived(derive_worker_settings(settings, worker))
        shared_tables = content["file"]
        if not isinstance(shared_tables, dict) or set(shared_tables) != set(joint_terms.FILE_KEYS):
            keys = ", ".join(joint_terms.FILE_KEYS)
            raise ContentError(f"file: has the tables {keys}, and no others")
        try:
            whole = Settings.model_validate(_with_shared_tables(settings, shared_tables))
        except ValidationError as error:
            raise ContentError(describe_error("file", error.errors()[0])) from error
        return _derived(derive_worker_settings(whole, worker))

    return derive


def _with_shared_tables(settings: Settings, shared_tables: dict[str, Any]) -> dict[str, Any]:
    """Return the file's document with a version's tables in place of its own."""
    document = settings.model_dump(by_alias=True, exclude_none=True)
    document |= {key: shared_tables[key] for key in joint_terms.FILE_KEYS if key != "rules"}
    assert settings.processor is not None
    for pool in document["pools"]:
        if pool["name"] == settings.processor.pool:
            pool["rules"] = shared_tables["rules"]
    return document


def _derived(own: WorkerSettings) -> dict[str, Any]:
    """Return what `VersionAdapter` reads, by the keys of `derive_settings` of the platform's node."""
    return {"terms": own.decision, "request_classes": own.request_classes, "tenants": own.tenants}


def _store_settings(agreement: AgreementSettings) -> dict[str, Any]:
    """Return the store of versions as `open_store` takes it."""
    if agreement.etcd_endpoints:
        endpoints = [parse_address(endpoint) for endpoint in agreement.etcd_endpoints]
        return {"etcd": endpoints, "prefix": agreement.prefix}
    return {"relay": agreement.relay} if agreement.relay else {"directory": agreement.directory}


def follow(
    settings: Settings,
    worker: int,
    own: WorkerSettings,
    dispatcher: Dispatcher,
    discovery: WorkerDiscovery,
    log: Logger,
) -> VersionFollower:
    """Return a follower that applies versions to a worker; conservative until its first confirmation."""

    def apply(adapted: AdaptedVersion, is_binding: bool) -> None:
        dispatcher.update_settings(
            adapted.terms.with_node_count(discovery.node_counts),
            adapted.request_classes,
            adapted.tenants,
            {number: strict_variant for number, (_, strict_variant) in adapted.forms.items()},
            is_binding,
        )

    assert own.agreement is not None
    incarnation = secrets.token_hex(6)
    drain_notices = discovery.list_filter = DrainNotices(own.agreement.agreement_time_s)
    drain_notices.filter_message({"full": True, "servers": list(discovery.entries.values())})
    member = Member(own.name, incarnation, own.agreement.agreement_time_s)
    store = open_store(
        _store_settings(own.agreement),
        random.Random(incarnation),
        EXCHANGE_TIMEOUT_FRACTION * member.confirmation_ttl_s / MAX_ENDPOINTS_PER_EXCHANGE,
    )
    return VersionFollower(
        store,
        member,
        VersionAdapter(_derived(own), derive_for_worker(settings, worker)),
        apply,
        dispatcher.driver.handle_events_now,
        lambda: discovery.list_version,
        log,
        drain_notices,
        discovery.apply_reported_states,
    )
