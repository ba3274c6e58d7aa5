"""Versions, their terms joined, and a member: small stories, then every order of events."""

import dataclasses
import inspect
import itertools
import re

import pytest

from wheatroute.agreement import join_rules
from wheatroute.agreement.adapter import DerivedSettings, VersionAdapter
from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.errors import ContentError, HistoryError, VersionStoreError
from wheatroute.agreement.join_rules import JoinRule
from wheatroute.agreement.joint_settings import joined
from wheatroute.agreement.member import EffectiveVersions, Member
from wheatroute.agreement.model_checker import Bounds, ModelChecker
from wheatroute.agreement.node_content import node_deriver
from wheatroute.agreement.records import RecordKind
from wheatroute.agreement.setting_check import setting_errors
from wheatroute.agreement.setting_differences import differences
from wheatroute.agreement.version_store import MAX_RECORDS_PER_READ
from wheatroute.agreement.versions import History, canonical
from wheatroute.balancing import settings
from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.config.pools import PoolRules, PoolSettings, ServerSettings
from wheatroute.config.processor import ProcessorSettings
from wheatroute.config.request_classes import RequestClassSettings, TenantSettings
from wheatroute.config.settings import Settings
from wheatroute.net import node_settings
from wheatroute.platform_settings import SETTING_KEYS, decision_settings
from wheatroute.processor.worker_settings import derive_worker_settings
from wheatroute.rig.settings import DEFAULT_SETTINGS, with_changes

CONTENT = {"settings": with_changes(DEFAULT_SETTINGS, {"dcs": ["a"]}, 2)}


def history(*kinds):
    """A history with records of these kinds, all of the version put last."""
    out = History()
    for kind in kinds:
        record = (
            out.put_record(CONTENT, f"p{out.head}", "me", 1.0, "why")
            if kind == "put"
            else out.next_record(kind, version=out.pending, by="n0", reason="r")
        )
        out.apply(record)
    return out


# versions


def test_a_history_takes_its_next_record_and_nothing_else():
    told = history("put", RecordKind.ACTIVATE, "put", "put", RecordKind.WITHDRAW)
    assert (told.active, told.pending) == (1, 0)
    assert [one.state for one in told.versions.values()] == ["in force", "replaced by 3", "withdrawn: r"]
    other = history("put", RecordKind.ACTIVATE, "put", RecordKind.ACTIVATE)
    for wrong in (
        History().put_record(CONTENT, "p0", "me", 1.0, "why"),
        other.next_record(RecordKind.ACTIVATE, version=0),
        told.next_record(RecordKind.ACTIVATE, version=2),
        told.next_record("put", version=9, content={}),
        told.next_record("joint", version=4),
    ):
        with pytest.raises(HistoryError):
            told.apply(wrong)
    assert told.head == 5


def test_a_record_of_a_newer_form_is_not_guessed_at():
    told = history("put")
    with pytest.raises(HistoryError, match="form 2, this program knows 1"):
        told.apply(told.next_record(RecordKind.ACTIVATE, version=1) | {"format": 2})


def test_what_has_no_canonical_form_is_no_content():
    with pytest.raises(ContentError):
        canonical({"settings": {"tick": float("nan")}})


def test_one_of_two_records_of_one_number_is_there_and_whole(tmp_path):
    store = DirectoryStore(str(tmp_path))
    store.create()
    told = history()
    first, second = (told.put_record(CONTENT, name, "me", 1.0, "w") for name in ("one", "two"))
    assert store.append_blocking(first) and not store.append_blocking(second)
    assert store.exchange_blocking("", None, 0, "") == [first]
    told.apply(first)
    with pytest.raises(VersionStoreError, match="another"):
        store.exchange_blocking("", None, 1, "0" * 64)
    (tmp_path / "log" / "000000000001.json").unlink()
    with pytest.raises(VersionStoreError, match="gone"):
        store.exchange_blocking("", None, 1, told.head_digest)


# the table


