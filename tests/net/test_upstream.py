"""Races between the decision to send an attempt and the write of its bytes; each race is forced.

Held connections simulate connections that are established late: the attempt was decided and its connection is
established, but nothing has been written yet.
"""

import time
from unittest import mock

import trio
from node_harness import ERROR, FULL, OK, RESET, list_response, platform_settings, scenario, server_entry
from race_harness import (
    Client,
    EventLoopStall,
    HeldConnections,
    ListService,
    Server,
    header_value,
    hook,
    new_request,
    reset,
    send_now,
    wait_until,
)

from wheatroute.balancing.membership_updates import MembershipUpdates
from wheatroute.net import connection_pool
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.connection import Connection
from wheatroute.net.request_handler import RequestHandler
from wheatroute.net.upstream import Upstream

TIMEOUT_S = 0.3  # timeout of the requests in some tests, "300m" in their headers


def platform_rules(**changes):
    return {"rules": platform_settings(1.0)["rules"] | changes}


def request_classes(**changes):
    """Returns settings with the three request classes, the keyed one with changes."""
    classes = platform_settings(1.0)["traffic-types"]
    classes[1] |= changes
    return {"traffic-types": classes}


class ListUpdates:
    """A list service without changes until `publish` is called."""

    def __init__(self):
        self.version, self.entries, self.is_full = 1, [], False
        self.published = trio.Event()
        self.service = ListService(self.answer)

    async def answer(self, request):
        if b"after=1&" in request and b"wait_ms=1 " not in request:
            await self.published.wait()
        if not self.published.is_set() or b"after=2&" in request:
            if b"wait_ms=1 " not in request:
                await trio.sleep_forever()
            return list_response(1 + self.published.is_set())
        return list_response(2, *self.entries, is_full=self.is_full)

    def publish(self, *entries, is_full=False):
        self.entries, self.is_full = entries, is_full
        self.published.set()


def received_ids(*servers):
    return [request_id for server in servers for request_id in server.ids]


async def wait_for_updates(discoveries):
    """Waits until a node has applied the published changes."""
    await wait_until(lambda: any(discovery._version == 2 for discovery in discoveries))


def watch_discoveries():
    """Returns a list that collects the `Discovery` of each new node, and the hook that does so."""
    found = []
    from wheatroute.net.discovery import Discovery

    return found, hook(Discovery, "watch", after=lambda discovery, enable: found.append(discovery))


@scenario
async def test_nothing_is_written_after_the_deadline_of_a_request(start):
    server = Server()
    node = await start(server)
    before = time.monotonic()

    def block_until_deadline():
        while time.monotonic() < before + TIMEOUT_S + 0.1:
            time.sleep(0.01)

    with HeldConnections(blocked=block_until_deadline):
        client, (text, _) = Client(node.port), new_request(node, "place", body="b", timeout="300m")
        before = time.monotonic()
        client.send(text)
        status, _ = await client.response()
    assert status in (502, 503) and not server.heads


async def request_during_list_change(start, change, others=(), count=2, **options):
    """Sends a request and changes the list while its connection is held.

    Returns all servers, the one that the connection leads to, and the status of the response.
    """
    servers = [Server(name=name) for name in "st"[:count]]
    updates, (found, watching) = ListUpdates(), watch_discoveries()
    with HeldConnections() as held, watching:
        node = await start(*servers, discovery=updates.service, others=others, **options)
        client = Client(node.port)
        client.send(new_request(node, "place", body="b")[0])
        await wait_until(lambda: held.peers)
        first = next(server for server in servers if server.address == held.peers[0])
        updates.publish(*change(first), is_full=bool(options.get("full")))
        await wait_for_updates(found)
        held.released.set()
        status, _ = await client.response()
    return servers, first, status


@scenario
async def test_a_server_that_begins_to_drain_while_its_connection_is_opened_gets_nothing(start):
    servers, first, status = await request_during_list_change(
        start, lambda server: [{"id": server.name, "addr": server.address, "state": "terminating"}]
    )
    assert status == 200 and not first.heads and len(received_ids(*servers)) == 1


