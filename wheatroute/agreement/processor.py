"""Lets a worker of the processor take part in an agreement: applies versions to its dispatcher."""

from __future__ import annotations

import random
import secrets
from typing import Any

from pydantic import ValidationError

from wheatroute import config
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
from wheatroute.agreement.node import MAX_ENDPOINTS_PER_EXCHANGE, open_store
from wheatroute.agreement.version_follower import EXCHANGE_TIMEOUT_FRACTION, VersionFollower
from wheatroute.processor.dispatcher import Dispatcher, Listed


def processor_deriver(file: config.File, worker: int) -> DeriveSettings:
    """Return a function that derives what a worker acts on from a version's content.

    `file` is the processor's own file.
    """

    def derive(content: dict[str, Any]) -> DerivedSettings:
        document = _with_shared(file, content[FILE_PART]) if FILE_PART in content else None
        try:
            whole = config.File.model_validate(document) if document is not None else file
            return DerivedSettings.from_dict(config.told_to_processor(whole, worker))
        except ValidationError as error:
            raise ContentError(config._line("file", error.errors()[0])) from error

    return derive


def _with_shared(file: config.File, shared: Any) -> dict[str, Any]:
    """Return the document of a processor's file with a version's part in place of its own."""
    if not isinstance(shared, dict) or set(shared) != set(FILE_KEYS):
        raise ContentError("file: has the tables " + ", ".join(FILE_KEYS) + ", and no others")
    document = file.model_dump(exclude_none=True)
    document |= {key: shared[key] for key in FILE_KEYS if key != "rules"}
    assert file.processor is not None
    for pool in document["pools"]:
        if pool["name"] == file.processor.pool:
            pool["rules"] = shared["rules"]
    return document


def follow(
    file: config.File, worker: int, own: dict[str, Any], dispatcher: Dispatcher, discovery: Listed, log: Any
) -> VersionFollower:
    """Return a follower that applies versions to a worker; conservative until its first confirmation.

    `own` is what the worker acts on by its own file.
    """

    def apply(adapted: AdaptedVersion, is_binding: bool) -> None:
        strict_classes = {number: entered for number, (_, entered) in adapted.forms.items()}
        decision_settings = adapted.settings.with_node_count(discovery.node_counts)
        dispatcher.agree(
            adapted.request_classes, adapted.tenants, decision_settings, strict_classes, is_binding
        )

    agreement, incarnation = own["agreement"], secrets.token_hex(6)
    drain_notices = discovery.list_filter = DrainNotices(agreement["within"])
    drain_notices.filter_message({"full": True, "servers": list(discovery.entries.values())})
    member = Member(own["name"], incarnation, agreement["within"])
    store = open_store(
        agreement,
        random.Random(incarnation),
        EXCHANGE_TIMEOUT_FRACTION * member.confirmation_ttl_s / MAX_ENDPOINTS_PER_EXCHANGE,
    )
    adapter = VersionAdapter(DerivedSettings.from_dict(own), processor_deriver(file, worker))
    return VersionFollower(
        store,
        member,
        adapter,
        apply,
        dispatcher.rounds.handle_events_now,
        lambda: discovery.list_version,
        log,
        drain_notices,
        discovery.apply_reported_states,
    )
