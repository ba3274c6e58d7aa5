"""Signals to a real process, and the connections and requests that arrive at it meanwhile.

The process is `python -m wheatroute`. Where a race lies between two lines of its code, a prelude that runs
before `main` hooks a method so that the client or the signal acts exactly there.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import asynccontextmanager

import trio
from node_harness import OK, Node, list_response
from race_harness import Client, ListService, Server, new_request, wait_until

RUN_MAIN = "import sys; from wheatroute.__main__ import main; sys.exit(main())"
# Helpers for clients inside the process: `send_request` puts a request into the listener's queue, `hook`
# calls functions around a method, `finish` runs the node and prints what the clients received.
PRELUDE = """
import json, os, signal, socket, sys, time
import wheatroute.__main__ as program
from wheatroute.net.downstream import Downstream
from wheatroute.net.connection import Connection
kept, config = [], json.load(open(os.environ["PROXY_CONFIG"])) if "LISTEN_ADDRESS" not in os.environ else {}
address = tuple(config["listen"].split(":")) if config else os.environ["LISTEN_ADDRESS"].split(":")
address = address[0], int(address[1])

def send_request(timeout_s=5.0, name=b"c1", timeout=b"900m"):
    sock = socket.socket()
    sock.settimeout(timeout_s)
    sock.connect(address)
    sock.sendall(b"GET /view/1 HTTP/1.1\\r\\nHost: b\\r\\nRequest-Id: " + name
                 + b"\\r\\nRequest-Timeout: " + timeout + b"\\r\\n\\r\\n")
    kept.append(sock)
    return sock

def hook(owner, name, before=None, after=None):
    real = getattr(owner, name)
    def hooked(*fields, **named):
        if before: before(*fields)
        result = real(*fields, **named)
        if after: after(*fields)
        return result
    setattr(owner, name, hooked)

def finish():
    status = program.main()
    for sock in kept:
        sock.settimeout(1.0)
        try:
            print("ANSWER", sock.recv(65536)[:12], flush=True)
        except OSError as error:
            print("ANSWER", repr(error), flush=True)
    sys.exit(status)
"""


@asynccontextmanager
async def node_process(
    folder, *servers, code=RUN_MAIN, discovery=None, fifo=False, wait=True, known=True, **options
):
    """Runs a node as a separate process, which is killed at the end; its output is written to `node.log`.

    With `fifo`, the settings are read from a FIFO; the test writes them. With `wait`, the node is listening
    when the context is entered. Without `known`, it starts without a list of servers.
    """
    node = Node(folder, *servers, discovery=discovery or ListService(lambda request: None), **options)
    config = node.config if known else {key: value for key, value in node.config.items() if key != "known"}
    node.config_path.write_text(json.dumps(config))
    env = os.environ | {"PROXY_CONFIG": str(node.config_path)}
    if fifo:
        node.config_path.unlink()
        os.mkfifo(node.config_path)
        env["LISTEN_ADDRESS"] = f"127.0.0.1:{node.port}"
    node.log = folder / "log"
    async with trio.open_nursery() as nursery:
        for server in (*servers, node.discovery):
            nursery.start_soon(server.run)
        with node.log.open("wb") as out:
            node.process = subprocess.Popen([sys.executable, "-c", code], env=env, stdout=out, stderr=out)
        try:
            if wait:
                await wait_until(lambda: b"listening" in node.log.read_bytes())
            yield node
        finally:
            node.process.kill()
            node.process.wait()
            print(node.log.read_text())  # pytest shows it if the test fails
            nursery.cancel_scope.cancel()


async def wait_for_exit(node, timeout_s=10.0):
    """Waits for the process to exit; returns the exit status and the seconds waited."""
    began = time.monotonic()
    with trio.fail_after(timeout_s):
        while node.process.poll() is None:
            await trio.sleep(0.005)
    return node.process.returncode, time.monotonic() - began


def process_test(test):
    """Runs an async test with a deadline."""

    def within(tmp_path):
        async def limited():
            with trio.fail_after(30):
                await test(tmp_path)

        trio.run(limited)

    within.__name__ = test.__name__
    return within


@process_test
async def test_sigterm_while_the_settings_are_read_ends_the_node_before_it_listens(tmp_path):
    async with node_process(tmp_path, Server(), fifo=True, wait=False) as node:
        # Opening the FIFO for writing returns once the process has opened it for reading.
        writer = await trio.to_thread.run_sync(lambda: open(node.config_path, "wb"))
        node.process.send_signal(signal.SIGTERM)
        await wait_until(lambda: _no_signal_pending(node.process.pid))
        with writer:
            writer.write(json.dumps(node.config).encode())
        status, _ = await wait_for_exit(node)
        assert status == 0 and b"listening" not in node.log.read_bytes()


def _no_signal_pending(pid):
    """Returns whether every signal sent to the process has been delivered."""
    with open(f"/proc/{pid}/status") as status:
        return not any(int(line.split()[1], 16) for line in status if line.startswith(("SigPnd", "ShdPnd")))


@process_test
async def test_sigterm_between_listening_and_handling_signals_loses_nothing_that_was_accepted(tmp_path):
    code = (
        PRELUDE
        + """
