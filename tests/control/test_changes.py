"""Which orders of operators are taken, in whole sequences of them."""

import json

import msgspec
import pytest

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.control import changes
from wheatroute.control.changes import (
    Change,
    ConfigurationState,
    apply_change,
    decode_state,
    encode_state,
)


def route(name, prefix="/a/", **fields):
    told = {
        "name": name,
        "hostname": "h.example",
        "path_prefix": prefix,
        "kind": "safe",
        "timeout_ms": 900,
        "backend": "s",
    }
    return told | fields


def whole(generation, *routes, **fields):
    told = {"generation": generation, "routes": list(routes) or [route("r")], "services": [{"name": "s"}]}
    return told | fields


def put(match, told):
    return Change(False, str(match), told if isinstance(told, bytes) else json.dumps(told).encode())


def patch(match, told):
    return Change(True, str(match), json.dumps(told).encode())


def play(*changes):
    """The transcript of orders one after the other: what each is answered, and the state behind them."""
    state, told = ConfigurationState(), []
    for change in changes:
        try:
            after = apply_change(state, change)
        except RequestError as error:
            told.append(error.response.status)
            continue
        told.append(200)
        state = after or state
    return told, state


def test_changes_build_on_the_version_that_they_name():
    told, state = play(put(0, whole(3)), put(0, whole(5)), put(3, whole(5)), put(5, whole(9)))
    assert told == [200, 412, 200, 200] and state.generation == 9


def test_an_order_that_was_taken_is_acknowledged_again_also_behind_later_ones():
    first, second = put(0, whole(3)), put(3, whole(4))
    told, state = play(first, first, second, first, second)
    assert told == [200] * 5 and state.generation == 4


def test_two_changes_of_one_number_are_two_changes():
    one, other = put(0, whole(3)), put(0, whole(3, route("q")))
    told, state = play(one, other, one, other)
    assert told == [200, 412, 200, 412] and b'"q"' not in state.body


def test_what_was_sent_is_kept_to_the_byte():
    body = b'{ "generation": 3, "routes": [], "services": [], "later": {"field": 1.50} }'
    _, state = play(put(0, body))
    assert state.body == body


def test_named_items_are_replaced_in_place_added_and_removed():
    begin = whole(3, route("a", "/a/"), route("b", "/b/"), route("c", "/c/"), own=7)
    change = {
        "generation": 5,
        "upsert": {"routes": [route("d", "/d/"), route("b", "/b/", timeout_ms=5)]},
        "delete": {"routes": ["a", "none"]},
    }
    told, state = play(put(0, begin), patch(3, change), patch(3, change))
    now = json.loads(state.body)
    assert told == [200, 200, 200] and now["generation"] == 5 and now["own"] == 7
    assert [(one["name"], one["timeout_ms"]) for one in now["routes"]] == [("b", 5), ("c", 900), ("d", 900)]


def test_limits_and_tenants_can_be_patched_too():
    begin = whole(3, tenants=[{"name": "t", "api_keys": ["k"]}], limits={"max_body_bytes": 9})
    change = {
        "generation": 4,
        "upsert": {"tenants": [{"name": "t", "api_keys": ["k2"]}], "limits": {"max_body_bytes": 10}},
    }
    _, state = play(put(0, begin), patch(3, change))
    now = json.loads(state.body)
    assert now["tenants"][0]["api_keys"] == ["k2"] and now["limits"] == {"max_body_bytes": 10}


INVALID = {
    "cut short": json.dumps(whole(4)).encode()[:-9],
    "not an object": b"[]",
    "an unknown service": whole(4, route("r", backend="none")),
    "an unknown service in a split": whole(
        4, route("r", backend=None, split=[{"backend": "x", "weight": 1}])
    ),
    "two routes at one place": whole(4, route("a"), route("b")),
    "two routes at one place but for letters": whole(4, route("a"), route("b", hostname="H.example")),
    "two routes of one name": whole(4, route("a"), route("a", "/b/")),
    "weights that sum to 0": whole(4, route("r", backend=None, split=[{"backend": "s", "weight": 0}])),
    "a route without a time": whole(4, route("r", timeout_ms=0)),
    "an old version": whole(2),
    "the same version": whole(3),
    "a version that is no number": whole("9"),
    "no version": {"routes": [], "services": []},
    "a key of two tenants": whole(
        4, tenants=[{"name": "a", "api_keys": ["k"]}, {"name": "b", "api_keys": ["j", "k"]}]
    ),
    "no routes at all": {"generation": 4, "services": []},
}


@pytest.mark.parametrize("mistake", INVALID)
def test_an_invalid_configuration_changes_nothing(mistake):
    told, state = play(put(0, whole(3)), put(3, INVALID[mistake]), put(3, whole(4)))
    assert told == [200, 400, 200] and state.generation == 4


def test_invalid_and_stale_at_once_is_refused_either_way():
    told, _ = play(put(0, whole(3)), put(1, whole(2)), put(1, INVALID["cut short"]))
    assert told[1] in (400, 412) and told[2] in (400, 412)


def test_a_key_that_one_tenant_lists_twice_is_no_mistake_and_secrets_stay_out_of_messages():
    assert play(put(0, whole(1, tenants=[{"name": "a", "api_keys": ["k", "k"]}])))[0] == [200]
    shared = put(
        0, whole(1, tenants=[{"name": "a", "api_keys": ["secret"]}, {"name": "b", "api_keys": ["secret"]}])
    )
    with pytest.raises(RequestError) as error:
        apply_change(ConfigurationState(), shared)
    assert "secret" not in error.value.detail


def test_the_state_outlives_its_encoding():
    _, state = play(put(0, whole(3)))
    assert decode_state(encode_state(state)) == state and decode_state(b"") == ConfigurationState()


def test_an_order_that_may_have_been_taken_too_long_ago_is_not_refused(monkeypatch):
    monkeypatch.setattr(changes, "MAX_REMEMBERED_CHANGES", 3)
    state, orders = ConfigurationState(), []
    for generation in range(1, 7):
        body = msgspec.json.encode({"generation": generation, "routes": [], "services": []})
        orders.append(Change(False, str(generation - 1), body))
        state = apply_change(state, orders[-1])
    assert state.base_generations == (3, 4, 5) and state.newest_forgotten_base == 2
    assert [apply_change(state, one) for one in orders[3:]] == [None] * 3
    for one in orders[:3]:
        with pytest.raises(RequestError) as unclear:
            apply_change(state, one)
        assert unclear.value.kind == ErrorKind.CHANGE_FORGOTTEN and unclear.value.response.status == 503
    other = Change(False, "4", b'{"generation": 9, "routes": [], "services": []}')
    with pytest.raises(RequestError) as refused:
        apply_change(state, other)
    assert refused.value.kind == ErrorKind.VERSION_MISMATCH
