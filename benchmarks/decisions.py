"""What a decision costs, and that the decisions are those of an earlier commit.

A host in virtual time (servers of unequal speed, scripted faults) plays the same requests to `Balancer` at
several sizes of the tier, and to the present package and that of an earlier commit side by side. Only the
time inside `Balancer.handle_events` is measured by a real clock.

    python benchmarks/decisions.py                       cost at 8, 64 and 512 servers
    python benchmarks/decisions.py --against a3a74a3     also the cost of that commit
    python benchmarks/decisions.py --short --json        one JSON object as the last line
"""

import argparse
import gc
import importlib
import json
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import fields, replace
from functools import partial
from heapq import heappop, heappush
from pathlib import Path
from types import ModuleType
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "tests" / "balancing")]

from wheatroute import decide  # noqa: E402
from wheatroute.balancing import queue_management, server_subset  # noqa: E402
from wheatroute.balancing.interface import AttemptOutcome, DeduplicationGroup, Event, Idempotency, ServerState  # noqa: E402
from wheatroute.balancing.settings import DecisionSettings, RequestClass, TenantQuota  # noqa: E402

BASE = "a3a74a3"  # the last commit with the earlier names, which decisions are compared with
SCENARIOS = sorted((ROOT / "tests" / "balancing").glob("test_*.py"))  # test modules that are played to both
REQUEST_INTERVAL_S = 0.0005
SERVICE_TIME_S = 0.02

# names of the package of BASE, by the present ones, where they differ
EARLIER_COMMANDS = {
    "cancel": "withdraw",
    "reject": "refuse",
    "wake_at": "wake",
    "probe": "sound",
    "send_loads": "tell",
}

EARLIER_FIELDS = {
    "can_hedge": "hedges",
    "can_cancel": "withdrawals",
    "can_probe": "probes",
    "has_peers": "peers",
    "can_advise_retry": "refusal_advice",
    "max_retry_after_s": "longest_advice",
    "max_attempts": "most_attempts",
    "connect_timeout_s": "connect_within",
    "idle_timeout_s": "idle_closed",
    "max_open_connections": "most_open",
    "excess_value_factor": "excess_worth",
    "list_max_age_s": "ask_within",
    "warmup_s": "cold_time",
    "warmup_initial_share": "cold_share",
    "drain_grace_s": "drain_grace",
    "overload_window_s": "fall_span",
    "overload_multiple": "fall_multiple",
    "answer_slack_s": "answer_slack",
    "max_servers_per_tick": "large",
    "value": "worth",
    "late_value": "late_worth",
    "idempotency": "effect",
    "deduplication_group": "group",
    "retry_window": "repeat_window",
    "is_streamed": "streamed",
    "can_trial": "harmless",
}


@contextmanager
def package_at(commit: str) -> Iterator[None]:
    """Imports inside find the package `wheatroute` as a commit has it, and none of the present one."""
    present = {name: sys.modules.pop(name) for name in list(sys.modules) if _is_ours(name)}
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(
            ["git", "-C", str(ROOT), "archive", commit, "wheatroute"], capture_output=True, check=True
        )
        subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        sys.path.insert(0, folder)
        importlib.invalidate_caches()
        try:
            yield
        finally:
            sys.path.remove(folder)
            for name in [name for name in sys.modules if _is_ours(name)]:
                del sys.modules[name]
            sys.modules.update(present)


def _is_ours(name: str) -> bool:
    return name == "wheatroute" or name.startswith("wheatroute.")


def module_at(commit: str) -> ModuleType:
    """The decision module with all that it imports, as a commit has it."""
    with package_at(commit):
        return importlib.import_module("wheatroute.decide")


class EarlierCommands:
    """Gives the commands of an earlier module to a present writer, under their present names."""

    def __init__(self, writer: Any) -> None:
        for present, earlier in EARLIER_COMMANDS.items():
            setattr(self, earlier, getattr(writer, present))
        self._writer = writer

    def __getattr__(self, name: str) -> Any:
        return getattr(self._writer, name)


class EarlierBalancer:
    """The `Balancer` of an earlier commit behind the present interface."""

    def __init__(self, module: ModuleType, settings: Any, rng: random.Random) -> None:
        self._balancer = module.Balancer(earlier_settings(settings), rng)

    def handle_events(self, now: float, events: Any, writer: Any) -> None:
        """One event batch; settings in it are handed over under their earlier names."""
        if any(event[0] == Event.SETTINGS_CHANGED for event in events):
            events = [
                (event[0], earlier_settings(event[1]), event[2])
                if event[0] == Event.SETTINGS_CHANGED
                else event
                for event in events
            ]
        self._balancer.round(now, events, EarlierCommands(writer))


