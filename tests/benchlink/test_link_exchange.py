"""A complete exchange over the simulator's link: batches in, expected replies out.

The replies were recorded from an earlier release and must stay the same byte for byte.
"""

import orjson

from wheatroute.benchlink.host import Host

INFO = {
    "balancers": 1,
    "me": 0,
    "tick": 0.001,
    "tier": 0,
    "dcs": ["a", "b"],
    "skus": ["x"],
    "tiers": [{}],
    "zone": "a",
    "allowed": {
        "second-copies": True,
        "cancel": True,
        "most-relays": 3,
        "retry-after": True,
        "max-retry-after": 1.0,
    },
    "rules": {"answer-slack": 0.01, "cold": 0.0, "fall": 1.0, "fall-multiple": 3.0},
    "traffic-types": [
        {"name": "look", "hard-stop": 2.0, "target-time": 1.0, "utility": 2.0, "effect": "retryable"},
        {"name": "buy", "hard-stop": 2.0, "effect": "fragile"},
    ],
    "tenants": [{"name": "acme", "quota-rps": 50.0}],
}
HOSTS = [{"server": f"s{n}", "dc": "ab"[n % 2], "model": "x", "started-at": 0.0} for n in range(3)]


def batch(now, *events):
    return {"now": now, "nodes": [{"node": "n", "events": list(events)}]}


def returned(call, server, result="done", **extra):
    return {"m": "returned", "call": call, "n": 0, "server": server, "result": result, "took": 0.05, **extra}


REQUESTS = [
    {"m": "ask", "call": 100 + n, "band": "look", "left": 2.0, "client-group": "acme"} for n in range(4)
]
# (batch, decisions expected in its reply)
EXCHANGE = [
    (
        batch(
            0.0,
            {"m": "new-instance", "rng-seed": 7, "boot-info": INFO},
            {"m": "register", "roster-id": 1, "hosts": HOSTS},
            {"m": "targets", "form": "full", "roster-id": 1},
        ),
        [{"m": "wake-me", "moment": 0.25, "key-back": 0}],
    ),
    (
        batch(0.1, *REQUESTS),
        [
            {"m": "relay", "call": 100, "server": "s0", "cap": 1.0},
            {"m": "relay", "call": 101, "server": "s1", "cap": 1.0},
            {"m": "relay", "call": 102, "server": "s0", "cap": 1.0},
            {"m": "relay", "call": 103, "server": "s1", "cap": 1.0},
        ],
    ),
    (
        batch(0.15, {"m": "ask", "call": 104, "band": "buy", "left": 2.0}),
        [{"m": "relay", "call": 104, "server": "s0", "cap": 1.9980000000000002}],
    ),
    (batch(0.2, returned(100, "s0", "done", **{"done-flag": True})), []),
    (
        batch(0.21, returned(101, "s1", "err")),
        [{"m": "relay", "call": 101, "server": "s2", "cap": 0.8900000000000001}],
    ),
    (
        batch(0.22, returned(102, "s0", "busy")),
        [{"m": "relay", "call": 102, "server": "s1", "cap": 0.8800000000000001}],
    ),
    (batch(0.23, returned(103, "s1", "done", **{"done-flag": True})), []),
    (batch(0.24, returned(104, "s0", "econnreset")), [{"m": "finish-error", "call": 104}]),
    (
        batch(0.9, {"m": "wakeup"}, {"m": "left", "call": 103}),
        [{"m": "wake-me", "moment": 1.1, "key-back": 0}],
    ),
    (batch(1.0, {"m": "targets", "form": "broken"}), []),
]


def test_replies_are_the_same_bytes_as_in_an_earlier_release():
    host = Host()
    for request, decisions in EXCHANGE:
        nodes = [{"node": "n", "decisions": decisions}] if decisions else []
        assert orjson.dumps(host.handle_batch(request)) == orjson.dumps({"nodes": nodes})


def test_a_finished_request_is_removed():
    host = Host()
    for request, _ in EXCHANGE:
        host.handle_batch(request)
    instance = host._instances["n"]
    assert sorted(instance._request_numbers) == [101, 102]  # those with an attempt in flight
    assert sorted(instance._call_ids.values()) == [101, 102]
