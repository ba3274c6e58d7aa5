"""The migration from a pool of nodes to sidecar nodes: both deployments in front of the same servers.

All on loopback: complete nodes, and stand-in servers that queue requests and report the queue to probes.
"""

import re
import socket

import pytest
import structlog
import trio
from node_harness import (
    EFFECT_BY_REQUEST_CLASS,
    Node,
    StandInServer,
    list_response,
    read_message,
    server_entry,
)

from wheatroute import peer_messages
from wheatroute.__main__ import serve_node
from wheatroute.net import node_settings

CORES = 2  # cores of a server
SERVICE_TIME_S = 0.02
DRAIN_GRACE_S = 0.25


class QueueingServer:
    """A server with few cores; records what it has run, and counts probes and queued requests."""

    def __init__(self, name):
        self.name, self.probe_count, self.queued = name, 0, 0
        self.executions, self.arrival_times = [], []  # (request id, method) pairs; times
        self.cores = trio.CapacityLimiter(CORES)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def run(self):
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self.listener))
        await trio.serve_listeners(self._serve_connection, [listener])

    async def _serve_connection(self, stream):
        try:
            while (request := await read_message(stream)) is not None:
                body = b"ok"
                if request.startswith(b"GET /metrics/load"):
                    self.probe_count += 1
                    body = b"TEXT qps=%d, queue=%d" % (CORES / SERVICE_TIME_S, self.queued)
                else:
                    request_id = re.search(rb"(?i)request-id: (\S+)", request)[1]
                    self.arrival_times.append(trio.current_time())
                    self.queued += 1
                    async with self.cores:
                        self.queued -= 1
                        self.executions.append((request_id, request.split()[0]))
                        await trio.sleep(SERVICE_TIME_S)
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except trio.BrokenResourceError:
            pass  # the node has cancelled the request


def free_udp_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def configure(node, nodes, number, peers=None):
    """Makes a node a member of a pool, or a sidecar if it has peers."""
    config = node.config
    config["settings"] |= {"balancers": nodes, "me": number}
    if peers is not None:
        config["settings"]["allowed"] |= {"peers": True, "probes": True}
        config["settings"] |= {
            "report": {"how": "probe", "fields": ["qps", "queue"]},
            "tariffs": {"connection": 0.03},
        }
        config["peers"] = peers
    node.read_config()
    return node


def test_both_deployments_keep_the_rules_and_neither_starves_the_other(tmp_path):
    trio.run(both_deployments, tmp_path)


async def both_deployments(folder):
    servers = [QueueingServer(f"s{n}") for n in range(4)]
    peer_addresses = [free_udp_address(), free_udp_address()]
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(("127.0.0.1", 0))
    listener.settimeout(2.0)
    listener_address = f"127.0.0.1:{listener.getsockname()[1]}"
    nodes, lists, served = [], [], {"pool": 0, "sidecar": 0}
    for n in range(4):
        (folder / str(n)).mkdir()
        # The last server is draining; every node learns this from its first watch.
        lists.append(StandInServer(list_response(2, server_entry(servers[3], state="terminating")), None))
        node = Node(folder / str(n), *servers, discovery=lists[n], deadline=2.0)
        others = [address for i, address in enumerate(peer_addresses) if i != n] + [listener_address]
        nodes.append(
            configure(node, 4, n, {"listen": peer_addresses[n], "others": others} if n < 2 else None)
        )
    statuses = []

    async def call(node, request_class):
        body = "" if EFFECT_BY_REQUEST_CLASS[request_class] == "retryable" else "b"
        status, _ = await node.send_request(request_class, body=body, timeout="2000m")
        statuses.append(status)
        served["sidecar" if "peers" in node.config else "pool"] += status == 200

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            for server in (*servers, *lists):
                nursery.start_soon(server.run)
            for node in nodes:
                nursery.start_soon(serve_node, node.settings, structlog.get_logger())
                (await node.connect()).socket.close()
            while not all(service.requests for service in lists):
                await trio.sleep(0.01)
            drained_at = trio.current_time()
            async with trio.open_nursery() as calls:
                for n in range(80):
                    for node in nodes:
                        calls.start_soon(call, node, ("view", "amend", "place")[n % 3])
                    await trio.sleep(0.02)  # 200 requests per second; the servers can take 300
            nursery.cancel_scope.cancel()
    # First rule: one response per request. Second: nothing non-idempotent ran twice. Third: the draining
    # server gets no requests.
    assert len(statuses) == 320
    posted = [
        request_id for server in servers for request_id, method in server.executions if method == b"POST"
    ]
    assert len(posted) == len(set(posted))
    assert not [when for when in servers[3].arrival_times if when > drained_at + DRAIN_GRACE_S]
    # Neither deployment starves the other.
    assert min(served.values()) > 0.8 * 160 and min(served.values()) > 0.8 * max(served.values())
    # Sidecars probe, and send the loads that they have received to the others.
    assert all(server.probe_count for server in servers[:3])
    short_names = peer_messages.ShortNames()
    for n, server in enumerate(servers):
        short_names.add(server.name, n)
    assert peer_messages.decode_loads(listener.recv(512).decode(), short_names.numbers)
    listener.close()


@pytest.mark.parametrize(
    ("peers", "allowed", "line"),
    [
        ({"listen": "127.0.0.1:9", "others": ["127.0.0.1:10"]}, False, "do not allow"),
        ({"listen": "here", "others": []}, True, "must be an IPv4 address"),
        ({"listen": "127.0.0.1:9", "others": ["127.0.0.1:9"]}, True, "own address"),
        ({"listen": "127.0.0.1:9", "others": ["127.0.0.1:8", "127.0.0.1:8"]}, True, "twice"),
        (["127.0.0.1:9"], True, "peers"),
    ],
)
def test_invalid_peers_are_reported_in_one_line(tmp_path, peers, allowed, line):
    node = Node(tmp_path, StandInServer(b""))
    node.config["settings"]["allowed"]["peers"] = allowed
    node.config["peers"] = peers
    with pytest.raises(node_settings.NodeSettingsError, match=line) as found:
        node.read_config()
    assert "\n" not in str(found.value)


def test_without_peers_a_node_has_no_peer_socket_and_one_request_per_connection(tmp_path):
    node = Node(tmp_path, StandInServer(b""))
    node.config["settings"]["allowed"] |= {"peers": True, "streams-per-conn": 100}
    node.read_config()
    settings = node.settings
    assert settings.peers is None and settings.work_header == b""
    assert settings.decision_settings.calls_per_connection == 1
    # Peers are allowed, but as there are none, no server is probed on their behalf.
    assert not settings.decision_settings.has_peers


def test_malformed_messages_and_those_about_unknown_servers_are_ignored():
    short_names = peer_messages.ShortNames()
    short_names.add("a", 0)
    for text in (
        "",
        "h",
        "h!!",
        "x" + peer_messages.short_name("a") + "!",
        "h" + peer_messages.short_name("b") + "!",
        "h" * 300,
    ):
        assert peer_messages.decode_loads(text, short_names.numbers) == {}
    assert peer_messages.encode_loads([]) == []