def bound(*_):
    send_request()
    os.kill(os.getpid(), signal.SIGTERM)
hook(Downstream, "__init__", after=bound)
finish()
"""
    )
    async with node_process(tmp_path, Server(), code=code, wait=False) as node:
        status, _ = await wait_for_exit(node)
        assert status == 0 and b"ANSWER b'HTTP/1.1 200" in node.log.read_bytes(), node.log.read_text()


@process_test
async def test_sigterm_before_the_first_list_ends_the_node_in_time(tmp_path):
    async with node_process(tmp_path, known=False) as node:
        client = Client(node.port).send(b"GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
        assert (await client.response())[0] == 503
        waiting = Client(node.port).send(new_request(node, "view", timeout="800m")[0])
        node.process.send_signal(signal.SIGTERM)
        assert (await waiting.response())[0] == 503
        status, elapsed_s = await wait_for_exit(node)
        assert status == 0 and elapsed_s < 1.0 + 0.7


@process_test
async def test_a_second_sigterm_and_a_sighup_during_shutdown_end_nothing_early(tmp_path):
    server, go = Server(), trio.Event()
    server.on = {"read": lambda _: go.wait()}
    async with node_process(tmp_path, server, nodes=2) as node:
        client = Client(node.port).send(new_request(node, "place", body="b", timeout="900m")[0])
        await wait_until(lambda: server.requests)
        node.process.send_signal(signal.SIGTERM)
        await wait_until(lambda: b"event=stopping" in node.log.read_bytes())
        node.process.send_signal(signal.SIGHUP)
        await wait_until(lambda: b"event=reloaded" in node.log.read_bytes())
        node.process.send_signal(signal.SIGTERM)
        node.process.send_signal(signal.SIGINT)
        await wait_until(lambda: node.log.read_bytes().count(b"event=stopping") == 3)
        go.set()
        assert (await client.response())[0] == 200
        status, _ = await wait_for_exit(node)
        assert status == 0 and b"Traceback" not in node.log.read_bytes()


@process_test
async def test_a_signal_at_the_very_end_does_not_change_the_exit_status(tmp_path):
    code = (
        PRELUDE
        + """
from wheatroute.net.upstream import Upstream
def last(*_):
    for _ in range(3):
        os.kill(os.getpid(), signal.SIGTERM)
    os.kill(os.getpid(), signal.SIGHUP)
    os.kill(os.getpid(), signal.SIGINT)
hook(Upstream, "close_all_idle", after=last)
finish()
"""
    )
    async with node_process(tmp_path, Server(), code=code) as node:
        node.process.send_signal(signal.SIGTERM)
        status, _ = await wait_for_exit(node)
        assert status == 0 and b"Traceback" not in node.log.read_bytes(), node.log.read_text()


@process_test
async def test_a_connection_that_arrives_as_the_listener_closes_is_not_left_in_its_queue(tmp_path):
    """A connection arrives at the last moment before the close, after the queue was emptied."""
    code = (
        PRELUDE
        + """
