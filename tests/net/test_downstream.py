"""Disconnects, floods, unusual names and repeated request ids: no client may affect any other client."""

import socket
import sys
from unittest import mock

import pytest
import structlog
import trio
from node_harness import OK, Node, platform_settings, scenario, server_entry
from race_harness import Client, HeldConnections, Server, hook, new_request, wait_until

from wheatroute.__main__ import serve_node
from wheatroute.net import node_settings
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.downstream import Downstream
from wheatroute.net.request_handler import RequestHandler
from wheatroute.wire_names import numbers_by_header_value, numbers_by_path_segment


def request_classes(*names, **changes):
    """Returns settings with request classes, each given as (name, effect)."""
    default = platform_settings(1.0)["traffic-types"][0]
    return {"traffic-types": [default | {"name": name, "effect": effect} | changes for name, effect in names]}


def request_text(path, name, method="GET", **headers):
    fields = "".join(f"{key.replace('_', '-')}: {value}\r\n" for key, value in headers.items())
    return (
        f"{method} {path} HTTP/1.1\r\nHost: b\r\nRequest-Id: {name}\r\nRequest-Timeout: 900m\r\n{fields}\r\n"
    ).encode()


# Connections that clients close.


@scenario
async def test_a_rejected_client_reads_its_whole_response_though_it_goes_on_sending(start):
    node = await start(Server())
    for bad in (
        new_request(node, "place", body="b")[0].replace(b"/place", b"/else"),
        new_request(node, "place", body="b")[0].replace(b"Length: 1", b"Length: 70000"),
        b"POST /place/1 HTTP/1.1\r\nHost: b\r\nExpect: 100-continue\r\nContent-Length: 90000\r\n\r\n",
    ):
        client = Client(node.port).send(bad + b"x" * 60000)
        status, answer = await client.response()
        assert status in (400, 404, 413) and b"\r\n\r\n" in answer
        assert await client.response() is None


# A response with a body to HEAD failed inside the node, which left the request unanswered.
@scenario
async def test_a_response_to_head_has_no_body(start):
    node = await start(Server())
    stream = await trio.open_tcp_stream("127.0.0.1", node.port)
    await stream.send_all(b"HEAD /else/1 HTTP/1.1\r\nHost: b\r\nRequest-Id: h1\r\n\r\n")
    with trio.fail_after(5.0):
        received = await stream.receive_some(65536)
    await stream.aclose()
    assert received.startswith(b"HTTP/1.1 404 ") and received.endswith(b"\r\n\r\n")


@scenario
async def test_a_client_that_leaves_during_its_100_continue_ends_nothing_else(start):
    server = Server()
    node = await start(server)
    head = new_request(node, "place", body="bb")[0][:-2].replace(b"Host:", b"Expect: 100-continue\r\nHost:")
    for leave in (Client.leave, Client.reset):
        client = Client(node.port).send(head)
        leave(client)
    client = Client(node.port).send(head.replace(b"Request-Id: ", b"Request-Id: f"))
    assert (await client.response())[0] == 100
    client.send(b"bb")
    assert (await client.response())[0] == 200 and len(server.requests) == 1


@scenario
async def test_a_pipelined_request_is_not_accepted_once_its_connection_has_ended(start):
    """The next request is in the buffer when the connection ends, and is handled only after that."""
    server = Server()
    node = await start(server)
    ended = trio.Event()
    handle_pipelined, serve = RequestHandler._handle_pipelined, Downstream._serve

    async def handle_after_end(self, client):
        client.scope.cancel()
        client.is_close_requested = True
        await ended.wait()
        await handle_pipelined(self, client)

    async def serve_and_record_end(self, client):
        await serve(self, client)
        ended.set()

    with (
        mock.patch.object(RequestHandler, "_handle_pipelined", handle_after_end),
        mock.patch.object(Downstream, "_serve", serve_and_record_end),
    ):
        first, second = new_request(node, "view"), new_request(node, "place", body="b")
        client = Client(node.port).send(first[0] + second[0])
        assert (await client.response())[0] == 200
        await ended.wait()
        assert await client.response() is None
    assert (await node.send_request("view"))[0] == 200
    assert second[1] not in server.ids and len(server.requests) == 2


