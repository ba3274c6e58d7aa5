"""The verdict on a run by its records: the rules that it broke, and its figures. Free of I/O.

A rule is checked by what servers and clients saw alone, never by a log or a statement of the program.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any, NamedTuple

from wheatroute.rig.run_records import (
    IN_FORCE,
    ClientRequest,
    Execution,
    PublishedVersion,
    RepeatPolicy,
    RunRecords,
)

ANSWER_SLACK_S = 0.05  # by which an answer may be later than its request's deadline, as the protocol has it
RIG_SLACK_S = 0.25  # on top of that, for the rig's own threads and links
DRAIN_GRACE_S = 2.0  # in which a drained server may still be sent requests
TIMELINE_LEAD_S = 30.0  # before a request's first event from which on a timeline shows versions and faults
TIMELINE_TAIL_S = 1.0  # after its last event


class Contradiction(NamedTuple):
    """A repeat that a version forbids which had been published before."""

    delay_s: float  # from the version's publication to the repeat
    execution: Execution
    version: PublishedVersion


@dataclass
class Violation:
    """A rule that a run broke, with the timeline of the first request that broke it."""

    rule: str
    request_id: str
    timeline: list[str]


def contradictions(records: RunRecords) -> list[Contradiction]:
    """Repeats that the newest version at their time does not allow. Only those that came into force count."""
    found = []
    versions = [version for version in records.versions if version.became_active]
    for first, repeat in _repeats(records):
        for i, version in enumerate(versions):
            replaced_at = versions[i + 1].published_at if i + 1 < len(versions) else float("inf")
            policy = version.repeat_policies.get(repeat.request_class)
            if not version.published_at <= repeat.started_at < replaced_at:
                continue
            if policy is not None and not policy.allows(first, repeat):
                found.append(Contradiction(repeat.started_at - version.published_at, repeat, version))
    return found


def unsafe_repeats(records: RunRecords) -> list[Execution]:
    """Repeats that no version allows which could be in force at their time: wrong in any case.

    A version may still be acted on until the one after it is known by all, so what one of the versions around
    a moment allows is not unsafe; it may be one of `contradictions`.
    """
    found = []
    for first, repeat in _repeats(records):
        policies = _possible_policies(records, first.started_at, repeat.started_at, repeat.request_class)
        if policies and not any(policy.allows(first, repeat) for policy in policies):
            found.append(repeat)
    return found


def rejected_after_execution(records: RunRecords) -> list[ClientRequest]:
    """Requests that were rejected though a server began them and no version lets them repeat freely."""
    found = []
    for request_id, executions in records.executions_by_request().items():
        request = records.requests.get(request_id)
        if request is None or request.status not in (429, 503):
            continue
        policies = _possible_policies(
            records, executions[0].started_at, request.ended_at, request.request_class
        )
        if policies and all(policy.may_forbid_repeat for policy in policies):
            found.append(request)
    return found


def _repeats(records: RunRecords) -> list[tuple[Execution, Execution]]:
    """The first execution of a request with each later one of it."""
    return [
        (executions[0], repeat)
        for executions in records.executions_by_request().values()
        for repeat in executions[1:]
    ]


def _possible_policies(
    records: RunRecords, first: float, last: float, request_class: str
) -> list[RepeatPolicy]:
    """A class's policies in all versions that some process may act on between two moments."""
    published = [version for version in records.versions if version.published_at <= last]
    known_to_all = [
        i
        for i, version in enumerate(published)
        if version.state == IN_FORCE and 0.0 < version.ended_at <= first
    ]
    possible = published[known_to_all[-1] :] if known_to_all else published
    return [
        version.repeat_policies[request_class]
        for version in possible
        if request_class in version.repeat_policies
    ]


def lost_requests(records: RunRecords, until: float) -> list[ClientRequest]:
    """Requests without exactly one response in time, but for those whose node was killed or stopped.

    `until` is the end of the run: what is due later is not judged. The time by which the rig's own loop was
    late while a request was on its way is added to that request's deadline.
    """
    return [request for request in records.requests.values() if _is_lost(records, request, until)]


def _is_lost(records: RunRecords, request: ClientRequest, until: float) -> bool:
    due = _due(request) + records.lateness.excused_s(request.sent_at, request.ended_at or until)
    # one whose connection broke is lost at once, whatever time it had left
    if due > until and request.status >= 0:
        return False
    if _is_excused_by_downtime(records, request, due):
        return False
    return request.response_count != 1 or request.status <= 0 or request.ended_at > due


def _is_excused_by_downtime(records: RunRecords, request: ClientRequest, due: float) -> bool:
    return any(
        downtime.node == request.node
        and downtime.started_at - ANSWER_SLACK_S <= due
        and request.sent_at <= downtime.ended_at
        for downtime in records.downtimes
    )


def _due(request: ClientRequest) -> float:
    """The last moment for a request's response, on a rig that is punctual."""
    return request.sent_at + request.timeout_s + ANSWER_SLACK_S + RIG_SLACK_S


