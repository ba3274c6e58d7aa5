"""A proxy in the open: asks an external processor for each request, and carries it to the server it names.

Owns a client's request from when it is whole to its one answer, and the tries between. It must never send a
request to a server that the processor has not named for that try, nor hide an end from it.
"""

from __future__ import annotations

from contextlib import suppress

import trio
from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingRequest, ProcessingResponse

from wheatroute.grpc.async_call import AsyncCall
from wheatroute.grpc.client import Channel
from wheatroute.grpc.messages import CallError
from wheatroute.rig.endpoints import BROKEN, Head, Line
from wheatroute.standin.proxy import PATH, destination, response_headers

TRIES = 4  # of a request, as the processor's file has it
WAITS = 0.2  # seconds, for a connection to a server


class Gateway:
    """Before one processor, whose place may be a link's."""

    def __init__(self, processor: tuple[str, int]) -> None:
        self._channel = Channel(processor, max_backoff_s=0.2)

    async def run(self) -> None:
        """Keeps the connection to the processor."""
        await self._channel.run()

    async def serve(self, stream: trio.SocketStream) -> None:
        """A client's connection: one request after the other."""
        line = Line(stream)
        while (message := await line.message()) is not None:
            left = int(message[1].get("request-timeout", "2000m").rstrip("m")) / 1000
            status, body = 504, b""
            with trio.move_on_after(left):
                status, body = await self._request(message)
            await line.answer(status, body)

    async def _request(self, message: Head) -> tuple[int, bytes]:
        for attempt in range(1, TRIES + 1):
            try:
                async with self._channel.call(PATH) as talk:
                    await talk.send(_asks(message, attempt))
                    answer = ProcessingResponse.FromString(await talk.receive() or b"")
                    if answer.HasField("immediate_response"):
                        return answer.immediate_response.status.code, b""
                    answered = await self._carry(message, destination(answer))
                    if answered is not None:
                        return await self._end(talk, answered)
                    # ended without an answer: the stream is cancelled, and the request tried again
            except CallError:
                return 502, b"no processor"
        return 502, b"no answer"

    @staticmethod
    async def _end(talk: AsyncCall, answered: Head) -> tuple[int, bytes]:
        status = int(answered[0].split(" ")[1])
        with suppress(CallError):
            await talk.send(response_headers(status))
            await talk.receive()
            talk.half_close()
        return status, answered[2]

    @staticmethod
    async def _carry(message: Head, place: str) -> Head | None:
        """What the server answers; None if it does not, or cannot be reached."""
        first, headers, body = message
        host, _, port = place.rpartition(":")
        try:
            with trio.fail_after(WAITS):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError):
            return None
        async with stream:
            with suppress(*BROKEN):
                lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
                await stream.send_all("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                return await Line(stream).message()
        return None


def _asks(message: Head, attempt: int) -> bytes:
    """The first message of a stream."""
    first, headers, body = message
    method, path, _ = first.split(" ")
    asked = ProcessingRequest()
    told = {":method": method, ":path": path, ":authority": "rig", "x-envoy-attempt-count": str(attempt)}
    for key, value in (told | headers).items():
        one = asked.request_headers.headers.headers.add()
        one.key, one.raw_value = key, value.encode()
    asked.request_headers.end_of_stream = not body
    return asked.SerializeToString()