@scenario
async def test_a_partial_request_at_the_moment_of_a_close_is_read_to_its_end(start):
    server = Server()
    node = await start(server)
    found = []
    with hook(
        RequestHandler,
        "_wait_for_rest",
        after=lambda self, client: (found.append(client), client.request_close()),
    ):
        text, request_id = new_request(node, "place", body="bb")
        client = Client(node.port).send(text[:-1])
        await wait_until(lambda: found)
    client.send(text[-1:])
    assert (await client.response())[0] == 200 and server.ids == [request_id]


# Request ids, floods and rejections.


@scenario
async def test_one_request_id_on_two_connections_in_one_iteration_is_one_request(start):
    server = Server()
    node = await start(server)
    text, request_id = new_request(node, "place", body="b")
    clients = [Client(node.port) for _ in range(2)]
    for client in clients:
        client.send(text)
    got = [(await client.response())[0] for client in clients]
    assert sorted(got) == [200, 409] and server.ids == [request_id]


@scenario
async def test_clients_that_send_much_and_leave_cost_other_clients_nothing(start):
    server = Server()
    downstreams = []
    with hook(
        Downstream, "_accept_one", before=lambda self: downstreams.append(self) if not downstreams else None
    ):
        node = await start(server, descriptors=128)
        regular = Client(node.port)
        for burst in range(4):
            flood = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(30)]
            for n, sock in enumerate(flood):
                sock.setblocking(False)
                text = new_request(node, "place", body="b")[0].replace(b"Length: 1", b"Length: 60000")
                for part in (text, b"x" * 40000, b"GET / HTTP/1.1\r\n" * 4000)[: 1 + n % 3]:
                    try:
                        sock.send(part)
                    except BlockingIOError:
                        break
                if n % 2:
                    sock.close()
            status, _ = await regular.send(new_request(node, "view")[0]).response()
            assert status == 200, burst
            for sock in flood:
                sock.close()
        downstream = downstreams[0]
        await wait_until(lambda: downstream._clients.open == 1 and downstream._handler._in_flight == 0)
        assert len(downstream._clients.idle) == 1


@scenario
async def test_clients_that_reconnect_at_once_after_a_rejection_are_rejected_at_once_each_time(start):
    """Busy clients are accepted up to the limit before the first of them connects."""
    downstreams = []
    with hook(
        Downstream, "_accept_one", before=lambda self: downstreams.append(self) if not downstreams else None
    ):
        node = await start(Server(None), descriptors=40, deadline=15.0)
        busy = [Client(node.port) for _ in range(14)]
        for client in busy:
            client.send(new_request(node, "place", body="b", timeout="15000m")[0])
        downstream = downstreams[0]
        await wait_until(lambda: downstream._handler._in_flight == downstream._handler._max_in_flight)
        for _ in range(60):
            client = Client(node.port)
            status, answer = await client.send(new_request(node, "view", timeout="15000m")[0]).response()
            assert status == 503 and b"retry-after" in answer.lower()
            client.leave()
        assert downstream._handler._in_flight == downstream._handler._max_in_flight <= 14
        assert len(downstream._parser._request_ids) <= 14 + 60


# Names of request classes and tenants.