def test_every_key_of_both_configurations_has_an_entry():
    fields = {field.name for field in dataclasses.fields(DecisionSettings)}
    assert set(SETTING_KEYS) <= fields == set(join_rules.SETTING_RULES) | {"request_classes", "tenants"}
    kind_fields = {field.name for field in dataclasses.fields(settings.RequestClass)}
    assert kind_fields == set(join_rules.REQUEST_CLASS_RULES) | {"can_trial"}
    assert {field.name for field in dataclasses.fields(settings.TenantQuota)} == set(join_rules.TENANT_RULES)
    file = Settings(
        pools=[PoolSettings(name="p", servers=[ServerSettings(id="s", address="127.0.0.1:1")])],
        traffic_types=[RequestClassSettings(name="t", effect="pure", paths=["/"], hard_stop=1.0)],
        customers=[TenantSettings(name="c")],
        processor=ProcessorSettings(listen="127.0.0.1:1", pool="p"),
    )
    processor_settings = derive_worker_settings(file).decision
    assert isinstance(processor_settings, DecisionSettings)
    assert isinstance(processor_settings.request_classes[0], settings.RequestClass)
    assert isinstance(processor_settings.tenants[0], settings.TenantQuota)
    assert {path for path, _ in SETTING_KEYS.values()} <= set(join_rules.PATH_RULES)


def test_every_key_of_the_files_has_an_entry_too():
    tables = {
        "File": Settings,
        "RequestClass": RequestClassSettings,
        "Tenant": TenantSettings,
        "Rules": PoolRules,
    }
    for name, table in tables.items():
        keys = {field.alias or field_name for field_name, field in table.model_fields.items()}
        assert keys == set(join_rules.FILE_RULES[name])
    text = inspect.getsource(node_settings)
    assert set(re.findall(r'document\.get\("([a-z_]+)"[,)]', text)) <= set(join_rules.NODE_FILE_RULES)
    assert set(join_rules.FILE_KEYS) - {"rules"} <= {
        key for key, rule in join_rules.FILE_RULES["File"].items() if rule != JoinRule.OWN
    }


def test_a_difference_is_marked_where_two_processes_may_not_hold_it_unlike():
    old = {
        "file": {
            "nodes": 1,
            "rules": {"cold_time": 20.0},
            "customers": [],
            "traffic_types": [{"name": "view", "effect": "pure", "utility": 1.0}],
        }
    }
    new = {
        "file": {
            "nodes": 2,
            "rules": {"cold_time": 30.0},
            "customers": [],
            "traffic_types": [{"name": "view", "effect": "effectful", "utility": 2.0}],
        },
        "settings": {"tick": 0.01, "tenants": [{"name": "c", "quota-rps": 5.0}]},
    }
    assert {path: rule for path, _, _, rule in differences(old, new)} == {
        "file.nodes": JoinRule.MAXIMUM,
        "file.rules.cold_time": JoinRule.MAXIMUM,
        "file.traffic_types.view.effect": JoinRule.STRICT,
        "file.traffic_types.view.utility": JoinRule.FREE,
        "settings.tenants.c.name": JoinRule.ROUTE,
        "settings.tenants.c.quota-rps": JoinRule.MINIMUM,
        "settings.tick": JoinRule.FIXED,
    }


def test_what_lies_within_two_versions_is_never_looser_than_either():
    loose = dataclasses.replace(decision_settings(DEFAULT_SETTINGS, {}), tick=0.005)
    for effects in itertools.permutations(Idempotency, 2):
        one, other = (
            dataclasses.replace(
                loose,
                request_classes=[dataclasses.replace(loose.request_classes[0], idempotency=effect)],
            )
            for effect in effects
        )
        assert joined(one, other).request_classes[0].idempotency == max(effects)
    tight = dataclasses.replace(
        loose, max_attempts=1, overload_multiple=1.0, warmup_s=99.0, can_hedge=False, nodes=7
    )
    for pair in ((loose, tight), (tight, loose)):
        met = joined(*pair)
        assert [met.max_attempts, met.overload_multiple, met.warmup_s, met.can_hedge, met.nodes] == [
            1,
            1.0,
            99.0,
            False,
            7,
        ]


def test_bad_content_gets_a_line_for_each_mistake():
    told = setting_errors(
        {
            "tick": 1,
            "novel": 2,
            "allowed": {"cancel": True, "peers": True},
            "traffic-types": [{"name": "a", "colour": 1}, {"name": "a"}],
            "tenants": 3,
        }
    )
    assert told == [
        "settings.traffic-types: two of the name 'a'",
        "settings.traffic-types.a.colour: is no key that this program knows",
        "settings.tenants: is no list of tables with names",
        "settings.novel: is no key that this program knows",
        "settings.allowed.peers: each process has its own",
    ]


# a node's versions


