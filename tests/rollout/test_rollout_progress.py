"""The state machine of rollouts, and the choice of the next step."""

import pytest

from wheatroute.agreement.errors import HistoryError
from wheatroute.rollout import plan
from wheatroute.rollout.canary_analysis import CanaryAnalysis, Tally, Verdict
from wheatroute.rollout.next_step import Observations, next_step
from wheatroute.rollout.progress import Phase, RolloutProgress, StepKind
from wheatroute.rollout.statuses import FailedProgram, SupervisorStatus

STAGES = [
    {"name": "one", "nodes": ["a"], "least": 2.0, "most": 9.0, "ask": True},
    {"name": "rest", "nodes": ["b", "c"], "least": 2.0, "most": 9.0},
]
PLAN = plan.parse_plan(
    {"name": "x", "old": "1", "new": "2", "stages": STAGES, "before": 3.0, "patience": 5.0}
)


def started_progress():
    """Returns the progress of a rollout that has just started."""
    progress = RolloutProgress()
    progress.apply(progress.next_record(StepKind.START, plan=PLAN.model_dump()))
    return progress


def supervisors(**runs):
    return {name: supervisor(name, program) for name, program in runs.items()}


def supervisor(name, program, is_changing=False, failed=()):
    return SupervisorStatus(
        name=name,
        site="",
        program=program,
        is_changing=is_changing,
        failed=list(failed),
        last_error="",
        programs=[],
    )


def step(progress, statuses, watched=99.0, waited=0.0, verdict=Verdict.UNSURE, failure="", has_baseline=True):
    """Applies the next step and returns its kind, or None if there is none.

    The current phase has been watched for `watched` seconds, and the last record is `waited` seconds old.
    """
    observations = Observations(statuses, watched, waited, verdict, ["evidence"], failure, has_baseline)
    due = next_step(progress, observations)
    if due is not None:
        progress.apply(progress.encode(due))
    return due and due.kind


def test_a_rollout_passes_its_stages_and_holds_where_the_plan_says():
    progress = started_progress()
    assert step(progress, supervisors(a="1", b="1", c="1"), watched=2.9) is None
    assert step(progress, supervisors(a="1", b="1", c="1")) == "stage"
    assert [progress.target(name) for name in "abc"] == ["2", "1", "1"] and progress.target("z") is None
    # Node a has not changed yet.
    assert step(progress, supervisors(a="1", b="1", c="1"), verdict=Verdict.NOT_WORSE) is None
    assert step(progress, supervisors(a="2", b="1", c="1"), watched=1.9, verdict=Verdict.NOT_WORSE) is None
    assert step(progress, supervisors(a="2", b="1", c="1"), verdict=Verdict.NOT_WORSE) == "pass"
    assert step(progress, supervisors(a="2", b="1", c="1")) == "hold"
    assert step(progress, supervisors(a="2", b="1", c="1")) is None
    progress.apply(progress.next_record(StepKind.RESUME))
    assert step(progress, supervisors(a="2", b="1", c="1")) == "stage"
    assert step(progress, supervisors(a="2", b="2", c="2"), verdict=Verdict.NOT_WORSE) == "pass"
    assert step(progress, supervisors(a="2", b="2", c="2")) == "end" and progress.phase == Phase.ENDED
    assert progress.target("c") == "2"
    with pytest.raises(HistoryError, match="no rollout is under way"):
        progress.apply(progress.next_record(StepKind.ROLL_BACK, reason="late"))


@pytest.mark.parametrize(
    "observed, reason",
    [({"verdict": Verdict.WORSE}, "evidence"), ({"failure": "a: 2 ended", "watched": 0.0}, "a: 2 ended")],
)
def test_a_worse_version_is_rolled_back_at_all_nodes_before_the_end(observed, reason):
    progress = started_progress()
    step(progress, supervisors(a="1", b="1", c="1"))
    assert (
        step(progress, supervisors(a="2", b="1", c="1"), **observed) == "back" and progress.reason == reason
    )
    assert step(progress, supervisors(a="2", b="1", c="1")) is None and progress.target("a") == "1"
    assert (
        step(progress, supervisors(a="1", b="1", c="1")) == "end"
        and progress.records[-1].step.failed_nodes == []
    )