@scenario
async def test_a_request_class_named_like_the_readiness_path_is_a_request_class(start):
    for effect, method, headers in (
        ("retryable", "GET", {}),
        ("dedup", "POST", {"Idempotency_Key": "k"}),
        ("fragile", "POST", {}),
    ):
        server = Server()
        node = await start(server, changes=request_classes(("up", effect), ("upper", effect)))
        assert (await Client(node.port).send(b"GET /up HTTP/1.1\r\nHost: b\r\n\r\n").response())[0] == 200
        before = len(server.requests)
        for path, status in (("/up", 200), ("/up/7", 200), ("/upper", 200), ("/u", 404), ("/uppe", 404)):
            name = f"{effect}{path.replace('/', '-')}"
            got, answer = await Client(node.port).send(request_text(path, name, method, **headers)).response()
            assert got == status and (got != 200 or answer.endswith(b"ok")), (effect, path)
        assert len(server.requests) == before + 3
        # Without a request id it is a malformed request for the class, not a readiness check.
        bad = request_text("/up", "x", method, **headers).replace(b"Request-Id: x\r\n", b"")
        assert (await Client(node.port).send(bad).response())[0] == 400


@scenario
async def test_names_outside_ascii_and_with_punctuation_differ_in_paths_and_headers(start):
    names = ("café", "cafe", "order view", "order", "50%", "a%20b", "日本")
    tenants = [{"name": name, "quota-rps": 100.0} for name in ("Zoë", "Zo", "日本", "a b")]
    server, seen = Server(), []
    with hook(
        BalancerDriver,
        "add_request",
        after=lambda _, exchange: seen.append((exchange.request_class, exchange.tenant)),
    ):
        class_settings = request_classes(*((name, "retryable") for name in names))
        node = await start(server, changes=class_settings | {"tenants": tenants})
        cases = [
            ("/caf%C3%A9/1", b"Zo\xc3\xab", (0, 0)),
            ("/cafe", b"Zo", (1, 1)),
            ("/caf%C3%A9", b"Zo\xeb", (0, 0)),
            ("/order%20view/2", b"Zo%C3%AB", (2, 0)),
            ("/order", b"\xe6\x97\xa5\xe6\x9c\xac", (3, 2)),
            ("/50%25", b"a b", (4, 3)),
            ("/a%2520b", b"nobody", (5, -1)),
            ("/%E6%97%A5%E6%9C%AC", b"Zoe", (6, -1)),
        ]
        for n, (path, tenant, expected) in enumerate(cases):
            text = request_text(path, f"n{n}").replace(b"Host: b", b"Host: b\r\nTenant: " + tenant)
            status, _ = await Client(node.port).send(text).response()
            assert status == 200 and seen[-1] == expected, path
        for n, path in enumerate(("/caf", "/caf%C3", "/order%20", "/order%20vie", "/%63afe")):
            assert (await Client(node.port).send(request_text(path, f"b{n}")).response())[0] in (
                400,
                404,
            ), path
    # The paths are forwarded unchanged.
    assert [request.split(b" ")[1] for request in server.requests] == [path.encode() for path, *_ in cases]


def test_an_alternative_spelling_never_overrides_the_spelling_of_another_name_itself():
    # In Latin-1 the second name is spelt like the first one in UTF-8.
    assert numbers_by_header_value({"é": 0, "Ã©": 1})["é".encode()] == 0
    assert numbers_by_path_segment({"a b": 0, "a%20b": 1}) == {b"a%20b": 0, b"a%2520b": 1, b"a b": 0}
    assert b"" not in numbers_by_header_value({"日本": 0})


@scenario
async def test_two_nodes_of_one_process_share_nothing_of_their_settings(start):
    """A class is idempotent on one node and not on the other; the tenants' numbers are swapped."""
    first_server, second_server = Server(), Server()
    seen = []
    first_node = await start(
        first_server,
        changes=request_classes(("order", "retryable"), ("pay", "fragile"))
        | {"tenants": [{"name": "a", "quota-rps": 9.0}, {"name": "b", "quota-rps": 9.0}]},
    )
    second_node = await start(
        second_server,
        changes=request_classes(("pay", "retryable"), ("order", "fragile"))
        | {"tenants": [{"name": "b", "quota-rps": 9.0}, {"name": "a", "quota-rps": 9.0}]},
    )
    with hook(
        BalancerDriver,
        "add_request",
        after=lambda _, exchange: seen.append((exchange.request_class, exchange.tenant)),
    ):
        for n in range(3):
            safe = request_text("/order", f"o{n}", Tenant="a")
            unsafe = request_text("/order", f"p{n}", "POST", Tenant="a")
            assert (await Client(first_node.port).send(safe).response())[0] == 200
            assert (await Client(second_node.port).send(safe).response())[0] == 405
            assert (await Client(second_node.port).send(unsafe).response())[0] == 200
    assert seen == [(0, 0), (1, 1)] * 3 and len(first_server.requests) == len(second_server.requests) == 3


