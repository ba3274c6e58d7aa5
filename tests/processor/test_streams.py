"""Messages on the stream of a request, in order and out of order."""

import socket
from unittest import mock

import pytest
from async_scenarios import scenario, until
from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingRequest
from processor_harness import (
    PLACE,
    VIEW,
    ProxyRequest,
    balancer_of,
    list_servers,
    open_request,
    route,
    running_worker,
    server_entry,
    server_tables,
)

from wheatroute.grpc.call import Call
from wheatroute.grpc.messages import CallError, Status
from wheatroute.grpc.session import Session
from wheatroute.processor.dispatcher import Dispatcher
from wheatroute.processor.processing_messages import METHOD_PATH
from wheatroute.standin.ext_proc_messages import request_headers, response_headers


@scenario
async def test_a_proxy_that_gives_up_waiting_leaves_nothing_behind(tmp_path):
    async with running_worker(tmp_path, pool=server_tables(1, s0="terminating")) as (worker, channel):
        async with open_request(channel, "r1") as request:
            await until(lambda: balancer_of(worker)._state.requests)
            assert request.call.ended is None
        await until(lambda: not balancer_of(worker)._state.requests)
        assert worker.dispatcher.decision_count == 0 and sum(balancer_of(worker).servers.in_flight) == 0
        list_servers(worker, 2, server_entry())
        assert await route(channel, "r1", VIEW, 2) == "127.0.0.1:7000"  # nothing ran: it may have its try
        assert worker.dispatcher.decision_count == 1


@scenario
async def test_a_stream_that_ends_between_its_decision_and_the_answer_counts_as_never_sent(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        start, ended = Dispatcher.start_attempt, []

        def late(dispatcher, exchange, attempt):
            if not ended:
                ended.append(1)
                exchange.stream.over(CallError(Status.CANCELLED, "the proxy went"))
            start(dispatcher, exchange, attempt)

        with mock.patch.object(Dispatcher, "start_attempt", late):
            async with open_request(channel, "r1", PLACE):
                await until(lambda: ended)
        await until(lambda: not balancer_of(worker)._state.requests)
        assert worker.dispatcher.decision_count == 0 and sum(balancer_of(worker).servers.in_flight) == 0
        assert await route(channel, "r1", PLACE, 2)  # it never ran: a further try may go


@scenario
async def test_a_proxy_that_never_says_how_it_ended_is_not_waited_for(tmp_path):
    async with running_worker(tmp_path, **{"hard_stop = 1.0": "hard_stop = 0.1"}) as (worker, channel):
        async with open_request(channel, "r", PLACE) as request:
            assert isinstance(await request.decision(), str)
            await until(lambda: sum(balancer_of(worker).servers.in_flight) == 0)
            assert not balancer_of(worker)._state.requests and request.call.ended is None
            await request.respond(200)  # too late to count, but its client may still want it
        assert worker.dispatcher.decision_count == 1


async def assert_rejected(request, *messages):
    """The stream is ended for what came out of turn."""
    with pytest.raises(CallError) as caught:
        for message in messages:
            await request.call.send(message)
        while await request.call.receive() is not None:
            pass
    assert caught.value.status == Status.INVALID_ARGUMENT


def request_body():
    message = ProcessingRequest()
    message.request_body.body = b"x" * 1000
    return message.SerializeToString()


@scenario
async def test_streams_out_of_order_are_ended_and_cost_nothing(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        for first in (response_headers(200), request_body(), b"", b"\xff\xff", request_body() + b"\xff"):
            async with channel.call(METHOD_PATH) as call:
                await assert_rejected(ProxyRequest(call), first)
        async with open_request(channel, "twice") as request:
            await request.decision()
            await assert_rejected(request, request_headers("twice", VIEW, 1))
        async with open_request(channel, "answered twice") as request:
            await request.decision()
            await request.respond(200)
            await assert_rejected(request, response_headers(200))
        async with channel.call(METHOD_PATH) as call:  # nothing at all
            call.half_close()
            assert await call.receive() is None
        async with open_request(channel, "body") as request:
            await request.decision()
            await request.call.send(request_body())
            assert (await request.response()).WhichOneof("response") == "request_body"
            await request.respond(200)
        await until(lambda: not balancer_of(worker)._state.requests)
        assert sum(balancer_of(worker).servers.in_flight) == 0


@scenario
async def test_what_makes_no_request_is_answered_with_the_reason(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        cases = (
            ({":path": "/nowhere"}, 404),
            ({"request-timeout": "soon"}, 400),
            ({"x-request-id": ""}, 400),
        )
        for headers, status in cases:
            async with channel.call(METHOD_PATH) as call:
                await call.send(request_headers("r", VIEW, 1, **headers))
                assert await ProxyRequest(call).decision() == status
        assert worker.dispatcher.decision_count == 0


@scenario
async def test_a_refusal_says_when_to_come_back(tmp_path):
    async with running_worker(tmp_path, pool=server_tables(1, s0="terminating")) as (_, channel):
        async with open_request(channel, "r", timeout_s=0.1) as request:
            answer = (await request.response()).immediate_response
            found = {item.header.key: item.header.raw_value for item in answer.headers.set_headers}
            assert (answer.status.code, answer.details) == (503, "wheatroute-refused")
            assert found == {"retry-after": b"1"}


@scenario
async def test_a_proxy_that_reads_nothing_hurts_no_other(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        address = channel.address
        with socket.create_connection(address) as slow:
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
                assert isinstance(await route(channel, f"quick{n}"), str)
            mute.stream.close()
