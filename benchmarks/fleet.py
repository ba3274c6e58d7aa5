"""The emulator: how true, how fast, the same each time; and the design beside every baseline.

python benchmarks/fleet.py [--short] [--json] [--workers N] [--size small,middle,large] [--seeds N]
"""

import argparse
import hashlib
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from wheatroute.fleet import baselines, closed_forms, plan, report, scenarios  # noqa: E402
from wheatroute.fleet.experiment import Run  # noqa: E402
from wheatroute.fleet.policies import DESIGN, decisions_factory  # noqa: E402
from wheatroute.fleet.queue_simulation import simulate_queues  # noqa: E402
from wheatroute.fleet.runner import play_run, play_runs  # noqa: E402
from wheatroute.fleet.world import World  # noqa: E402

TRUE_STATE = ("shortest_queue", "two_true_choices", "top")


def closed_form_errors(jobs, seeds):
    """The worst share by which a mean of runs misses its closed form."""

    def time_of(*told):
        return sum(simulate_queues(*told, jobs, seed).mean_time_s for seed in range(seeds)) / seeds

    missed = {
        "M/M/1": time_of(1, 1, "in_turn", 0.5, "exponential", 1.0) / closed_forms.mm1(0.5, 1.0),
        "M/G/1, cv 1.5": time_of(1, 1, "in_turn", 0.5, "lognormal", 1.5) / closed_forms.mg1(0.5, 1.0, 1.5),
        "M/M/4": time_of(1, 4, "in_turn", 0.7, "exponential", 1.0) / closed_forms.mmc(0.7, 1.0, 4),
        "sharing, cv 2": time_of(1, 1, "sharing", 0.5, "bimodal", 2.0) / closed_forms.mm1(0.5, 1.0),
    }
    lost = (
        sum(
            simulate_queues(1, 2, "in_turn", 0.9, "exponential", 1.0, jobs, seed, queue_capacity=3).rejected
            for seed in range(seeds)
        )
        / seeds
    )
    missed["M/M/2/5 lost"] = lost / closed_forms.mmck(0.9, 2, 5)
    return {name: share - 1.0 for name, share in missed.items()}


def speed(servers, nodes, rate, seconds):
    """One tier at a size; events and requests a second of real time."""
    work = 2.0 * servers * 0.5 / rate
    told = {
        "length": seconds,
        "nodes": nodes,
        "tiers": [{"name": "only", "servers": servers}],
        "kinds": [{"name": "look", "work": work}],
        "callers": {"load": 0.5},
    }
    began = time.perf_counter()
    world = World(plan.parse_plan(told), 1, decisions_factory(DESIGN)).play()
    took = time.perf_counter() - began
    return {
        "servers": servers,
        "nodes": nodes,
        "commands": len(world.clients.requests),
        "took_s": round(took, 2),
        "events_per_s": round(world.engine.call_count / took),
        "us_a_command": round(1e6 * took / len(world.clients.requests), 1),
        "breaks": sum(world.rules.counts.values()),
    }


def same_bytes():
    """Whether two plays of a day with faults are one to the byte."""
    run = Run(run_id="-", point={}, policy=DESIGN, seed=1, fleet=scenarios.day("crash", 8))
    first, second = (hashlib.sha256(play_run(run).encode()).hexdigest() for _ in range(2))
    return first == second


def decisions(days, sizes, policies, seeds, workers):
    """Every policy on every day and size; the runs."""
    asked = [
        Run(
            run_id=f"{day}/{size}/{policy}/{seed}",
            point={"day": day, "size": size},
            policy=policy,
            seed=seed,
            fleet=scenarios.day(day, scenarios.SIZES[size]),
        )
        for size in sizes
        for day in days
        for policy in policies
        for seed in range(1, seeds + 1)
    ]
    return list(play_runs(asked, workers))


def main():
    args = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    args.add_argument("--short", action="store_true")
    args.add_argument("--json", action="store_true")
    args.add_argument("--workers", type=int, default=os.cpu_count())
    args.add_argument("--size", default="small,middle")
    args.add_argument("--seeds", type=int, default=5)
    args.add_argument("--into", default="", help="write the page of all runs into this file")
    told = args.parse_args()
    say = (lambda *words: None) if told.json else print
    missed = closed_form_errors(40_000 if told.short else 400_000, 3 if told.short else 5)
    say("closed forms, share missed:", {name: round(share, 4) for name, share in missed.items()})
    sizes = (
        [(64, 16, 1000.0, 5.0)]
        if told.short
        else [
            (10, 4, 1000.0, 20.0),
            (100, 20, 2000.0, 20.0),
            (1000, 20, 2000.0, 20.0),
            (1000, 200, 2000.0, 20.0),
            (1000, 200, 20000.0, 60.0),
        ]
    )
    speeds = [speed(*size) for size in sizes]
    for one in speeds:
        say("speed:", one)
    same = same_bytes()
    say("same bytes:", same)
    if told.short:
        days, played_at, policies, seeds = (
            ["calm", "rush", "slow"],
            ["small"],
            [DESIGN, "random", "two_choices", "shortest_queue", "top"],
            3,
        )
    else:
        days, played_at = list(scenarios.DAYS), told.size.split(",")
        policies, seeds = [DESIGN, *sorted(baselines.BASELINES)], told.seeds
    runs = decisions(days, played_at, policies, seeds, told.workers)
    page = report.page("The design beside every baseline", runs)
    say(page)
    if told.into:
        Path(told.into).write_text(page, encoding="utf-8")

    def worth(names):
        best = {}
        for name in names:
            mine = [run.figures.value for run in runs if run.policy == name]
            if mine:
                best[name] = sum(mine) / len(mine)
        return max(best.values())

    figures = {
        "events_per_s": speeds[0]["events_per_s"],
        "closed_form_worst_error": max(abs(share) for share in missed.values()),
        "same_bytes": same,
        "rule_breaks": sum(one["breaks"] for one in speeds)
        + sum(sum(run.figures.violations) for run in runs if run.policy == DESIGN),
        "design_utility": worth([DESIGN]),
        "best_baseline_utility": worth(
            [name for name in policies if name != DESIGN and name not in TRUE_STATE]
        ),
        "top_utility": worth(TRUE_STATE),
        "speeds": speeds,
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
