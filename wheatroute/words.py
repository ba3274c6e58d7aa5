"""The settings and numbering that the bench's link and the node on sockets share: their words and ours.

Outcomes and states in the simulator's words stay with the link, those on the sockets with the node.
"""

from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any
from urllib.parse import quote

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency

EFFECTS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
GROUPS = {"all": DeduplicationGroup.ALL, "zone": DeduplicationGroup.ZONE, "cell": DeduplicationGroup.CELL}
# what load reports tell: the simulator's names and those on the sockets, and ours
FIGURES = {
    "active": "held",
    "waiting": "queued",
    "cpu": "busy",
    "avg_ms": "service_ms",
    "rps": "rate",
    "err_rps": "error_rate",
    "inflight": "held",
    "queue": "queued",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "rate",
    "eps": "error_rate",
}


PLAIN = "!$&'()*+,;=:@"  # stand for themselves in a path, whether or not they are encoded


class Numbers(dict[str, int]):
    """Gives each name it has not met the next number."""

    def __missing__(self, name: str) -> int:
        self[name] = number = len(self)
        return number


def spelt(numbers: Mapping[str, int], *spellings: Callable[[str], bytes]) -> dict[bytes, int]:
    """Names as they come on the wire.

    Guards against one tenant's requests counted as another's, or as nobody's, where names are not ASCII.
    What is one name in an earlier spelling is no other's in a later one.
    """
    found: dict[bytes, int] = {}
    for spelling in spellings:
        for name, number in numbers.items():
            with suppress(UnicodeEncodeError):
                found.setdefault(spelling(name), number)
    return found


def in_path(numbers: Mapping[str, int]) -> dict[bytes, int]:
    return spelt(
        numbers,
        lambda name: quote(name, safe="").encode(),
        lambda name: quote(name, safe=PLAIN).encode(),
        str.encode,
    )


def in_header(numbers: Mapping[str, int]) -> dict[bytes, int]:
    return spelt(
        numbers, str.encode, lambda name: quote(name, safe="").encode(), lambda name: name.encode("latin-1")
    )


# our name: (path on the wire, what stands in where it is absent)
TERMS: dict[str, tuple[str, Any]] = {
    "nodes": ("balancers", 1),
    "node": ("me", 0),
    "tick": ("tick", 0.005),
    "tier": ("tier", 0),
    "hedges": ("allowed.second-copies", False),
    "withdrawals": ("allowed.cancel", False),
    "probes": ("allowed.probes", False),
    "peers": ("allowed.peers", False),
    "refusal_advice": ("allowed.retry-after", False),
    "longest_advice": ("allowed.max-retry-after", 0.0),
    "most_attempts": ("allowed.most-relays", 1),
    "connect_within": ("allowed.connect-timeout", 0.0),
    "idle_closed": ("allowed.conn-idle", float("inf")),
    "calls_per_connection": ("allowed.streams-per-conn", 1),
    "most_open": ("allowed.max-open", 0),
    "excess_worth": ("excess-utility", 1.0),
    "time_left_passed_on": ("family-info.passes-deadline", None),
    "connection_price": ("tariffs.connection", 0.0),
    "crossing_price": ("tariffs.cross-zone", 0.0),
    "waste_price": ("tariffs.waste", 0.0),
    "late_price": ("tariffs.late-fail", 0.0),
    "report_how": ("report.how", "none"),
    "answer_slack": ("rules.answer-slack", 0.0),
    "ask_within": ("rules.ask-within", 0.0),
    "cold_time": ("rules.cold", 0.0),
    "cold_share": ("rules.cold-share", 1.0),
    "drain_grace": ("rules.drain-grace", 0.0),
    "fall_span": ("rules.fall", 0.0),
    "fall_multiple": ("rules.fall-multiple", 1.0),
}


def _dig(info: dict[str, Any], path: str, default: Any) -> Any:
    here: Any = info
    for name in path.split("."):
        here = here.get(name) if isinstance(here, dict) else None
    return default if here is None else here


def _request_class(info: dict[str, Any]) -> dict[str, Any]:
    deadline = info.get("hard-stop", 0.0)
    return {
        "target_latency": info.get("target-time", deadline),
        "stretch": info.get("aim-stretch", 0.0),
        "deadline": deadline,
        "worth": info.get("utility", 1.0),
        "late_worth": info.get("overdue-utility", 0.0),
        # a word not known here is taken for the strictest
        "effect": EFFECTS.get(info.get("effect", ""), Idempotency.NON_IDEMPOTENT),
        "group": GROUPS.get(info.get("group", "all"), DeduplicationGroup.CELL),
        "repeat_window": info.get("repeat-window", 0.0),
        "streamed": info.get("streamed", False),
    }


def terms(info: dict[str, Any], zones: dict[str, int]) -> dict[str, Any]:
    """The settings under our names, names of places, classes and tenants turned to numbers."""
    out = {name: _dig(info, path, default) for name, (path, default) in TERMS.items()}
    out["zone"] = zones.get(info.get("zone", ""), 0)
    out["zones"] = max(1, len(info.get("dcs") or []))
    out["tiers"] = len(info.get("tiers") or [None])
    out["list_on_request"] = info.get("membership-mode") == "on_request"
    out["reported"] = [FIGURES.get(name, name) for name in _dig(info, "report.fields", [])]
    out["work_counts"] = info.get("utility-basis") == "work"
    out["request_classes"] = [_request_class(kind) for kind in info.get("traffic-types") or []]
    out["tenants"] = [
        {"portion": one.get("portion", 0.0), "quota": one.get("quota-rps", 0.0)}
        for one in info.get("tenants") or []
    ]
    return out
