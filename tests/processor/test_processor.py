"""The external processor asked by a stand-in proxy: one story for each way in which a request can go."""

import socket
import subprocess
import sys
from contextlib import asynccontextmanager
from unittest import mock

import pytest
import structlog
import trio
from async_scenarios import scenario, until
from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingRequest, ProcessingResponse
from node_harness import reserve_port

from wheatroute import snapshot
from wheatroute.config import settings_file
from wheatroute.etcd import messages as wire
from wheatroute.grpc.call import Call
from wheatroute.grpc.client import Channel, connected
from wheatroute.grpc.messages import CallError, Status
from wheatroute.grpc.server import listen
from wheatroute.grpc.session import Session
from wheatroute.net.clock import now
from wheatroute.processor.dispatcher import Dispatcher
from wheatroute.processor.processing_messages import METHOD_PATH
from wheatroute.processor.worker import Worker
from wheatroute.standin.etcd import Member
from wheatroute.standin.etcd_store import Store
from wheatroute.standin.ext_proc_messages import destination, request_headers, response_headers

VIEW, AMEND, PLACE = 0, 1, 2
FILE = """
[[pools]]
name = "shop"
{servers}
[[traffic_types]]
name = "view"
effect = "pure"
paths = ["/view"]
hard_stop = 1.0
[[traffic_types]]
name = "amend"
effect = "receipted"
paths = ["/amend"]
hard_stop = 1.0
group = "cell"
repeat_window = 5.0
[[traffic_types]]
name = "place"
effect = "effectful"
paths = ["/place"]
hard_stop = 1.0
[processor]
listen = "127.0.0.1:1"
pool = "shop"
tries = 4
"""


def servers(count=4, **states):
    return "\n".join(
        f'[[pools.servers]]\nid = "s{n}"\naddress = "127.0.0.1:{7000 + n}"\ncell = {n // 2}\n'
        f'state = "{states.get(f"s{n}", "in_service")}"'
        for n in range(count)
    )


@asynccontextmanager
async def processor(tmp_path, listed=None, **changes):
    """The processor in this process, and a channel to it."""
    path = tmp_path / "file.toml"
    text = FILE.format(servers=servers() if listed is None else listed)
    for old, new in changes.items():
        text = text.replace(old, new)
    path.write_text(text)
    worker = Worker(settings_file.read(str(path)), str(path), 0, structlog.get_logger())
    listener = listen(("127.0.0.1", 0))
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.run, listener)
            async with connected(Channel(listener.getsockname())) as channel:
                await channel.session()
                yield worker, channel
            nursery.cancel_scope.cancel()


class Opened:
    """One request of the proxy."""

    def __init__(self, talk):
        self.talk = talk

    async def answer(self):
        message = await self.talk.receive()
        assert message is not None
        return ProcessingResponse.FromString(message)

    async def decision(self):
        """The server named, or the status of the answer that there is none."""
        answer = await self.answer()
        if answer.HasField("immediate_response"):
            return answer.immediate_response.status.code
        metadata = answer.dynamic_metadata.fields["envoy.lb"].struct_value.fields
        assert metadata["x-gateway-destination-endpoint"].string_value == destination(answer)
        return destination(answer)

    async def respond(self, status, **headers):
        await self.talk.send(response_headers(status, **headers))
        answer = await self.answer()
        assert answer.WhichOneof("response") == "response_headers"


@asynccontextmanager
async def asking(channel, name, kind=VIEW, attempt=1, **how):
    async with channel.call(METHOD_PATH) as talk:
        await talk.send(request_headers(name, kind, attempt, **how))
        yield Opened(talk)


async def ask(channel, *what, status=200, **how):
    """A whole request; the server that it went to."""
    async with asking(channel, *what, **how) as one:
        place = await one.decision()
        if isinstance(place, str):
            await one.respond(status)
            one.talk.half_close()
            assert await one.talk.receive() is None
        return place


def module(worker):
    return worker.dispatcher.driver._balancer


@scenario
async def test_each_request_gets_one_decision_and_all_servers_their_part(tmp_path):
    async with processor(tmp_path) as (worker, channel):
        places = [await ask(channel, f"r{n}", n % 3) for n in range(60)]
        assert {*places} == {f"127.0.0.1:{7000 + n}" for n in range(4)}
        assert worker.dispatcher.decision_count == 60 and not module(worker)._state.requests