def adapted(*changes):
    own_settings = DEFAULT_SETTINGS | {"dcs": ["a"], "zone": "a", "me": 0}
    derived = DerivedSettings.from_dict(node_settings.derive_settings(DEFAULT_SETTINGS))
    adapter = VersionAdapter(derived, node_deriver(own_settings, derived))
    for i, one in enumerate(changes, 1):
        assert adapter.check(i, {"settings": with_changes(DEFAULT_SETTINGS, {"dcs": ["a"]} | one, 2)}) == ""
    return adapter


def test_types_and_tenants_keep_their_numbers_whatever_order_a_version_has():
    kinds = list(reversed(DEFAULT_SETTINGS["traffic-types"]))
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
        less.settings.request_classes[before["buy"]].idempotency == Idempotency.NON_IDEMPOTENT
    )  # of those still out
    assert less.settings.request_classes[before["buy"]].value == 0.0
    new = adapter.adapt(EffectiveVersions(3, 0, False))
    assert new.tenants == {"new": 1} and [one.quota for one in new.settings.tenants] == [0.0, 5.0]


def test_a_request_that_has_no_key_is_not_repeated_for_its_class_having_them():
    adapter = adapted({"look__effect": "dedup"})
    told = adapter.adapt(EffectiveVersions(1, 0, False))
    look = told.request_classes["look"]
    forms, twin = told.forms[look]
    assert forms == {Idempotency.IDEMPOTENT, Idempotency.KEYED}
    assert told.settings.request_classes[look].idempotency == Idempotency.KEYED
    assert told.settings.request_classes[twin].idempotency == Idempotency.NON_IDEMPOTENT


def test_what_only_a_restart_changes_is_refused_with_the_key():
    for changes, line in (
        ({"tick": 0.01}, "tick: changes with a restart only, and is 0.005 here"),
        ({"look__streamed": True}, "look.streamed: changes with a restart only, and is False here"),
        ({"allowed__novel": 1}, "settings.allowed.novel: is no key that this program knows"),
        (
            {"allowed__connect_timeout": "soon", "look__effect": "nice"},
            "settings.traffic-types.look.effect: is none of retryable, dedup, fragile: 'nice' (and 1 more)",
        ),
    ):
        assert (
            adapted().check(9, {"settings": with_changes(DEFAULT_SETTINGS, {"dcs": ["a"]} | changes, 2)})
            == line
        )
    assert adapted().check(9, {"other": {}}).startswith("a version has the parts settings and file")


def test_a_careful_node_takes_requests_in_the_forms_that_it_took_before():
    told = adapted().adapt(EffectiveVersions(0, 0, True))
    for name, effect in (("look", Idempotency.IDEMPOTENT), ("change", Idempotency.KEYED)):
        forms, _ = told.forms[told.request_classes[name]]
        assert effect in forms


# a member


def answered(member, moment, *told):
    member.next_status(0.0)
    member.confirm(moment, list(told))
    for version in member.unchecked_versions():
        member.record_check(version)
    member.set_effective(member.permitted(moment))
    return member


def test_a_confirmation_counts_from_when_the_question_was_sent():
    member = answered(Member("a", "1", 10.0), 100.0)
    assert not member.permitted(100.0 + 0.98 * member.confirmation_ttl_s).is_conservative
    assert member.permitted(100.0 + 0.995 * member.confirmation_ttl_s).is_conservative  # the drift
    member.confirm(90.0, [])  # an old answer that came late shortens nothing and adds nothing
    assert member.confirmed_until == 100.0 + member.confirmation_ttl_s * 0.99


def test_an_answer_that_may_not_be_all_confirms_nothing():
    told, records = History(), []
    for i in range(MAX_RECORDS_PER_READ):
        records.append(told.put_record(CONTENT, str(i), "", 0.0, ""))
        told.apply(records[-1])
    member = Member("a", "1", 10.0)
    member.confirm(5.0, records, False)
    assert member.permitted(5.0).is_conservative and member.history.head == MAX_RECORDS_PER_READ


def test_a_silent_process_holds_a_version_up_for_no_longer_than_its_confirmation():
    member = answered(Member("a", "1", 10.0), 0.0)
    put = member.history.put_record(CONTENT, "p", "", 0.0, "")
    silent = Member("b", "1", 10.0).next_status(0.0)
    answered(member, 1.0, put)
    for moment in (1.0, 5.0, 9.0):
        answered(member, moment)
        assert member.next_decision(moment, moment, [member.next_status(0.0), silent]) is None
    answered(member, 9.9)
    assert member.next_decision(9.9, 9.9, [member.next_status(0.0), silent])["kind"] == RecordKind.ACTIVATE


