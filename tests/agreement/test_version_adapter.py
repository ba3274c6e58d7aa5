"""Versions as a node acts on them: numbers of classes and tenants, terms and forms."""

from wheatroute.agreement.adapter import VersionAdapter, platform
from wheatroute.agreement.member import EffectiveVersions
from wheatroute.balancing.interface import Idempotency
from wheatroute.net import node_settings
from wheatroute.rig.settings import SETTINGS, change


def adapted(*changes):
    own_settings = SETTINGS | {"dcs": ["a"], "zone": "a", "me": 0}
    derived = node_settings.derive_settings(SETTINGS)
    adapter = VersionAdapter(derived, platform(own_settings, derived))
    for i, one in enumerate(changes, 1):
        assert adapter.check(i, {"settings": change(SETTINGS, {"dcs": ["a"]} | one, 2)}) == ""
    return adapter


def test_classes_and_tenants_keep_their_numbers_in_any_order():
    kinds = list(reversed(SETTINGS["traffic-types"]))
    adapter = adapted(
        {"traffic-types": kinds},
        {"traffic-types": kinds[1:]},
        {"tenants": [{"name": "new", "portion": 1.0, "quota-rps": 5.0}]},
    )
    before = adapter.adapt(EffectiveVersions(0, 0, False)).request_classes
    assert adapter.adapt(EffectiveVersions(1, 0, False)).request_classes == before
    less = adapter.adapt(EffectiveVersions(2, 0, False))
    assert "buy" not in less.request_classes and less.request_classes["look"] == before["look"]
    assert (
        less.terms["request_classes"][before["buy"]]["effect"] == Idempotency.NON_IDEMPOTENT
    )  # of those still out
    assert less.terms["request_classes"][before["buy"]]["worth"] == 0.0
    new = adapter.adapt(EffectiveVersions(3, 0, False))
    assert new.tenants == {"new": 1} and [one["quota"] for one in new.terms["tenants"]] == [0.0, 5.0]


def test_a_request_without_a_key_is_not_retried_when_its_class_becomes_keyed():
    adapter = adapted({"look__effect": "dedup"})
    told = adapter.adapt(EffectiveVersions(1, 0, False))
    look = told.request_classes["look"]
    forms, twin = told.forms[look]
    assert forms == {Idempotency.IDEMPOTENT, Idempotency.KEYED}
    assert told.terms["request_classes"][look]["effect"] == Idempotency.KEYED
    assert told.terms["request_classes"][twin]["effect"] == Idempotency.NON_IDEMPOTENT


def test_a_setting_that_needs_a_restart_is_rejected_by_name():
    for changes, line in (
        ({"tick": 0.01}, "tick: changes with a restart only, and is 0.005 here"),
        ({"look__streamed": True}, "look.streamed: changes with a restart only, and is False here"),
        ({"allowed__novel": 1}, "settings.allowed.novel: is no key that this program knows"),
        (
            {"allowed__connect_timeout": "soon", "look__effect": "nice"},
            "settings.traffic-types.look.effect: is none of retryable, dedup, fragile: 'nice' (and 1 more)",
        ),
    ):
        assert adapted().check(9, {"settings": change(SETTINGS, {"dcs": ["a"]} | changes, 2)}) == line
    assert adapted().check(9, {"other": {}}).startswith("a version has the parts settings and file")


def test_a_conservative_node_accepts_the_earlier_forms():
    told = adapted().adapt(EffectiveVersions(0, 0, True))
    for name, effect in (("look", Idempotency.IDEMPOTENT), ("change", Idempotency.KEYED)):
        forms, _ = told.forms[told.request_classes[name]]
        assert effect in forms
