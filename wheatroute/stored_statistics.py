"""Exports server statistics as plain data with ages, for storage, and restores them. No I/O, no decisions.

Restoring skips a server that isn't ready in the server list, and one with a value that isn't a finite number,
is out of range or refers to the future; the other servers are restored. Stored snapshots contain the keys, so
the keys must not change.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any

from wheatroute.decide import Balancer

MAX_AGE_S = 3600.0  # maximum age of a restored statistic, and maximum length of a restored ejection
KEYS = ("latency", "weight", "age", "errors", "barred_for", "penalty")


def export_statistics(
    balancer: Balancer, numbers: Mapping[str, int], now: float
) -> dict[str, dict[str, float]]:
    """Returns the statistics of ready servers by name; `numbers` has the server numbers by name.

    `now` is a time on the clock of `Balancer.handle_events`. Latencies are in multiples of their class's
    mean; ages, remaining ejection times and ejection durations are in seconds.
    """
    servers = balancer.servers
    exported = {}
    for name, server in numbers.items():
        if server >= len(servers.is_ready) or not servers.is_ready[server]:
            continue
        if servers.weight[server] or servers.ejected_until[server]:
            ejected_until = servers.ejected_until[server]
            exported[name] = {
                "latency": servers.latency[server],
                "weight": servers.weight[server],
                "age": now - servers.latency_at[server],
                "errors": servers.error_rate[server],
                "barred_for": ejected_until - now if ejected_until else 0.0,
                "penalty": servers.ejection_s[server],
            }
    return exported


def restore_statistics(
    balancer: Balancer, stored: Any, numbers: Mapping[str, int], now: float, age_s: float
) -> int:
    """Restores statistics exported `age_s` seconds ago; returns the number of servers restored.

    Servers that already have statistics are skipped. The load-balancing weights are updated at the next tick.
    """
    servers, count = balancer.servers, 0
    for name, values in stored.items() if isinstance(stored, dict) else ():
        server = numbers.get(name, -1)
        if not 0 <= server < len(servers.is_ready) or servers.weight[server] or not _is_valid(values, age_s):
            continue
        servers.latency[server], servers.weight[server] = values["latency"], values["weight"]
        servers.latency_at[server], servers.error_rate[server] = now - values["age"] - age_s, values["errors"]
        if values["penalty"]:
            # The server stays ejected until it passes a half-open trial; the trial is due at once if its time
            # has passed.
            servers.ejected_until[server] = now + values["barred_for"] - age_s
            servers.ejection_s[server] = values["penalty"]
        count += 1
    return count


def _is_valid(values: Any, age_s: float) -> bool:
    if not isinstance(values, dict) or not all(isinstance(values.get(key), int | float) for key in KEYS):
        return False
    return (
        all(isfinite(values[key]) and abs(values[key]) <= MAX_AGE_S for key in KEYS)
        and all(values[key] >= 0.0 for key in KEYS if key != "barred_for")
        and values["errors"] <= 1.0
        and values["age"] + age_s <= MAX_AGE_S
    )
