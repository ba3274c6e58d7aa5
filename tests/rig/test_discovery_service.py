"""What the rig's discovery service sends to a node: the full list, changes, and the list after a rollback."""

import json

import trio
import trio.testing
from async_scenarios import scenario

from wheatroute.rig.discovery_service import IN_SERVICE, TERMINATING, DiscoveryService, ServerEntry
from wheatroute.rig.http_connection import HttpConnection, listen

ENTRY = ServerEntry(id="s0", addr="127.0.0.1:1", zone="a", cell=0)


@scenario
async def test_a_node_gets_the_full_list_then_changes_and_the_full_list_after_a_rollback():
    service = DiscoveryService()
    service.update(ENTRY)
    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            stream = await trio.open_tcp_stream(*await listen(service.serve, nursery))
            connection = HttpConnection(stream)

            async def get(query):
                await stream.send_all(f"GET /servers{query} HTTP/1.1\r\nHost: rig\r\n\r\n".encode())
                response = await connection.read_message()
                return json.loads(response.body)

            full = await get("")
            assert (full["version"], full["full"]) == (2, True)
            assert full["servers"] == [
                {
                    "id": "s0",
                    "addr": "127.0.0.1:1",
                    "zone": "a",
                    "cell": 0,
                    "kind": "toy",
                    "state": "in_service",
                    "weight": 1.0,
                    "started_ms": 0,
                }
            ]
            assert await get("?after=2&wait_ms=0") == {"version": 2, "full": False, "servers": []}
            nursery.start_soon(update_later, service)
            changed = await get("?after=2&wait_ms=9000")  # waits for the change
            assert (changed["version"], changed["full"]) == (3, False)
            assert [server["state"] for server in changed["servers"]] == [TERMINATING]
            service.roll_back(1)
            rolled_back = await get("?after=3&wait_ms=9000")
            assert (rolled_back["version"], rolled_back["full"]) == (2, True)
            assert [server["state"] for server in rolled_back["servers"]] == [IN_SERVICE]
            nursery.cancel_scope.cancel()


async def update_later(service):
    await trio.testing.wait_all_tasks_blocked()
    service.update(ENTRY._replace(state=TERMINATING))
