"""What the module learned of each server, as plain data with ages, and back. Free of I/O; decides nothing.

Owns the form in which this outlives a process. It must never bring back a figure that is not finite, a moment
in the future, or a server that the list does not have: each is left out by itself.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any

from wheatroute.decide import Balancer

LONGEST = 3600.0  # seconds: nothing learned is older, no bar is longer


def learned(balancer: Balancer, names: Mapping[str, int], now: float) -> dict[str, dict[str, float]]:
    """By the servers' names: latency (in multiples of the class's mean), weight, errors, bars; ages in s."""
    servers = balancer.servers
    out = {}
    for name, server in names.items():
        if (
            server < len(servers.is_ready)
            and servers.is_ready[server]
            and (servers.weight[server] or servers.ejected_until[server])
        ):
            out[name] = {
                "latency": servers.latency[server],
                "weight": servers.weight[server],
                "age": now - servers.latency_at[server],
                "errors": servers.error_rate[server],
                "barred_for": servers.ejected_until[server] - now if servers.ejected_until[server] else 0.0,
                "penalty": servers.ejection_s[server],
            }
    return out


def recall(balancer: Balancer, told: Any, names: Mapping[str, int], now: float, since: float) -> int:
    """Brings back what was learned `since` seconds ago of servers of which nothing is known; how many.

    The split follows with the module's next beat, within a quarter of a second.
    """
    servers, count = balancer.servers, 0
    for name, one in told.items() if isinstance(told, dict) else ():
        server = names.get(name, -1)
        if not 0 <= server < len(servers.is_ready) or servers.weight[server] or not _fit(one, since):
            continue
        servers.latency[server], servers.weight[server] = one["latency"], one["weight"]
        servers.latency_at[server], servers.error_rate[server] = now - one["age"] - since, one["errors"]
        if one["penalty"]:
            # the bar holds on until its trial, at once if its time has gone by
            servers.ejected_until[server], servers.ejection_s[server] = (
                now + one["barred_for"] - since,
                one["penalty"],
            )
        count += 1
    return count


def _fit(one: Any, since: float) -> bool:
    names = ("latency", "weight", "age", "errors", "barred_for", "penalty")
    if not isinstance(one, dict) or not all(isinstance(one.get(name), int | float) for name in names):
        return False
    return (
        all(isfinite(one[name]) and abs(one[name]) <= LONGEST for name in names)
        and all(one[name] >= 0.0 for name in names if name != "barred_for")
        and one["errors"] <= 1.0
        and one["age"] + since <= LONGEST
    )