@scenario
async def test_a_server_that_is_removed_while_its_connection_is_opened_gets_nothing(start):
    servers, first, status = await request_during_list_change(
        start, lambda server: [{"id": server.name, "state": "terminated"}]
    )
    assert status == 200 and not first.heads and len(received_ids(*servers)) == 1


@scenario
async def test_an_address_that_belongs_to_another_server_by_now_gets_nothing(start):
    stranger = Server(name="u")
    servers, first, status = await request_during_list_change(
        start, lambda server: [{"id": server.name, "addr": stranger.address}], others=[stranger]
    )
    assert status == 200 and not first.heads and len(received_ids(*servers)) == 1


@scenario
async def test_a_restarted_server_gets_no_attempt_that_was_decided_before_its_restart(start):
    servers, first, status = await request_during_list_change(
        start,
        lambda server: [
            {
                "id": server.name,
                "addr": server.address,
                "state": "in_service",
                "started_ms": int(time.time() * 1000),
            }
        ],
    )
    assert status == 200 and not first.heads and len(received_ids(*servers)) == 1


@scenario
async def test_a_keyed_request_is_not_retried_once_its_retry_window_is_over(start):
    responses = [ERROR, OK]
    first, second = Server(), Server(name="t")
    first.responses = second.responses = responses
    with HeldConnections(max_held=2) as held:
        node = await start(first, second, changes=request_classes(**{"repeat-window": 0.4}))
        client = Client(node.port).send(new_request(node, "amend", body="b")[0])
        await wait_until(lambda: held.peers)
        began = time.monotonic()
        held.released.set()
        held.released = trio.Event()
        await wait_until(lambda: len(held.peers) == 2)  # the connection of the retry is established
        await trio.sleep_until(trio.current_time() + began + 0.45 - time.monotonic())
        held.released.set()
        status, _ = await client.response()
    assert status == 503 and len(received_ids(first, second)) == 1


@scenario
async def test_a_server_that_warms_up_gets_nothing_that_was_decided_long_before(start):
    server = Server()

    updates = []

    def grant_credit(membership, *_):
        membership._state.servers.slow_start_credit[0] = 1.0  # enough for one request
        updates.append(membership)

    with HeldConnections() as held, hook(MembershipUpdates, "servers_listed", after=grant_credit):
        node = await start(
            server,
            entries=[server_entry(server, started_ms=int(time.time() * 1000))],
            changes=platform_rules(fall=0.8),
        )
        text, request_id = new_request(node, "place", body="b", timeout="500m")
        client = Client(node.port).send(text)
        await wait_until(lambda: held.peers)
        await trio.sleep_until(trio.current_time() + 0.25)  # more than a quarter of "rules.fall"
        held.released.set()
        status, _ = await client.response()
        assert status == 503 and not server.heads
        grant_credit(updates[0])
        text, other = new_request(node, "place", body="b")
        assert (await Client(node.port).send(text).response())[0] == 200
    assert server.ids == [other] and server.connection_count == 1  # on the connection that was held


# Servers that read a request too slowly.


BODY = "x" * 60000


async def during_partial_write(start, action, **options):
    """Runs `action(first, updates, client, discoveries)` while a request is partly written to server `first`.

    Servers read only after that. Returns the other server, `first`, and the response (None if the client's
    socket is closed).
    """
    may_read = trio.Event()
    servers = [Server(name=name, buffer=2048, on={"accepted": lambda _: may_read.wait()}) for name in "st"]
    updates, (found, watching) = ListUpdates(), watch_discoveries()
    connections = []
    with (
        HeldConnections(max_held=0, buffer=2048),
        watching,
        hook(Connection, "send", after=lambda connection, *_: connections.append(connection)),
    ):
        node = await start(*servers, discovery=updates.service, **options)
        client = Client(node.port)
        client.send(new_request(node, "place", body=BODY, timeout="600m")[0])
        await wait_until(lambda: [connection for connection in connections if connection._unsent])
        address = next(connection for connection in connections if connection._unsent).peer
        first = next(server for server in servers if server.address == address)
        await action(first, updates, client, found)
        if first is not servers[1]:
            servers[0], servers[1] = servers[1], servers[0]
        may_read.set()
        answer = await client.response() if client.sock.fileno() >= 0 else None
    return servers[0], first, answer


