"""What may come between the decision of an attempt and its bytes on a socket; each crossing is forced.

Held connections stand for those that come up late: the attempt is decided, its connection is up, nothing is
written yet.
"""

import time
from unittest import mock

import trio
from node_harness import ERROR, FULL, OK, RESET, list_response, platform_settings, scenario, server_entry
from race_harness import (
    Client,
    HeldConnections,
    ListService,
    Server,
    Stall,
    at,
    header_value,
    message,
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

DEAD = 0.3  # seconds


def rules(**changes):
    return {"rules": platform_settings(1.0)["rules"] | changes}


def types(**changes):
    """The settings' three classes, those of the keyed one changed."""
    kinds = platform_settings(1.0)["traffic-types"]
    kinds[1] |= changes
    return {"traffic-types": kinds}


class ListUpdates:
    """A list service that has no changes until some are published."""

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


def written(*servers):
    return [one for server in servers for one in server.ids]


async def updates_applied(discoveries):
    """Waits until a node has applied the changes that were published."""
    await wait_until(lambda: any(one._version == 2 for one in discoveries))


def watch_discoveries():
    """The list's sides of nodes started from here on."""
    found = []
    from wheatroute.net.discovery import Discovery

    return found, at(Discovery, "watch", after=lambda one, enable: found.append(one))


@scenario
async def test_nothing_is_written_once_the_time_of_a_request_is_over(start):
    server = Server()
    node = await start(server)
    before = time.monotonic()

    def late():
        while time.monotonic() < before + DEAD + 0.1:
            time.sleep(0.01)

    with HeldConnections(blocked=late):
        client, (text, _) = Client(node.port), message(node, "place", body="b", timeout="300m")
        before = time.monotonic()
        client.send(text)
        status, _ = await client.answer()
    assert status in (502, 503) and not server.heads


async def changed(start, change, others=(), count=2, **how):
    """One request whose connection is held while the list changes; who got it, and its status."""
    servers = [Server(name=name) for name in "st"[:count]]
    updates, (found, watching) = ListUpdates(), watch_discoveries()
    with HeldConnections() as held, watching:
        node = await start(*servers, discovery=updates.service, others=others, **how)
        client = Client(node.port)
        client.send(message(node, "place", body="b")[0])
        await wait_until(lambda: held.peers)
        first = next(one for one in servers if one.address == held.peers[0])
        updates.publish(*change(first), is_full=bool(how.get("full")))
        await updates_applied(found)
        held.released.set()
        status, _ = await client.answer()
    return servers, first, status


@scenario
async def test_a_server_that_begins_to_drain_while_its_connection_is_opened_gets_nothing(start):
    servers, first, status = await changed(
        start, lambda one: [{"id": one.name, "addr": one.address, "state": "terminating"}]
    )
    assert status == 200 and not first.heads and len(written(*servers)) == 1


@scenario
async def test_a_server_that_is_removed_while_its_connection_is_opened_gets_nothing(start):
    servers, first, status = await changed(start, lambda one: [{"id": one.name, "state": "terminated"}])
    assert status == 200 and not first.heads and len(written(*servers)) == 1


@scenario
async def test_an_address_that_belongs_to_another_server_by_now_gets_nothing(start):
    stranger = Server(name="u")
    servers, first, status = await changed(
        start, lambda one: [{"id": one.name, "addr": stranger.address}], others=[stranger]
    )
    assert status == 200 and not first.heads and len(written(*servers)) == 1


@scenario
async def test_a_restarted_server_gets_nothing_that_was_chosen_for_its_earlier_incarnation(start):
    servers, first, status = await changed(
        start,
        lambda one: [
            {
                "id": one.name,
                "addr": one.address,
                "state": "in_service",
                "started_ms": int(time.time() * 1000),
            }
        ],
    )
    assert status == 200 and not first.heads and len(written(*servers)) == 1


@scenario
async def test_a_keyed_request_is_not_retried_once_its_retry_window_is_over(start):
    turn = [ERROR, OK]
    first, second = Server(), Server(name="t")
    first.responses = second.responses = turn
    with HeldConnections(max_held=2) as held:
        node = await start(first, second, changes=types(**{"repeat-window": 0.4}))
        client = Client(node.port).send(message(node, "amend", body="b")[0])
        await wait_until(lambda: held.peers)
        began = time.monotonic()
        held.released.set()
        held.released = trio.Event()
        await wait_until(lambda: len(held.peers) == 2)  # the repeat's connection is up
        await trio.sleep_until(trio.current_time() + began + 0.45 - time.monotonic())
        held.released.set()
        status, _ = await client.answer()
    assert status == 503 and len(written(first, second)) == 1


@scenario
async def test_a_server_that_warms_up_gets_nothing_that_was_decided_long_before(start):
    server = Server()

    updates = []

    def credited(membership, *_):
        membership._state.servers.slow_start_credit[0] = 1.0  # room for one
        updates.append(membership)

    with HeldConnections() as held, at(MembershipUpdates, "servers_listed", after=credited):
        node = await start(
            server,
            entries=[server_entry(server, started_ms=int(time.time() * 1000))],
            changes=rules(fall=0.8),
        )
        text, one = message(node, "place", body="b", timeout="500m")
        client = Client(node.port).send(text)
        await wait_until(lambda: held.peers)
        await trio.sleep_until(trio.current_time() + 0.25)  # over a quarter of the time in which it falls
        held.released.set()
        status, _ = await client.answer()
        assert status == 503 and not server.heads
        credited(updates[0])
        text, other = message(node, "place", body="b")
        assert (await Client(node.port).send(text).answer())[0] == 200
    assert server.ids == [other] and server.connection_count == 1  # on the connection that was up


# a server that reads too slowly


BODY = "x" * 60000


async def half_written(start, then, **how):
    """Runs `then(first, updates, client, discoveries)` while a request is half written, then reads on."""
    reads = trio.Event()
    servers = [Server(name=name, buffer=2048, on={"accepted": lambda _: reads.wait()}) for name in "st"]
    updates, (found, watching) = ListUpdates(), watch_discoveries()
    connections = []
    with (
        HeldConnections(max_held=0, buffer=2048),
        watching,
        at(Connection, "send", after=lambda connection, *_: connections.append(connection)),
    ):
        node = await start(*servers, discovery=updates.service, **how)
        client = Client(node.port)
        client.send(message(node, "place", body=BODY, timeout="600m")[0])
        await wait_until(lambda: [connection for connection in connections if connection._unsent])
        address = next(connection for connection in connections if connection._unsent).peer
        first = next(one for one in servers if one.address == address)
        await then(first, updates, client, found)
        if first is not servers[1]:
            servers[0], servers[1] = servers[1], servers[0]
        reads.set()
        answer = await client.answer() if client.sock.fileno() >= 0 else None
    return servers[0], first, answer


@scenario
async def test_the_rest_of_a_request_is_not_written_to_a_server_that_begins_to_drain(start):
    async def drain(first, updates, client, found):
        updates.publish({"id": first.name, "addr": first.address, "state": "terminating"})
        await updates_applied(found)

    other, first, answer = await half_written(start, drain)
    assert answer[0] == 200 and len(other.requests) == 1 and not first.requests


@scenario
async def test_the_rest_of_a_request_is_not_written_after_its_deadline(start):
    async def wait(first, updates, client, found):
        end = time.monotonic() + 0.65
        while time.monotonic() < end:  # the node's loop stands still, its server reads nothing
            time.sleep(0.01)

    other, first, answer = await half_written(start, wait)
    assert answer[0] in (502, 503) and not other.requests and not first.requests


@scenario
async def test_the_rest_of_a_request_is_not_written_for_a_client_that_has_left(start):
    async def leave(first, updates, client, found):
        client.reset()

    other, first, _ = await half_written(start, leave)
    with trio.fail_after(5):
        await trio.sleep(0.2)
    assert not other.requests and not first.requests


# clients that leave while their request waits for its first attempt


async def left(start, leave, pipelined=b"", before=None):
    """A request whose client leaves while the attempt's connection is held; what the servers got."""
    server = Server()
    ended = []
    with (
        HeldConnections() as held,
        at(
            BalancerDriver,
            "abandon_request",
            after=lambda driver, exchange: ended.append(exchange.request_id),
        ),
    ):
        node = await start(server)
        text, one = message(node, "place", body="b", timeout="5000m")
        client = Client(node.port)
        client.send(text + pipelined)
        await wait_until(lambda: held.peers)
        if before is not None:
            await before()
        leave(client)
        held.released.set()  # the connection is seen to be up in the same pass as the leaving, or before it
        await wait_until(lambda: one in ended)
        # the node goes on, and by now all of it would be there
        assert (await node.send_request("view"))[0] == 200
    assert one not in server.ids
    return server


@scenario
async def test_nothing_is_sent_for_a_client_that_closed_while_the_connection_was_opened(start):
    await left(start, Client.leave)


@scenario
async def test_nothing_is_sent_for_a_client_that_reset_while_the_connection_was_opened(start):
    await left(start, Client.reset)


@scenario
async def test_nothing_is_sent_for_a_client_that_left_a_further_request_unread(start):
    for leave in (Client.leave, Client.reset):
        seen = []

        def handled(_, client, seen=seen):
            seen.append(client)

        async def unread(seen=seen):
            await wait_until(lambda: any(one.is_paused for one in seen))

        with at(RequestHandler, "handle", after=handled):
            await left(start, leave, b"GET /view/1 HTTP/1.1\r\nFiller: " + b"x" * 90000, unread)


@scenario
async def test_nothing_is_sent_for_a_client_that_left_right_after_its_request(start):
    server = Server()
    node = await start(server)
    assert (await node.send_request("view"))[0] == 200  # a connection is open: nothing has to come up
    await wait_until(lambda: server.connection_count == 1)
    ended = []
    with at(
        BalancerDriver,
        "abandon_request",
        after=lambda driver, exchange: ended.append(exchange.request_id),
    ):
        for leave in (Client.leave, Client.reset):
            text, one = message(node, "place", body="b")
            client = Client(node.port)
            client.send(text)
            leave(client)  # request and end lie in the node's socket together
            if leave is Client.leave:  # after a reset the system drops what was not read
                await wait_until(lambda one=one: one in ended)
            assert (await node.send_request("view"))[0] == 200
            assert one not in server.ids


@scenario
async def test_nothing_is_sent_for_clients_that_leave_between_decision_and_write(start):
    server = Server()
    node = await start(server)
    assert (await node.send_request("view"))[0] == 200
    ended, clients = [], {}

    def decided(servers, exchange, attempt):
        if exchange.request_id in clients:
            clients[exchange.request_id].leave()
            time.sleep(0.35)  # the event loop is late

    with (
        at(Upstream, "start_attempt", before=decided),
        at(
            BalancerDriver,
            "abandon_request",
            after=lambda driver, exchange: ended.append(exchange.request_id),
        ),
    ):
        text, one = message(node, "place", body="b", timeout="5000m")
        clients[one] = Client(node.port).send(text)
        await wait_until(lambda: one in ended)
        assert (await node.send_request("view"))[0] == 200
    assert one not in server.ids


@scenario
async def test_nothing_is_sent_for_a_burst_of_clients_that_leave_together(start):
    server = Server()
    ended = []
    with (
        HeldConnections(max_held=40) as held,
        at(
            BalancerDriver,
            "abandon_request",
            after=lambda driver, exchange: ended.append(exchange.request_id),
        ),
    ):
        node = await start(server)
        clients = [Client(node.port) for _ in range(30)]
        for client in clients:
            client.send(message(node, "place", body="b", timeout="5000m")[0])
        await wait_until(lambda: len(held.peers) >= 3)  # the others wait for room
        for n, client in enumerate(clients):
            (Client.leave, Client.reset)[n % 2](client)
        held.released.set()
        await wait_until(lambda: len(ended) >= 30)
        held.max_held = 0
        text, one = message(node, "place", body="b")
        assert (await Client(node.port).send(text).answer())[0] == 200
    assert server.ids == [one]


# answers and timers in one pass


@scenario
async def test_a_response_and_its_timeout_in_one_iteration_make_one_response(start):
    for kind, body in (("view", ""), ("place", "b")):
        done = []

        async def answer(stream, done=done):
            send_now(stream, OK)
            done.append(1)

        server = Server(None, on={"read": answer})
        node = await start(server)
        began = []
        stall = Stall(
            lambda done=done: bool(done), lambda began=began: time.monotonic() > began[0] + DEAD + 0.1
        )
        trio.lowlevel.add_instrument(stall)
        client, (text, _) = Client(node.port), message(node, kind, body=body, timeout="300m")
        began.append(time.monotonic())
        client.send(text)
        status, got = await client.answer()
        trio.lowlevel.remove_instrument(stall)
        assert stall.stalled and status in (200, 502, 503) and got.count(b"HTTP/1.1 ") == 1
        assert kind == "view" or status != 503  # it has run: no refusal
        text, _ = message(node, "view")
        assert (await client.send(text).answer())[0] == 200  # nothing is left on the connection


@scenario
async def test_the_response_of_a_losing_attempt_reaches_no_client(start):
    slow, go = Server(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"), trio.Event()
    quick = Server(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsoon", name="t")
    slow.on = quick.on = {"read": lambda _: go.wait()}
    node = await start(slow, quick)
    exchanges = []
    with at(
        BalancerDriver,
        "add_request",
        after=lambda driver, exchange: exchanges.append((driver, exchange)),
    ):
        client, (text, _) = Client(node.port), message(node, "view", timeout="5000m")
        client.send(text)
        await wait_until(lambda: len(slow.requests + quick.requests) == 1)
        driver, exchange = exchanges[0]
        other = 1 - exchange.attempts[0].server
        driver.attempt(exchange.number, other, 5.0)  # a second attempt, as the hedge is
        await wait_until(lambda: len(slow.requests + quick.requests) == 2)
    go.set()  # both answers are in the node's sockets in one pass
    status, answer = await client.answer()
    assert status == 200 and answer.count(b"HTTP/1.1 ") == 1
    status, _ = await client.send(message(node, "view")[0]).answer()
    assert status == 200


@scenario
async def test_a_non_idempotent_request_that_may_have_run_is_not_written_again_whoever_decides_it(start):
    servers = [Server(None), Server(None, name="t")]
    node = await start(*servers)
    exchanges = []
    with at(
        BalancerDriver,
        "add_request",
        after=lambda driver, exchange: exchanges.append((driver, exchange)),
    ):
        client = Client(node.port).send(message(node, "place", body="b", timeout="500m")[0])
        await wait_until(lambda: written(*servers))
        driver, exchange = exchanges[0]
        driver.attempt(exchange.number, 1 - exchange.attempts[0].server, 5.0)  # as a mistake would
        status, _ = await client.answer()
    assert status == 502 and len(written(*servers)) == 1


@scenario
async def test_a_cancelled_attempt_whose_last_byte_is_written_may_have_run(start):
    server = Server(None)
    node = await start(server)
    exchanges = []
    with at(
        BalancerDriver,
        "add_request",
        after=lambda driver, exchange: exchanges.append((driver, exchange)),
    ):
        client = Client(node.port).send(message(node, "place", body="b", timeout="700m")[0])
        await wait_until(lambda: server.heads)
        driver, exchange = exchanges[0]
        driver.cancel(exchange.number, 0)
        status, _ = await client.answer()
    assert status == 502 and len(server.ids) == 1  # not refused, not repeated


# answers that belong to nobody


@scenario
async def test_a_surplus_response_some_milliseconds_late_answers_no_later_request(start):
    stray = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
    ours, sent = [], []

    async def twice(stream):
        if not sent:
            sent.append(1)
            send_now(stream, stray)

    server = Server(on={"last": twice})
    node = await start(server)
    assert (await node.send_request("view"))[0] == 200
    with mock.patch.object(connection_pool, "REUSE_DELAY_S", 30.0):
        for _ in range(6):
            text, one = message(node, "place", body="b")
            status, answer = await Client(node.port).send(text).answer()
            assert status == 200 and answer.endswith(b"\r\n\r\nok")
            ours.append(one)
    # where answers came twice, no connection is used again before it has rested
    assert server.connection_count >= 6 and server.ids[1:] == ours


@scenario
async def test_a_response_without_a_length_that_is_reset_is_no_response(start):
    async def cut(stream):
        reset(stream.socket)

    endless = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart of it"
    first = Server(endless, on={"last": cut})
    node = await start(first)
    status, answer = await Client(node.port).send(message(node, "place", body="b")[0]).answer()
    assert status == 502 and b"part" not in answer and len(first.requests) == 1


@scenario
async def test_connections_closed_as_they_are_acquired_lose_nothing_that_may_be_retried(start):
    """One is closed by its server the moment that the node writes on it, and so is the one in its stead."""
    servers = [Server(OK, name=name) for name in "stu"]
    node = await start(*servers, changes=types(group="all"))
    request_count = 0
    # repeats are a share of what is taken
    while not all(one.connection_count for one in servers) or request_count < 30:
        assert (await node.send_request("view"))[0] == 200
        request_count += 1

    shut = []

    async def close(stream):
        shut.append(stream)
        if len(shut) < 3:
            await stream.aclose()

    for one in servers:
        one.on = {"head": close}
    status, _ = await Client(node.port).send(message(node, "amend", body="b")[0]).answer()
    assert status == 200 and len(shut) == 3


@scenario
async def test_a_full_server_allows_a_retry_elsewhere_and_a_reset_does_not(start):
    for answer, status, count in ((FULL, 200, 2), (RESET, 502, 1)):
        turn = [answer, OK]

        async def end(stream, answer=answer, turn=turn):
            if answer == RESET and len(turn) == 1:
                await stream.aclose()

        first, second = Server(on={"last": end}), Server(name="t", on={"last": end})
        first.responses = second.responses = turn
        node = await start(first, second)
        got, _ = await Client(node.port).send(message(node, "place", body="b")[0]).answer()
        assert (got, len(first.requests + second.requests)) == (status, count)


def test_the_stand_ins_read_fields():
    assert header_value(b"GET / HTTP/1.1\r\nRequest-Id: 5\r\n\r\n", b"request-id") == b"5"
