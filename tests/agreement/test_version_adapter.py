"""The version adapter: stable numbers, accepted forms, and versions that a process cannot use."""

from wheatroute.agreement.adapter import DerivedSettings, VersionAdapter
from wheatroute.agreement.member import EffectiveVersions
from wheatroute.agreement.node_content import node_deriver
from wheatroute.balancing.interface import Idempotency
from wheatroute.net import node_settings
from wheatroute.rig.settings import DEFAULT_SETTINGS, with_changes


def adapter_of(*changes):
    """Returns the adapter of a process that has checked one version for each of the changes."""
    own_settings = DEFAULT_SETTINGS | {"dcs": ["a"], "zone": "a", "me": 0}
    derived = DerivedSettings.from_dict(node_settings.derive_settings(DEFAULT_SETTINGS))
    adapter = VersionAdapter(derived, node_deriver(own_settings, derived))
    for number, changed in enumerate(changes, 1):
        content = {"settings": with_changes(DEFAULT_SETTINGS, {"dcs": ["a"]} | changed, 2)}
        assert adapter.check(number, content) == ""
    return adapter


def test_request_classes_and_tenants_keep_their_numbers_in_any_order():
    classes = list(reversed(DEFAULT_SETTINGS["traffic-types"]))
    adapter = adapter_of(
        {"traffic-types": classes},
        {"traffic-types": classes[1:]},
        {"tenants": [{"name": "new", "portion": 1.0, "quota-rps": 5.0}]},
    )
    before = adapter.adapt(EffectiveVersions(0, 0, False)).request_classes
    assert adapter.adapt(EffectiveVersions(1, 0, False)).request_classes == before
    fewer = adapter.adapt(EffectiveVersions(2, 0, False))
    assert "buy" not in fewer.request_classes and fewer.request_classes["look"] == before["look"]
    buy = fewer.settings.request_classes[before["buy"]]  # still defined for requests in flight
    assert buy.idempotency == Idempotency.NON_IDEMPOTENT
    assert buy.value == 0.0
    new = adapter.adapt(EffectiveVersions(3, 0, False))
    assert new.tenants == {"new": 1} and [tenant.quota for tenant in new.settings.tenants] == [0.0, 5.0]


def test_a_request_without_a_key_is_not_retried_though_its_class_is_keyed_now():
    adapter = adapter_of({"look__effect": "dedup"})
    adapted = adapter.adapt(EffectiveVersions(1, 0, False))
    look = adapted.request_classes["look"]
    forms, strict = adapted.forms[look]
    assert forms == {Idempotency.IDEMPOTENT, Idempotency.KEYED}
    assert adapted.settings.request_classes[look].idempotency == Idempotency.KEYED
    assert adapted.settings.request_classes[strict].idempotency == Idempotency.NON_IDEMPOTENT


def test_an_unusable_version_is_rejected_with_the_key():
    for changes, line in (
        ({"tick": 0.01}, "tick: can only change with a restart, the value here is 0.005"),
        ({"look__streamed": True}, "look.streamed: can only change with a restart, the value here is False"),
        ({"allowed__novel": 1}, "settings.allowed.novel: unknown key"),
        (
            {"allowed__connect_timeout": "soon", "look__effect": "nice"},
            "settings.traffic-types.look.effect: "
            "must be one of retryable, dedup, fragile, got 'nice' (and 1 more)",
        ),
    ):
        content = {"settings": with_changes(DEFAULT_SETTINGS, {"dcs": ["a"]} | changes, 2)}
        assert adapter_of().check(9, content) == line
    assert (
        adapter_of()
        .check(9, {"other": {}})
        .startswith('a version must have the part "settings", "file" or both')
    )


def test_a_conservative_node_accepts_the_forms_that_it_accepted_before():
    adapted = adapter_of().adapt(EffectiveVersions(0, 0, True))
    for name, idempotency in (("look", Idempotency.IDEMPOTENT), ("change", Idempotency.KEYED)):
        forms, _ = adapted.forms[adapted.request_classes[name]]
        assert idempotency in forms