@scenario
async def test_a_proxy_that_gives_up_waiting_leaves_nothing_behind(tmp_path):
    async with processor(tmp_path, listed=servers(1, s0="terminating")) as (worker, channel):
        async with asking(channel, "r1") as one:
            await until(lambda: module(worker)._state.requests)
            assert one.talk.ended is None
        await until(lambda: not module(worker)._state.requests)
        assert worker.dispatcher.decision_count == 0 and sum(module(worker).servers.in_flight) == 0
        worker.discovery._apply(
            {
                "version": 2,
                "full": True,
                "servers": [{"id": "s0", "addr": "127.0.0.1:7000", "state": "in_service"}],
            }
        )
        assert await ask(channel, "r1", VIEW, 2) == "127.0.0.1:7000"  # nothing ran: it may have its try
        assert worker.dispatcher.decision_count == 1


@scenario
async def test_a_stream_that_ends_between_its_decision_and_the_answer_counts_as_never_sent(tmp_path):
    async with processor(tmp_path) as (worker, channel):
        start, ended = Dispatcher.start_attempt, []

        def late(dispatcher, exchange, attempt):
            if not ended:
                ended.append(1)
                exchange.stream.over(CallError(Status.CANCELLED, "the proxy went"))
            start(dispatcher, exchange, attempt)

        with mock.patch.object(Dispatcher, "start_attempt", late):
            async with asking(channel, "r1", PLACE):
                await until(lambda: ended)
        await until(lambda: not module(worker)._state.requests)
        assert worker.dispatcher.decision_count == 0 and sum(module(worker).servers.in_flight) == 0
        assert await ask(channel, "r1", PLACE, 2)  # it never ran: a further try may go


@scenario
async def test_no_second_decision_for_an_order_whose_first_may_have_run(tmp_path):
    async with processor(tmp_path) as (worker, channel):
        async with asking(channel, "order", PLACE) as one:
            assert isinstance(await one.decision(), str)
            assert await ask(channel, "order", PLACE, 2) == 502  # while the first is out
        assert await ask(channel, "order", PLACE, 2) == 502  # its stream ended with no word of the server
        assert await ask(channel, "order", PLACE) == 502  # nor does it help to call it a first try
        await until(lambda: sum(module(worker).servers.in_flight) == 0)
        assert worker.dispatcher.decision_count == 1


@scenario
async def test_an_order_that_provably_never_ran_goes_to_another_server(tmp_path):
    async with processor(tmp_path) as (worker, channel):
        async with asking(channel, "order", PLACE) as one:
            first = await one.decision()
            await one.respond(503, not_started="1")
        second = await ask(channel, "order", PLACE, 2)
        assert isinstance(second, str) and second != first


@scenario
async def test_a_keyed_request_is_tried_again_in_its_group_only_and_a_safe_one_anywhere_else(tmp_path):
    async with processor(tmp_path) as (_, channel):
        for n in range(10):
            async with asking(channel, f"amend{n}", AMEND) as one:
                first = int((await one.decision())[-4:])
            again = await ask(channel, f"amend{n}", AMEND, 2)
            assert int(again[-4:]) == first ^ 1  # the other of its cell
            assert await ask(channel, f"amend{n}", AMEND, 3) == 502  # both have had it
            async with asking(channel, f"view{n}", VIEW) as one:
                first = await one.decision()
            assert await ask(channel, f"view{n}", VIEW, 2) not in (first, 503)


@scenario
async def test_after_a_restart_a_further_try_may_have_run(tmp_path):
    async with processor(tmp_path) as (worker, channel):
        assert await ask(channel, "order", PLACE, 2) == 502
        assert await ask(channel, "amend", AMEND, 2) == 502  # which cell had it is not known any more
        assert isinstance(await ask(channel, "view", VIEW, 2), str)
    everywhere = {'group = "cell"': 'group = "all"'}
    async with processor(tmp_path, **everywhere) as (worker, channel):
        assert isinstance(await ask(channel, "amend", AMEND, 2), str)
    short = everywhere | {"repeat_window = 5.0": "repeat_window = 0.5"}
    async with processor(tmp_path, **short) as (worker, channel):
        assert await ask(channel, "amend", AMEND, 2) == 502  # its window may be over


