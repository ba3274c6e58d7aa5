"""Tests that the checks detect a violation of each of the four rules, by policies made for it."""

from dataclasses import replace
from functools import partial

import pytest

from fleet.simulated_runs import fault, simulate
from wheatroute.fleet import baselines


class RuleBreaker(baselines.RandomChoice):
    """Violates a rule in the way that `violation` names; the cases below give the rule of each."""

    violation = ""

    def handle_events(self, now, events, writer):
        super().handle_events(now, events, writer)
        for number, request in list(self._pending.items()):
            is_first = request.in_flight == 1 and len(request.servers) == 1
            if self.violation == "twice" and is_first and request.class_number == 2:
                self._send(number, request, writer)
            if self.violation == "too many" and is_first and request.class_number == 0:
                self._send(number, request, writer)
            if self.violation == "two answers" and request.in_flight and self.rng.random() < 0.2:
                writer.fail(number)
                writer.fail(number)
        if self.violation == "drained":
            self.live = list(range(len(self.node.servers)))
        if self.violation == "forgets":
            abandoned = [
                number
                for number, request in self._pending.items()
                if request.in_flight and self.rng.random() < 0.5
            ]
            for number in abandoned:
                self.node.requests[number].in_flight += 1
                del self._pending[number]

    def choose(self, candidates, class_number):
        warming = [server for server in candidates if self.node.servers[server].warmup_share() < 1.0]
        return (
            warming[0] if self.violation == "cold" and warming else super().choose(candidates, class_number)
        )


def rule_breaker(violation, *arguments):
    policy = RuleBreaker(*arguments)
    policy.violation = violation
    if violation == "too many":
        policy.settings = replace(policy.settings, max_attempts=2)
    return policy


@pytest.mark.parametrize(
    "violation, rule, changes",
    [
        ("twice", 2, {}),
        ("too many", 2, {"most_relays": 1}),
        ("two answers", 1, {}),
        ("drained", 3, {"faults": fault("deploy", part=0.9, every=0.5), "rules": {"drain_grace": 0.2}}),
        (
            "cold",
            4,
            {
                "faults": fault("crash", part=0.2, length=1.0),
                "callers": {"load": 0.7},
                "rules": {"fall_multiple": 1.2},
            },
        ),
        ("forgets", 1, {"faults": fault("hang", part=1.0, length=30.0)}),
    ],
)
def test_a_violation_is_detected_and_described(violation, rule, changes):
    world = simulate(make_decision_maker=partial(rule_breaker, violation), **changes)
    assert world.rules.counts[rule] > 0
    assert any(found.rule == rule and "node" in found.description for found in world.rules.violations)
