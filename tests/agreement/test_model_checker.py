"""Every order of events for a few processes, and faults that the model checker must find."""

import pytest

from wheatroute.agreement.member import EffectiveVersions, Member
from wheatroute.agreement.model_checker import Bounds, ModelChecker


def test_in_every_order_of_events_some_version_allows_what_all_processes_do():
    for bounds, is_complete in (
        (Bounds(2, 2, 0, 3), True),
        (Bounds(3, 1, 0, 2, deciders=1), True),
        (Bounds(2, 1, 1, 2), True),
        (Bounds(2, 1, 0, 2, rejections=((1, 1),)), True),
    ):
        result = ModelChecker(bounds).run()
        assert not result.counterexample, "\n".join(result.counterexample)
        assert result.is_complete == is_complete and result.states >= 2000


class ConfirmedFromAnswer(Member):
    """A confirmation counts from when it came."""

    def confirm(self, sent_at, records, is_complete=True):
        super().confirm(sent_at + 1.0, records, is_complete)


class ConfirmationNeverExpires(Member):
    """It does not look at the clock."""

    def permitted(self, now):
        return super().permitted(min(now, self.confirmed_until - 0.5))


class WithoutJoint(Member):
    """It stays on the old version alone until the new one is in force."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.active, 0, effective.is_conservative)


class ActivatesTooEarly(Member):
    """It does not wait for those that say nothing."""

    def next_decision(self, read_began, read_ended, statuses):
        return super().next_decision(read_began + 9.0, read_ended, statuses)


class ReadsOwnStatusOnly(Member):
    """It looks at its own row only."""

    def next_decision(self, read_began, read_ended, statuses):
        return super().next_decision(
            read_began, read_ended, [status for status in statuses if status["name"] == self.name]
        )


class ActsOnPendingVersion(Member):
    """It takes a version into force when it hears of it."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.joint or effective.active, 0, effective.is_conservative)


class OverstatesStatus(Member):
    """Its row tells of having read what was put, as soon as anyone may have."""

    def next_status(self, unix_time):
        return super().next_status(unix_time) | {"seq": 99, "careful": True}


class StartsConfirmed(Member):
    """A new process acts before it was confirmed."""

    def __init__(self, *told):
        super().__init__(*told)
        self.confirmed_at = 99.0
        self.effective = EffectiveVersions(0, 0, False)


class RejectsAndActsOn(Member):
    """It cannot use what was put, and stays on the old one alone."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.active, effective.joint, now >= self.confirmed_until)


class KeepsPendingSince(Member):
    """A version put over another counts from when that one was put."""

    def next_decision(self, read_began, read_ended, statuses):
        if self._pending_since[0] and self.history.pending:
            self._pending_since = (self.history.pending, self._pending_since[1])
        return super().next_decision(read_began, read_ended, statuses)


class GoesBackAfterWithdrawal(Member):
    """A version that was withdrawn is undone by taking the one before."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(
            max(0, effective.active - (self.history.head > 1 and not self.history.pending)),
            effective.joint,
            effective.is_conservative,
        )


FAULT_BOUNDS = Bounds(2, 2, 1, 3, max_states=60_000)


@pytest.mark.parametrize(
    "fault",
    [
        ConfirmedFromAnswer,
        ConfirmationNeverExpires,
        WithoutJoint,
        ActivatesTooEarly,
        ReadsOwnStatusOnly,
        ActsOnPendingVersion,
        OverstatesStatus,
        StartsConfirmed,
        GoesBackAfterWithdrawal,
    ],
)
def test_injected_faults_are_found(fault):
    result = ModelChecker(FAULT_BOUNDS, fault).run()
    assert result.counterexample, f"{result.states} states"


def test_reading_before_writing_the_status_is_found():
    assert ModelChecker(FAULT_BOUNDS, reads_first=True).run().counterexample


def test_a_put_over_another_that_counts_from_the_earlier_one_is_found():
    assert ModelChecker(Bounds(2, 2, 0, 3), KeepsPendingSince).run().counterexample


def test_a_process_that_rejects_a_version_and_acts_on_is_found():
    assert ModelChecker(Bounds(2, 1, 0, 3, rejections=((1, 1),)), RejectsAndActsOn).run().counterexample
