"""A proxy of the rig: asks an external processor for a server for each attempt, and forwards the request.

It must send each attempt only to the server that the processor chose for it, and must let the processor know
when the attempt ends.
"""

from __future__ import annotations

from contextlib import suppress
from typing import NamedTuple

import trio
from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingRequest, ProcessingResponse

from wheatroute.grpc.async_call import AsyncCall
from wheatroute.grpc.client import Channel
from wheatroute.grpc.messages import CallError
from wheatroute.rig.addresses import Address
from wheatroute.rig.http_connection import CONNECTION_ERRORS, HttpConnection, HttpMessage
from wheatroute.rig.processor_file import MAX_ATTEMPTS
from wheatroute.standin.ext_proc_messages import PATH, destination, response_headers

CONNECT_TIMEOUT_S = 0.2  # for connecting to a server
MAX_BACKOFF_S = 0.2  # between two attempts to connect to the processor
DEFAULT_TIMEOUT = "2000m"  # value of the header `Request-Timeout`, in milliseconds


class _Response(NamedTuple):
    status: int
    body: bytes


class Gateway:
    """A proxy in front of one processor."""

    def __init__(self, processor: Address) -> None:
        self._channel = Channel(processor, max_backoff_s=MAX_BACKOFF_S)

    async def run(self) -> None:
        """Maintains the connection to the processor until it is cancelled."""
        await self._channel.run()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves a client's connection, one request at a time."""
        connection = HttpConnection(stream)
        while (request := await connection.read_message()) is not None:
            timeout_s = int(request.headers.get("request-timeout", DEFAULT_TIMEOUT).rstrip("m")) / 1000
            response = _Response(504, b"")
            with trio.move_on_after(timeout_s):
                response = await self._respond(request)
            await connection.send_response(response.status, response.body)

    async def _respond(self, request: HttpMessage) -> _Response:
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                response = await self._attempt(request, attempt)
            except CallError:
                return _Response(502, b"no processor")
            if response is not None:
                return response
        return _Response(502, b"no answer")

    async def _attempt(self, request: HttpMessage, attempt: int) -> _Response | None:
        """Makes one attempt; returns None if the server did not respond.

        The attempt's stream to the processor is cancelled in that case.
        """
        async with self._channel.call(PATH) as call:
            await call.send(_request_headers(request, attempt))
            decision = ProcessingResponse.FromString(await call.receive() or b"")
            if decision.HasField("immediate_response"):
                return _Response(decision.immediate_response.status.code, b"")
            response = await _forward(request, destination(decision))
            if response is None:
                return None
            await _report_response(call, response.status)
            return _Response(response.status, response.body)


async def _report_response(call: AsyncCall, status: int) -> None:
    """Reports a server's response headers to the processor, and ends the attempt's stream."""
    with suppress(CallError):
        await call.send(response_headers(status))
        await call.receive()
        call.half_close()


async def _forward(request: HttpMessage, server: str) -> HttpMessage | None:
    """Forwards a request to a server; returns the response, or None if connecting or the exchange failed."""
    host, _, port = server.rpartition(":")
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await trio.open_tcp_stream(host, int(port))
    except (OSError, trio.TooSlowError):
        return None
    async with stream:
        with suppress(*CONNECTION_ERRORS):
            lines = [request.start_line, *(f"{name}: {value}" for name, value in request.headers.items())]
            await stream.send_all("\r\n".join(lines).encode() + b"\r\n\r\n" + request.body)
            return await HttpConnection(stream).read_message()
    return None


def _request_headers(request: HttpMessage, attempt: int) -> bytes:
    """Returns the first message of a stream to the processor: the headers of the request."""
    method, path, _ = request.start_line.split(" ")
    message = ProcessingRequest()
    pseudo_headers = {
        ":method": method,
        ":path": path,
        ":authority": "rig",
        "x-envoy-attempt-count": str(attempt),
    }
    for key, value in (pseudo_headers | request.headers).items():
        header = message.request_headers.headers.headers.add()
        header.key, header.raw_value = key, value.encode()
    message.request_headers.end_of_stream = not request.body
    return message.SerializeToString()
