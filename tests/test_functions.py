"""Tests of single functions of modules directly in the package, without sockets or a clock."""

import pytest

from wheatroute import peer_messages, quantiles, snapshot
from wheatroute.platform_settings import decision_settings
from wheatroute.rig.settings import with_changes
from wheatroute.wire_names import NameNumbering


def test_quantiles_window():
    window = quantiles.SlidingWindow(10.0)
    for n in range(100):
        window.add(float(n), n * 1.0, 1.0)
    assert (window.update(99.0), window.count, window.latency(0.5), window.spread()) == (None, 11, 94.0, 0.0)


def test_quantiles_value_at_rank():
    assert quantiles.value_at_rank([[1.0, 4.0, 4.0], [], [2.0, 3.0, 9.0]], 3) == 4.0


def test_snapshot_decode():
    assert snapshot.decode(snapshot.encode({"revision": 4}, 100.0), 130.0, 60.0)["revision"] == 4
    with pytest.raises(snapshot.SnapshotError) as error:
        snapshot.decode(snapshot.encode({}, 100.0)[:-1], 130.0, 60.0)
    assert str(error.value) == "is truncated: 16 of 17 bytes"


def test_peer_messages_short_names():
    short_names = peer_messages.ShortNames()
    short_names.add("a:1", 0)
    short_names.add("a:1", 0)
    assert short_names.numbers == {"0h@": 0}


def test_peer_messages_encode_loads():
    assert [
        len(message) for message in peer_messages.encode_loads((f"10.0.0.{n}:80", n) for n in range(100))
    ] == [
        253,
        149,
    ]


def test_peer_messages_short_name():
    assert (
        peer_messages.short_name("10.18.74.7:9003") == peer_messages.short_name("10.18.74.7:9003"),
        len(peer_messages.short_name("10.18.74.7:9004")),
    ) == (True, 3)


def test_peer_messages_decode_loads():
    assert peer_messages.decode_loads(
        peer_messages.encode_loads([("a:1", 0.07), ("b:2", 400.0)])[0], {peer_messages.short_name("b:2"): 5}
    ) == {5: 0.92}
    assert (peer_messages.decode_loads("hello", {}), peer_messages.decode_loads("", {})) == ({}, {})


def test_wire_names_numbering():
    zones = NameNumbering()
    assert (zones["b"], zones["a"], zones["b"]) == (0, 1, 0)


def test_platform_settings_decision_settings():
    got = decision_settings({"balancers": 3, "zone": "b", "novel": 1}, {"b": 1})
    assert (got.nodes, got.zone, got.max_attempts, got.request_classes) == (3, 1, 1, [])


def test_rig_settings_with_changes():
    settings = {"balancers": 1, "traffic-types": [{"name": "look", "effect": "retryable"}], "zone": "a"}
    assert with_changes(settings, {"look__effect": "fragile", "most-open": 3}, 2) == {
        "balancers": 2,
        "traffic-types": [{"name": "look", "effect": "fragile"}],
        "most-open": 3,
    }
