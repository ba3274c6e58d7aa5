"""What servers and clients saw, as they saw it, and the verdict on it. Free of I/O.

Owns the ledger of both sides and the checks of the rules on it. It must never ask the program what it did: a
request is known by its id, at servers and at clients, and moments are the rig's own, monotonic, in seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from wheatroute.rig.lateness import LoopLateness

EFFECTS = {"retryable": 0, "dedup": 1, "fragile": 2}
GROUPS = {"all": 0, "zone": 1, "cell": 2}
SLACK = 0.05  # seconds by which an answer may be later than its request's deadline, as the protocol has it
KEPT_WITHIN = 0.25  # seconds on top of that for the rig's own threads and links


@dataclass(frozen=True, slots=True)
class Ran:
    """A server took a request whole and began it."""

    at: float
    server: str
    zone: str
    cell: int
    node: str
    request: str
    kind: str
    how: str  # what the server did after: answered, reset, error, silent
    sent: float  # when the last byte of it left the node, by the kernel's word


@dataclass(slots=True)
class Asked:
    """A client asked, and what came of it; status 0 while there is no answer, -1 for a broken connection."""

    sent: float
    node: str
    request: str
    kind: str
    left: float
    status: int = 0
    ended: float = 0.0
    answers: int = 0


@dataclass(slots=True)
class Known:
    """A version as the operator knows it: its classes' rules, when it was put and when it ended."""

    number: int
    kinds: dict[str, dict[str, Any]]
    put: float
    ended: float = 0.0
    state: str = ""


@dataclass
class Records:
    """Everything that was seen."""

    ran: list[Ran] = field(default_factory=list)
    asked: dict[str, Asked] = field(default_factory=dict)
    versions: list[Known] = field(default_factory=list)
    faults: list[tuple[float, str]] = field(default_factory=list)
    killed: list[tuple[float, float, str]] = field(default_factory=list)  # from, until, node; stopped too
    drained: dict[str, float] = field(default_factory=dict)  # server: since when nothing may reach it
    lateness: LoopLateness = field(default_factory=LoopLateness)  # of the rig that writes these records


@dataclass
class Breach:
    """A broken promise with its story."""

    rule: str
    request: str
    story: list[str]


def attempts(records: Records) -> dict[str, list[Ran]]:
    """By request, in the order of time."""
    out: dict[str, list[Ran]] = {}
    for one in sorted(records.ran, key=lambda ran: ran.at):
        out.setdefault(one.request, []).append(one)
    return out


def contradictions(records: Records) -> list[tuple[float, Ran, Known]]:
    """Acts that some version since put does not allow: seconds from its put to the act, the act, the version.

    An act is an attempt of a request that had been begun before. Only versions that came into force count.
    """
    out = []
    versions = [one for one in records.versions if one.state == "in force" or one.state.startswith("was")]
    for runs in attempts(records).values():
        for first, again in ((runs[0], later) for later in runs[1:]):
            for i, version in enumerate(versions):
                over = versions[i + 1].put if i + 1 < len(versions) else float("inf")
                rules = version.kinds.get(again.kind)
                if version.put <= again.at < over and rules and not allows(rules, first, again):
                    out.append((again.at - version.put, again, version))
    return out


def allows(rules: dict[str, Any], first: Ran, again: Ran) -> bool:
    """Whether a version lets a request run again that another server had begun."""
    effect = EFFECTS.get(rules.get("effect", ""), 2)
    if effect == 2:
        return False
    if effect == 0:
        return True
    if again.at - first.at > rules.get("repeat-window", 0.0):
        return False
    group = GROUPS.get(rules.get("group", "all"), 2)
    return group == 0 or (first.zone == again.zone if group == 1 else first.cell == again.cell)


def twice(records: Records) -> list[Ran]:
    """Requests run again though no version that could be in force then allows it: broken in any case.

    A version may still be acted on until the one after it is known by all, so what one of the versions around
    a moment allows is no effect twice; it may be a contradiction, see there.
    """
    out = []
    for runs in attempts(records).values():
        for again in runs[1:]:
            around = _around(records, runs[0].at, again.at)
            rules = [one.kinds[again.kind] for one in around if again.kind in one.kinds]
            if rules and not any(allows(one, runs[0], again) for one in rules):
                out.append(again)
    return out


def refused_begun(records: Records) -> list[Asked]:
    """Requests refused though a server began them and no version lets them repeat."""
    out = []
    for request, runs in attempts(records).items():
        asked = records.asked.get(request)
        if asked is None or asked.status not in (429, 503):
            continue
        around = _around(records, runs[0].at, asked.ended)
        rules = [one.kinds[asked.kind] for one in around if asked.kind in one.kinds]
        if rules and all(
            EFFECTS.get(one.get("effect", ""), 2) == 2
            or EFFECTS.get(one["effect"]) == 1
            and one.get("group", "all") != "all"
            for one in rules
        ):
            out.append(asked)
    return out


def _around(records: Records, first: float, last: float) -> list[Known]:
    """Versions that some process may act on between two moments."""
    put = [one for one in records.versions if one.put <= last]
    settled = [i for i, one in enumerate(put) if one.state == "in force" and 0.0 < one.ended <= first]
    return put[settled[-1] :] if settled else put


