"""Measures the cost of decisions, and checks that they are the same as those of an earlier commit.

A simulated host in virtual time (servers of unequal speed, scripted faults) sends requests to `Balancer`, for
several numbers of servers. To compare decisions, the current package and that of an earlier commit get the
same events. Only the time inside `Balancer.handle_events` is measured by a real clock.

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

# The commit that decisions are compared with: the last one with the earlier names.
BASE = "a3a74a3"
# Test modules whose tests are run with both packages.
SCENARIOS = sorted((ROOT / "tests" / "balancing").glob("test_*.py"))
REQUEST_INTERVAL_S = 0.0005
SERVICE_TIME_S = 0.02

# Names in the package of BASE by current name, where they differ.
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
    """Context in which imports of `wheatroute` find the package as of a commit instead of the current one."""
    present = {name: sys.modules.pop(name) for name in list(sys.modules) if _is_package_module(name)}
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
            for name in [name for name in sys.modules if _is_package_module(name)]:
                del sys.modules[name]
            sys.modules.update(present)


def _is_package_module(name: str) -> bool:
    return name == "wheatroute" or name.startswith("wheatroute.")


def module_at(commit: str) -> ModuleType:
    """Imports the decision module, with everything that it imports, as of a commit."""
    with package_at(commit):
        return importlib.import_module("wheatroute.decide")


class EarlierCommands:
    """Passes the commands of an earlier module on to a current writer, under their current names."""

    def __init__(self, writer: Any) -> None:
        for present, earlier in EARLIER_COMMANDS.items():
            setattr(self, earlier, getattr(writer, present))
        self._writer = writer

    def __getattr__(self, name: str) -> Any:
        return getattr(self._writer, name)


class EarlierBalancer:
    """Adapts the `Balancer` of an earlier commit to the current interface."""

    def __init__(self, module: ModuleType, settings: Any, rng: random.Random) -> None:
        self._balancer = module.Balancer(earlier_settings(settings), rng)

    def handle_events(self, now: float, events: Any, writer: Any) -> None:
        """Handles a batch of events; settings in it are converted to their earlier names."""
        if any(event[0] == Event.SETTINGS_CHANGED for event in events):
            events = [
                (event[0], earlier_settings(event[1]), event[2])
                if event[0] == Event.SETTINGS_CHANGED
                else event
                for event in events
            ]
        self._balancer.round(now, events, EarlierCommands(writer))


def earlier_settings(settings: Any) -> Any:
    """Converts decision settings to the form of the module of BASE: dicts, without keys that are None."""
    if isinstance(settings, DecisionSettings | RequestClass | TenantQuota):
        values = {field.name: getattr(settings, field.name) for field in fields(settings)}
        return {
            EARLIER_FIELDS.get(name, name): earlier_settings(value)
            for name, value in values.items()
            if value is not None
        }
    if isinstance(settings, list | tuple):
        return [earlier_settings(item) for item in settings]
    return settings


def decision_settings(nodes: int = 1, **changes: Any) -> DecisionSettings:
    """Returns the settings that simulations run with."""

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

    defaults = DecisionSettings(
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
    return replace(defaults, **changes)


class SimulatedHost:
    """A host in virtual time: requests at a constant rate, servers of unequal speed, optional faults."""

    def __init__(
        self,
        servers: int,
        seed: int,
        has_faults: bool,
        request_interval_s: float = REQUEST_INTERVAL_S,
        service_time_s: float = SERVICE_TIME_S,
        zones: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.servers, self.has_faults, self.request_interval_s, self.service_time_s, self.zones = (
            servers,
            has_faults,
            request_interval_s,
            service_time_s,
            zones,
        )
        self.speed = [self.rng.choice((0.8, 1.0, 1.6)) for _ in range(servers)]
        self.agenda: list[tuple[Any, ...]] = []
        self.sequence = 0
        self.finished: set[int] = set()
        self.attempt_counts: dict[int, int] = {}
        self.request_classes: dict[int, int] = {}
        self.batch_times: list[float] = []
        self.now = 1000.0
        self.final_counts: Counter[str] = Counter()
        self.load_of = [0] * servers
        # By (request, attempt number): (server, time sent).
        self.in_flight: dict[tuple[int, int], tuple[int, float]] = {}

    def schedule(self, moment: float, *what: Any) -> None:
        self.sequence += 1
        heappush(self.agenda, (moment, self.sequence, *what))

    def entries(
        self, numbers: range | list[int], state: ServerState = ServerState.LIVE, started: float = 0.0
    ) -> list[tuple[Any, ...]]:
        return [(s, s % self.zones, s % 3, s // 4, state, 1.0, started) for s in numbers]

    def run(self, balancer: Any, requests: int) -> "SimulatedHost":
        """Runs all requests to their end; events of the same moment are one batch."""
        self.schedule(self.now, "event", (Event.SERVERS_LISTED, self.entries(range(self.servers)), True))
        for n in range(requests):
            self.schedule(self.now + 0.001 + n * self.request_interval_s, "arrival", n)
        if self.has_faults:
            duration = requests * self.request_interval_s
            drained = [s for s in range(self.servers) if s % 8 == 3]
            self.schedule(
                self.now + 0.4 * duration,
                "event",
                (Event.SERVERS_LISTED, self.entries(drained, ServerState.DRAINING), False),
            )
            self.schedule(
                self.now + 0.6 * duration,
                "event",
                (
                    Event.SERVERS_LISTED,
                    self.entries(drained, ServerState.LIVE, self.now + 0.6 * duration),
                    False,
                ),
            )
        end = self.now + requests * self.request_interval_s + 4.0
        clock = time.perf_counter
        while self.agenda and self.agenda[0][0] <= end:
            moment, events = self.agenda[0][0], []
            self.now = moment
            while self.agenda and self.agenda[0][0] <= moment:
                _, _, what, *rest = heappop(self.agenda)
                events += getattr(self, "_" + what)(*rest)
            commands = RecordedCommands()
            began = clock()
            balancer.handle_events(moment, events, commands)
            self.batch_times.append(clock() - began)
            for name, *what in commands.commands:
                getattr(self, name)(*what)
        return self

    def _event(self, event: tuple[Any, ...]) -> list[tuple[Any, ...]]:
        return [event]

    def _arrival(self, n: int) -> list[tuple[Any, ...]]:
        self.request_classes[n] = n % 3
        return [(Event.ARRIVED, n, n % 3, 3.0, n % 2, False)]

    def _attempt_end(
        self, request: int, n: int, server: int, outcome: AttemptOutcome, elapsed: float
    ) -> list[tuple[Any, ...]]:
        if self.in_flight.pop((request, n), None) is None:
            return []  # it was canceled before
        self.load_of[server] -= 1
        is_finished = request in self.finished or outcome == AttemptOutcome.SERVED
        if outcome == AttemptOutcome.SERVED and request not in self.finished:
            self.finished.add(request)
            self.final_counts["served"] += 1
        report = {"held": float(self.load_of[server])} if self.rng.random() < 0.2 else None
        return [(Event.ATTEMPT_ENDED, request, n, server, outcome, elapsed, is_finished, report)]

    # methods of `CommandWriter`

    def attempt(self, request: int, server: int, timeout_s: float) -> None:
        if request in self.finished:
            raise AssertionError("attempt after the final answer")
        n = self.attempt_counts.get(request, 0)
        self.attempt_counts[request] = n + 1
        self.load_of[server] += 1
        elapsed = (
            self.service_time_s
            * self.rng.uniform(0.5, 1.5)
            / self.speed[server]
            * (1 + self.load_of[server] / 8)
        )
        outcome, draw = AttemptOutcome.SERVED, self.rng.random()
        if self.has_faults:
            is_faulty_phase = (self.now - 1000.0) % 8.0 > 4.0
            if server % 16 == 5 and is_faulty_phase:
                outcome, elapsed = AttemptOutcome.TIMED_OUT, timeout_s
            elif server % 16 == 7 and is_faulty_phase:
                outcome, elapsed = AttemptOutcome.ERROR, 0.001
            elif server % 32 == 9:
                elapsed *= 20
            elif draw < 0.01:
                outcome = (
                    AttemptOutcome.FULL,
                    AttemptOutcome.RESET,
                    AttemptOutcome.UNCONNECTED,
                    AttemptOutcome.UNKNOWN,
                )[int(draw * 400)]
        if elapsed >= timeout_s:
            outcome, elapsed = AttemptOutcome.TIMED_OUT, timeout_s
        self.in_flight[request, n] = server, self.now
        self.schedule(self.now + elapsed, "attempt_end", request, n, server, outcome, elapsed)

    def cancel(self, request: int, n: int) -> None:
        if (request, n) not in self.in_flight:
            return
        server, sent = self.in_flight[request, n]
        self.schedule(
            self.now + 0.001, "attempt_end", request, n, server, AttemptOutcome.WITHDRAWN, self.now - sent
        )

    def reject(self, request: int, retry_after_s: float) -> None:
        self._end(request, "refused")

    def fail(self, request: int) -> None:
        self._end(request, "failed")

    def _end(self, request: int, outcome: str) -> None:
        if request in self.finished:
            raise AssertionError("second final answer for a request")
        self.finished.add(request)
        self.final_counts[outcome] += 1

    def wake_at(self, moment: float) -> None:
        self.schedule(moment, "event", (Event.TIMER_DUE,))

    def watch(self, enable: bool) -> None:
        pass

    def fetch(self) -> None:
        pass

    probe = close = log = lambda self, *_: None


class RecordedCommands:
    """A `CommandWriter` that records the commands of a batch."""

    def __init__(self) -> None:
        self.commands: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Any:
        def write(*what: Any) -> None:
            self.commands.append((name, *what))

        setattr(self, name, write)
        return write


class ComparingBalancer:
    """Runs the current and an earlier balancer on the same events and compares their commands.

    Only the commands of the current one are executed.
    """

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
        present, earlier = RecordedCommands(), RecordedCommands()
        self._earlier.handle_events(now, list(events), earlier)
        self._present.handle_events(now, events, present)
        for name, *arguments in present.commands:
            getattr(writer, name)(*arguments)
        self.tally["rounds"] += 1
        self.tally["writes"] += len(present.commands)
        if earlier.commands != present.commands:
            self.tally["differ"] += 1
            if len(self.first_differences) < 5:
                self.first_differences.append(
                    f"{now:.4f}: {earlier.commands[:4]}, now {present.commands[:4]}"
                )


def compare(commit: str, requests: int, with_scenarios: bool) -> Counter[str]:
    """Compares both modules in generated simulations of many shapes and in the tests of the balancer.

    The two changes that spread work over several batches are disabled here: they take effect from
    `MAX_SERVERS_PER_TICK` servers in the subset and `MAX_SCANS` waiting requests on, and their effect is
    judged by the simulator.
    """
    earlier = module_at(commit)
    ComparingBalancer.tally, ComparingBalancer.first_differences = Counter(), []
    limits = server_subset.MAX_SERVERS_PER_TICK, decide.MAX_SCANS
    server_subset.MAX_SERVERS_PER_TICK = decide.MAX_SCANS = queue_management.MAX_SCANS = 10**9
    # The earlier module's names for these limits, if it has them.
    vars(earlier).update(LARGE=10**9, SORTED=10**9)

    def make_comparing(settings: Any, rng: random.Random) -> ComparingBalancer:
        return ComparingBalancer(earlier, settings, rng)

    shapes = [
        (8, 1, 0.0005, 0.02, 1, {}),
        (64, 1, 0.0005, 0.02, 1, {}),
        (8, 1, 0.002, 0.08, 1, {}),
        (16, 1, 0.0002, 0.02, 1, {}),
        (24, 12, 0.004, 0.05, 1, {}),
        (30, 1, 0.001, 0.05, 2, {"crossing_price": 0.1, "zones": 2}),
        (12, 2, 0.003, 0.1, 1, {"tier": 1, "tiers": 3}),
    ]
    for i, (servers, nodes, interval_s, service_time_s, zones, changes) in enumerate(shapes):
        for has_faults in (False, True):
            host = SimulatedHost(servers, 7 + i, has_faults, interval_s, service_time_s, zones)
            host.run(make_comparing(decision_settings(nodes, **changes), random.Random(i)), requests)
    if with_scenarios:
        _run_scenarios(make_comparing)
    server_subset.MAX_SERVERS_PER_TICK, decide.MAX_SCANS = limits
    queue_management.MAX_SCANS = decide.MAX_SCANS
    return ComparingBalancer.tally


def _run_scenarios(make_comparing: Callable[[Any, random.Random], ComparingBalancer]) -> None:
    """Runs the balancer's tests with both modules instead of one."""
    import balancer_host

    balancer_host.Balancer = make_comparing
    for path in SCENARIOS:
        for test_name, test in vars(importlib.import_module(path.stem)).items():
            if test_name.startswith("test_") and not test.__code__.co_argcount:
                test()
                ComparingBalancer.tally["scenarios"] += 1
    balancer_host.Balancer = decide.Balancer


