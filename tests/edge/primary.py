"""A stand-in for a control node as edge nodes see it: each long poll and report gets a scripted answer."""

import json

import msgspec
import trio
from edge.harness import read_message

from wheatroute.cluster.configuration import decode_configuration
from wheatroute.cluster.distribution import EMPTY_VERSION, encode_difference, make_difference, make_version
from wheatroute.cluster.messages import (
    Instance,
    InstanceState,
    RegistryVersion,
    Update,
    UpdateRequest,
    UsageReport,
    UsageResponse,
)


class ScriptedPrimary:
    """Plays `polls` in their order, then answers each poll with what it has; keeps what arrived."""

    def __init__(self, configuration, *servers):
        self.configuration = configuration
        self.servers = servers
        self.polls = []  # calls that make the next answers: (status, message)
        self.asked = []
        self.reports = []
        self.sequence = 1
        self.epoch = 4
        self.hosts = ("127.0.0.1",)
        self.quiet = trio.Event()  # a poll that has nothing new waits for this

    def update(self, request):
        """What this primary knows, as the answer to a poll."""
        newer = request.configuration < self.sequence
        instances = tuple(
            Instance(one.identity, one.service, f"127.0.0.1:{one.port}", "z", 4, InstanceState.READY, 1)
            for one in self.servers
        )
        return Update(
            self.epoch,
            self.sequence,
            self.whole() if newer else None,
            RegistryVersion(self.epoch, 1),
            instances,
            True,
            True,
            self.hosts,
            1,
        )

    def whole(self):
        """The configuration as a difference from nothing."""
        configuration = decode_configuration(json.dumps(self.configuration))
        return encode_difference(make_difference(EMPTY_VERSION, make_version(configuration, self.sequence)))

    async def serve(self, stream):
        rest = b""
        while asked := await read_message(stream, rest):
            line, _, body, rest = asked
            status, message = await self.answer(line.split(" ", 2)[1].encode(), body)
            data = msgspec.msgpack.encode(message)
            await stream.send_all(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data)

    async def answer(self, path, body):
        if path == b"/usage":
            self.reports.append(msgspec.msgpack.decode(body, type=UsageReport))
            return 200, UsageResponse({}, {}, 1)
        request = msgspec.msgpack.decode(body, type=UpdateRequest)
        self.asked.append(request)
        if self.polls:
            return self.polls.pop(0)(request)
        if request.configuration == self.sequence and request.registry == RegistryVersion(self.epoch, 1):
            with trio.move_on_after(request.wait_s):
                await self.quiet.wait()
        return 200, self.update(request)
