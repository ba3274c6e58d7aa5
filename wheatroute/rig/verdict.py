"""Judges a run by its records: finds the rules that it violated, and computes its summary. Does no I/O.

Rules are checked only against what servers and clients observed, never against a log or a status that the
program reports.
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

# The protocol allows a response to arrive up to this long after its request's deadline.
ANSWER_SLACK_S = 0.05
# Further allowance for the delay of the rig's own threads and links, on top of ANSWER_SLACK_S.
RIG_SLACK_S = 0.25
# How long a server may still get requests after its drain was announced.
DRAIN_GRACE_S = 2.0
# A request's timeline shows the versions and faults from TIMELINE_LEAD_S before the request's first event
# until TIMELINE_TAIL_S after its last event.
TIMELINE_LEAD_S = 30.0
TIMELINE_TAIL_S = 1.0


class Contradiction(NamedTuple):
    """A repeated execution that the newest published version of the settings does not allow."""

    delay_s: float  # time from the version's publication to the repeat
    execution: Execution
    version: PublishedVersion


@dataclass
class Violation:
    """A rule that a run violated, with the timeline of the first request that violated it."""

    rule: str
    request_id: str
    timeline: list[str]


def contradictions(records: RunRecords) -> list[Contradiction]:
    """Returns the repeats that the newest version published before them does not allow.

    Versions that never came into force are ignored.
    """
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
    """Returns the repeats that are forbidden by every version that a process could act on at their time.

    Processes may act on a version until all of them know the next one. A repeat that at least one of these
    versions allows is therefore not unsafe, but `contradictions` may return it.
    """
    found = []
    for first, repeat in _repeats(records):
        policies = _possible_policies(records, first.started_at, repeat.started_at, repeat.request_class)
        if policies and not any(policy.allows(first, repeat) for policy in policies):
            found.append(repeat)
    return found


def rejected_after_execution(records: RunRecords) -> list[ClientRequest]:
    """Returns requests that were rejected although a server had started them.

    Leaves out a request if any version that a process could act on meanwhile allows every server to run it
    again.
    """
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
    """Returns a pair for each repeat: the first execution of its request, and the repeat."""
    return [
        (executions[0], repeat)
        for executions in records.executions_by_request().values()
        for repeat in executions[1:]
    ]


def _possible_policies(
    records: RunRecords, start: float, end: float, request_class: str
) -> list[RepeatPolicy]:
    """Returns a class's policies in all versions that a process may act on between `start` and `end`."""
    published = [version for version in records.versions if version.published_at <= end]
    known_to_all = [
        i
        for i, version in enumerate(published)
        if version.state == IN_FORCE and 0.0 < version.ended_at <= start
    ]
    possible = published[known_to_all[-1] :] if known_to_all else published
    return [
        version.repeat_policies[request_class]
        for version in possible
        if request_class in version.repeat_policies
    ]


def lost_requests(records: RunRecords, until: float) -> list[ClientRequest]:
    """Returns the requests that did not get exactly one response by their deadline.

    Leaves out requests whose node was killed or stopped meanwhile. `until` is the end of the run: a request
    whose deadline is later is judged only if its connection broke. The delay of the rig's own event loop
    while a request was in flight, up to `MAX_EXCUSED_S`, is added to that request's deadline.
    """
    return [request for request in records.requests.values() if _is_lost(records, request, until)]


def _is_lost(records: RunRecords, request: ClientRequest, until: float) -> bool:
    deadline = _response_deadline(request) + records.lateness.excused_s(
        request.sent_at, request.ended_at or until
    )
    # a request whose connection broke is lost at once, however much time it had left
    if deadline > until and request.status >= 0:
        return False
    if _is_excused_by_downtime(records, request, deadline):
        return False
    return request.response_count != 1 or request.status <= 0 or request.ended_at > deadline


def _is_excused_by_downtime(records: RunRecords, request: ClientRequest, deadline: float) -> bool:
    return any(
        downtime.node == request.node
        and downtime.started_at - ANSWER_SLACK_S <= deadline
        and request.sent_at <= downtime.ended_at
        for downtime in records.downtimes
    )