def test_whoever_cannot_use_a_version_says_so_and_is_careful_until_it_is_withdrawn():
    member = answered(Member("a", "1", 10.0), 0.0)
    member.confirm(1.0, [member.history.put_record(CONTENT, "p", "", 0.0, "")])
    member.record_check(1, "tick: changes with a restart only")
    assert member.permitted(1.0).is_conservative
    member.set_effective(member.permitted(1.0))
    record = member.next_decision(1.0, 1.0, [member.next_status(0.0)])
    assert (
        record["kind"] == RecordKind.WITHDRAW and record["reason"] == "a: tick: changes with a restart only"
    )
    answered(member, 2.0, record)
    assert member.effective == EffectiveVersions(0, 0, False)


# every order of events


def test_no_order_of_events_lets_two_processes_act_on_what_no_version_allows():
    for bounds, is_complete in (
        (Bounds(2, 2, 0, 3), True),
        (Bounds(3, 1, 0, 2, deciders=1), True),
        (Bounds(2, 1, 1, 2), True),
        (Bounds(2, 1, 0, 2, rejections=((1, 1),)), True),
    ):
        result = ModelChecker(bounds).run()
        assert not result.counterexample, "\n".join(result.counterexample)
        assert result.is_complete == is_complete and result.states >= 2000


class FromTheAnswer(Member):
    """A confirmation counts from when it came."""

    def confirm(self, sent_at, records, is_complete=True):
        super().confirm(sent_at + 1.0, records, is_complete)


class NeverLapses(Member):
    """It does not look at the clock."""

    def permitted(self, now):
        return super().permitted(min(now, self.confirmed_until - 0.5))


class WithoutJoint(Member):
    """It stays on the old version alone until the new one is in force."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.active, 0, effective.is_conservative)


class Impatient(Member):
    """It does not wait for those that say nothing."""

    def next_decision(self, read_began, read_ended, statuses):
        return super().next_decision(read_began + 9.0, read_ended, statuses)


class OnlyItself(Member):
    """It looks at its own row only."""

    def next_decision(self, read_began, read_ended, statuses):
        return super().next_decision(
            read_began, read_ended, [status for status in statuses if status["name"] == self.name]
        )


class TooEarly(Member):
    """It takes a version into force when it hears of it."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.joint or effective.active, 0, effective.is_conservative)


class SaysMoreThanItDoes(Member):
    """Its row tells of having read what was put, as soon as anyone may have."""

    def next_status(self, unix_time):
        return super().next_status(unix_time) | {"seq": 99, "careful": True}


class StartsSure(Member):
    """A new process acts before it was confirmed."""

    def __init__(self, *told):
        super().__init__(*told)
        self.confirmed_at = 99.0
        self.effective = EffectiveVersions(0, 0, False)


class RefusesAndGoesOn(Member):
    """It cannot use what was put, and stays on the old one alone."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.active, effective.joint, now >= self.confirmed_until)


class SeesThePutTooEarly(Member):
    """A version put over another counts from when that one was put."""

    def next_decision(self, read_began, read_ended, statuses):
        if self._pending_since[0] and self.history.pending:
            self._pending_since = (self.history.pending, self._pending_since[1])
        return super().next_decision(read_began, read_ended, statuses)


class GoesBack(Member):
    """A version that was withdrawn is undone by taking the one before."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(
            max(0, effective.active - (self.history.head > 1 and not self.history.pending)),
            effective.joint,
            effective.is_conservative,
        )


USUAL = Bounds(2, 2, 1, 3, max_states=60_000)


@pytest.mark.parametrize(
    "fault",
    [
        FromTheAnswer,
        NeverLapses,
        WithoutJoint,
        Impatient,
        OnlyItself,
        TooEarly,
        SaysMoreThanItDoes,
        StartsSure,
        GoesBack,
    ],
)
def test_faults_put_in_on_purpose_are_found(fault):
    result = ModelChecker(USUAL, fault).run()
    assert result.counterexample, f"{result.states} states"


def test_a_process_that_reads_before_it_writes_its_row_is_found():
    assert ModelChecker(USUAL, reads_first=True).run().counterexample


def test_a_version_put_over_another_that_counts_from_when_that_one_was_is_found():
    assert ModelChecker(Bounds(2, 2, 0, 3), SeesThePutTooEarly).run().counterexample


def test_a_process_that_refuses_and_goes_on_is_found():
    assert ModelChecker(Bounds(2, 1, 0, 3, rejections=((1, 1),)), RefusesAndGoesOn).run().counterexample
