"""Tests of the messages on a request's stream, in order and out of order."""

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
async def test_a_proxy_that_cancels_before_the_decision_leaves_no_request_open(tmp_path):
    async with running_worker(tmp_path, pool=server_tables(1, s0="terminating")) as (worker, channel):
        async with open_request(channel, "r1") as request:
            await until(lambda: balancer_of(worker)._state.requests)
            assert request.call.ended is None
        await until(lambda: not balancer_of(worker)._state.requests)
        assert worker.dispatcher.decision_count == 0 and sum(balancer_of(worker).servers.in_flight) == 0
        list_servers(worker, 2, server_entry())
        # Nothing ran, so the second attempt is allowed.
        assert await route(channel, "r1", VIEW, 2) == "127.0.0.1:7000"
        assert worker.dispatcher.decision_count == 1


@scenario
async def test_a_stream_that_ends_before_its_decision_is_written_counts_as_never_sent(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        start_attempt, ended = Dispatcher.start_attempt, []

        def end_stream_first(dispatcher, exchange, attempt):
            if not ended:
                ended.append(1)
                exchange.stream.call_ended(CallError(Status.CANCELLED, "the proxy disconnected"))
            start_attempt(dispatcher, exchange, attempt)

        with mock.patch.object(Dispatcher, "start_attempt", end_stream_first):
            async with open_request(channel, "r1", PLACE):
                await until(lambda: ended)
        await until(lambda: not balancer_of(worker)._state.requests)
        assert worker.dispatcher.decision_count == 0 and sum(balancer_of(worker).servers.in_flight) == 0
        # The first attempt never ran, so the second is allowed.
        assert await route(channel, "r1", PLACE, 2)


@scenario
async def test_an_attempt_without_a_reported_outcome_ends_after_its_deadline(tmp_path):
    async with running_worker(tmp_path, **{"hard_stop = 1.0": "hard_stop = 0.1"}) as (worker, channel):
        async with open_request(channel, "r", PLACE) as request:
            assert isinstance(await request.decision(), str)
            await until(lambda: sum(balancer_of(worker).servers.in_flight) == 0)
            assert not balancer_of(worker)._state.requests and request.call.ended is None
            # The response is too late for the balancer, but the proxy may still pass it to its client.
            await request.respond(200)
        assert worker.dispatcher.decision_count == 1


async def assert_rejected(request, *messages):
    """Asserts that the messages end the stream with INVALID_ARGUMENT."""
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
async def test_messages_out_of_order_end_the_stream_and_leave_no_request_open(tmp_path):
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
        # A stream that ends without any message is no error.
        async with channel.call(METHOD_PATH) as call:
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
async def test_invalid_requests_get_an_immediate_response_with_a_status(tmp_path):
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
async def test_a_rejection_has_a_retry_after_header(tmp_path):
    async with running_worker(tmp_path, pool=server_tables(1, s0="terminating")) as (_, channel):
        async with open_request(channel, "r", timeout_s=0.1) as request:
            response = (await request.response()).immediate_response
            headers = {item.header.key: item.header.raw_value for item in response.headers.set_headers}
            assert (response.status.code, response.details) == (503, "wheatroute-refused")
            assert headers == {"retry-after": b"1"}


@scenario
async def test_a_proxy_that_reads_nothing_does_not_delay_others(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        address = channel.address
        with socket.create_connection(address) as unread:
            unread.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            from wheatroute.byte_stream import ByteStream

            session = Session(ByteStream(unread.dup()), True, channel.limits)
            session.h2.initiate_connection()
            for n in range(180):
                call = Call(0, session, {})
                call = session.open(
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
                session.flush()
            for n in range(100):
                assert isinstance(await route(channel, f"quick{n}"), str)
            session.stream.close()
