"""Resets, silence, closes, surplus and early answers, at each stage of a request; see docs/control-state.md.

The servers are scripted on real sockets, and each crossing is forced: nothing waits for luck.
"""

import pytest
import trio
from asynchronous import story, until
from edge.harness import (
    END,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
    edge,
    raw,
    request,
    status,
)

from wheatroute.edge import attempt

REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nServer-Signature: s1\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
NO_ID = b"HTTP/1.1 200 OK\r\nServer-Signature: s1\r\nContent-Length: 2\r\n\r\nno"
LONG = b"x" * 3_000_000  # more than the buffers of both sides take


def ids(*servers):
    return [headers["request-id"] for server in servers for _, headers, _ in server.requests]


@story
async def test_a_rejection_that_comes_twice_does_not_pass_for_the_answer_to_a_second_send():
    """A server that is full isn't asked again for the same request, and the copy belongs to no other one."""
    server = ScriptedServer("i-1", raw(REJECTION + REJECTION, keep=True))
    async with edge(server) as it:
        assert status(await it.ask(request("/plain/1", identity="r1"))) == 503
        assert ids(server) == ["r1"]
        assert status(await it.ask(request("/plain/2", identity="r2"))) == 200
    assert ids(server) == ["r1", "r2"] and server.connections == 2


@story
async def test_a_connection_on_which_a_request_was_rejected_never_carries_it_again():
    """Whatever path leads to a second send: there a late copy of the rejection would match by its id."""
    server = ScriptedServer("i-1", answer(b"kept"), raw(REJECTION, keep=True))
    async with edge(server) as it:
        await it.ask(request("/plain/0", identity="r0"))
        it.node.selector.rank = by_id
        kept = it.node.pool._idle["i-1"][0].connection
        await it.ask(request("/plain/1", identity="r1"))
        assert b"r1" in kept.answered_ids and b"r0" not in kept.answered_ids
        (at,) = it.node.instances.available("llm")
        assert await it.node.pool.acquire(at, b"r1") is not kept
        assert await it.node.pool.acquire(at, b"r2") is kept


@story
async def test_an_answer_without_an_id_is_ours_only_where_nothing_else_was_asked():
    fresh = ScriptedServer("i-1", raw(NO_ID, keep=True))
    async with edge(fresh) as it:
        assert status(await it.ask(request("/plain/1"))) == 200
    kept = ScriptedServer("i-1", answer(b"one"), raw(NO_ID, keep=True))
    async with edge(kept) as it:
        assert status(await it.ask(request("/plain/1", identity="r1"))) == 200
        # it may be a surplus answer to r1: r2 may have run, and is neither answered with it nor sent again
        assert status(await it.ask(request("/plain/2", identity="r2"))) == 502
    assert ids(kept) == ["r1", "r2"] and kept.connections == 1


@story
async def test_a_surplus_answer_is_passed_over_also_by_a_request_with_a_body():
    surplus = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: old\r\nContent-Length: 3\r\n\r\nold"
    own = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: new\r\nContent-Length: 3\r\n\r\nnew"
    server = ScriptedServer("i-1", answer(b"one"), raw(surplus + own, keep=True))
    async with edge(server) as it:
        await it.ask(request("/plain/1", identity="r1", body=b"some body"))
        got = await it.ask(request("/plain/2", identity="r2", body=b"another body"))
    assert status(got) == 200 and got.endswith(b"new") and b"server-signature: new" in got


def by_id(service, servers, *rest):
    """Stands for the choice of servers: the first one by its id."""
    return sorted(servers, key=lambda one: one.id)


def reset(stream):
    stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")


def after(part, how):
    """A server that reads the request, sends a part of its answer, and then breaks off in some way."""

    async def play(stream, asked):
        await stream.send_all(part.replace(b"{id}", asked["request-id"].encode()))
        if how == "reset":
            reset(stream)
        return False

    return play


HALF_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
HALF_BODY = HALF_HEAD + b"Server-Signature: s1\r\nContent-Length: 9\r\n\r\nhalf"
UNFRAMED = HALF_HEAD + b"Server-Signature: s1\r\n\r\nno length"


@pytest.mark.parametrize("how", ("close", "reset"))
@pytest.mark.parametrize(
    "part", (b"", HALF_HEAD, HALF_BODY, UNFRAMED), ids=("nothing", "head", "body", "open")
)
def test_what_breaks_off_behind_the_last_byte_is_sent_again_only_where_it_is_safe(part, how):
    @story
    async def play():
        for kept in (False, True):
            before = [answer(b"warm")] if kept else []
            first, second = ScriptedServer("i-1", *before, after(part, how)), ScriptedServer("i-2")
            async with edge(first, second) as it:
                it.node.selector.rank = by_id
                for _ in before:
                    assert status(await it.ask(request("/plain/0", identity="r0"))) == 200
                assert status(await it.ask(request("/plain/1", identity="r1"))) == 502
            assert ids(first) == ["r0", "r1"][-1 - kept :] and first.connections == 1 and ids(second) == []
        # a safe one goes to the other server, once
        first, second = ScriptedServer("i-1", after(part, how)), ScriptedServer("i-2", after(part, how))
        async with edge(first, second) as it:
            first.scripts.append(answer(b"again"))
            second.scripts.append(answer(b"again"))
            await it.ask(request("/safe/1", identity="r1"))
        assert ids(first, second) == ["r1", "r1"]

    play()


