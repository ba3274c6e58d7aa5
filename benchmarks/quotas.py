"""Measures what tenants' quotas cost a primary, and how close tenants get to the quota rule under faults.

Measures the processor time and the size of one usage report with 16 tenants: a regular one, and the first one
that a new primary gets from each node, with its recent usage. Also prints, for random runs of a simulated
fleet (`tests/soak`), the largest fraction of the allowed tokens that a tenant used in a window, and the
fraction of requests that were rejected.

    python benchmarks/quotas.py                    63, 300 and 1,000 edge nodes; 12 random runs
    python benchmarks/quotas.py --short --json     20 edge nodes, 2 runs; one JSON object as the last line
"""

import json
import sys
import time
from pathlib import Path
from random import Random

import click
import msgspec

ROOT = Path(__file__).resolve().parent.parent
# Replaces this folder on the path, as it has a module with the name of a test folder.
sys.path[:1] = [str(ROOT), str(ROOT / "tests")]

from soak.random_faults import run_random_faults  # noqa: E402

from wheatroute.cluster.configuration import Tenant  # noqa: E402
from wheatroute.cluster.messages import USAGE_SLOT_S, QuotaDemand, UsageReport  # noqa: E402
from wheatroute.control.edge_nodes import EdgeNodes  # noqa: E402
from wheatroute.control.quotas import QuotaBuckets, handle_usage_report  # noqa: E402

TENANTS = 16
WINDOW_S = 8.0
SLOTS = round(WINDOW_S / USAGE_SLOT_S)
NODES, SHORT_NODES = (63, 300, 1000), (20,)
SEEDS, SHORT_SEEDS = range(300, 312), range(2)  # seeds of the random runs
EDGES, SHORT_EDGES = 63, 8  # edge nodes in the random runs


def make_report(node: str, rng: Random, has_recent_usage: bool) -> UsageReport:
    """Returns the usage report of a node on which every tenant had usage in every time slot."""
    recent = tuple(rng.randrange(20_000) for _ in range(SLOTS)) if has_recent_usage else ()
    demands = {f"t{number}": QuotaDemand(0.0, 0.0, 5_000.0, recent_usage=recent) for number in range(TENANTS)}
    return UsageReport(node, demands, recent_usage_span_s=WINDOW_S if has_recent_usage else None)


def report_cost(count: int) -> dict[str, float]:
    """Measures the microseconds and bytes of a report of each kind, with `count` nodes."""
    rng = Random(count)
    buckets, nodes = QuotaBuckets(190_000.0, 0.1, is_first=False), EdgeNodes(0.0, count)
    buckets.begin_term(0.0, count, WINDOW_S)
    tenants = [
        Tenant(f"t{number}", rate_per_s=190_000.0, burst=300_000.0, unit="token_usage")
        for number in range(TENANTS)
    ]
    buckets.configure(tenants, 0.0)
    names = [f"edge-{number}" for number in range(count)]
    figures = {}
    for kind, has_recent_usage in (("account", True), ("report", False)):
        reports = [make_report(name, rng, has_recent_usage) for name in names]
        began = time.process_time()
        for report in reports:
            handle_usage_report(buckets, nodes, 1.0, report)
        figures[f"{kind}_us"] = round((time.process_time() - began) / count * 1e6, 1)
        figures[f"{kind}_bytes"] = len(msgspec.msgpack.encode(reports[0]))
    return figures


def random_runs(seeds: range, edges: int) -> dict[str, float]:
    """Returns the largest used fraction in the runs of these seeds, and the fraction of rejected requests."""
    worst, rejected, sent = 0.0, 0, 0
    for seed in seeds:
        fleet, _, _ = run_random_faults(seed, edges)
        worst = max(worst, *(tenant.max_window()[0] for tenant in fleet.tenants))
        rejected += sum(tenant.rejected_count for tenant in fleet.tenants)
        sent += sum(tenant.rejected_count + len(tenant.usage) for tenant in fleet.tenants)
    return {"days": len(seeds), "worst": round(worst, 3), "refused": round(rejected / sent, 3)}


@click.command()
@click.option("--short", is_flag=True)
@click.option("--json", "as_json", is_flag=True)
def main(short: bool, as_json: bool) -> None:
    """Prints a line for each number of nodes, and one for the random runs."""
    figures: dict[str, dict[str, float]] = {}
    for count in SHORT_NODES if short else NODES:
        figures[f"{count} nodes"] = report_cost(count)
        print(f"{count} nodes:", figures[f"{count} nodes"], flush=True)
    figures["drawn"] = random_runs(SHORT_SEEDS, SHORT_EDGES) if short else random_runs(SEEDS, EDGES)
    print("random runs:", figures["drawn"])
    if as_json:
        print(json.dumps(figures))


if __name__ == "__main__":
    main()
