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


def story(tell):
    async def limited(*given):
        async with asyncio.timeout(LIMIT):
            await tell(*given)

    def run(dark):
        asyncio.run(limited(dark))

    run.__name__ = tell.__name__
    return run


@pytest.fixture
def dark(monkeypatch):
    """Attempts to connect that get no answer, one for each `True` that it holds; then all connect."""
    answers, begun = [], []
    connect = asyncio.open_connection

    async def open_connection(host, port):
        begun.append(host)
        if host == PEER and answers and answers.pop(0):
            await asyncio.Event().wait()
        return await connect(host, port)

    monkeypatch.setattr(links_module.asyncio, "open_connection", open_connection)
    monkeypatch.setattr(links_module, "CONNECT_TIMEOUT_S", LIMIT)
    return answers, begun


async def free_port():
    server = await asyncio.start_server(lambda reader, writer: None, HERE, 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


async def until(what):
    while not what():
        await asyncio.sleep(0)


@story
async def test_what_waits_for_a_machine_without_power_goes_out_once_that_machine_connects(dark):
    """On adomako-fx trouble-1 the word that a lease is over waited 0.4 s for such an attempt to end."""
    answers, begun = dark
    answers.append(True)
    port, got = await free_port(), []
    here = Links(f"{HERE}/0", (HERE, port), lambda *told: None, LOG)
    await here.listen()
    here.send(PEER, LeaseEnded(4))
    await until(lambda: begun == [PEER])
    peer = Links(f"{PEER}/0", (PEER, port), lambda sender, message: got.append((sender, message)), LOG)
    await peer.listen()
    here.send(PEER, JoinRequest(4))
    assert begun == [PEER]  # the attempt is still under way, and nothing has arrived
    peer.send(HERE, JoinRequest(4))
    await until(lambda: len(got) == 2)
    assert got == [(f"{HERE}/0", LeaseEnded(4)), (f"{HERE}/0", JoinRequest(4))]
    here.close()
    peer.close()


async def five_messages(port):
    """On one connection from the peer."""
    body = msgspec.msgpack.encode(Envelope(f"{PEER}/0", JoinRequest(4)))
    _, writer = await asyncio.open_connection(HERE, port)
    writer.write(5 * (len(body).to_bytes(LENGTH_BYTES, "big") + body))
    return writer


@story
async def test_a_peer_that_cannot_be_reached_from_here_is_tried_once_for_each_of_its_connections(dark):
    answers, begun = dark
    answers += [True] * 9
    port, got = await free_port(), []
    here = Links(f"{HERE}/0", (HERE, port), lambda *told: got.append(told), LOG)
    await here.listen()
    here.send(PEER, JoinRequest(4))
    await until(lambda: len(begun) == 1)
    for connection in (1, 2):
        writer = await five_messages(port)
        while len(got) < 5 * connection or begun.count(PEER) < 1 + connection:
            await asyncio.sleep(0)
        assert begun.count(PEER) == 1 + connection
        writer.close()
    here.close()


def test_nothing_is_tried_while_nothing_waits():
    link = Link(PEER, 1)
    link.on_peer_connected()
    assert link._connecting is None