import trio
close, closing = trio.lowlevel.notify_closing, []
def about_to_close(sock):
    if getattr(sock, "getsockname", None) and sock.getsockname() == address and not closing:
        closing.append(1)
        try:
            send_request(0.3)
        except OSError as error:
            print("CONNECT FAILED", repr(error), flush=True)
    close(sock)
trio.lowlevel.notify_closing = about_to_close
finish()
"""
    )
    async with node_process(tmp_path, Server(), code=code, deadline=0.5) as node:
        node.process.send_signal(signal.SIGTERM)
        status, _ = await wait_for_exit(node)
        log = node.log.read_text()
        # The connection must be refused or answered, but never accepted and dropped.
        assert status == 0 and ("CONNECT FAILED" in log or "ANSWER b'HTTP/1.1" in log), log


@process_test
async def test_connections_accepted_last_are_closed_with_the_others_or_answered(tmp_path):
    """Two connections, one silent, arrive before the queue is last emptied; their tasks start after that."""
    code = (
        PRELUDE
        + """
def last(self):
    silent = socket.create_connection(address)
    kept.append(silent)
    send_request(name=b"c2")
    print("LAST", time.monotonic(), flush=True)
hook(Downstream, "_close_listener", before=last)
hook(program, "main", after=lambda *_: print("OVER", time.monotonic(), flush=True))
finish()
"""
    )
    async with node_process(tmp_path, Server(), code=code, deadline=0.5) as node:
        node.process.send_signal(signal.SIGTERM)
        status, _ = await wait_for_exit(node)
        log = node.log.read_text()
        lines = dict(line.split(" ", 1) for line in log.splitlines() if line.startswith(("LAST", "OVER")))
        assert status == 0 and float(lines["OVER"]) - float(lines["LAST"]) < 1.0, log
        assert "ANSWER b''" in log and "ANSWER b'HTTP/1.1 503" in log, log


@process_test
async def test_a_request_that_arrives_as_its_idle_connection_is_closed_is_not_forwarded(tmp_path):
    """It arrives between the last check of the connection and its close; its client retries elsewhere."""
    code = (
        PRELUDE
        + """
def send_second(connection):
    if kept and connection.peer == "%s:%d" % kept[0].getsockname() and not os.environ.get("SENT"):
        os.environ["SENT"] = "1"
        kept[0].sendall(b"GET /view/1 HTTP/1.1\\r\\nHost: b\\r\\nRequest-Id: c9\\r\\n"
                        b"Request-Timeout: 900m\\r\\n\\r\\n")
hook(Connection, "is_reusable", after=send_second)
def listening(*_):
    send_request(name=b"c1", timeout=b"4000m")  # on a busy machine the event loop may start late
hook(Downstream, "__init__", after=listening)
first = Downstream._close_answered_clients
def stop(self):
    if not self.is_stopping:
        print("FIRST", kept[0].recv(65536)[:12], flush=True)
    first(self)
