"""Differences between versions of the configuration, which the primary makes and edge nodes apply."""

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
from wheatroute.control.versions import MAX_VERSIONS, ConfigurationVersions
from wheatroute.edge.routing import RoutingTable


def route(number, **fields):
    defaults = {
        "name": f"r{number}",
        "hostname": f"h{number % 7}",
        "path_prefix": f"/{number}/",
        "backend": "s",
    }
    return Route(**(defaults | fields))


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


def transferred(difference):
    return decode_difference(encode_difference(difference))


def test_a_difference_yields_the_newer_version_and_contains_only_changed_items():
    difference = transferred(make_difference(FIRST, SECOND))
    assert apply_difference(FIRST, difference) == SECOND
    assert {item.name for item in difference.items.routes} == {"r39", "r50", "r60"}
    assert set(difference.items.removed_routes) == {
        "r0",
        "r1",
        "r2",
    } and difference.items.removed_tenants == ("u",)
    assert difference.items.services == ()


def test_a_full_configuration_is_a_difference_and_the_digest_ignores_the_order_of_items():
    assert apply_difference(EMPTY_VERSION, transferred(make_difference(EMPTY_VERSION, SECOND))) == SECOND
    reordered = make_version(configuration(2, reversed(SECOND.routes.values()), SECOND.tenants.values()), 11)
    assert reordered.digest == SECOND.digest != FIRST.digest


@pytest.mark.parametrize(
    "version",
    [
        EMPTY_VERSION,  # no version yet
        SECOND,  # the difference was applied before
        make_version(configuration(1, map(route, range(40))), 9),  # an earlier version: a difference was lost
        # different content under the same sequence number
        make_version(configuration(1, map(route, range(4, 40))), 10),
    ],
)
def test_a_difference_for_another_version_is_rejected(version):
    with pytest.raises(DifferenceError):
        apply_difference(version, make_difference(FIRST, SECOND))


def test_a_malformed_difference_is_rejected():
    encoded = encode_difference(make_difference(EMPTY_VERSION, FIRST))
    for body in (
        b"",
        encoded[:-9],
        encoded.replace(encoded[20:24], b"xxxx"),
        msgspec.msgpack.encode({"base": 1}),
    ):
        with pytest.raises(DifferenceError):
            decode_difference(body)


def test_an_updated_routing_table_equals_one_that_was_built_from_scratch():
    old, new = RoutingTable(FIRST), RoutingTable(SECOND)
    table = old.apply_difference(transferred(make_difference(FIRST, SECOND)))
    assert table.version == SECOND
    for number in range(70):
        for host in (f"h{number % 7}", "moved"):
            assert route_name(table, host, number) == route_name(new, host, number)
    for key in ("k1", "k2", "k3"):
        assert table._by_api_key.get(key) == new._by_api_key.get(key)
    for item in SECOND.routes.values():
        assert table.may_hedge(item) == new.may_hedge(item)
        assert table.server_rank(item, None, 0.0) == new.server_rank(item, None, 0.0)
    assert route_name(old, "h4", 39) == "r39"  # requests that started with the older version still use it


def route_name(table, host, number):
    try:
        return table.route(host, f"/{number}/x").name
    except RequestError:
        return None


def test_the_longest_prefix_wins_also_after_a_change():
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


def test_a_node_too_far_behind_gets_the_full_configuration_and_the_number_of_versions_is_bounded():
    versions = ConfigurationVersions()
    versions_by_number = {}
    for number in range(3 * MAX_VERSIONS):
        versions.commit(configuration(number + 1, map(route, range(number, number + 5))), number)
        versions_by_number[number] = apply_difference(
            EMPTY_VERSION, decode_difference(versions.difference_since(-1))
        )
    assert len(versions._versions) == MAX_VERSIONS
    newest = 3 * MAX_VERSIONS - 1
    for number, base in versions_by_number.items():
        difference = decode_difference(versions.difference_since(number))
        is_kept = number > newest - MAX_VERSIONS
        assert difference.base == (number if is_kept else -1)
        assert apply_difference(base if is_kept else EMPTY_VERSION, difference) == versions_by_number[newest]
    assert len(versions._encoded_differences) <= MAX_VERSIONS + 1


def test_a_difference_is_encoded_once_for_all_nodes_of_one_version():
    versions = ConfigurationVersions()
    versions.commit(configuration(1, map(route, range(9))), 4)
    versions.commit(configuration(2, map(route, range(10))), 5)
    assert versions.difference_since(4) is versions.difference_since(4) and versions.difference_since(
        -1
    ) is versions.difference_since(2)
