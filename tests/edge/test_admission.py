"""Tests admission: routes, tenants, deadlines and quotas."""

import json

from async_scenarios import scenario
from edge.harness import (
    CONFIGURATION,
    ScriptedServer,
    never_respond,
    request,
    running_edge,
    status,
)


@scenario
async def test_routes_are_found_by_host_and_longest_prefix():
    inner, outer = ScriptedServer("i-1", service="other"), ScriptedServer("i-2")
    async with running_edge(inner, outer) as edge:
        with_port = request("/plain/inner/x").replace(b"Host: shop.example", b"Host: Shop.Example:8080")
        await edge.exchange(with_port)
        await edge.exchange(request("/plain/innerx"))
        assert [len(inner.requests), len(outer.requests)] == [1, 1]
        assert status(await edge.exchange(request("/nowhere/"))) == 404
        elsewhere = request("/plain/").replace(b"shop.example", b"else.example")
        assert status(await edge.exchange(elsewhere)) == 404


@scenario
async def test_an_unknown_api_key_is_rejected_except_on_public_routes():
    server = ScriptedServer("i-1")
    async with running_edge(server) as edge:
        assert status(await edge.exchange(request("/plain/1", key="none"))) == 401
        assert status(await edge.exchange(request("/plain/1", key=""))) == 401
        assert status(await edge.exchange(request("/open/1", key=""))) == 200
    assert len(server.requests) == 1 and "tenant" not in server.requests[0][1]


@scenario
async def test_a_request_past_its_deadline_is_answered_at_once_and_cancelled_at_its_server():
    box = []
    server = ScriptedServer("i-1", never_respond(box))
    box.append(server)
    async with running_edge(server) as edge:
        assert status(await edge.exchange(request("/plain/1", headers=("Timeout-Ms: 40",)))) == 504
        await server.cancelled.wait()


@scenario
async def test_a_request_without_any_server_is_answered_as_one_that_never_ran():
    async with running_edge() as edge:
        response = await edge.exchange(request("/plain/1"))
    assert status(response) == 503 and b"Retry-After: " in response


@scenario
async def test_a_tenant_over_its_limit_gets_a_retry_after():
    server = ScriptedServer("i-1")
    async with running_edge(server) as edge:
        edge.grant("small", 0.0, wait_s=2.0)
        response = await edge.exchange(request("/plain/1", key="k2", headers=("Token-Count: 100,20",)))
        assert status(response) == 429
        assert 2.0 <= float(response.split(b"Retry-After: ")[1].split(b"\r")[0]) <= 3.0
        assert edge.requested_leases == [("small", 120.0)] and not server.requests
        edge.grant("small", 200.0)
        assert status(await edge.exchange(request("/plain/1", key="k2"))) == 200
    assert edge.requested_leases[1] == ("small", 200.0)


@scenario
async def test_a_request_that_never_ran_is_refunded():
    async with running_edge() as edge:
        edge.grant("small", 500.0)
        assert status(await edge.exchange(request("/plain/1", key="k2"))) == 503
        assert edge.node.quotas.try_use("small", 500.0)


@scenario
async def test_a_new_configuration_is_in_force_for_the_next_request():
    server = ScriptedServer("i-1")
    async with running_edge(server) as edge:
        newer = json.loads(json.dumps(CONFIGURATION))
        newer["routes"] = [route for route in newer["routes"] if route["name"] != "plain"]
        newer["tenants"][0]["api_keys"] = ["k9"]
        edge.configure(newer, sequence=2)
        edge.register(server, number=2)
        assert status(await edge.exchange(request("/plain/1"))) == 404
        assert status(await edge.exchange(request("/safe/1"))) == 401
        assert status(await edge.exchange(request("/safe/1", key="k9"))) == 200
        # An older configuration is ignored.
        edge.configure(CONFIGURATION, sequence=1)
        edge.register(server, number=3)
        assert status(await edge.exchange(request("/plain/1"))) == 404
