"""A scripted primary that answers the long polls and usage reports of an edge node."""

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
    """Answers long polls by `scripted_polls` in order, then with its full state; records all messages."""

    def __init__(self, configuration, *servers):
        self.configuration = configuration
        self.servers = servers
        self.scripted_polls = []  # functions from an update request to (status, response)
        self.update_requests = []
        self.reports = []
        self.sequence = 1
        self.epoch = 4
        self.hosts = ("127.0.0.1",)
        self.release_polls = trio.Event()  # ends the wait of polls for which there is nothing new

    def update(self, request):
        """Returns the full state of this primary as the response to a poll."""
        newer = request.configuration < self.sequence
        instances = tuple(
            Instance(
                server.identity, server.service, f"127.0.0.1:{server.port}", "z", 4, InstanceState.READY, 1
            )
            for server in self.servers
        )
        return Update(
            self.epoch,
            self.sequence,
            self.full_configuration() if newer else None,
            RegistryVersion(self.epoch, 1),
            instances,
            True,
            True,
            self.hosts,
            1,
        )

    def full_configuration(self):
        """Returns the configuration as an encoded difference from the empty version."""
        configuration = decode_configuration(json.dumps(self.configuration))
        return encode_difference(make_difference(EMPTY_VERSION, make_version(configuration, self.sequence)))

    async def serve(self, stream):
        rest = b""
        while message := await read_message(stream, rest):
            line, _, body, rest = message
            status, response = await self.respond(line.split(" ", 2)[1].encode(), body)
            data = msgspec.msgpack.encode(response)
            await stream.send_all(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data)

    async def respond(self, path, body):
        if path == b"/usage":
            self.reports.append(msgspec.msgpack.decode(body, type=UsageReport))
            return 200, UsageResponse({}, {}, 1)
        request = msgspec.msgpack.decode(body, type=UpdateRequest)
        self.update_requests.append(request)
        if self.scripted_polls:
            return self.scripted_polls.pop(0)(request)
        if request.configuration == self.sequence and request.registry == RegistryVersion(self.epoch, 1):
            with trio.move_on_after(request.wait_s):
                await self.release_polls.wait()
        return 200, self.update(request)
