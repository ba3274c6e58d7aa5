"""Each rule of the rig's verdict, on records that violate it once and on records that don't."""

import pytest

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency
from wheatroute.rig.run_records import (
    ClientRequest,
    Downtime,
    Execution,
    ExecutionOutcome,
    InjectedFault,
    PublishedVersion,
    RepeatPolicy,
    RunRecords,
)
from wheatroute.rig.verdict import find_violations, summary

UNTIL, BOUND_S = 20.0, 1.5
IDEMPOTENT = RepeatPolicy(Idempotency.IDEMPOTENT, DeduplicationGroup.ALL, 0.0)
NON_IDEMPOTENT = RepeatPolicy(Idempotency.NON_IDEMPOTENT, DeduplicationGroup.ALL, 0.0)


def execution(started_at, server="s0", cell=0):
    return Execution(started_at, server, "a", cell, "n0", "r1", "look", ExecutionOutcome.ANSWERED, started_at)


def records_of(*executions, status=200, ended_at=11.0, policies=(IDEMPOTENT,)):
    """Returns records of a request and its executions, and of versions that came into force.

    The request lasts from 10 s to 11 s; the versions were published at 1 s, 2 s and so on.
    """
    records = RunRecords(executions=list(executions))
    records.requests["r1"] = ClientRequest(10.0, "n0", "r1", "look", 2.0, status, ended_at, 1)
    for number, policy in enumerate(policies, 1):
        state = "in force" if number == len(policies) else f"was in force until {number + 1}"
        version = PublishedVersion(number, {"look": policy}, float(number), number + 0.5, state)
        records.versions.append(version)
    return records


def rules(records):
    return [violation.rule for violation in find_violations(records, UNTIL, BOUND_S)]


def test_a_run_without_a_violation():
    records = records_of(execution(10.1), execution(10.5))
    assert rules(records) == [] and summary(records, UNTIL, BOUND_S)["repeats"] == 1


def test_a_repeat_that_no_version_allows():
    records = records_of(execution(10.1), execution(10.5), policies=[IDEMPOTENT, NON_IDEMPOTENT])
    # all processes knew the second version long before the repeat
    assert rules(records) == ["an effect twice (1)", "an act that contradicts later than 1.5 s (1)"]


def test_a_repeat_within_the_bound_after_a_change_is_only_counted():
    records = records_of(execution(10.1), execution(10.5), policies=[IDEMPOTENT, NON_IDEMPOTENT])
    records.versions[1].published_at, records.versions[1].ended_at = 10.0, 10.9
    figures = summary(records, UNTIL, BOUND_S)
    assert rules(records) == []
    assert (figures["contradictions"], figures["worst_contradiction_ms"]) == (1, 500.0)


@pytest.mark.parametrize(
    "policy, is_allowed",
    [
        (RepeatPolicy(Idempotency.KEYED, DeduplicationGroup.ALL, 1.0), True),
        (RepeatPolicy(Idempotency.KEYED, DeduplicationGroup.ZONE, 1.0), True),
        (RepeatPolicy(Idempotency.KEYED, DeduplicationGroup.CELL, 1.0), False),
        (RepeatPolicy(Idempotency.KEYED, DeduplicationGroup.ALL, 0.1), False),
        (NON_IDEMPOTENT, False),
    ],
)
def test_a_keyed_repeat_is_allowed_in_its_group_and_window(policy, is_allowed):
    assert policy.allows(execution(10.0), execution(10.5, "s1", cell=1)) == is_allowed


def test_a_missing_or_unknown_value_counts_as_the_strictest():
    assert RepeatPolicy.from_settings({}).idempotency is Idempotency.NON_IDEMPOTENT
    policy = RepeatPolicy.from_settings({"effect": "dedup", "group": "odd"})
    assert (
        policy == RepeatPolicy(Idempotency.KEYED, DeduplicationGroup.CELL, 0.0) and policy.may_forbid_repeat
    )


def test_a_rejection_of_a_request_that_may_have_run():
    assert rules(records_of(execution(10.1), status=503, policies=[NON_IDEMPOTENT])) == [
        "refused though it may have run (1)"
    ]
    assert rules(records_of(execution(10.1), status=503)) == []


def test_an_attempt_after_the_response():
    assert rules(records_of(execution(10.1), execution(11.2))) == ["sent after the final answer (1)"]


def test_a_request_without_a_response_is_lost_unless_its_node_was_down():
    records = records_of(status=-1)
    assert rules(records) == ["a request was lost or answered twice (1)"]
    records.downtimes.append(Downtime(11.0, 12.0, "n0"))
    assert rules(records) == []


def test_an_execution_after_the_grace_period_of_a_drain():
    records = records_of(execution(10.1))
    records.drained_at["s0"] = 7.5
    assert rules(records) == ["a drain was not kept (1)"]
    records.drained_at["s0"] = 8.0
    assert rules(records) == []


def test_a_request_answered_as_invalid_with_its_timeline():
    records = records_of(execution(10.25), status=404)
    records.faults.append(InjectedFault(9.5, "kill n1"))
    (violation,) = find_violations(records, UNTIL, BOUND_S)
    assert violation.rule == "a good request was taken for none (1)"
    assert violation.timeline == [
        "   0.000 s  version 1 put (in force)",
        "   8.500 s  fault: kill n1",
        "   9.000 s  asked at n0 as look, 2.00 s left",
        "   9.250 s  begun at s0 (cell 0) for n0: answered",
        "  10.000 s  answered 404",
    ]
