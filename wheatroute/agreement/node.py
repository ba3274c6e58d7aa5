"""Lets the platform's node take part in an agreement: applies versions to the node's components."""

from __future__ import annotations

import random
import secrets
from typing import Any

from wheatroute.agreement.adapter import AdaptedVersion, DerivedSettings, VersionAdapter
from wheatroute.agreement.drain_notices import DrainNotices
from wheatroute.agreement.member import Member
from wheatroute.agreement.node_content import node_deriver
from wheatroute.agreement.store_address import StoreAddress, open_store
from wheatroute.agreement.version_follower import EXCHANGE_TIMEOUT_FRACTION, VersionFollower
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.discovery import Discovery
from wheatroute.net.downstream import Downstream
from wheatroute.net.node_settings import NodeSettings
from wheatroute.net.upstream import Upstream

MAX_ENDPOINTS_PER_EXCHANGE = 3.0  # endpoints tried in turn within the timeout of one exchange


def follow(
    settings: NodeSettings,
    driver: BalancerDriver,
    upstream: Upstream,
    downstream: Downstream,
    discovery: Discovery,
    log: Any,
) -> VersionFollower:
    """Returns a follower that applies versions to a node.

    The node is conservative until the first confirmation.
    """

    def apply(adapted: AdaptedVersion, applies_to_pending: bool) -> None:
        # If discovery provides a node count, it takes precedence over the node count in the version.
        decision_settings = adapted.settings.with_node_count(discovery.node_counts)
        driver.update_settings(decision_settings, applies_to_pending)
        upstream.update_settings(decision_settings)
        downstream.update_settings(adapted.request_classes, adapted.tenants, decision_settings, adapted.forms)

    agreement, incarnation = settings.agreement, secrets.token_hex(6)
    assert agreement is not None
    drain_notices = discovery.list_filter = DrainNotices(agreement["within"])
    drain_notices.filter_message(settings.initial_list)
    member = Member(settings.name, incarnation, agreement["within"])
    own = DerivedSettings.from_dict(settings.derived)
    store = open_store(
        StoreAddress.from_node_file(agreement),
        random.Random(incarnation),
        EXCHANGE_TIMEOUT_FRACTION * member.confirmation_ttl_s / MAX_ENDPOINTS_PER_EXCHANGE,
    )
    return VersionFollower(
        store,
        member,
        VersionAdapter(own, node_deriver(settings.settings, own)),
        apply,
        driver.handle_events_now,
        lambda: discovery.list_version,
        log,
        drain_notices,
        discovery.apply_reported_states,
    )