def test_nothing_at_module_level_changes_with_the_settings(tmp_path):
    """Compares the state of all modules of a node before and after a node with different settings has run."""
    prefixes = tuple(f"wheatroute.{name}" for name in ("net", "decide", "words", "interface", "orders"))
    modules = [module for name, module in sys.modules.items() if name.startswith(prefixes)]

    def state():
        return {
            (module.__name__, name): repr(value)
            for module in modules
            for name, value in vars(module).items()
            if isinstance(value, dict | list | set | bytearray) and not name.startswith("__")
        }

    async def run_node(changes):
        async with trio.open_nursery() as nursery:
            server = Server()
            node = Node(tmp_path, server, changes=changes, entries=[server_entry(server)])
            nursery.start_soon(server.run)
            nursery.start_soon(serve_node, node.settings, structlog.get_logger())
            await node.connect()
            for name in ("o1", "o2"):
                path = "/" + changes["traffic-types"][0]["name"]
                assert (await Client(node.port).send(request_text(path, name, Tenant="a")).response())[
                    0
                ] == 200
            nursery.cancel_scope.cancel()

    trio.run(run_node, request_classes(("order", "retryable")))
    before = state()
    trio.run(
        run_node, request_classes(("elsewhere", "retryable")) | {"tenants": [{"name": "a", "quota-rps": 9.0}]}
    )
    assert state() == before and len(modules) > 8


@pytest.mark.parametrize(
    "bad",
    [
        "{",
        "[]",
        '{"settings": 5}',
        '{"settings": {"traffic-types": "x"}}',
        '{"settings": {"traffic-types": [{"name": 5}]}}',
    ],
)
def test_each_malformed_file_is_reported_in_one_line(tmp_path, bad):
    path = tmp_path / "config.json"
    path.write_text(bad)
    with pytest.raises(node_settings.NodeSettingsError) as error:
        node_settings.read_node_settings({"PROXY_CONFIG": str(path)})
    assert "\n" not in str(error.value)


@scenario
async def test_a_connection_that_is_never_established_proves_that_nothing_ran(start):
    """The server's accept queue is full, so that the kernel drops the SYN."""
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    fill = [socket.create_connection(full.getsockname())]
    good = Server(name="t")
    host, port = full.getsockname()
    unresponsive = mock.Mock(address=f"{host}:{port}", run=trio.sleep_forever)
    unresponsive.name = "s"
    node = await start(unresponsive, good)
    for _ in range(6):
        text, _ = new_request(node, "place", body="b", timeout="3000m")
        assert (await Client(node.port).send(text).response())[0] == 200
    assert len(good.requests) == 6
    for sock in (*fill, full):
        sock.close()


@scenario
async def test_a_connection_established_too_late_is_kept_for_another_request_and_nothing_is_sent_twice(start):
    server = Server(OK)
    with HeldConnections() as held:
        node = await start(server)
        client = Client(node.port).send(new_request(node, "place", body="b", timeout="300m")[0])
        # The request times out while its connection is held.
        assert (await client.response())[0] in (502, 503)
        assert held.peers and not server.heads
        held.released.set()
        text, request_id = new_request(node, "place", body="b")
        assert (await Client(node.port).send(text).response())[0] == 200
    assert server.ids == [request_id]