def _response_deadline(request: ClientRequest) -> float:
    """Returns the latest time for a request's response, if the rig itself is not late."""
    return request.sent_at + request.timeout_s + ANSWER_SLACK_S + RIG_SLACK_S


def excused_requests(records: RunRecords) -> list[ClientRequest]:
    """Returns requests whose response was late, but by no more than the delay of the rig's own event loop."""
    return [
        request
        for request in records.requests.values()
        if request.response_count == 1
        and request.status > 0
        and _response_deadline(request)
        < request.ended_at
        <= _response_deadline(request) + records.lateness.excused_s(request.sent_at, request.ended_at)
    ]


def sent_after_response(records: RunRecords) -> list[Execution]:
    """Returns executions whose attempt was sent after the response to the request had arrived.

    The time of sending counts, because the rig may be late to read an attempt that was sent earlier.
    """
    return [
        execution
        for execution in records.executions
        if execution.request_id in records.requests
        and records.requests[execution.request_id].status > 0
        and execution.sent_at > records.requests[execution.request_id].ended_at + ANSWER_SLACK_S
    ]


def executions_after_drain(records: RunRecords) -> list[Execution]:
    """Returns executions that began after the grace period of the server's drain.

    The grace period starts when all nodes are notified of the drain.
    """
    tolerance_s = DRAIN_GRACE_S + ANSWER_SLACK_S + RIG_SLACK_S
    return [
        execution
        for execution in records.executions
        if execution.started_at > records.drained_at.get(execution.server, float("inf")) + tolerance_s
    ]


def requests_rejected_as_invalid(records: RunRecords) -> list[ClientRequest]:
    """Returns requests that were rejected as invalid, although every version has their request class."""
    return [
        request
        for request in records.requests.values()
        if 400 <= request.status < 500 and request.status != 429
    ]


def timeline(records: RunRecords, request_id: str) -> list[str]:
    """Returns the events of one request as servers and clients saw them, one per line.

    Includes the versions and faults around the request.
    """
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
    for run in records.executions:
        if run.request_id == request_id:
            text = f"begun at {run.server} (cell {run.cell}) for {run.node}: {run.outcome}"
            events.append((run.started_at, text))
    return events


def find_violations(records: RunRecords, until: float, bound_s: float) -> list[Violation]:
    """Returns every rule that the run violated, with the timeline of the first request that violated it.

    `until` is the end of the run. A change of settings has to reach all processes within `bound_s`.
    """
    late = [found.execution for found in contradictions(records) if found.delay_s > bound_s]
    by_rule: dict[str, list[ClientRequest] | list[Execution]] = {
        "a request was lost or answered twice": lost_requests(records, until),
        "a good request was taken for none": requests_rejected_as_invalid(records),
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
    """Returns the figures of a run, under the names that `summary.json` and the command line use."""
    found = contradictions(records)
    statuses = Counter(request.status for request in records.requests.values())
    return {
        "commands": len(records.requests),
        "served": statuses[200],
        "refused": statuses[503],
        "failed": statuses[502],
        "misread": len(requests_rejected_as_invalid(records)),
        "begun": len(records.executions),
        "repeats": len(_repeats(records)),
        "contradictions": len(found),
        "late_contradictions": sum(repeat.delay_s > bound_s for repeat in found),
        "worst_contradiction_ms": round(1000 * max((repeat.delay_s for repeat in found), default=0.0), 1),
        "bound_ms": round(1000 * bound_s, 1),
        "lost": len(lost_requests(records, until)),
        "undrained": len(executions_after_drain(records)),
        "unsafe_twice": len(unsafe_repeats(records)),
        "refused_begun": len(rejected_after_execution(records)),
        "after_answer": len(sent_after_response(records)),
        "rig_late_ms": round(1000 * records.lateness.worst_s, 1),
        "late_by_the_rig": len(excused_requests(records)),
    }