def earlier_settings(settings: Any) -> Any:
    """Decision settings as the module of BASE takes them: dicts, without keys that are None."""
    if isinstance(settings, DecisionSettings | RequestClass | TenantQuota):
        values = {field.name: getattr(settings, field.name) for field in fields(settings)}
        return {
            EARLIER_FIELDS.get(name, name): earlier_settings(value)
            for name, value in values.items()
            if value is not None
        }
    if isinstance(settings, list | tuple):
        return [earlier_settings(one) for one in settings]
    return settings


def decision_settings(nodes: int = 1, **changes: Any) -> DecisionSettings:
    """The settings that days are played with."""

    def request_class(
        idempotency: Idempotency, value: float, group: DeduplicationGroup = DeduplicationGroup.ALL
    ) -> RequestClass:
        return RequestClass(
            target_latency=1.0,
            deadline=3.0,
            value=value,
            late_value=0.2,
            idempotency=idempotency,
            deduplication_group=group,
            retry_window=2.0,
        )

    usual = DecisionSettings(
        nodes=nodes,
        tick=0.001,
        can_hedge=True,
        can_cancel=True,
        can_advise_retry=True,
        max_retry_after_s=2.0,
        max_attempts=4,
        connect_timeout_s=0.1,
        excess_value_factor=0.05,
        idle_timeout_s=30.0,
        list_max_age_s=10.0,
        warmup_s=20.0,
        warmup_initial_share=0.1,
        drain_grace_s=0.5,
        overload_window_s=3.0,
        overload_multiple=3.0,
        tenants=[TenantQuota(0.5, 900.0), TenantQuota(0.5, 900.0)],
        request_classes=[
            request_class(Idempotency.IDEMPOTENT, 5.0),
            request_class(Idempotency.KEYED, 3.0, DeduplicationGroup.CELL),
            request_class(Idempotency.NON_IDEMPOTENT, 3.0),
        ],
    )
    return replace(usual, **changes)


