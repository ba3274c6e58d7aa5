"""Confirmations and decisions of a member of an agreement."""

from agreement_helpers import CONTENT

from wheatroute.agreement.member import EffectiveVersions, Member
from wheatroute.agreement.records import RecordKind
from wheatroute.agreement.version_store import MAX_RECORDS_PER_READ
from wheatroute.agreement.versions import History


def exchanged(member, moment, *records):
    """Returns the member after an exchange at `moment` that returned these records."""
    member.next_status(0.0)
    member.confirm(moment, list(records))
    for version in member.unchecked_versions():
        member.record_check(version)
    member.set_effective(member.permitted(moment))
    return member


def test_a_confirmation_counts_from_when_the_exchange_was_sent():
    member = exchanged(Member("a", "1", 10.0), 100.0)
    assert not member.permitted(100.0 + 0.98 * member.confirmation_ttl_s).is_conservative
    # A hundredth of the time to live is subtracted to allow for clock drift.
    assert member.permitted(100.0 + 0.995 * member.confirmation_ttl_s).is_conservative
    member.confirm(90.0, [])  # a late response to an earlier exchange changes nothing
    assert member.confirmed_until == 100.0 + member.confirmation_ttl_s * 0.99


def test_an_incomplete_response_confirms_nothing():
    history, records = History(), []
    for i in range(MAX_RECORDS_PER_READ):
        records.append(history.put_record(CONTENT, str(i), "", 0.0, ""))
        history.apply(records[-1])
    member = Member("a", "1", 10.0)
    member.confirm(5.0, records, False)
    assert member.permitted(5.0).is_conservative and member.history.head == MAX_RECORDS_PER_READ


def test_a_silent_process_delays_a_version_until_its_confirmation_expires():
    member = exchanged(Member("a", "1", 10.0), 0.0)
    put = member.history.put_record(CONTENT, "p", "", 0.0, "")
    silent = Member("b", "1", 10.0).next_status(0.0)
    exchanged(member, 1.0, put)
    for moment in (1.0, 5.0, 9.0):
        exchanged(member, moment)
        assert member.next_decision(moment, moment, [member.next_status(0.0), silent]) is None
    exchanged(member, 9.9)
    assert member.next_decision(9.9, 9.9, [member.next_status(0.0), silent])["kind"] == RecordKind.ACTIVATE


def test_a_process_that_cannot_use_a_version_is_conservative_until_it_is_withdrawn():
    member = exchanged(Member("a", "1", 10.0), 0.0)
    member.confirm(1.0, [member.history.put_record(CONTENT, "p", "", 0.0, "")])
    member.record_check(1, "tick: can only change with a restart")
    assert member.permitted(1.0).is_conservative
    member.set_effective(member.permitted(1.0))
    record = member.next_decision(1.0, 1.0, [member.next_status(0.0)])
    assert (
        record["kind"] == RecordKind.WITHDRAW
        and record["reason"] == "a: tick: can only change with a restart"
    )
    exchanged(member, 2.0, record)
    assert member.effective == EffectiveVersions(0, 0, False)