@scenario
async def test_one_id_from_two_proxies_at_once_is_a_conflict(tmp_path):
    async with processor(tmp_path, listed=servers(1, s0="terminating")) as (worker, channel):
        async with asking(channel, "same", PLACE):
            await until(lambda: module(worker)._state.requests)
            assert await ask(channel, "same", PLACE) == 409
        async with asking(channel, "other", VIEW):
            await until(lambda: worker.dispatcher.request_count == 3)
            assert await ask(channel, "other", PLACE) == 409  # nor as another request class


@scenario
async def test_a_proxy_that_never_says_how_it_ended_is_not_waited_for(tmp_path):
    async with processor(tmp_path, **{"hard_stop = 1.0": "hard_stop = 0.1"}) as (worker, channel):
        async with asking(channel, "r", PLACE) as one:
            assert isinstance(await one.decision(), str)
            await until(lambda: sum(module(worker).servers.in_flight) == 0)
            assert not module(worker)._state.requests and one.talk.ended is None
            await one.respond(200)  # too late to count, but its client may still want it
        assert worker.dispatcher.decision_count == 1


async def fails(one, *messages):
    """The stream is ended for what came out of turn."""
    with pytest.raises(CallError) as caught:
        for message in messages:
            await one.talk.send(message)
        while await one.talk.receive() is not None:
            pass
    assert caught.value.status == Status.INVALID_ARGUMENT


def with_body():
    message = ProcessingRequest()
    message.request_body.body = b"x" * 1000
    return message.SerializeToString()


@scenario
async def test_streams_out_of_order_are_ended_and_cost_nothing(tmp_path):
    async with processor(tmp_path) as (worker, channel):
        for first in (response_headers(200), with_body(), b"", b"\xff\xff", with_body() + b"\xff"):
            async with channel.call(METHOD_PATH) as talk:
                await fails(Opened(talk), first)
        async with asking(channel, "twice") as one:
            await one.decision()
            await fails(one, request_headers("twice", VIEW, 1))
        async with asking(channel, "answered twice") as one:
            await one.decision()
            await one.respond(200)
            await fails(one, response_headers(200))
        async with channel.call(METHOD_PATH) as talk:  # nothing at all
            talk.half_close()
            assert await talk.receive() is None
        async with asking(channel, "body") as one:
            await one.decision()
            await one.talk.send(with_body())
            assert (await one.answer()).WhichOneof("response") == "request_body"
            await one.respond(200)
        await until(lambda: not module(worker)._state.requests)
        assert sum(module(worker).servers.in_flight) == 0


@scenario
async def test_what_makes_no_request_is_answered_with_the_reason(tmp_path):
    async with processor(tmp_path) as (worker, channel):
        cases = (
            ({":path": "/nowhere"}, 404),
            ({"request-timeout": "soon"}, 400),
            ({"x-request-id": ""}, 400),
        )
        for headers, status in cases:
            async with channel.call(METHOD_PATH) as talk:
                await talk.send(request_headers("r", VIEW, 1, **headers))
                assert await Opened(talk).decision() == status
        assert worker.dispatcher.decision_count == 0


@scenario
async def test_a_server_that_drains_between_decision_and_response_gets_nothing_new(tmp_path):
    async with processor(tmp_path, listed=servers(1)) as (worker, channel):
        async with asking(channel, "r1") as one:
            assert await one.decision() == "127.0.0.1:7000"
            worker.discovery._apply(
                {
                    "version": 2,
                    "full": False,
                    "servers": [{"id": "s0", "addr": "127.0.0.1:7000", "state": "terminating"}],
                }
            )
            await one.respond(200)
        assert await ask(channel, "r2", timeout_s=0.2) == 503  # all servers are gone: told, and in time
        worker.discovery._apply(
            {
                "version": 3,
                "full": True,
                "servers": [{"id": "s0", "addr": "127.0.0.1:7009", "state": "in_service"}],
            }
        )
        assert await ask(channel, "r3") == "127.0.0.1:7009"  # and at its new address