def excused_requests(records: RunRecords) -> list[ClientRequest]:
    """Requests whose response came late by no more than the rig's own loop was."""
    return [
        request
        for request in records.requests.values()
        if request.response_count == 1
        and request.status > 0
        and _due(request)
        < request.ended_at
        <= _due(request) + records.lateness.excused_s(request.sent_at, request.ended_at)
    ]


def sent_after_response(records: RunRecords) -> list[Execution]:
    """Executions whose attempt was sent after the request's response had come back.

    By when they were sent: the rig may come late to read what was sent before.
    """
    return [
        execution
        for execution in records.executions
        if execution.request_id in records.requests
        and records.requests[execution.request_id].status > 0
        and execution.sent_at > records.requests[execution.request_id].ended_at + ANSWER_SLACK_S
    ]


def executions_after_drain(records: RunRecords) -> list[Execution]:
    """What servers began after the grace since all nodes were told that they drain."""
    tolerance_s = DRAIN_GRACE_S + ANSWER_SLACK_S + RIG_SLACK_S
    return [
        execution
        for execution in records.executions
        if execution.started_at > records.drained_at.get(execution.server, float("inf")) + tolerance_s
    ]


def misread_requests(records: RunRecords) -> list[ClientRequest]:
    """Requests answered as invalid, though every version has their class."""
    return [
        request
        for request in records.requests.values()
        if 400 <= request.status < 500 and request.status != 429
    ]


def timeline(records: RunRecords, request_id: str) -> list[str]:
    """One request, as servers and clients saw it, with the versions and faults around it: a line an event."""
    events = _request_events(records, request_id)
    if not events:
        return []
    first, last = min(events)[0] - TIMELINE_LEAD_S, max(events)[0] + TIMELINE_TAIL_S
    events += [(fault.at, f"fault: {fault.text}") for fault in records.faults if first <= fault.at <= last]
    events += [
        (version.published_at, f"version {version.number} put ({version.state})")
        for version in records.versions
        if first <= version.published_at <= last
    ]
    start = min(events)[0]
    return [f"{at - start:8.3f} s  {text}" for at, text in sorted(events)]


def _request_events(records: RunRecords, request_id: str) -> list[tuple[float, str]]:
    request = records.requests.get(request_id)
    events: list[tuple[float, str]] = []
    if request is not None:
        text = f"asked at {request.node} as {request.request_class}, {request.timeout_s:.2f} s left"
        events.append((request.sent_at, text))
        if request.status:
            text = f"answered {request.status}" if request.status > 0 else "no answer"
            events.append((request.ended_at, text))
    for one in records.executions:
        if one.request_id == request_id:
            text = f"begun at {one.server} (cell {one.cell}) for {one.node}: {one.outcome}"
            events.append((one.started_at, text))
    return events


def find_violations(records: RunRecords, until: float, bound_s: float) -> list[Violation]:
    """Every rule that the run broke, with the timeline of the first request that broke it.

    `until` is the end of the run; within `bound_s` a change of settings has to reach all processes.
    """
    late = [one.execution for one in contradictions(records) if one.delay_s > bound_s]
    by_rule: dict[str, list[ClientRequest] | list[Execution]] = {
        "a request was lost or answered twice": lost_requests(records, until),
        "a good request was taken for none": misread_requests(records),
        "a drain was not kept": executions_after_drain(records),
        "an effect twice": unsafe_repeats(records),
        "refused though it may have run": rejected_after_execution(records),
        "sent after the final answer": sent_after_response(records),
        f"an act that contradicts later than {bound_s:g} s": late,
    }
    return [
        Violation(f"{rule} ({len(found)})", found[0].request_id, timeline(records, found[0].request_id))
        for rule, found in by_rule.items()
        if found
    ]


def summary(records: RunRecords, until: float, bound_s: float) -> dict[str, Any]:
    """The figures of a run by the names under which `summary.json` and the command line give them."""
    found = contradictions(records)
    statuses = Counter(request.status for request in records.requests.values())
    return {
        "commands": len(records.requests),
        "served": statuses[200],
        "refused": statuses[503],
        "failed": statuses[502],
        "misread": len(misread_requests(records)),
        "begun": len(records.executions),
        "repeats": len(_repeats(records)),
        "contradictions": len(found),
        "late_contradictions": sum(one.delay_s > bound_s for one in found),
        "worst_contradiction_ms": round(1000 * max((one.delay_s for one in found), default=0.0), 1),
        "bound_ms": round(1000 * bound_s, 1),
        "lost": len(lost_requests(records, until)),
        "undrained": len(executions_after_drain(records)),
        "unsafe_twice": len(unsafe_repeats(records)),
        "refused_begun": len(rejected_after_execution(records)),
        "after_answer": len(sent_after_response(records)),
        "rig_late_ms": round(1000 * records.lateness.worst_s, 1),
        "late_by_the_rig": len(excused_requests(records)),
    }
