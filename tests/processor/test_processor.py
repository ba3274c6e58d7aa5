"""Tests of the external processor with a simulated proxy: decisions, reload and shutdown."""

import subprocess
import sys

import trio
from async_scenarios import scenario, until
from node_harness import reserve_port
from processor_harness import (
    PLACE,
    SETTINGS_TEXT,
    balancer_of,
    list_servers,
    open_request,
    route,
    running_worker,
    server_entry,
    server_tables,
)


@scenario
async def test_each_request_gets_one_decision_and_all_servers_are_used(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        addresses = [await route(channel, f"r{n}", n % 3) for n in range(60)]
        assert {*addresses} == {f"127.0.0.1:{7000 + n}" for n in range(4)}
        assert worker.dispatcher.decision_count == 60 and not balancer_of(worker)._state.requests


@scenario
async def test_a_server_that_drains_between_decision_and_response_gets_no_new_requests(tmp_path):
    async with running_worker(tmp_path, pool=server_tables(1)) as (worker, channel):
        async with open_request(channel, "r1") as request:
            assert await request.decision() == "127.0.0.1:7000"
            list_servers(worker, 2, server_entry(state="terminating"), is_full=False)
            await request.respond(200)
        # No server is available, so the request is rejected before its deadline.
        assert await route(channel, "r2", timeout_s=0.2) == 503
        # The server is available again at a new address.
        list_servers(worker, 3, server_entry(port=7009))
        assert await route(channel, "r3") == "127.0.0.1:7009"


@scenario
async def test_a_server_whose_responses_are_errors_gets_fewer_requests(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        addresses = []
        for n in range(200):
            async with open_request(channel, f"r{n}") as request:
                address = await request.decision()
                addresses.append(address)
                await request.respond(500 if address.endswith("7001") else 200)
        # An even share would be 25.
        assert addresses[100:].count("127.0.0.1:7001") < 10


@scenario
async def test_stopping_completes_open_requests_and_accepts_no_new_ones(tmp_path):
    async with running_worker(tmp_path, pool=server_tables(1, s0="terminating")) as (worker, channel):
        async with open_request(channel, "waits", PLACE) as waits:
            await until(lambda: balancer_of(worker)._state.requests)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(worker.stop)
                await until(lambda: not channel.is_connected)
                list_servers(worker, 2, server_entry())
                assert await waits.decision() == "127.0.0.1:7000"
                await waits.respond(200)
                waits.call.half_close()
                assert await waits.call.receive() is None


@scenario
async def test_a_reloaded_file_is_applied_as_a_whole_or_not_at_all(tmp_path):
    async with running_worker(tmp_path) as (worker, channel):
        path = tmp_path / "file.toml"
        path.write_text("[[pools]]\nname = 3\n")
        worker.reload()
        assert {await route(channel, f"a{n}") for n in range(40)} == {
            f"127.0.0.1:{7000 + n}" for n in range(4)
        }
        path.write_text(SETTINGS_TEXT.format(servers=server_tables(2)))
        worker.reload()
        assert {await route(channel, f"b{n}") for n in range(40)} == {"127.0.0.1:7000", "127.0.0.1:7001"}


def test_sigterm_during_startup_exits_with_status_0(tmp_path):
    """SIGTERM arrives while the file is read, or after listening has begun and before signals are handled.

    Covers one worker, and a supervisor of two, which must leave no worker behind.
    """
    code = """
import os, signal, sys
from wheatroute.processor import program
def with_sigterm(function):
    def wrapper(*args):
        result = function(*args)
        os.kill(os.getpid(), signal.SIGTERM)
        return result
    return wrapper
name = sys.argv[2]
owner = program if name == "listen" else program.settings_file
setattr(owner, name, with_sigterm(getattr(owner, name)))
sys.exit(program.run(sys.argv[1]))
"""
    for workers in ("", "\nworkers = 2"):
        path = tmp_path / "file.toml"
        reservation = reserve_port()
        address = "{}:{}".format(*reservation.getsockname())
        path.write_text(
            SETTINGS_TEXT.format(servers=server_tables()).replace('127.0.0.1:1"', f'{address}"{workers}')
        )
        for step in ("listen", "read"):
            process = subprocess.run(
                [sys.executable, "-c", code, str(path), step], capture_output=True, text=True, timeout=60
            )
            assert process.returncode == 0 and "listening" not in process.stdout, process