@scenario
async def test_the_rest_of_a_request_is_not_written_to_a_server_that_begins_to_drain(start):
    async def drain(first, updates, client, found):
        updates.publish({"id": first.name, "addr": first.address, "state": "terminating"})
        await wait_for_updates(found)

    other, first, answer = await during_partial_write(start, drain)
    assert answer[0] == 200 and len(other.requests) == 1 and not first.requests


@scenario
async def test_the_rest_of_a_request_is_not_written_after_its_deadline(start):
    async def wait(first, updates, client, found):
        end = time.monotonic() + 0.65
        while time.monotonic() < end:  # blocks the event loop; the server reads nothing
            time.sleep(0.01)

    other, first, answer = await during_partial_write(start, wait)
    assert answer[0] in (502, 503) and not other.requests and not first.requests


@scenario
async def test_the_rest_of_a_request_is_not_written_for_a_client_that_has_left(start):
    async def leave(first, updates, client, found):
        client.reset()

    other, first, _ = await during_partial_write(start, leave)
    with trio.fail_after(5):
        await trio.sleep(0.2)
    assert not other.requests and not first.requests


# Clients that disconnect while their request waits for its first attempt.


async def request_of_departed_client(start, leave, pipelined=b"", before=None):
    """Sends a request whose client disconnects while its attempt's connection is held; returns the server.

    Asserts that the server does not receive the request. `pipelined` is sent right behind it, and `before` is
    awaited before the client disconnects.
    """
    server = Server()
    ended = []
    with (
        HeldConnections() as held,
        hook(
            BalancerDriver,
            "abandon_request",
            after=lambda driver, exchange: ended.append(exchange.request_id),
        ),
    ):
        node = await start(server)
        text, request_id = new_request(node, "place", body="b", timeout="5000m")
        client = Client(node.port)
        client.send(text + pipelined)
        await wait_until(lambda: held.peers)
        if before is not None:
            await before()
        leave(client)
        # The node sees the established connection in the same iteration as the disconnect, or earlier.
        held.released.set()
        await wait_until(lambda: request_id in ended)
        # The node still serves, and the server would have received the first request by now.
        assert (await node.send_request("view"))[0] == 200
    assert request_id not in server.ids
    return server


@scenario
async def test_nothing_is_sent_for_a_client_that_closed_while_the_connection_was_opened(start):
    await request_of_departed_client(start, Client.leave)


@scenario
async def test_nothing_is_sent_for_a_client_that_reset_while_the_connection_was_opened(start):
    await request_of_departed_client(start, Client.reset)


@scenario
async def test_nothing_is_sent_for_a_client_that_left_a_further_request_unread(start):
    for leave in (Client.leave, Client.reset):
        seen = []

        def handled(_, client, seen=seen):
            seen.append(client)

        async def unread(seen=seen):
            await wait_until(lambda: any(client.is_paused for client in seen))

        with hook(RequestHandler, "handle", after=handled):
            await request_of_departed_client(
                start, leave, b"GET /view/1 HTTP/1.1\r\nFiller: " + b"x" * 90000, unread
            )


@scenario
async def test_nothing_is_sent_for_a_client_that_left_right_after_its_request(start):
    server = Server()
    node = await start(server)
    assert (await node.send_request("view"))[0] == 200  # opens the connection that is used below
    await wait_until(lambda: server.connection_count == 1)
    ended = []
    with hook(
        BalancerDriver,
        "abandon_request",
        after=lambda driver, exchange: ended.append(exchange.request_id),
    ):
        for leave in (Client.leave, Client.reset):
            text, request_id = new_request(node, "place", body="b")
            client = Client(node.port)
            client.send(text)
            leave(client)  # the request and the close are in the node's socket together
            if leave is Client.leave:  # after a reset the kernel drops unread data
                await wait_until(lambda request_id=request_id: request_id in ended)
            assert (await node.send_request("view"))[0] == 200
            assert request_id not in server.ids


