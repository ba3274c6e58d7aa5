"""Lets a worker of the processor take part in an agreement: applies versions to its dispatcher."""

from __future__ import annotations

import random
import secrets
from typing import Any

from pydantic import ValidationError

from wheatroute import config
from wheatroute.agreement import joint_terms
from wheatroute.agreement.adapter import AdaptedVersion, DeriveSettings, VersionAdapter
from wheatroute.agreement.drain_notices import DrainNotices
from wheatroute.agreement.errors import ContentError
from wheatroute.agreement.member import Member
from wheatroute.agreement.node import MAX_ENDPOINTS_PER_EXCHANGE, open_store
from wheatroute.agreement.version_follower import EXCHANGE_TIMEOUT_FRACTION, VersionFollower
from wheatroute.processor.dispatcher import Dispatcher, Listed


def shared(file: config.File, worker: int) -> DeriveSettings:
    """Makes of a version what a worker acts on, whose file this is."""

    def settle(content: dict[str, Any]) -> dict[str, Any]:
        if "file" not in content:
            return config.told_to_processor(file, worker)
        told = content["file"]
        if not isinstance(told, dict) or set(told) != set(joint_terms.FILE_KEYS):
            return _wrong("file: has the tables " + ", ".join(joint_terms.FILE_KEYS) + ", and no others")
        whole = file.model_dump(exclude_none=True)
        whole |= {key: told[key] for key in joint_terms.FILE_KEYS if key != "rules"}
        assert file.processor is not None
        for pool in whole["pools"]:
            if pool["name"] == file.processor.pool:
                pool["rules"] = told["rules"]
        try:
            return config.told_to_processor(config.File.model_validate(whole), worker)
        except ValidationError as trouble:
            return _wrong(config._line("file", trouble.errors()[0]))

    return settle


def _wrong(line: str) -> dict[str, Any]:
    raise ContentError(line)


def follow(
    file: config.File, worker: int, told: dict[str, Any], dispatcher: Dispatcher, discovery: Listed, log: Any
) -> VersionFollower:
    """Return a follower that applies versions to a worker; conservative until its first confirmation."""

    def apply(adapted: AdaptedVersion, is_binding: bool) -> None:
        twins = {number: twin for number, (_, twin) in adapted.forms.items()}
        terms = adapted.terms.with_node_count(discovery.node_counts)
        dispatcher.agree(adapted.request_classes, adapted.tenants, terms, twins, is_binding)

    incarnation = secrets.token_hex(6)
    drain_notices = discovery.list_filter = DrainNotices(told["agreement"]["within"])
    drain_notices.filter_message({"full": True, "servers": list(discovery.entries.values())})
    member = Member(told["name"], incarnation, told["agreement"]["within"])
    store = open_store(
        told["agreement"],
        random.Random(incarnation),
        EXCHANGE_TIMEOUT_FRACTION * member.confirmation_ttl_s / MAX_ENDPOINTS_PER_EXCHANGE,
    )
    adapter = VersionAdapter(told, shared(file, worker))
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
