"""Differences between versions of the configuration: made by the primary, applied by edge nodes."""

import msgspec
import pytest

from wheatroute.cluster.configuration import Configuration, Route, Service, Tenant
from wheatroute.cluster.distribution import (
    EMPTY_VERSION,
    DifferenceError,
    apply_difference,
    decode_difference,
    encode_difference,
    make_difference,
    make_version,
)
from wheatroute.cluster.errors import RequestError
from wheatroute.control.versions import KEPT_VERSIONS, ConfigurationVersions
from wheatroute.edge.routing import RoutingTable


def route(number, **fields):
    told = {"name": f"r{number}", "hostname": f"h{number % 7}", "path_prefix": f"/{number}/", "backend": "s"}
    return Route(**(told | fields))


def configuration(generation, routes, tenants=()):
    return Configuration(generation, tuple(routes), (Service("s"),), tenants=tuple(tenants))


FIRST = make_version(
    configuration(1, map(route, range(40)), [Tenant("t", ("k1",)), Tenant("u", ("k2",))]), 10
)
SECOND = make_version(
    configuration(
        2,
        [
            *map(route, range(3, 39)),
            route(39, hostname="moved"),
            route(50),
            route(60, kind="safe", priority=0),
        ],
        [Tenant("t", ("k2",))],
    ),
    11,
    FIRST,
)


def sent(told):
    return decode_difference(encode_difference(told))


def test_a_difference_makes_the_newer_version_and_only_what_changed_is_sent():
    told = sent(make_difference(FIRST, SECOND))
    assert apply_difference(FIRST, told) == SECOND
    assert {one.name for one in told.items.routes} == {"r39", "r50", "r60"}
    assert set(told.items.removed_routes) == {"r0", "r1", "r2"} and told.items.removed_tenants == ("u",)
    assert told.items.services == ()


def test_the_whole_is_the_difference_from_nothing_and_the_digest_is_that_of_the_items():
    assert apply_difference(EMPTY_VERSION, sent(make_difference(EMPTY_VERSION, SECOND))) == SECOND
    reordered = make_version(configuration(2, reversed(SECOND.routes.values()), SECOND.tenants.values()), 11)
    assert reordered.digest == SECOND.digest != FIRST.digest


@pytest.mark.parametrize(
    "at_hand",
    [
        EMPTY_VERSION,  # nothing is known yet
        SECOND,  # it came before: doubled
        make_version(configuration(1, map(route, range(40))), 9),  # an earlier version: one was lost
        make_version(configuration(1, map(route, range(4, 40))), 10),  # another content under the same number
    ],
)
def test_a_difference_for_another_version_is_not_used(at_hand):
    with pytest.raises(DifferenceError):
        apply_difference(at_hand, make_difference(FIRST, SECOND))


def test_what_cannot_be_read_is_not_used():
    whole = encode_difference(make_difference(EMPTY_VERSION, FIRST))
    for body in (b"", whole[:-9], whole.replace(whole[20:24], b"xxxx"), msgspec.msgpack.encode({"base": 1})):
        with pytest.raises(DifferenceError):
            decode_difference(body)


def test_a_table_that_was_changed_looks_up_as_one_that_was_built_anew():
    old, new = RoutingTable(FIRST), RoutingTable(SECOND)
    table = old.apply_difference(sent(make_difference(FIRST, SECOND)))
    assert table.version == SECOND
    for number in range(70):
        for host in (f"h{number % 7}", "moved"):
            assert found(table, host, number) == found(new, host, number)
    for key in ("k1", "k2", "k3"):
        assert table._by_api_key.get(key) == new._by_api_key.get(key)
    for one in SECOND.routes.values():
        assert table.may_hedge(one) == new.may_hedge(one)
        assert table.server_rank(one, None, 0.0) == new.server_rank(one, None, 0.0)
    assert found(old, "h4", 39) == "r39"  # requests that came under the older version still have it


def found(table, host, number):
    try:
        return table.route(host, f"/{number}/x").name
    except RequestError:
        return None


def test_the_longest_prefix_goes_first_also_after_a_change():
    old = make_version(configuration(1, [route(1, hostname="h", path_prefix="/a/")]), 1)
    new = make_version(
        configuration(2, [*old.routes.values(), route(2, hostname="h", path_prefix="/a/b/")]), 2, old
    )
    table = RoutingTable(old).apply_difference(make_difference(old, new))
    assert table.route("h", "/a/b/c").name == "r2" and table.route("h", "/a/c").name == "r1"
    back = table.apply_difference(
        make_difference(new, make_version(configuration(3, old.routes.values()), 3, new))
    )
    assert back.route("h", "/a/b/c").name == "r1"
    empty = back.apply_difference(make_difference(back.version, make_version(configuration(4, ()), 4)))
    with pytest.raises(RequestError):
        empty.route("h", "/a/c")


def test_a_node_too_far_behind_gets_the_whole_and_what_is_kept_is_bounded():
    versions = ConfigurationVersions()
    held = {}
    for number in range(3 * KEPT_VERSIONS):
        versions.commit(configuration(number + 1, map(route, range(number, number + 5))), number)
        held[number] = apply_difference(EMPTY_VERSION, decode_difference(versions.since(-1)))
    assert len(versions._kept) == KEPT_VERSIONS
    newest = 3 * KEPT_VERSIONS - 1
    for number, base in held.items():
        told = decode_difference(versions.since(number))
        near = number > newest - KEPT_VERSIONS
        assert told.base == (number if near else -1)
        assert apply_difference(base if near else EMPTY_VERSION, told) == held[newest]
    assert len(versions._encoded) <= KEPT_VERSIONS + 1


def test_an_answer_is_encoded_once_for_all_that_ask_the_same():
    versions = ConfigurationVersions()
    versions.commit(configuration(1, map(route, range(9))), 4)
    versions.commit(configuration(2, map(route, range(10))), 5)
    assert versions.since(4) is versions.since(4) and versions.since(-1) is versions.since(2)
