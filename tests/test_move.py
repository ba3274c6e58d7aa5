"""The move from a pool of nodes to a node beside each client: both shapes before the same servers.

All on loopback: whole nodes, and stand-ins for servers that queue and tell probes so.
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

CORES, WORK, GRACE = 2, 0.02, 0.25


class Station:
    """A server with few cores; it counts what it ran, when, and who probed it."""

    def __init__(self, name):
        self.name, self.ran, self.came, self.probes, self.waiting = name, [], [], 0, 0
        self.cores = trio.CapacityLimiter(CORES)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def run(self):
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self.listener))
        await trio.serve_listeners(self.talk, [listener])

    async def talk(self, stream):
        try:
            while (request := await read_message(stream)) is not None:
                body = b"ok"
                if request.startswith(b"GET /metrics/load"):
                    self.probes += 1
                    body = b"TEXT qps=%d, queue=%d" % (CORES / WORK, self.waiting)
                else:
                    name = re.search(rb"(?i)request-id: (\S+)", request)[1]
                    self.came.append(trio.current_time())
                    self.waiting += 1
                    async with self.cores:
                        self.waiting -= 1
                        self.ran.append((name, request.split()[0]))
                        await trio.sleep(WORK)
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except trio.BrokenResourceError:
            pass  # the node has called it off


def free_place():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
        one.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{one.getsockname()[1]}"


def shaped(node, nodes, me, peers=None):
    """A node of the old shape, or of the new one if it has peers."""
    config = node.config
    config["settings"] |= {"balancers": nodes, "me": me}
    if peers is not None:
        config["settings"]["allowed"] |= {"peers": True, "probes": True}
        config["settings"] |= {
            "report": {"how": "probe", "fields": ["qps", "queue"]},
            "tariffs": {"connection": 0.03},
        }
        config["peers"] = peers
    node.read_config()
    return node


def test_both_shapes_keep_the_rules_and_neither_starves_the_other(tmp_path):
    trio.run(both_shapes, tmp_path)


async def both_shapes(folder):
    stations = [Station(f"s{n}") for n in range(4)]
    places, ear = [free_place(), free_place()], socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    ear.bind(("127.0.0.1", 0))
    ear.settimeout(2.0)
    listens = f"127.0.0.1:{ear.getsockname()[1]}"
    nodes, lists, served = [], [], {"old": 0, "new": 0}
    for n in range(4):
        (folder / str(n)).mkdir()
        # the last server drains, and every node is told so at its first watch
        lists.append(StandInServer(list_response(2, server_entry(stations[3], state="terminating")), None))
        node = Node(folder / str(n), *stations, discovery=lists[n], deadline=2.0)
        others = [one for i, one in enumerate(places) if i != n] + [listens]
        nodes.append(shaped(node, 4, n, {"listen": places[n], "others": others} if n < 2 else None))
    answers = []

    async def call(node, kind):
        status, _ = await node.send_request(
            kind, body="" if EFFECT_BY_REQUEST_CLASS[kind] == "retryable" else "b", timeout="2000m"
        )
        answers.append(status)
        served["new" if "peers" in node.config else "old"] += status == 200

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            for one in (*stations, *lists):
                nursery.start_soon(one.run)
            for node in nodes:
                nursery.start_soon(serve_node, node.settings, structlog.get_logger())
                (await node.connect()).socket.close()
            while not all(one.requests for one in lists):
                await trio.sleep(0.01)
            told = trio.current_time()
            async with trio.open_nursery() as calls:
                for n in range(80):
                    for node in nodes:
                        calls.start_soon(call, node, ("view", "amend", "place")[n % 3])
                    await trio.sleep(0.02)  # 200 a second, of 300
            nursery.cancel_scope.cancel()
    # rule one: one answer for each; rule two: nothing unsafe ran twice; rule three: the drain is kept
    assert len(answers) == 320
    ran = [name for one in stations for name, method in one.ran if method == b"POST"]
    assert len(ran) == len(set(ran))
    assert not [when for when in stations[3].came if when > told + GRACE]
    # neither kind starves the other
    assert min(served.values()) > 0.8 * 160 and min(served.values()) > 0.8 * max(served.values())
    # the new ones probe, and tell
    assert all(one.probes for one in stations[:3])
    heard = peer_messages.ShortNames()
    for n, one in enumerate(stations):
        heard.add(one.name, n)
    assert peer_messages.decode_loads(ear.recv(512).decode(), heard.numbers)
    ear.close()


@pytest.mark.parametrize(
    ("peers", "allowed", "line"),
    [
        ({"listen": "127.0.0.1:9", "others": ["127.0.0.1:10"]}, False, "do not allow"),
        ({"listen": "here", "others": []}, True, "no IPv4 address"),
        ({"listen": "127.0.0.1:9", "others": ["127.0.0.1:9"]}, True, "its own"),
        ({"listen": "127.0.0.1:9", "others": ["127.0.0.1:8", "127.0.0.1:8"]}, True, "twice"),
        (["127.0.0.1:9"], True, "peers"),
    ],
)
def test_peers_of_no_use_are_told_in_one_line(tmp_path, peers, allowed, line):
    node = Node(tmp_path, StandInServer(b""))
    node.config["settings"]["allowed"]["peers"] = allowed
    node.config["peers"] = peers
    with pytest.raises(node_settings.NodeSettingsError, match=line) as found:
        node.read_config()
    assert "\n" not in str(found.value)


def test_without_peers_a_node_has_no_such_socket_and_one_request_a_connection(tmp_path):
    node = Node(tmp_path, StandInServer(b""))
    node.config["settings"]["allowed"] |= {"peers": True, "streams-per-conn": 100}
    node.read_config()
    settings = node.settings
    assert settings.peers is None and settings.work_header == b""
    assert settings.terms.calls_per_connection == 1
    assert not settings.terms.has_peers  # allowed, but nobody is named: it probes for none


def test_strangers_and_nonsense_are_nothing_told():
    known = peer_messages.ShortNames()
    known.add("a", 0)
    for text in (
        "",
        "h",
        "h!!",
        "x" + peer_messages.short_name("a") + "!",
        "h" + peer_messages.short_name("b") + "!",
        "h" * 300,
    ):
        assert peer_messages.decode_loads(text, known.numbers) == {}
    assert peer_messages.encode_loads([]) == []
