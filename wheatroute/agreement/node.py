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
from wheatroute.net.clients import Clients
from wheatroute.net.discovery import Discovery
from wheatroute.net.rounds import Rounds
from wheatroute.net.servers import Servers

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
    boot: dict[str, Any], rounds: Rounds, servers: Servers, clients: Clients, discovery: Discovery, log: Any
) -> Following:
    """Has a node act on what all agree on; it is careful until it was confirmed for the first time."""

    def apply(adapted: AdaptedVersion, binding: bool) -> None:
        # nodes that are counted go before a number that was put
        terms = adapted.terms.with_node_count(discovery.counted)
        rounds.agree(terms, binding)
        servers.agree(terms)
        agreed = {"request_classes": adapted.request_classes, "tenants": adapted.tenants, "terms": terms}
        clients.agree(agreed, adapted.forms)

    told, start = boot["agreement"], secrets.token_hex(6)
    leaving = discovery.leaving = Leaving(told["within"])
    leaving.listed(boot["known"])
    member = Member(boot["name"], start, told["within"])
    where = place(told, random.Random(start), PATIENCE * member.lasts / ENDPOINTS)
    return Following(
        where,
        member,
        VersionAdapter(boot, platform(boot)),
        apply,
        rounds.settle,
        lambda: discovery.acted_on,
        log,
        leaving,
        discovery.heed,
    )