@scenario
async def test_a_refusal_says_when_to_come_back(tmp_path):
    async with processor(tmp_path, listed=servers(1, s0="terminating")) as (_, channel):
        async with asking(channel, "r", timeout_s=0.1) as one:
            answer = (await one.answer()).immediate_response
            found = {item.header.key: item.header.raw_value for item in answer.headers.set_headers}
            assert (answer.status.code, answer.details) == (503, "wheatroute-refused")
            assert found == {"retry-after": b"1"}


@scenario
async def test_a_refused_id_may_be_asked_for_again_as_often_as_it_takes(tmp_path):
    async with processor(tmp_path, listed=servers(1, s0="terminating")) as (worker, channel):
        for n in range(6):  # more than its tries
            assert await ask(channel, "order", PLACE, n + 1, timeout_s=0.05) == 503
        worker.discovery._apply(
            {
                "version": 2,
                "full": True,
                "servers": [{"id": "s0", "addr": "127.0.0.1:7000", "state": "in_service"}],
            }
        )
        assert await ask(channel, "order", PLACE, 7) == "127.0.0.1:7000"


@scenario
async def test_a_failing_server_is_learned_of_by_its_responses(tmp_path):
    async with processor(tmp_path) as (worker, channel):
        got = []
        for n in range(200):
            async with asking(channel, f"r{n}") as one:
                place = await one.decision()
                got.append(place)
                await one.respond(500 if place.endswith("7001") else 200)
        assert got[100:].count("127.0.0.1:7001") < 10  # of an even 25


@scenario
async def test_a_proxy_that_reads_nothing_hurts_no_other(tmp_path):
    async with processor(tmp_path) as (worker, channel):
        place = channel.address
        with socket.create_connection(place) as slow:
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            from wheatroute.byte_stream import ByteStream

            mute = Session(ByteStream(slow.dup()), True, channel.limits)
            mute.h2.initiate_connection()
            for n in range(180):
                call = Call(0, mute, {})
                call = mute.open(
                    [
                        (b":method", b"POST"),
                        (b":scheme", b"http"),
                        (b":authority", b"t"),
                        (b":path", METHOD_PATH),
                        (b"content-type", b"application/grpc"),
                    ],
                    call.receiver,
                )
                call.send(request_headers(f"slow{n}", VIEW, 1, **{":path": "/nowhere"}))
                mute.flush()
            for n in range(100):
                assert isinstance(await ask(channel, f"quick{n}"), str)
            mute.stream.close()


@scenario
async def test_sigterm_answers_what_is_open_and_takes_nothing_new(tmp_path):
    async with processor(tmp_path, listed=servers(1, s0="terminating")) as (worker, channel):
        async with asking(channel, "waits", PLACE) as waits:
            await until(lambda: module(worker)._state.requests)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(worker.stop)
                await until(lambda: not channel.is_connected)
                worker.discovery._apply(
                    {
                        "version": 2,
                        "full": True,
                        "servers": [{"id": "s0", "addr": "127.0.0.1:7000", "state": "in_service"}],
                    }
                )
                assert await waits.decision() == "127.0.0.1:7000"
                await waits.respond(200)
                waits.talk.half_close()
                assert await waits.talk.receive() is None


@scenario
async def test_a_new_file_is_taken_whole_or_not_at_all(tmp_path):
    async with processor(tmp_path) as (worker, channel):
        path = tmp_path / "file.toml"
        path.write_text("[[pools]]\nname = 3\n")
        worker.reload()
        assert {await ask(channel, f"a{n}") for n in range(40)} == {f"127.0.0.1:{7000 + n}" for n in range(4)}
        path.write_text(FILE.format(servers=servers(2)))
        worker.reload()
        assert {await ask(channel, f"b{n}") for n in range(40)} == {"127.0.0.1:7000", "127.0.0.1:7001"}


