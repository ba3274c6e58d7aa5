"""Lets the platform's node take part in an agreement: applies versions to the parts of the node."""

from __future__ import annotations

import random
import secrets
from typing import Any

from wheatroute.agreement.adapter import AdaptedVersion, VersionAdapter, platform
from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.drain_notices import DrainNotices
from wheatroute.agreement.member import Member
from wheatroute.agreement.version_follower import EXCHANGE_TIMEOUT_FRACTION, VersionFollower
from wheatroute.agreement.version_store import VersionStore
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.discovery import Discovery
from wheatroute.net.downstream import Downstream
from wheatroute.net.node_settings import NodeSettings
from wheatroute.net.upstream import Upstream

MAX_ENDPOINTS_PER_EXCHANGE = 3.0  # tried one after the other within the time of one exchange


def open_store(told: dict[str, Any], rng: random.Random, timeout_s: float) -> VersionStore:
    """Return the store that a node's file names; `timeout_s` is for one call at one endpoint."""
    if "relay" in told:
        from wheatroute.agreement.relay import RelayedDirectoryStore

        return RelayedDirectoryStore(told["relay"])
    if "directory" in told:
        return DirectoryStore(told["directory"])
    from wheatroute.agreement.etcd_store import EtcdStore

    return EtcdStore(told["etcd"], told["prefix"], rng, timeout_s)


def follow(
    settings: NodeSettings,
    driver: BalancerDriver,
    upstream: Upstream,
    downstream: Downstream,
    discovery: Discovery,
    log: Any,
) -> VersionFollower:
    """Return a follower that applies versions to a node; conservative until its first confirmation."""

    def apply(adapted: AdaptedVersion, is_binding: bool) -> None:
        # nodes that are counted go before a number that was put
        terms = adapted.terms.with_node_count(discovery.node_counts)
        driver.update_settings(terms, is_binding)
        upstream.update_settings(terms)
        downstream.update_settings(adapted.request_classes, adapted.tenants, terms, adapted.forms)

    told, incarnation = settings.agreement, secrets.token_hex(6)
    assert told is not None
    drain_notices = discovery.list_filter = DrainNotices(told["within"])
    drain_notices.filter_message(settings.initial_list)
    member = Member(settings.name, incarnation, told["within"])
    store = open_store(
        told,
        random.Random(incarnation),
        EXCHANGE_TIMEOUT_FRACTION * member.confirmation_ttl_s / MAX_ENDPOINTS_PER_EXCHANGE,
    )
    return VersionFollower(
        store,
        member,
        VersionAdapter(settings.derived, platform(settings.settings, settings.derived)),
        apply,
        driver.handle_events_now,
        lambda: discovery.list_version,
        log,
        drain_notices,
        discovery.apply_reported_states,
    )