def cost(
    make: Callable[[Any, random.Random], Any], servers: int, requests: int, has_faults: bool
) -> dict[str, float]:
    """Measures the microseconds per request and the times of batches.

    The batch with the first server list is reported apart from them.
    """
    host = SimulatedHost(servers, 5, has_faults)
    gc.collect()
    gc.disable()
    host.run(make(decision_settings(), random.Random(5)), requests)
    gc.enable()
    first, batches = host.batch_times[0], sorted(host.batch_times[1:])
    return {
        "us_command": round(sum(batches) / requests * 1e6, 1),
        "p99_ms": round(batches[int(len(batches) * 0.99)] * 1e3, 3),
        "worst_ms": round(batches[-1] * 1e3, 3),
        "first_list_ms": round(first * 1e3, 3),
        "served": host.final_counts["served"] / requests,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--against", metavar="COMMIT", help="compare with the package of this commit")
    parser.add_argument("--short", action="store_true", help="fewer requests, ends within 45 s")
    parser.add_argument("--json", action="store_true", help="one JSON object as the last line")
    parser.add_argument("--rough", action="store_true", help="measure the cost with faults")
    options = parser.parse_args()
    requests = 12000 if options.short else 30000
    out: dict[str, Any] = {}
    for servers in (8, 64, 512):
        figures = cost(decide.Balancer, servers, requests, options.rough)
        print(f"{servers:>5} servers  {figures}")
        out[str(servers)] = figures
        if options.against and not options.short:
            earlier = partial(EarlierBalancer, module_at(options.against))
            print(f"      {options.against}  {cost(earlier, servers, requests, options.rough)}")
    commit = options.against or BASE
    try:
        tally = compare(commit, 2500 if options.short else 8000, with_scenarios=True)
    except subprocess.CalledProcessError:
        print(f"commit {commit} is not available: nothing compared")
        tally = Counter()
    for line in ComparingBalancer.first_differences:
        print("different:", line)
    print(f"against {commit}: {dict(tally)}")
    if options.json:
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
