"""Joins the platform's node to the agreement. Owns which parts of the node hear of what it acts on."""

from __future__ import annotations

import random
import secrets
from typing import Any

from wheatroute.agreement.adapter import AdaptedVersion, VersionAdapter, platform
from wheatroute.agreement.following import PATIENCE, Following
from wheatroute.agreement.leaving import Leaving
from wheatroute.agreement.member import Member
from wheatroute.agreement.places import Directory, Place
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.discovery import Discovery
from wheatroute.net.downstream import Downstream
from wheatroute.net.node_settings import NodeSettings
from wheatroute.net.upstream import Upstream

ENDPOINTS = 3.0  # that may be asked, one after the other, in the time for one question


def place(told: dict[str, Any], chance: random.Random, time_out: float) -> Place:
    """The place that a file names; `time_out` is for one endpoint, seconds."""
    if "relay" in told:
        from wheatroute.agreement.relay import Relayed

        return Relayed(told["relay"])
    if "directory" in told:
        return Directory(told["directory"])
    from wheatroute.agreement.etcd import EtcdPlace

    return EtcdPlace(told["etcd"], told["prefix"], chance, time_out)


def follow(
    settings: NodeSettings,
    driver: BalancerDriver,
    upstream: Upstream,
    downstream: Downstream,
    discovery: Discovery,
    log: Any,
) -> Following:
    """Has a node act on what all agree on; it is careful until it was confirmed for the first time."""

    def apply(adapted: AdaptedVersion, binding: bool) -> None:
        # nodes that are counted go before a number that was put
        terms = adapted.terms.with_node_count(discovery.node_counts)
        driver.update_settings(terms, binding)
        upstream.update_settings(terms)
        downstream.update_settings(adapted.request_classes, adapted.tenants, terms, adapted.forms)

    told, start = settings.agreement, secrets.token_hex(6)
    assert told is not None
    leaving = discovery.list_filter = Leaving(told["within"])
    leaving.listed(settings.initial_list)
    member = Member(settings.name, start, told["within"])
    where = place(told, random.Random(start), PATIENCE * member.lasts / ENDPOINTS)
    return Following(
        where,
        member,
        VersionAdapter(settings.derived, platform(settings.settings, settings.derived)),
        apply,
        driver.handle_events_now,
        lambda: discovery.list_version,
        log,
        leaving,
        discovery.apply_reported_states,
    )