class Day:
    """Requests at an even pace before servers of unequal speed, some in trouble, in virtual time."""

    def __init__(
        self,
        servers: int,
        seed: int,
        rough: bool,
        apart: float = REQUEST_INTERVAL_S,
        work: float = SERVICE_TIME_S,
        zones: int = 1,
    ) -> None:
        self.chance = random.Random(seed)
        self.servers, self.rough, self.apart, self.work, self.zones = servers, rough, apart, work, zones
        self.speed = [self.chance.choice((0.8, 1.0, 1.6)) for _ in range(servers)]
        self.heap: list[tuple[Any, ...]] = []
        self.order = 0
        self.over: set[int] = set()
        self.attempts: dict[int, int] = {}
        self.kinds: dict[int, int] = {}
        self.costs: list[float] = []
        self.now = 1000.0
        self.finals: Counter[str] = Counter()
        self.crowd = [0] * servers
        self.out: dict[tuple[int, int], tuple[int, float]] = {}  # attempts out: where to, and when they went

    def push(self, moment: float, *what: Any) -> None:
        self.order += 1
        heappush(self.heap, (moment, self.order, *what))

    def entries(
        self, numbers: range | list[int], state: ServerState = ServerState.LIVE, started: float = 0.0
    ) -> list[tuple[Any, ...]]:
        return [(s, s % self.zones, s % 3, s // 4, state, 1.0, started) for s in numbers]

    def play(self, balancer: Any, requests: int) -> "Day":
        """All requests and what becomes of them, one round for what falls on one moment."""
        self.push(self.now, "event", (Event.SERVERS_LISTED, self.entries(range(self.servers)), True))
        for n in range(requests):
            self.push(self.now + 0.001 + n * self.apart, "ask", n)
        if self.rough:
            length = requests * self.apart
            drained = [s for s in range(self.servers) if s % 8 == 3]
            self.push(
                self.now + 0.4 * length,
                "event",
                (Event.SERVERS_LISTED, self.entries(drained, ServerState.DRAINING), False),
            )
            self.push(
                self.now + 0.6 * length,
                "event",
                (
                    Event.SERVERS_LISTED,
                    self.entries(drained, ServerState.LIVE, self.now + 0.6 * length),
                    False,
                ),
            )
        end = self.now + requests * self.apart + 4.0
        clock = time.perf_counter
        while self.heap and self.heap[0][0] <= end:
            moment, events = self.heap[0][0], []
            self.now = moment
            while self.heap and self.heap[0][0] <= moment:
                _, _, what, *rest = heappop(self.heap)
                events += getattr(self, "_" + what)(*rest)
            notes = Notes()
            began = clock()
            balancer.handle_events(moment, events, notes)
            self.costs.append(clock() - began)
            for name, *what in notes.made:
                getattr(self, name)(*what)
        return self

    def _event(self, event: tuple[Any, ...]) -> list[tuple[Any, ...]]:
        return [event]

    def _ask(self, n: int) -> list[tuple[Any, ...]]:
        self.kinds[n] = n % 3
        return [(Event.ARRIVED, n, n % 3, 3.0, n % 2, False)]

    def _back(
        self, request: int, n: int, server: int, outcome: AttemptOutcome, took: float
    ) -> list[tuple[Any, ...]]:
        if self.out.pop((request, n), None) is None:
            return []  # it was withdrawn before
        self.crowd[server] -= 1
        finished = request in self.over or outcome == AttemptOutcome.SERVED
        if outcome == AttemptOutcome.SERVED and request not in self.over:
            self.over.add(request)
            self.finals["served"] += 1
        report = {"held": float(self.crowd[server])} if self.chance.random() < 0.2 else None
        return [(Event.ATTEMPT_ENDED, request, n, server, outcome, took, finished, report)]

    # the writer

    def attempt(self, request: int, server: int, time_out: float) -> None:
        if request in self.over:
            raise AssertionError("an attempt after the final answer")
        n = self.attempts.get(request, 0)
        self.attempts[request] = n + 1
        self.crowd[server] += 1
        took = self.work * self.chance.uniform(0.5, 1.5) / self.speed[server] * (1 + self.crowd[server] / 8)
        outcome, fate = AttemptOutcome.SERVED, self.chance.random()
        if self.rough:
            half = (self.now - 1000.0) % 8.0 > 4.0
            if server % 16 == 5 and half:
                outcome, took = AttemptOutcome.TIMED_OUT, time_out
            elif server % 16 == 7 and half:
                outcome, took = AttemptOutcome.ERROR, 0.001
            elif server % 32 == 9:
                took *= 20
            elif fate < 0.01:
                outcome = (
                    AttemptOutcome.FULL,
                    AttemptOutcome.RESET,
                    AttemptOutcome.UNCONNECTED,
                    AttemptOutcome.UNKNOWN,
                )[int(fate * 400)]
        if took >= time_out:
            outcome, took = AttemptOutcome.TIMED_OUT, time_out
        self.out[request, n] = server, self.now
        self.push(self.now + took, "back", request, n, server, outcome, took)

    def cancel(self, request: int, n: int) -> None:
        if (request, n) not in self.out:
            return
        server, sent = self.out[request, n]
        self.push(self.now + 0.001, "back", request, n, server, AttemptOutcome.WITHDRAWN, self.now - sent)

    def reject(self, request: int, stay_away: float) -> None:
        self._end(request, "refused")

    def fail(self, request: int) -> None:
        self._end(request, "failed")

    def _end(self, request: int, word: str) -> None:
        if request in self.over:
            raise AssertionError("a second final answer")
        self.over.add(request)
        self.finals[word] += 1

    def wake_at(self, moment: float) -> None:
        self.push(moment, "event", (Event.TIMER_DUE,))

    def watch(self, enable: bool) -> None:
        pass

    def fetch(self) -> None:
        pass

    probe = close = log = lambda self, *_: None


class Notes:
    """A writer that keeps decisions until the round is over."""

    def __init__(self) -> None:
        self.made: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Any:
        def write(*what: Any) -> None:
            self.made.append((name, *what))

        setattr(self, name, write)
        return write


class Twin:
    """The present module and an earlier one in one place: the first decides, the second is compared."""

    tally: Counter[str] = Counter()
    first_differences: list[str] = []

    def __init__(self, earlier: ModuleType, settings: Any, rng: random.Random) -> None:
        same_rng = random.Random()
        same_rng.setstate(rng.getstate())
        self._present = decide.Balancer(settings, rng)
        self._earlier = EarlierBalancer(earlier, settings, same_rng)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._present, name)

    def handle_events(self, now: float, events: Any, writer: Any) -> None:
        present, earlier = Notes(), Notes()
        self._earlier.handle_events(now, list(events), earlier)
        self._present.handle_events(now, events, present)
        for name, *arguments in present.made:
            getattr(writer, name)(*arguments)
        self.tally["rounds"] += 1
        self.tally["writes"] += len(present.made)
        if earlier.made != present.made:
            self.tally["differ"] += 1
            if len(self.first_differences) < 5:
                self.first_differences.append(f"{now:.4f}: {earlier.made[:4]} against {present.made[:4]}")


def compare(commit: str, requests: int, with_scenarios: bool) -> Counter[str]:
    """Both modules on generated days of many shapes, and on every scenario of the decisions.

    The two departures that spread work over rounds are off here: they begin with `MAX_SERVERS_PER_TICK`
    servers in the subset and with `MAX_SCANS` requests that wait, and what they change is for the bench to
    judge.
    """
    earlier = module_at(commit)
    Twin.tally, Twin.first_differences = Counter(), []
    usual = server_subset.MAX_SERVERS_PER_TICK, decide.MAX_SCANS
    server_subset.MAX_SERVERS_PER_TICK = decide.MAX_SCANS = queue_management.MAX_SCANS = 10**9
    vars(earlier).update(LARGE=10**9, SORTED=10**9)  # its own, where it has them

    def twin(settings: Any, rng: random.Random) -> Twin:
        return Twin(earlier, settings, rng)

    shapes = [
        (8, 1, 0.0005, 0.02, 1, {}),
        (64, 1, 0.0005, 0.02, 1, {}),
        (8, 1, 0.002, 0.08, 1, {}),
        (16, 1, 0.0002, 0.02, 1, {}),
        (24, 12, 0.004, 0.05, 1, {}),
        (30, 1, 0.001, 0.05, 2, {"crossing_price": 0.1, "zones": 2}),
        (12, 2, 0.003, 0.1, 1, {"tier": 1, "tiers": 3}),
    ]
    for i, (servers, nodes, apart, work, zones, changes) in enumerate(shapes):
        for rough in (False, True):
            day = Day(servers, 7 + i, rough, apart, work, zones)
            day.play(twin(decision_settings(nodes, **changes), random.Random(i)), requests)
    if with_scenarios:
        _play_scenarios(twin)
    server_subset.MAX_SERVERS_PER_TICK, decide.MAX_SCANS = usual
    queue_management.MAX_SCANS = decide.MAX_SCANS
    return Twin.tally


def _play_scenarios(twin: Callable[[Any, random.Random], Twin]) -> None:
    """The tests of the decisions, with both modules in the place of one."""
    import balancer_host

    balancer_host.Balancer = twin
    for path in SCENARIOS:
        for test_name, test in vars(importlib.import_module(path.stem)).items():
            if test_name.startswith("test_") and not test.__code__.co_argcount:
                test()
                Twin.tally["scenarios"] += 1
    balancer_host.Balancer = decide.Balancer


def cost(
    make: Callable[[Any, random.Random], Any], servers: int, requests: int, rough: bool
) -> dict[str, float]:
    """Microseconds a request and the spread of a round; the first list is taken in before."""
    day = Day(servers, 5, rough)
    gc.collect()
    gc.disable()
    day.play(make(decision_settings(), random.Random(5)), requests)
    gc.enable()
    first, rounds = day.costs[0], sorted(day.costs[1:])
    return {
        "us_command": round(sum(rounds) / requests * 1e6, 1),
        "p99_ms": round(rounds[int(len(rounds) * 0.99)] * 1e3, 3),
        "worst_ms": round(rounds[-1] * 1e3, 3),
        "first_list_ms": round(first * 1e3, 3),
        "served": day.finals["served"] / requests,
    }


def main() -> None:
    parse = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parse.add_argument("--against", metavar="COMMIT", help="compare with the package of this commit")
    parse.add_argument("--short", action="store_true", help="fewer requests, ends within 45 s")
    parse.add_argument("--json", action="store_true", help="one JSON object as the last line")
    parse.add_argument("--rough", action="store_true", help="cost on days with faults")
    told = parse.parse_args()
    requests = 12000 if told.short else 30000
    out: dict[str, Any] = {}
    for servers in (8, 64, 512):
        one = cost(decide.Balancer, servers, requests, told.rough)
        print(f"{servers:>5} servers  {one}")
        out[str(servers)] = one
        if told.against and not told.short:
            earlier = partial(EarlierBalancer, module_at(told.against))
            print(f"      {told.against}  {cost(earlier, servers, requests, told.rough)}")
    commit = told.against or BASE
    try:
        tally = compare(commit, 2500 if told.short else 8000, with_scenarios=True)
    except subprocess.CalledProcessError:
        print(f"no commit {commit}: nothing compared")
        tally = Counter()
    for line in Twin.first_differences:
        print("differs", line)
    print(f"against {commit}: {dict(tally)}")
    if told.json:
        print(
            json.dumps(
                {
                    "ratio_512_64": round(out["512"]["us_command"] / out["64"]["us_command"], 3),
                    "worst_round_ms_512": out["512"]["worst_ms"],
                    "same_decisions": bool(tally["rounds"]) and not tally["differ"],
                    "rounds_compared": tally["rounds"],
                    "writes_compared": tally["writes"],
                    "sizes": out,
                }
            )
        )


if __name__ == "__main__":
    main()
