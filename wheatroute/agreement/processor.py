"""Lets a worker of the processor take part in an agreement: applies versions to its dispatcher."""

from __future__ import annotations

import random
import secrets
from typing import Any

from pydantic import ValidationError

from wheatroute.agreement.adapter import (
    AdaptedVersion,
    DerivedSettings,
    DeriveSettings,
    VersionAdapter,
)
from wheatroute.agreement.drain_notices import DrainNotices
from wheatroute.agreement.errors import ContentError
from wheatroute.agreement.join_rules import FILE_KEYS, FILE_PART
from wheatroute.agreement.member import Member
from wheatroute.agreement.node import MAX_ENDPOINTS_PER_EXCHANGE
from wheatroute.agreement.store_address import StoreAddress, open_store
from wheatroute.agreement.version_follower import EXCHANGE_TIMEOUT_FRACTION, VersionFollower
from wheatroute.config.processor import AgreementSettings
from wheatroute.config.settings import Settings
from wheatroute.config.settings_file import describe_error
from wheatroute.net.addresses import parse_address
from wheatroute.net.log import Logger
from wheatroute.processor.discovery import WorkerDiscovery
from wheatroute.processor.dispatcher import Dispatcher
from wheatroute.processor.worker_settings import WorkerSettings, derive_worker_settings


def processor_deriver(settings: Settings, worker: int) -> DeriveSettings:
    """Returns a function that derives a worker's settings from a version's content.

    `settings` are those in the processor's own file.
    """

    def derive(content: dict[str, Any]) -> DerivedSettings:
        if FILE_PART not in content:
            return _derived(derive_worker_settings(settings, worker))
        document = _with_shared(settings, content[FILE_PART])
        try:
            joined = Settings.model_validate(document)
        except ValidationError as error:
            raise ContentError(describe_error("file", error.errors()[0])) from error
        return _derived(derive_worker_settings(joined, worker))

    return derive


def _with_shared(settings: Settings, shared: Any) -> dict[str, Any]:
    """Returns a processor's file as a document, with the shared keys replaced by those of a version.

    `shared` is the part `FILE_PART` of the version's content.
    """
    if not isinstance(shared, dict) or set(shared) != set(FILE_KEYS):
        raise ContentError("file: must have the keys " + ", ".join(FILE_KEYS) + ", and no others")
    document = settings.model_dump(by_alias=True, exclude_none=True)
    document |= {key: shared[key] for key in FILE_KEYS if key != "rules"}
    assert settings.processor is not None
    for pool in document["pools"]:
        if pool["name"] == settings.processor.pool:
            pool["rules"] = shared["rules"]
    return document


def _derived(own: WorkerSettings) -> DerivedSettings:
    return DerivedSettings(dict(own.request_classes), dict(own.tenants), own.decision)


def _store_address(agreement: AgreementSettings) -> StoreAddress:
    return StoreAddress(
        directory=agreement.directory,
        relay=agreement.relay,
        etcd_endpoints=tuple(parse_address(endpoint) for endpoint in agreement.etcd_endpoints),
        prefix=agreement.prefix,
    )


def follow(
    settings: Settings,
    worker: int,
    own: WorkerSettings,
    dispatcher: Dispatcher,
    discovery: WorkerDiscovery,
    log: Logger,
) -> VersionFollower:
    """Returns a follower that applies versions to a worker.

    The worker is conservative until the first confirmation. `own` are the settings in its own file.
    """

    def apply(adapted: AdaptedVersion, applies_to_pending: bool) -> None:
        dispatcher.update_settings(
            adapted.settings.with_node_count(discovery.node_counts),
            adapted.request_classes,
            adapted.tenants,
            {number: strict_variant for number, (_, strict_variant) in adapted.forms.items()},
            applies_to_pending,
        )

    assert own.agreement is not None
    incarnation = secrets.token_hex(6)
    drain_notices = discovery.list_filter = DrainNotices(own.agreement.agreement_time_s)
    drain_notices.filter_message({"full": True, "servers": list(discovery.entries.values())})
    member = Member(own.name, incarnation, own.agreement.agreement_time_s)
    store = open_store(
        _store_address(own.agreement),
        random.Random(incarnation),
        EXCHANGE_TIMEOUT_FRACTION * member.confirmation_ttl_s / MAX_ENDPOINTS_PER_EXCHANGE,
    )
    adapter = VersionAdapter(_derived(own), processor_deriver(settings, worker))
    return VersionFollower(
        store,
        member,
        adapter,
        apply,
        dispatcher.driver.handle_events_now,
        lambda: discovery.list_version,
        log,
        drain_notices,
        discovery.apply_reported_states,
    )
