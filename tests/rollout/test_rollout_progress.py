"""The progress of a rollout and its next step."""

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


def begun():
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
    """Apply the next step; returns its kind."""
    seen = Observations(statuses, watched, waited, verdict, ["seen"], failure, has_baseline)
    step_due = next_step(progress, seen)
    if step_due is not None:
        progress.apply(progress.encode(step_due))
    return step_due and step_due.kind


def test_a_rollout_passes_its_stages_and_holds_where_the_plan_says():
    progress = begun()
    assert step(progress, supervisors(a="1", b="1", c="1"), watched=2.9) is None
    assert step(progress, supervisors(a="1", b="1", c="1")) == "stage"
    assert [progress.target(name) for name in "abc"] == ["2", "1", "1"] and progress.target("z") is None
    assert (
        step(progress, supervisors(a="1", b="1", c="1"), verdict=Verdict.NOT_WORSE) is None
    )  # not changed yet
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
    "how, reason",
    [({"verdict": Verdict.WORSE}, "seen"), ({"failure": "a: 2 ended", "watched": 0.0}, "a: 2 ended")],
)
def test_a_worse_version_is_rolled_back_at_all_nodes_before_the_end(how, reason):
    progress = begun()
    step(progress, supervisors(a="1", b="1", c="1"))
    assert step(progress, supervisors(a="2", b="1", c="1"), **how) == "back" and progress.reason == reason
    assert step(progress, supervisors(a="2", b="1", c="1")) is None and progress.target("a") == "1"
    assert (
        step(progress, supervisors(a="1", b="1", c="1")) == "end"
        and progress.records[-1].step.failed_nodes == []
    )


def test_a_node_that_fails_to_roll_back_is_named_at_the_end():
    progress = begun()
    step(progress, supervisors(a="1", b="1", c="1"))
    progress.apply(progress.next_record(StepKind.ROLL_BACK, reason="by hand"))
    told = supervisors(b="1", c="1")
    told["a"] = supervisor("a", "2", failed=[FailedProgram(progress.number, "1")])
    assert step(progress, told) == "end" and progress.records[-1].step.failed_nodes == ["a"]


def test_a_late_stage_is_rolled_back_and_one_without_a_verdict_is_held():
    progress = begun()
    step(progress, supervisors(a="1", b="1", c="1"))
    assert step(progress, supervisors(a="1", b="1", c="1"), waited=14.9) is None
    assert step(progress, supervisors(a="1", b="1", c="1"), waited=15.1) == "back" and "a" in progress.reason
    progress = begun()
    step(progress, supervisors(a="1", b="1", c="1"))
    assert step(progress, supervisors(a="2", b="1", c="1"), watched=8.0) is None
    assert step(progress, supervisors(a="2", b="1", c="1"), watched=9.0) == "hold"


def test_a_stage_without_a_baseline_begins_only_if_an_operator_resumes():
    """Seven blocks before the change, one too few: nothing seen after it can be judged, however much."""
    watched = frozenset(("refused",))
    analysis = CanaryAnalysis({"refused": 0.06}, 0.01)
    for _ in range(7):
        analysis.add_interval({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, False)
    for _ in range(500):
        analysis.add_interval({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, True)
    assert analysis.verdict(watched)[0] == Verdict.UNSURE and not analysis.has_baseline(watched)
    analysis.add_interval({"refused": Tally(0, 40)}, {"refused": Tally(0, 40)}, False)
    assert analysis.verdict(watched)[0] == Verdict.NOT_WORSE and analysis.has_baseline(watched)
    progress, told = begun(), supervisors(a="1", b="1", c="1")
    assert step(progress, told, watched=11.9, has_baseline=False) is None
    assert step(progress, told, watched=12.1, has_baseline=False) == "hold"
    assert "before the stage" in progress.reason and progress.target("a") == "1"
    progress.apply(progress.next_record(StepKind.RESUME))
    assert step(progress, told, has_baseline=False) == "stage"
    told = supervisors(a="2", b="1", c="1")
    assert step(progress, told, verdict=Verdict.NOT_WORSE) == "pass"
    assert step(progress, told) == "hold"  # a person is asked after this stage
    progress.apply(progress.next_record(StepKind.RESUME))
    assert (
        step(progress, told, has_baseline=False, watched=3.1) is None
    )  # that go was not about what was seen


def test_at_most_the_planned_number_of_nodes_change_at_a_time():
    progress = begun()
    step(progress, supervisors(a="1", b="1", c="1"))
    step(progress, supervisors(a="2", b="1", c="1"), verdict=Verdict.NOT_WORSE)
    step(progress, supervisors(a="2", b="1", c="1"))
    progress.apply(progress.next_record(StepKind.RESUME))
    step(progress, supervisors(a="2", b="1", c="1"))
    told = supervisors(a="2", b="1", c="1")
    assert progress.may_change("b", told) and not progress.may_change("c", told)
    told["b"] = supervisor("b", "2", is_changing=True)  # the old one still leaves
    assert not progress.may_change("c", told)
    told["b"] = supervisor("b", "2")
    assert progress.may_change("c", told)


def test_records_out_of_order_or_of_a_newer_format_are_rejected():
    progress = begun()
    for wrong in (
        progress.next_record(StepKind.START, plan=PLAN.model_dump()),
        progress.next_record(StepKind.STAGE, stage=1),
        progress.next_record(StepKind.PASS, stage=0),
        progress.next_record(StepKind.RESUME),
        progress.next_record(StepKind.STAGE, stage=0) | {"format": 2},
        progress.next_record(StepKind.STAGE, stage=0) | {"before": "x"},
        progress.next_record(StepKind.STAGE, stage=0) | {"kind": "jump"},
    ):
        with pytest.raises(HistoryError):
            progress.apply(wrong)
    assert progress.head == 1 and progress.phase == Phase.BEFORE_STAGE