class EarlyServer(ScriptedServer):
    """Answers once it has a request's head, whatever is still to come of its body."""

    def __init__(self, identity, data, then):
        super().__init__(identity)
        self.data, self.then = data, then
        self.heads, self.read = [], 0
        self.ended = trio.Event()

    async def serve(self, stream):
        self.connections += 1
        head = b""
        while b"\r\n\r\n" not in head:
            head += await stream.receive_some(1000)
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n\r\n")[0].split(b"\r\n")[1:])
        self.heads.append(fields[b"request-id"].decode())
        await stream.send_all(self.data.replace(b"{id}", fields[b"request-id"]))
        try:
            await self.then(self, stream, int(fields[b"content-length"]) - len(head.split(b"\r\n\r\n", 1)[1]))
        finally:
            self.ended.set()


async def break_off(server, stream, due):
    reset(stream)
    await stream.aclose()


async def read_on(server, stream, due):
    """It keeps the connection; the rest of the body has to come, and nothing else."""
    while due > 0:
        data = await stream.receive_some(65536)
        assert data and data == b"x" * min(len(data), due)
        due -= len(data)
    server.read += 1
    while rest := await stream.receive_some(65536):
        server.heads.append(rest)


@story
async def test_a_long_body_that_is_rejected_early_by_a_reset_never_ran_and_goes_elsewhere():
    first = EarlyServer("i-1", REJECTION, break_off)
    second = ScriptedServer("i-2", answer(b"taken"))
    async with edge(first, second) as it:
        it.node.selector.rank = by_id
        got = await it.ask(request("/plain/1", body=LONG))
    assert status(got) == 200 and first.heads == ["r1"] and ids(second) == ["r1"]
    assert second.requests[0][2] == LONG


@story
async def test_a_server_that_rejects_early_and_reads_on_gets_the_rest_of_that_body():
    first = EarlyServer("i-1", REJECTION, read_on)
    second = ScriptedServer("i-2", answer(b"taken"))
    async with edge(first, second) as it:
        it.node.selector.rank = by_id
        got = await it.ask(request("/plain/1", body=LONG))
        await until(lambda: first.read == 1)
        assert status(got) == 200 and first.heads == ["r1"] and ids(second) == ["r1"]


@story
async def test_a_request_is_given_up_inside_its_body_without_its_end():
    """Its client leaves while the server doesn't read: the request can't run, and goes nowhere else."""
    held = trio.Event()

    async def hold(server, stream, due):
        held.set()
        while await stream.receive_some(65536):
            pass

    async def nothing(server, stream, due):
        held.set()
        await trio.sleep_forever()

    first, second = EarlyServer("i-1", b"", nothing), ScriptedServer("i-2")
    async with edge(first, second) as it:
        it.node.selector.rank = by_id
        client = await trio.open_tcp_stream("127.0.0.1", it.port)
        await client.send_all(request("/plain/1", body=LONG))
        await held.wait()
        await client.aclose()
        await until(lambda: not it.clients.busy_count)
        assert it.node.pool.connection_count(it.node.instances.get("i-1")) == 0
    assert ids(second) == []


@story
async def test_a_stream_that_is_taken_up_goes_out_on_another_connection():
    """Also at the same server: the surplus end of the first answer would belong to the second."""
    begun = STREAM_HEAD + chunk(b"id: 1\ndata: a\n\n")
    rest = STREAM_HEAD + chunk(b"id: 2\ndata: b\n\n") + END
    server = ScriptedServer("i-1", raw(begun), raw(rest, keep=True))
    async with edge(server) as it:
        got = await it.ask(request("/resume/1"))
    assert ids(server) == ["r1", "r1"] and server.connections == 2
    assert got.count(b"data: a") == 1 and got.count(b"data: b") == 1 and got.endswith(END)


def test_each_pair_of_outcome_and_proof_is_told_apart():
    """What may follow an outcome: nothing but a proof lets an unsafe request go on."""
    assert attempt.NEVER_RAN == {
        attempt.Outcome.NOT_SENT,
        attempt.Outcome.CANCELLED,
        attempt.Outcome.NOT_EXECUTED,
        attempt.Outcome.MISDIRECTED,
    }
