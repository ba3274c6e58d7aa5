"""Connections between control nodes: when an attempt is made anew, and what it carries."""

import asyncio
import logging

import msgspec
import pytest

from wheatroute.replication import links as links_module
from wheatroute.replication.links import LENGTH_BYTES, Link, Links
from wheatroute.replication.messages import Envelope, JoinRequest, LeaseEnded

LIMIT = 10.0  # seconds that a story may take before it counts as hung
LOG = logging.getLogger("test-links")
HERE, PEER = "127.0.0.31", "127.0.0.32"


def run_async(scenario):
    async def limited(*given):
        async with asyncio.timeout(LIMIT):
            await scenario(*given)

    def run(unanswered):
        asyncio.run(limited(unanswered))

    run.__name__ = scenario.__name__
    return run


@pytest.fixture
def unanswered(monkeypatch):
    """Attempts to connect that get no answer, one for each `True` that it holds; then all connect."""
    answers, attempts = [], []
    connect = asyncio.open_connection

    async def open_connection(host, port):
        attempts.append(host)
        if host == PEER and answers and answers.pop(0):
            await asyncio.Event().wait()
        return await connect(host, port)

    monkeypatch.setattr(links_module.asyncio, "open_connection", open_connection)
    monkeypatch.setattr(links_module, "CONNECT_TIMEOUT_S", LIMIT)
    return answers, attempts


async def free_port():
    server = await asyncio.start_server(lambda reader, writer: None, HERE, 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


async def until(what):
    while not what():
        await asyncio.sleep(0)


@run_async
async def test_what_waits_for_a_machine_without_power_goes_out_once_that_machine_connects(unanswered):
    """On adomako-fx trouble-1 the word that a lease is over waited 0.4 s for such an attempt to end."""
    answers, attempts = unanswered
    answers.append(True)
    port, received = await free_port(), []
    here = Links(f"{HERE}/0", (HERE, port), lambda *message_parts: None, LOG)
    await here.listen()
    here.send(PEER, LeaseEnded(4))
    await until(lambda: attempts == [PEER])
    peer = Links(f"{PEER}/0", (PEER, port), lambda sender, message: received.append((sender, message)), LOG)
    await peer.listen()
    here.send(PEER, JoinRequest(4))
    assert attempts == [PEER]  # the attempt is still under way, and nothing has arrived
    peer.send(HERE, JoinRequest(4))
    await until(lambda: len(received) == 2)
    assert received == [(f"{HERE}/0", LeaseEnded(4)), (f"{HERE}/0", JoinRequest(4))]
    here.close()
    peer.close()


async def five_messages(port):
    """On one connection from the peer."""
    body = msgspec.msgpack.encode(Envelope(f"{PEER}/0", JoinRequest(4)))
    _, writer = await asyncio.open_connection(HERE, port)
    writer.write(5 * (len(body).to_bytes(LENGTH_BYTES, "big") + body))
    return writer


@run_async
async def test_a_peer_that_cannot_be_reached_from_here_is_tried_once_for_each_of_its_connections(unanswered):
    answers, attempts = unanswered
    answers += [True] * 9
    port, received = await free_port(), []
    here = Links(f"{HERE}/0", (HERE, port), lambda *message_parts: received.append(message_parts), LOG)
    await here.listen()
    here.send(PEER, JoinRequest(4))
    await until(lambda: len(attempts) == 1)
    for connection in (1, 2):
        writer = await five_messages(port)
        while len(received) < 5 * connection or attempts.count(PEER) < 1 + connection:
            await asyncio.sleep(0)
        assert attempts.count(PEER) == 1 + connection
        writer.close()
    here.close()


def test_nothing_is_tried_while_nothing_waits():
    link = Link(PEER, 1)
    link.on_peer_connected()
    assert link._connecting is None
