"""Checks the fleet simulator (accuracy, speed, reproducibility) and compares the design with all baselines.

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
from wheatroute.fleet.policies import DESIGN, decision_maker_factory  # noqa: E402
from wheatroute.fleet.queue_simulation import simulate_queues  # noqa: E402
from wheatroute.fleet.runner import simulate_run, simulate_runs  # noqa: E402
from wheatroute.fleet.world import World  # noqa: E402

TRUE_STATE_POLICIES = ("shortest_queue", "two_true_choices", "top")


def closed_form_errors(jobs, seeds):
    """Returns the relative errors of simulated means against their closed forms."""

    def mean_time_s(*queue):
        return sum(simulate_queues(*queue, jobs, seed).mean_time_s for seed in range(seeds)) / seeds

    ratios = {
        "M/M/1": mean_time_s(1, 1, "in_turn", 0.5, "exponential", 1.0) / closed_forms.mm1(0.5, 1.0),
        "M/G/1, cv 1.5": mean_time_s(1, 1, "in_turn", 0.5, "lognormal", 1.5)
        / closed_forms.mg1(0.5, 1.0, 1.5),
        "M/M/4": mean_time_s(1, 4, "in_turn", 0.7, "exponential", 1.0) / closed_forms.mmc(0.7, 1.0, 4),
        "sharing, cv 2": mean_time_s(1, 1, "sharing", 0.5, "bimodal", 2.0) / closed_forms.mm1(0.5, 1.0),
    }
    rejected = (
        sum(
            simulate_queues(1, 2, "in_turn", 0.9, "exponential", 1.0, jobs, seed, queue_capacity=3).rejected
            for seed in range(seeds)
        )
        / seeds
    )
    ratios["M/M/2/5 lost"] = rejected / closed_forms.mmck(0.9, 2, 5)
    return {name: ratio - 1.0 for name, ratio in ratios.items()}


def speed(servers, nodes, rate, seconds):
    """Simulates one tier of a size; returns its events per second and cost per request in real time."""
    work_s = 2.0 * servers * 0.5 / rate
    fleet = {
        "length": seconds,
        "nodes": nodes,
        "tiers": [{"name": "only", "servers": servers}],
        "kinds": [{"name": "look", "work": work_s}],
        "callers": {"load": 0.5},
    }
    started_at = time.perf_counter()
    world = World(plan.parse_plan(fleet), 1, decision_maker_factory(DESIGN)).run()
    elapsed_s = time.perf_counter() - started_at
    return {
        "servers": servers,
        "nodes": nodes,
        "commands": len(world.clients.requests),
        "took_s": round(elapsed_s, 2),
        "events_per_s": round(world.engine.call_count / elapsed_s),
        "us_a_command": round(1e6 * elapsed_s / len(world.clients.requests), 1),
        "breaks": sum(world.rules.counts.values()),
    }


def is_reproducible():
    """Returns whether two runs of a day with faults give the same bytes."""
    run = Run(run_id="-", point={}, policy=DESIGN, seed=1, fleet=scenarios.scenario_plan("crash", 8))
    first, second = (hashlib.sha256(simulate_run(run).encode()).hexdigest() for _ in range(2))
    return first == second


def decisions(days, sizes, policies, seeds, workers):
    """Runs every policy on every day and size; returns the records."""
    runs = [
        Run(
            run_id=f"{day}/{size}/{policy}/{seed}",
            point={"day": day, "size": size},
            policy=policy,
            seed=seed,
            fleet=scenarios.scenario_plan(day, scenarios.SIZES[size]),
        )
        for size in sizes
        for day in days
        for policy in policies
        for seed in range(1, seeds + 1)
    ]
    return list(simulate_runs(runs, workers))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    parser.add_argument("--size", default="small,middle")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--into", default="", help="write the report of all runs to this file")
    args = parser.parse_args()
    write = (lambda *values: None) if args.json else print
    errors = closed_form_errors(40_000 if args.short else 400_000, 3 if args.short else 5)
    write("relative errors against closed forms:", {name: round(error, 4) for name, error in errors.items()})
    sizes = (
        [(64, 16, 1000.0, 5.0)]
        if args.short
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
        write("speed:", one)
    same = is_reproducible()
    write("same bytes:", same)
    if args.short:
        days, played_at, policies, seeds = (
            ["calm", "rush", "slow"],
            ["small"],
            [DESIGN, "random", "two_choices", "shortest_queue", "top"],
            3,
        )
    else:
        days, played_at = list(scenarios.SCENARIOS), args.size.split(",")
        policies, seeds = [DESIGN, *sorted(baselines.BASELINES)], args.seeds
    records = decisions(days, played_at, policies, seeds, args.workers)
    page = report.markdown_report("The design beside every baseline", records)
    write(page)
    if args.into:
        Path(args.into).write_text(page, encoding="utf-8")

    def best_mean_value(names):
        means = []
        for name in names:
            values = [record.figures.value for record in records if record.policy == name]
            if values:
                means.append(sum(values) / len(values))
        return max(means)

    figures = {
        "events_per_s": speeds[0]["events_per_s"],
        "closed_form_worst_error": max(abs(error) for error in errors.values()),
        "same_bytes": same,
        "rule_breaks": sum(one["breaks"] for one in speeds)
        + sum(sum(record.figures.violations) for record in records if record.policy == DESIGN),
        "design_utility": best_mean_value([DESIGN]),
        "best_baseline_utility": best_mean_value(
            [name for name in policies if name != DESIGN and name not in TRUE_STATE_POLICIES]
        ),
        "top_utility": best_mean_value(TRUE_STATE_POLICIES),
        "speeds": speeds,
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