@scenario
async def test_nothing_is_sent_for_clients_that_leave_between_decision_and_write(start):
    server = Server()
    node = await start(server)
    assert (await node.send_request("view"))[0] == 200
    ended, clients = [], {}

    def leave_before_write(upstream, exchange, attempt):
        if exchange.request_id in clients:
            clients[exchange.request_id].leave()
            time.sleep(0.35)  # delays the event loop

    with (
        hook(Upstream, "start_attempt", before=leave_before_write),
        hook(
            BalancerDriver,
            "abandon_request",
            after=lambda driver, exchange: ended.append(exchange.request_id),
        ),
    ):
        text, request_id = new_request(node, "place", body="b", timeout="5000m")
        clients[request_id] = Client(node.port).send(text)
        await wait_until(lambda: request_id in ended)
        assert (await node.send_request("view"))[0] == 200
    assert request_id not in server.ids


@scenario
async def test_nothing_is_sent_for_a_burst_of_clients_that_leave_together(start):
    server = Server()
    ended = []
    with (
        HeldConnections(max_held=40) as held,
        hook(
            BalancerDriver,
            "abandon_request",
            after=lambda driver, exchange: ended.append(exchange.request_id),
        ),
    ):
        node = await start(server)
        clients = [Client(node.port) for _ in range(30)]
        for client in clients:
            client.send(new_request(node, "place", body="b", timeout="5000m")[0])
        await wait_until(lambda: len(held.peers) >= 3)  # the others wait for capacity
        for n, client in enumerate(clients):
            (Client.leave, Client.reset)[n % 2](client)
        held.released.set()
        await wait_until(lambda: len(ended) >= 30)
        held.max_held = 0
        text, request_id = new_request(node, "place", body="b")
        assert (await Client(node.port).send(text).response())[0] == 200
    assert server.ids == [request_id]


# Responses and timeouts in one iteration of the event loop.


@scenario
async def test_a_response_and_its_timeout_in_one_iteration_make_one_response(start):
    for class_name, body in (("view", ""), ("place", "b")):
        done = []

        async def answer(stream, done=done):
            send_now(stream, OK)
            done.append(1)

        server = Server(None, on={"read": answer})
        node = await start(server)
        began = []
        stall = EventLoopStall(
            lambda done=done: bool(done), lambda began=began: time.monotonic() > began[0] + TIMEOUT_S + 0.1
        )
        trio.lowlevel.add_instrument(stall)
        client, (text, _) = Client(node.port), new_request(node, class_name, body=body, timeout="300m")
        began.append(time.monotonic())
        client.send(text)
        status, got = await client.response()
        trio.lowlevel.remove_instrument(stall)
        assert stall.stalled and status in (200, 502, 503) and got.count(b"HTTP/1.1 ") == 1
        assert class_name == "view" or status != 503  # it has run, so it must not be rejected
        text, _ = new_request(node, "view")
        assert (await client.send(text).response())[0] == 200  # no surplus bytes are on the connection