def lost(records: Records, until: float) -> list[Asked]:
    """Requests without exactly one final answer in time, but for those whose node was killed or stopped.

    What the rig's own loop was late while a request was on its way is allowed to that request.
    """
    out = []
    for one in records.asked.values():
        due = _due(one) + records.lateness.between(one.sent, one.ended or until)
        # one whose connection broke is lost at once, whatever time it had left
        if (
            due > until
            and one.status >= 0
            or any(
                start - 0.05 <= due and one.sent <= end and node == one.node
                for start, end, node in records.killed
            )
        ):
            continue
        if one.answers != 1 or one.status <= 0 or one.ended > due:
            out.append(one)
    return out


def _due(one: Asked) -> float:
    """The last moment for its answer, on a rig that is punctual."""
    return one.sent + one.left + SLACK + KEPT_WITHIN


def excused(records: Records) -> list[Asked]:
    """Requests whose answer came late by no more than the rig's own loop was."""
    return [
        one
        for one in records.asked.values()
        if one.answers == 1
        and one.status > 0
        and _due(one) < one.ended <= _due(one) + records.lateness.between(one.sent, one.ended)
    ]


def after_answer(records: Records) -> list[Ran]:
    """Attempts that were sent after the request's answer had come back.

    By when they were sent: this process may come late to read what was sent before.
    """
    return [
        ran
        for ran in records.ran
        if ran.request in records.asked
        and records.asked[ran.request].status > 0
        and ran.sent > records.asked[ran.request].ended + SLACK
    ]


def undrained(records: Records, grace: float = 2.0) -> list[Ran]:
    """What servers began after the grace since all were told that they are to be left."""
    return [
        ran
        for ran in records.ran
        if ran.at > records.drained.get(ran.server, float("inf")) + grace + SLACK + KEPT_WITHIN
    ]


def misread(records: Records) -> list[Asked]:
    """Requests as every version has them that were taken for none."""
    return [one for one in records.asked.values() if 400 <= one.status < 500 and one.status != 429]


def story(records: Records, request: str) -> list[str]:
    """One request, as servers and clients saw it, with the versions and faults around it."""
    asked = records.asked.get(request)
    lines: list[tuple[float, str]] = []
    if asked is not None:
        lines.append((asked.sent, f"asked at {asked.node} as {asked.kind}, {asked.left:.2f} s left"))
        if asked.status:
            lines.append((asked.ended, f"answered {asked.status}" if asked.status > 0 else "no answer"))
    for ran in records.ran:
        if ran.request == request:
            lines.append((ran.at, f"begun at {ran.server} (cell {ran.cell}) for {ran.node}: {ran.how}"))
    if not lines:
        return []
    first, last = min(lines)[0] - 30.0, max(lines)[0] + 1.0
    lines += [(at, f"fault: {what}") for at, what in records.faults if first <= at <= last]
    lines += [
        (one.put, f"version {one.number} put ({one.state})")
        for one in records.versions
        if first <= one.put <= last
    ]
    start = min(lines)[0]
    return [f"{at - start:8.3f} s  {text}" for at, text in sorted(lines)]


def judge(records: Records, until: float, within: float) -> list[Breach]:
    """Every broken promise, with the story of the first request of each kind."""
    late = [found for found in contradictions(records) if found[0] > within]
    found: Iterable[tuple[str, list[str]]] = (
        ("a request was lost or answered twice", [one.request for one in lost(records, until)]),
        ("a good request was taken for none", [one.request for one in misread(records)]),
        ("a drain was not kept", [one.request for one in undrained(records)]),
        ("an effect twice", [one.request for one in twice(records)]),
        ("refused though it may have run", [one.request for one in refused_begun(records)]),
        ("sent after the final answer", [one.request for one in after_answer(records)]),
        (f"an act that contradicts later than {within:g} s", [ran.request for _, ran, _ in late]),
    )
    return [
        Breach(f"{rule} ({len(requests)})", requests[0], story(records, requests[0]))
        for rule, requests in found
        if requests
    ]


def summary(records: Records, until: float, within: float) -> dict[str, Any]:
    """The figures of a run, as a table's cells."""
    contra = contradictions(records)
    statuses = Counter(one.status for one in records.asked.values())
    return {
        "commands": len(records.asked),
        "served": statuses[200],
        "refused": statuses[503],
        "failed": statuses[502],
        "misread": len(misread(records)),
        "begun": len(records.ran),
        "repeats": sum(len(runs) - 1 for runs in attempts(records).values()),
        "contradictions": len(contra),
        "late_contradictions": sum(found[0] > within for found in contra),
        "worst_contradiction_ms": round(1000 * max((found[0] for found in contra), default=0.0), 1),
        "bound_ms": round(1000 * within, 1),
        "lost": len(lost(records, until)),
        "undrained": len(undrained(records)),
        "unsafe_twice": len(twice(records)),
        "refused_begun": len(refused_begun(records)),
        "after_answer": len(after_answer(records)),
        "rig_late_ms": round(1000 * records.lateness.worst, 1),
        "late_by_the_rig": len(excused(records)),
    }
