"""The model checker: every order of events, and faults that it finds."""

import pytest

from wheatroute.agreement.member import EffectiveVersions, Member
from wheatroute.agreement.model_checker import ModelChecker
from wheatroute.agreement.model_world import Bounds


def test_in_no_order_of_events_two_processes_act_on_what_no_version_allows():
    for bounds, is_complete in (
        (Bounds(2, 2, 0, 3), True),
        (Bounds(3, 1, 0, 2, deciders=1), True),
        (Bounds(2, 1, 1, 2), True),
        (Bounds(2, 1, 0, 2, rejections=((1, 1),)), True),
    ):
        result = ModelChecker(bounds).run()
        assert not result.counterexample, "\n".join(result.counterexample)
        assert result.is_complete == is_complete and result.states >= 2000


class ConfirmsFromTheAnswer(Member):
    """A confirmation counts from when it came."""

    def confirm(self, sent_at, records, is_complete=True):
        super().confirm(sent_at + 1.0, records, is_complete)


class NeverExpires(Member):
    """It does not look at the clock."""

    def permitted(self, now):
        return super().permitted(min(now, self.confirmed_until - 0.5))


class NeverJoint(Member):
    """It stays on the old version alone until the new one is in force."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.active, 0, effective.is_conservative)


class IgnoresSilentProcesses(Member):
    """It does not wait for those that say nothing."""

    def next_decision(self, read_began, read_ended, statuses):
        return super().next_decision(read_began + 9.0, read_ended, statuses)


class ReadsOnlyItsOwnStatus(Member):
    """It looks at its own status only."""

    def next_decision(self, read_began, read_ended, statuses):
        return super().next_decision(
            read_began, read_ended, [status for status in statuses if status["name"] == self.name]
        )


class ActivatesAtOnce(Member):
    """It activates a version when it reads that it was put."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.joint or effective.active, 0, effective.is_conservative)


class ReportsRecordsItHasNotRead(Member):
    """Its status tells of having read what was put, as soon as anyone may have."""

    def next_status(self, unix_time):
        return super().next_status(unix_time) | {"seq": 99, "careful": True}


class StartsWithoutConfirmation(Member):
    """A new process acts before it was confirmed."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.confirmed_at = 99.0
        self.effective = EffectiveVersions(0, 0, False)


class ActsOnWithoutThePendingVersion(Member):
    """It cannot use what was put, and stays on the old one alone."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.active, effective.joint, now >= self.confirmed_until)


class CountsFromAnEarlierPut(Member):
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


BOUNDS = Bounds(2, 2, 1, 3, max_states=60_000)


@pytest.mark.parametrize(
    "fault",
    [
        ConfirmsFromTheAnswer,
        NeverExpires,
        NeverJoint,
        IgnoresSilentProcesses,
        ReadsOnlyItsOwnStatus,
        ActivatesAtOnce,
        ReportsRecordsItHasNotRead,
        StartsWithoutConfirmation,
        GoesBack,
    ],
)
def test_injected_faults_are_found(fault):
    result = ModelChecker(BOUNDS, fault).run()
    assert result.counterexample, f"{result.states} states"


def test_a_process_that_reads_before_it_writes_its_status_is_found():
    assert ModelChecker(BOUNDS, reads_first=True).run().counterexample


def test_a_process_that_counts_from_an_earlier_put_is_found():
    assert ModelChecker(Bounds(2, 2, 0, 3), CountsFromAnEarlierPut).run().counterexample


def test_a_process_that_acts_on_without_the_pending_version_is_found():
    assert (
        ModelChecker(Bounds(2, 1, 0, 3, rejections=((1, 1),)), ActsOnWithoutThePendingVersion)
        .run()
        .counterexample
    )
