"""Runs a worker of the external processor in the test process and sends requests to it as a proxy does."""

from contextlib import asynccontextmanager

import structlog
import trio
from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingResponse

from wheatroute.config import settings_file
from wheatroute.grpc.client import Channel, connected
from wheatroute.grpc.server import listen
from wheatroute.processor.processing_messages import METHOD_PATH
from wheatroute.processor.worker import Worker
from wheatroute.standin.ext_proc_messages import destination, request_headers, response_headers

# Numbers of the request classes in the settings.
VIEW, AMEND, PLACE = 0, 1, 2
SETTINGS_TEXT = """
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


def server_tables(count=4, **states):
    """Returns the TOML tables of servers; `states` maps ids to states other than in_service."""
    return "\n".join(
        f'[[pools.servers]]\nid = "s{n}"\naddress = "127.0.0.1:{7000 + n}"\ncell = {n // 2}\n'
        f'state = "{states.get(f"s{n}", "in_service")}"'
        for n in range(count)
    )


@asynccontextmanager
async def running_worker(tmp_path, pool=None, **changes):
    """Yields a running worker and a channel to it.

    `pool` is the text that defines the pool's servers; `changes` maps texts of the settings file to
    replacements.
    """
    path = tmp_path / "file.toml"
    text = SETTINGS_TEXT.format(servers=server_tables() if pool is None else pool)
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


class ProxyRequest:
    """A request of the proxy on a call."""

    def __init__(self, call):
        self.call = call

    async def response(self):
        message = await self.call.receive()
        assert message is not None
        return ProcessingResponse.FromString(message)

    async def decision(self):
        """Returns the address of the chosen server, or the status of the immediate response."""
        response = await self.response()
        if response.HasField("immediate_response"):
            return response.immediate_response.status.code
        metadata = response.dynamic_metadata.fields["envoy.lb"].struct_value.fields
        assert metadata["x-gateway-destination-endpoint"].string_value == destination(response)
        return destination(response)

    async def respond(self, status, **headers):
        await self.call.send(response_headers(status, **headers))
        response = await self.response()
        assert response.WhichOneof("response") == "response_headers"


@asynccontextmanager
async def open_request(channel, request_id, request_class=VIEW, attempt=1, **headers):
    """Sends the headers of a request; the call ends when the context exits."""
    async with channel.call(METHOD_PATH) as call:
        await call.send(request_headers(request_id, request_class, attempt, **headers))
        yield ProxyRequest(call)


async def route(channel, *request, status=200, **headers):
    """Sends a whole request; returns its server's address, or the status of the immediate response."""
    async with open_request(channel, *request, **headers) as opened:
        decision = await opened.decision()
        if isinstance(decision, str):
            await opened.respond(status)
            opened.call.half_close()
            assert await opened.call.receive() is None
        return decision


def balancer_of(worker):
    return worker.dispatcher.driver.balancer


def server_entry(port=7000, state="in_service"):
    """Returns an entry of the list of servers."""
    return {"id": "s0", "addr": f"127.0.0.1:{port}", "state": state}


def list_servers(worker, version, *entries, is_full=True):
    """Applies a list of servers, or changes to it, to a worker."""
    worker.discovery._apply({"version": version, "full": is_full, "servers": list(entries)})