def test_a_node_that_fails_to_roll_back_is_named_at_the_end():
    progress = started_progress()
    step(progress, supervisors(a="1", b="1", c="1"))
    progress.apply(progress.next_record(StepKind.ROLL_BACK, reason="by hand"))
    statuses = supervisors(b="1", c="1")
    statuses["a"] = supervisor("a", "2", failed=[FailedProgram(progress.number, "1")])
    assert step(progress, statuses) == "end" and progress.records[-1].step.failed_nodes == ["a"]


def test_a_late_stage_is_rolled_back_and_one_without_a_verdict_is_held():
    progress = started_progress()
    step(progress, supervisors(a="1", b="1", c="1"))
    assert step(progress, supervisors(a="1", b="1", c="1"), waited=14.9) is None
    assert step(progress, supervisors(a="1", b="1", c="1"), waited=15.1) == "back" and "a" in progress.reason
    progress = started_progress()
    step(progress, supervisors(a="1", b="1", c="1"))
    assert step(progress, supervisors(a="2", b="1", c="1"), watched=8.0) is None
    assert step(progress, supervisors(a="2", b="1", c="1"), watched=9.0) == "hold"


def test_a_stage_without_a_baseline_begins_only_if_an_operator_resumes():
    """Seven blocks before the change are one too few: no amount of data after it gives a verdict."""
    required = frozenset(("refused",))
    analysis = CanaryAnalysis({"refused": 0.06}, 0.01)
    for _ in range(7):
        analysis.add_interval({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, False)
    for _ in range(500):
        analysis.add_interval({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, True)
    assert analysis.verdict(required)[0] == Verdict.UNSURE and not analysis.has_baseline(required)
    analysis.add_interval({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, False)
    assert analysis.verdict(required)[0] == Verdict.NOT_WORSE and analysis.has_baseline(required)
    progress, statuses = started_progress(), supervisors(a="1", b="1", c="1")
    assert step(progress, statuses, watched=11.9, has_baseline=False) is None
    assert step(progress, statuses, watched=12.1, has_baseline=False) == "hold"
    assert "before the stage" in progress.reason and progress.target("a") == "1"
    progress.apply(progress.next_record(StepKind.RESUME))
    assert step(progress, statuses, has_baseline=False) == "stage"
    statuses = supervisors(a="2", b="1", c="1")
    assert step(progress, statuses, verdict=Verdict.NOT_WORSE) == "pass"
    # The plan requires an operator to resume after this stage.
    assert step(progress, statuses) == "hold"
    progress.apply(progress.next_record(StepKind.RESUME))
    # The operator resumed after the stage, not in spite of a missing baseline.
    assert step(progress, statuses, has_baseline=False, watched=3.1) is None


def test_at_most_the_planned_number_of_nodes_change_at_a_time():
    progress = started_progress()
    step(progress, supervisors(a="1", b="1", c="1"))
    step(progress, supervisors(a="2", b="1", c="1"), verdict=Verdict.NOT_WORSE)
    step(progress, supervisors(a="2", b="1", c="1"))
    progress.apply(progress.next_record(StepKind.RESUME))
    step(progress, supervisors(a="2", b="1", c="1"))
    statuses = supervisors(a="2", b="1", c="1")
    assert progress.may_change("b", statuses) and not progress.may_change("c", statuses)
    statuses["b"] = supervisor("b", "2", is_changing=True)  # the old process is still draining
    assert not progress.may_change("c", statuses)
    statuses["b"] = supervisor("b", "2")
    assert progress.may_change("c", statuses)


def test_records_out_of_order_or_of_a_newer_format_are_rejected():
    progress = started_progress()
    for invalid in (
        progress.next_record(StepKind.START, plan=PLAN.model_dump()),
        progress.next_record(StepKind.STAGE, stage=1),
        progress.next_record(StepKind.PASS, stage=0),
        progress.next_record(StepKind.RESUME),
        progress.next_record(StepKind.STAGE, stage=0) | {"format": 2},
        progress.next_record(StepKind.STAGE, stage=0) | {"before": "x"},
        progress.next_record(StepKind.STAGE, stage=0) | {"kind": "jump"},
    ):
        with pytest.raises(HistoryError):
            progress.apply(invalid)
    assert progress.head == 1 and progress.phase == Phase.BEFORE_STAGE
