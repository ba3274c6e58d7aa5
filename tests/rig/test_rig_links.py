"""Links between processes: what each fault does, and that data held back by a partition arrives after it."""

import trio
from async_scenarios import scenario, until

from wheatroute.rig.datagram_link import DatagramLink
from wheatroute.rig.http_connection import listen
from wheatroute.rig.link_fault import Direction, LinkFaults
from wheatroute.rig.network import Network, free_datagram_address
from wheatroute.rig.tcp_link import TcpLink


async def echo(stream):
    async for data in stream:
        await stream.send_all(data)


def test_parameters_by_the_keys_of_scenario_files():
    faults = LinkFaults()
    faults.impair("back", delay=0.1, trickle=5.0, lose=0.2, repeat=0.3, reorder=0.4)
    fault = faults[Direction.BACKWARD]
    assert (fault.delay_s, fault.bytes_per_second) == (0.1, 5.0)
    assert (fault.loss, fault.duplication, fault.reordering) == (0.2, 0.3, 0.4)
    assert faults[Direction.FORWARD].delay_s == 0.0
    faults.partition("both")
    assert not faults.is_open
    faults.heal()
    assert faults.is_open and faults[Direction.BACKWARD].delay_s == 0.0


@scenario
async def test_a_partitioned_stream_continues_after_healing():
    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            received = []

            async def serve(stream):
                async for data in stream:
                    received.append(data)
                    await stream.send_all(data)

            link = TcpLink("n0-s0", await listen(serve, nursery))
            nursery.start_soon(link.run)
            stream = await trio.open_tcp_stream(*link.address)
            await stream.send_all(b"a")
            assert await stream.receive_some() == b"a"
            link.faults.partition("there")
            ((far_end, sent_at),) = link.sent_at.items()
            await stream.send_all(b"b")
            # the link has received the data, and holds it back
            await until(lambda: link.sent_at[far_end] > sent_at)
            assert received == [b"a"]
            link.faults.heal()
            assert await stream.receive_some() == b"b" and link.connection_count == 1
            nursery.cancel_scope.cancel()


@scenario
async def test_a_reset_reaches_the_client():
    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            link = TcpLink("n0-s0", await listen(echo, nursery))
            nursery.start_soon(link.run)
            stream = await trio.open_tcp_stream(*link.address)
            await stream.send_all(b"a")
            assert await stream.receive_some() == b"a"
            link.reset_connections()
            try:
                is_reset = await stream.receive_some() == b""
            except trio.BrokenResourceError:
                is_reset = True
            assert is_reset
            nursery.cancel_scope.cancel()


@scenario
async def test_datagrams_are_duplicated_and_reordered():
    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            sockets = [trio.socket.socket(type=trio.socket.SOCK_DGRAM) for _ in range(2)]
            for end_socket in sockets:
                await end_socket.bind(("127.0.0.1", 0))
            link = DatagramLink("n0-n1", (sockets[0].getsockname(), sockets[1].getsockname()), 1)
            nursery.start_soon(link.run)
            link.faults.impair("there", reorder=1.0, repeat=1.0)
            for data in (b"a", b"b"):
                await sockets[0].sendto(data, link.addresses[0])
            received = [(await sockets[1].recvfrom(9))[0] for _ in range(3)]
            assert sorted(received) == [b"a", b"b", b"b"]
            assert (link.reordered_count, link.duplicated_count, link.passed_count) == (1, 1, 3)
            nursery.cancel_scope.cancel()


@scenario
async def test_links_are_found_by_their_ends():
    async with trio.open_nursery() as nursery:
        network = Network(nursery)
        targets = [("127.0.0.1", 1), ("127.0.0.1", 2)]
        network.add_links("n0-etcd", targets)
        network.add_link("n0-list", targets[0])
        network.add_datagram_link("n0-n1", (free_datagram_address(), free_datagram_address()), 1)
        assert [link.name for link in network.between("n0", "etcd")] == ["n0-etcd0", "n0-etcd1"]
        assert [link.name for link in network.between("n1", "n0")] == ["n0-n1"]
        addresses = network.links["n0-n1"].addresses
        assert [network.peer_addresses("n0"), network.peer_addresses("n1")] == [
            [addresses[0]],
            [addresses[1]],
        ]
        network.close()
        nursery.cancel_scope.cancel()