Downstream._close_answered_clients = stop
finish()
"""
    )
    server = Server()
    async with node_process(tmp_path, server, code=code, nodes=2, deadline=4.0) as node:
        await wait_until(lambda: server.ids == [b"c1"])
        node.process.send_signal(signal.SIGTERM)
        status, _ = await wait_for_exit(node)
        log = node.log.read_text()
        assert status == 0 and "FIRST b'HTTP/1.1 200" in log and server.ids == [b"c1"], log
        assert "ANSWER b''" in log or "ANSWER ConnectionResetError" in log, log


@process_test
async def test_idle_clients_are_closed_by_a_shutdown_and_partial_requests_are_read_to_their_end(tmp_path):
    server = Server()
    async with node_process(tmp_path, server, nodes=2) as node:
        idle, partial = Client(node.port), Client(node.port)
        assert (await idle.send(new_request(node, "view")[0]).response())[0] == 200
        text, request_id = new_request(node, "place", body="bb")
        partial.send(text[:-1])
        node.process.send_signal(signal.SIGTERM)
        await wait_until(lambda: b"event=stopping" in node.log.read_bytes())
        assert await idle.response() is None
        partial.send(text[-1:])
        status, answer = await partial.response()
        assert status in (200, 503) and b"connection: close" in answer.lower()
        assert (status == 200) == (request_id in server.ids)
        status, _ = await wait_for_exit(node)
        assert status == 0


# Lost: a request that was pipelined behind the last answer was read and never answered.
@process_test
async def test_a_request_that_was_read_before_the_last_response_is_answered(tmp_path):
    server, go = Server(), trio.Event()
    async with node_process(tmp_path, server, nodes=2, deadline=4.0) as node:
        idle = Client(node.port)
        assert (await idle.send(new_request(node, "view")[0]).response())[0] == 200
        server.on = {"read": lambda _: go.wait()}
        first, second = (new_request(node, "place", body="b", timeout="4000m") for _ in range(2))
        client = Client(node.port).send(first[0])
        await wait_until(lambda: first[1] in server.ids)
        client.send(second[0])
        node.process.send_signal(signal.SIGTERM)
        assert await idle.response() is None  # from here on the node closes connections after responses
        go.set()
        answers = (await trio.to_thread.run_sync(client.read_all)).split(b"HTTP/1.1 ")[1:]
        assert [answer[:3] for answer in answers] in ([b"200", b"200"], [b"200", b"503"])
        assert [b"connection: close" in answer.lower() for answer in answers] == [False, True]
        assert (answers[1][:3] == b"200") == (second[1] in server.ids)
        status, _ = await wait_for_exit(node)
        assert status == 0


@process_test
async def test_a_slow_reader_of_a_response_begun_before_the_shutdown_is_closed_after_it(tmp_path):
    body = b"x" * 400_000
    server = Server(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    code = (
        PRELUDE
        + """
def shrink_send_buffer(connection, sock, *_):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
hook(Connection, "__init__", after=shrink_send_buffer)
finish()
"""
    )
    async with node_process(tmp_path, server, code=code, nodes=2, deadline=2.0) as node:
        client = Client(node.port)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        client.send(new_request(node, "place", body="b", timeout="2000m")[0])
        await wait_until(lambda: server.requests)
        await trio.sleep(0.2)  # the response fills the buffers, as the client does not read
        node.process.send_signal(signal.SIGTERM)
        await wait_until(lambda: b"event=stopping" in node.log.read_bytes())
        await trio.sleep(1.6)  # idle connections have been closed by now
        status, answer = await client.response()
        assert status == 200 and answer.endswith(b"\r\n\r\n" + body)
        assert await client.response() is None  # the connection is closed after the response
        status, _ = await wait_for_exit(node)
        assert status == 0


@process_test
async def test_after_sighup_the_list_of_the_new_service_is_used(tmp_path):
    servers = [Server(), Server(name="t")]
    old = ListService(lambda request: None)
    new = ListService(
        lambda request: (
            None
            if b"after" in request
            else list_response(3, {"id": "t", "addr": servers[1].address}, is_full=True)
        )
    )
    async with node_process(tmp_path, *servers, discovery=old) as node, trio.open_nursery() as nursery:
        nursery.start_soon(new.run)
        node.config_path.write_text("{")
        node.process.send_signal(signal.SIGHUP)
        await wait_until(lambda: b"event=reload-failed" in node.log.read_bytes())
        node.config_path.write_text(json.dumps(node.config | {"discovery": new.address}))
        node.process.send_signal(signal.SIGHUP)
        await wait_until(lambda: any(b"after=3&" in request for request in new.requests))
        before = len(servers[0].requests)
        for _ in range(10):
            assert (await Client(node.port).send(new_request(node, "view")[0]).response())[0] == 200
        assert len(servers[0].requests) == before
        nursery.cancel_scope.cancel()


def test_a_restarted_node_is_ready_at_once_and_logs_it(tmp_path):
    """The target is 10 s for nine of ten starts: here from the start of the process to the first response."""

    async def check_readiness():
        async with node_process(tmp_path, Server(OK)) as node:
            client = Client(node.port).send(b"GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
            assert (await client.response())[0] == 200

    began = time.monotonic()
    trio.run(check_readiness)
    assert time.monotonic() - began < 10.0