@scenario
async def test_the_response_of_a_losing_attempt_reaches_no_client(start):
    slow, go = Server(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"), trio.Event()
    quick = Server(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsoon", name="t")
    slow.on = quick.on = {"read": lambda _: go.wait()}
    node = await start(slow, quick)
    exchanges = []
    with hook(
        BalancerDriver,
        "add_request",
        after=lambda driver, exchange: exchanges.append((driver, exchange)),
    ):
        client, (text, _) = Client(node.port), new_request(node, "view", timeout="5000m")
        client.send(text)
        await wait_until(lambda: len(slow.requests + quick.requests) == 1)
        driver, exchange = exchanges[0]
        other = 1 - exchange.attempts[0].server
        driver.attempt(exchange.number, other, 5.0)  # a second attempt, like a hedge
        await wait_until(lambda: len(slow.requests + quick.requests) == 2)
    go.set()  # both responses are in the node's sockets in one iteration
    status, answer = await client.response()
    assert status == 200 and answer.count(b"HTTP/1.1 ") == 1
    status, _ = await client.send(new_request(node, "view")[0]).response()
    assert status == 200


@scenario
async def test_a_non_idempotent_request_that_may_have_run_is_not_written_again_even_if_the_balancer_errs(
    start,
):
    servers = [Server(None), Server(None, name="t")]
    node = await start(*servers)
    exchanges = []
    with hook(
        BalancerDriver,
        "add_request",
        after=lambda driver, exchange: exchanges.append((driver, exchange)),
    ):
        client = Client(node.port).send(new_request(node, "place", body="b", timeout="500m")[0])
        await wait_until(lambda: received_ids(*servers))
        driver, exchange = exchanges[0]
        # Simulates an erroneous decision of the balancer.
        driver.attempt(exchange.number, 1 - exchange.attempts[0].server, 5.0)
        status, _ = await client.response()
    assert status == 502 and len(received_ids(*servers)) == 1


@scenario
async def test_a_cancelled_attempt_whose_last_byte_is_written_may_have_run(start):
    server = Server(None)
    node = await start(server)
    exchanges = []
    with hook(
        BalancerDriver,
        "add_request",
        after=lambda driver, exchange: exchanges.append((driver, exchange)),
    ):
        client = Client(node.port).send(new_request(node, "place", body="b", timeout="700m")[0])
        await wait_until(lambda: server.heads)
        driver, exchange = exchanges[0]
        driver.cancel(exchange.number, 0)
        status, _ = await client.response()
    assert status == 502 and len(server.ids) == 1  # neither rejected nor retried


# Unsolicited and incomplete responses.


@scenario
async def test_a_surplus_response_some_milliseconds_late_answers_no_later_request(start):
    stray = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
    request_ids, sent = [], []

    async def respond_twice(stream):
        if not sent:
            sent.append(1)
            send_now(stream, stray)

    server = Server(on={"last": respond_twice})
    node = await start(server)
    assert (await node.send_request("view"))[0] == 200
    with mock.patch.object(connection_pool, "REUSE_DELAY_S", 30.0):
        for _ in range(6):
            text, request_id = new_request(node, "place", body="b")
            status, answer = await Client(node.port).send(text).response()
            assert status == 200 and answer.endswith(b"\r\n\r\nok")
            request_ids.append(request_id)
    # After a surplus response, no connection is reused before the delay has passed.
    assert server.connection_count >= 6 and server.ids[1:] == request_ids


@scenario
async def test_a_response_without_a_length_that_is_reset_is_no_response(start):
    async def reset_connection(stream):
        reset(stream.socket)

    endless = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart of it"
    first = Server(endless, on={"last": reset_connection})
    node = await start(first)
    status, answer = await Client(node.port).send(new_request(node, "place", body="b")[0]).response()
    assert status == 502 and b"part" not in answer and len(first.requests) == 1


@scenario
async def test_connections_closed_as_they_are_acquired_lose_nothing_that_may_be_retried(start):
    """A server closes the connection as the node writes to it; so does the server of the retry."""
    servers = [Server(OK, name=name) for name in "stu"]
    node = await start(*servers, changes=request_classes(group="all"))
    request_count = 0
    # The retry budget is a fraction of the accepted requests.
    while not all(server.connection_count for server in servers) or request_count < 30:
        assert (await node.send_request("view"))[0] == 200
        request_count += 1

    closed = []

    async def close(stream):
        closed.append(stream)
        if len(closed) < 3:
            await stream.aclose()

    for server in servers:
        server.on = {"head": close}
    status, _ = await Client(node.port).send(new_request(node, "amend", body="b")[0]).response()
    assert status == 200 and len(closed) == 3


@scenario
async def test_a_full_server_permits_a_retry_elsewhere_and_a_reset_does_not(start):
    for answer, status, count in ((FULL, 200, 2), (RESET, 502, 1)):
        responses = [answer, OK]

        async def close_if_reset(stream, answer=answer, responses=responses):
            if answer == RESET and len(responses) == 1:
                await stream.aclose()

        first, second = (
            Server(on={"last": close_if_reset}),
            Server(name="t", on={"last": close_if_reset}),
        )
        first.responses = second.responses = responses
        node = await start(first, second)
        got, _ = await Client(node.port).send(new_request(node, "place", body="b")[0]).response()
        assert (got, len(first.requests + second.requests)) == (status, count)


def test_header_value_finds_a_header_regardless_of_case():
    assert header_value(b"GET / HTTP/1.1\r\nRequest-Id: 5\r\n\r\n", b"request-id") == b"5"
