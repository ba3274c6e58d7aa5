"""What tenants' buckets cost a primary, and a whole fleet's worst window when primaries are lost.

Owns two figures. The first is the processor time and the size of one report with 16 tenants: a usual one, and
the first that a new primary gets of each node, with its account. The second is the largest part of what the
rule allows that a tenant used on drawn days of a played fleet (`tests/soak`), and how much was refused.

    python benchmarks/quotas.py                    63, 300 and 1,000 edge nodes; 12 drawn days
    python benchmarks/quotas.py --short --json     two small ones; one JSON object as the last line
"""

import json
import sys
import time
from pathlib import Path
from random import Random

import click
import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path[:1] = [str(ROOT), str(ROOT / "tests")]  # this folder has a module of a test folder's name

from soak.drawn import day  # noqa: E402

from wheatroute.cluster.configuration import Tenant  # noqa: E402
from wheatroute.cluster.messages import USAGE_SLOT_S, QuotaDemand, UsageReport  # noqa: E402
from wheatroute.control.edge_nodes import EdgeNodes  # noqa: E402
from wheatroute.control.quotas import QuotaBuckets, respond  # noqa: E402

TENANTS = 16
WINDOW_S = 8.0
SLOTS = round(WINDOW_S / USAGE_SLOT_S)
NODES, SHORT_NODES = (63, 300, 1000), (20,)
DAYS, SHORT_DAYS = range(300, 312), range(2)
EDGES, SHORT_EDGES = 63, 8


def report(node: str, chance: Random, account: bool) -> UsageReport:
    """What a node tells that has used every tenant in every slot of time."""
    recent = tuple(chance.randrange(20_000) for _ in range(SLOTS)) if account else ()
    needs = {f"t{number}": QuotaDemand(0.0, 0.0, 5_000.0, recent_usage=recent) for number in range(TENANTS)}
    return UsageReport(node, needs, recent_usage_span_s=WINDOW_S if account else None)


def cost(count: int) -> dict[str, float]:
    """Microseconds of one report of each kind, and bytes of an account, with so many nodes."""
    chance = Random(count)
    buckets, nodes = QuotaBuckets(190_000.0, 0.1, is_first=False), EdgeNodes(0.0, count)
    buckets.begin_term(0.0, count, WINDOW_S)
    tenants = [
        Tenant(f"t{number}", rate_per_s=190_000.0, burst=300_000.0, unit="token_usage")
        for number in range(TENANTS)
    ]
    buckets.configure(tenants, 0.0)
    names = [f"edge-{number}" for number in range(count)]
    found = {}
    for kind, account in (("account", True), ("report", False)):
        told = [report(name, chance, account) for name in names]
        begun = time.process_time()
        for one in told:
            respond(buckets, nodes, 1.0, one)
        found[f"{kind}_us"] = round((time.process_time() - begun) / count * 1e6, 1)
        found[f"{kind}_bytes"] = len(msgspec.msgpack.encode(told[0]))
    return found


def drawn(seeds: range, edges: int) -> dict[str, float]:
    """The worst of these days, and the part of requests that was refused."""
    worst, refused, asked = 0.0, 0, 0
    for seed in seeds:
        fleet, _, _ = day(seed, edges)
        worst = max(worst, *(tenant.most()[0] for tenant in fleet.tenants))
        refused += sum(tenant.refused for tenant in fleet.tenants)
        asked += sum(tenant.refused + len(tenant.used) for tenant in fleet.tenants)
    return {"days": len(seeds), "worst": round(worst, 3), "refused": round(refused / asked, 3)}


@click.command()
@click.option("--short", is_flag=True)
@click.option("--json", "as_json", is_flag=True)
def main(short: bool, as_json: bool) -> None:
    """Prints a line for each number of nodes, and one for the drawn days."""
    told: dict[str, dict[str, float]] = {}
    for count in SHORT_NODES if short else NODES:
        told[f"{count} nodes"] = cost(count)
        print(f"{count} nodes:", told[f"{count} nodes"], flush=True)
    told["drawn"] = drawn(SHORT_DAYS, SHORT_EDGES) if short else drawn(DAYS, EDGES)
    print("drawn:", told["drawn"])
    if as_json:
        print(json.dumps(told))


if __name__ == "__main__":
    main()
