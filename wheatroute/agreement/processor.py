"""Joins a worker of the processor to the agreement. Owns what of a version its dispatcher hears of."""

from __future__ import annotations

import random
import secrets
from typing import Any

from pydantic import ValidationError

from wheatroute import config
from wheatroute.agreement import joint_terms
from wheatroute.agreement.adapter import AdaptedVersion, Settle, VersionAdapter
from wheatroute.agreement.following import PATIENCE, Following
from wheatroute.agreement.leaving import Leaving
from wheatroute.agreement.member import Member
from wheatroute.agreement.node import ENDPOINTS, place
from wheatroute.agreement.versions import ContentError
from wheatroute.processor.dispatcher import Dispatcher, Listed


def shared(file: config.File, worker: int) -> Settle:
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
    file: config.File, worker: int, told: dict[str, Any], dispatcher: Dispatcher, listed: Listed, log: Any
) -> Following:
    """Has a worker act on what all agree on; it is careful until it was confirmed for the first time."""

    def apply(adapted: AdaptedVersion, binding: bool) -> None:
        twins = {number: twin for number, (_, twin) in adapted.forms.items()}
        terms = adapted.terms.with_node_count(listed.node_counts)
        dispatcher.agree(adapted.request_classes, adapted.tenants, terms, twins, binding)

    start = secrets.token_hex(6)
    leaving = listed.list_filter = Leaving(told["agreement"]["within"])
    leaving.listed({"full": True, "servers": list(listed.entries.values())})
    member = Member(told["name"], start, told["agreement"]["within"])
    where = place(told["agreement"], random.Random(start), PATIENCE * member.lasts / ENDPOINTS)
    adapter = VersionAdapter(told, shared(file, worker))
    return Following(
        where,
        member,
        adapter,
        apply,
        dispatcher.rounds.handle_events_now,
        lambda: listed.list_version,
        log,
        leaving,
        listed.apply_reported_states,
    )
