"""The model checker: the protocol holds in every order of events, and injected faults are found."""

import pytest

from wheatroute.agreement.member import EffectiveVersions, Member
from wheatroute.agreement.model_checker import ModelChecker
from wheatroute.agreement.model_world import Bounds


def test_no_order_of_events_violates_an_invariant():
    for bounds, is_complete in (
        (Bounds(2, 2, 0, 3), True),
        (Bounds(3, 1, 0, 2, deciders=1), True),
        (Bounds(2, 1, 1, 2), True),
        (Bounds(2, 1, 0, 2, rejections=((1, 1),)), True),
    ):
        result = ModelChecker(bounds).run()
        assert not result.counterexample, "\n".join(result.counterexample)
        assert result.is_complete == is_complete and result.states >= 2000


class ConfirmsFromTheResponse(Member):
    """Counts a confirmation from when the response arrived, not from when the exchange was sent."""

    def confirm(self, sent_at, records, is_complete=True):
        super().confirm(sent_at + 1.0, records, is_complete)


class NeverExpires(Member):
    """Ignores the expiry of its confirmation."""

    def permitted(self, now):
        return super().permitted(min(now, self.confirmed_until - 0.5))


class NeverJoint(Member):
    """Acts on the old version alone until the new one is in force."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.active, 0, effective.is_conservative)


class IgnoresSilentProcesses(Member):
    """Does not wait for processes whose status is missing or old."""

    def next_decision(self, read_began, read_ended, statuses):
        return super().next_decision(read_began + 9.0, read_ended, statuses)


class ReadsOnlyItsOwnStatus(Member):
    """Ignores the statuses of other processes."""

    def next_decision(self, read_began, read_ended, statuses):
        return super().next_decision(
            read_began, read_ended, [status for status in statuses if status["name"] == self.name]
        )


class ActivatesAtOnce(Member):
    """Acts on a version as soon as it reads that it was put."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.joint or effective.active, 0, effective.is_conservative)


class ReportsRecordsItHasNotRead(Member):
    """Reports in its status records that it has not read."""

    def next_status(self, unix_time):
        return super().next_status(unix_time) | {"seq": 99, "careful": True}


class StartsWithoutConfirmation(Member):
    """Acts after a start without waiting for a confirmation."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.confirmed_at = 99.0
        self.effective = EffectiveVersions(0, 0, False)


class ActsOnWithoutThePendingVersion(Member):
    """Acts on the old version alone when it cannot use the pending one, instead of being conservative."""

    def permitted(self, now):
        effective = super().permitted(now)
        return EffectiveVersions(effective.active, effective.joint, now >= self.confirmed_until)


class CountsFromAnEarlierPut(Member):
    """Counts the time of a version that replaced a pending one from when the replaced one was put."""

    def next_decision(self, read_began, read_ended, statuses):
        if self._pending_since[0] and self.history.pending:
            self._pending_since = (self.history.pending, self._pending_since[1])
        return super().next_decision(read_began, read_ended, statuses)


class GoesBack(Member):
    """Goes back to the previous version after a version was withdrawn."""

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
        ConfirmsFromTheResponse,
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


def test_reading_records_before_writing_the_status_is_found():
    assert ModelChecker(BOUNDS, reads_first=True).run().counterexample


def test_counting_from_an_earlier_put_is_found():
    assert ModelChecker(Bounds(2, 2, 0, 3), CountsFromAnEarlierPut).run().counterexample


def test_acting_on_the_old_version_without_the_pending_one_is_found():
    assert (
        ModelChecker(Bounds(2, 1, 0, 3, rejections=((1, 1),)), ActsOnWithoutThePendingVersion)
        .run()
        .counterexample
    )