def test_sigterm_between_listening_and_heeding_signals_ends_it_well(tmp_path):
    """One worker, and a supervisor of two, which must leave none behind; also while the file is read."""
    code = """
import os, signal, sys
from wheatroute.processor import program
def then_ended(step):
    def stepped(*what):
        result = step(*what)
        os.kill(os.getpid(), signal.SIGTERM)
        return result
    return stepped
name = sys.argv[2]
owner = program if name == "listen" else program.settings_file
setattr(owner, name, then_ended(getattr(owner, name)))
sys.exit(program.run(sys.argv[1]))
"""
    for workers in ("", "\nworkers = 2"):
        path = tmp_path / "file.toml"
        reservation = reserve_port()
        place = "{}:{}".format(*reservation.getsockname())
        path.write_text(FILE.format(servers=servers()).replace('127.0.0.1:1"', f'{place}"{workers}'))
        for step in ("listen", "read"):
            ran = subprocess.run(
                [sys.executable, "-c", code, str(path), step], capture_output=True, text=True, timeout=60
            )
            assert ran.returncode == 0 and "listening" not in ran.stdout, ran


SNAPSHOT = '[snapshot]\npath = "{}"\nevery = 0.02\noldest = {}\n[[pools]]'
ETCD = '[pools.etcd]\nendpoints = ["{}:{}"]\nprefix = "/servers/"\nnodes_prefix = "/nodes/"'


@asynccontextmanager
async def etcd(count=4):
    """A stand-in with servers, and what a file needs to follow it."""
    store = Store()
    for n in range(count):
        store.put(wire.PutRequest(key=b"/servers/s%d" % n, value=b'{"addr": "127.0.0.1:%d"}' % (7000 + n)))
    member = Member(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(member.run)
        await until(lambda: member.is_serving)
        yield store, member, ETCD.format(*member.address)
        nursery.cancel_scope.cancel()


@scenario
async def test_a_drain_written_to_etcd_is_heeded_at_once(tmp_path):
    async with etcd() as (store, _, table), processor(tmp_path, listed=table) as (worker, channel):
        await until(lambda: len(worker.discovery.entries) == 4)
        assert len({await ask(channel, f"a{n}") for n in range(60)}) == 4
        drained = b'{"addr": "127.0.0.1:7001", "state": "terminating"}'
        store.put(wire.PutRequest(key=b"/servers/s1", value=drained))
        await until(lambda: worker.discovery.entries["s1"]["state"] == "terminating")
        assert "127.0.0.1:7001" not in {await ask(channel, f"b{n}") for n in range(60)}
        await until(lambda: b"/nodes/wheatroute" in store.keys)
        await worker.stop()


@scenario
async def test_a_start_while_etcd_is_away_serves_from_the_snapshot_and_counts_the_peers(tmp_path):
    keep = {"[[pools]]": SNAPSHOT.format(tmp_path / "kept", 60.0)}
    async with etcd() as (store, member, table):
        store.put(wire.PutRequest(key=b"/nodes/other", value=b'{"epoch": 1}'))
        async with processor(tmp_path, listed=table, **keep) as (worker, channel):
            await until(lambda: len(worker.discovery.entries) == 4 and len(worker.discovery.peers()) == 2)
            assert len({await ask(channel, f"a{n}") for n in range(60)}) == 4
            written = worker._snapshot.written_count
            await until(lambda: worker._snapshot.written_count > written + 1)
        member.stop()
        async with processor(tmp_path, listed=table, **keep) as (worker, channel):
            assert len({await ask(channel, f"b{n}") for n in range(60)}) == 4
            assert any(module(worker).servers.weight) and not worker.discovery.etcd.follower.list_count
            await until(lambda: module(worker)._state.settings.nodes == 2)


@scenario
async def test_a_snapshot_that_is_no_use_is_not_used(tmp_path):
    kept = tmp_path / "kept"
    other = {"source": {}, "servers": [{"id": "s0", "addr": "127.0.0.1:7000"}]}
    kept.write_bytes(snapshot.encode(other, now()))
    keep = {"[[pools]]": SNAPSHOT.format(kept, 60.0)}
    async with etcd() as (_, member, table):
        member.stop()
        async with processor(tmp_path, listed=table, **keep) as (worker, channel):
            assert await ask(channel, "a", timeout_s=0.1) == 503  # of another pool
        assert kept.read_bytes().startswith(snapshot.FORMAT)  # and nothing known does not replace it
