"""Real signals to a real process, and what reaches its listener and its clients' connections meanwhile.

The process is `python -m wheatroute`; where a crossing lies between two of its lines, a few lines put before
its `main` have the client or the signal act just there.
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
from race_harness import Client, ListService, Server, message, wait_until

PLAIN = "import sys; from wheatroute.__main__ import main; sys.exit(main())"
# what the process's own client does at a step; `ask` sends a request into the listener's queue
BEFORE = """
import json, os, signal, socket, sys, time
import wheatroute.__main__ as program
from wheatroute.net.downstream import Downstream
from wheatroute.net.connection import Connection
kept, config = [], json.load(open(os.environ["PROXY_CONFIG"])) if "PLACE" not in os.environ else {}
place = tuple(config["listen"].split(":")) if config else os.environ["PLACE"].split(":")
place = place[0], int(place[1])

def ask(limit=5.0, name=b"c1", timeout=b"900m"):
    sock = socket.socket()
    sock.settimeout(limit)
    sock.connect(place)
    sock.sendall(b"GET /view/1 HTTP/1.1\\r\\nHost: b\\r\\nRequest-Id: " + name
                 + b"\\r\\nRequest-Timeout: " + timeout + b"\\r\\n\\r\\n")
    kept.append(sock)
    return sock

def step(owner, name, before=None, after=None):
    real = getattr(owner, name)
    def stepped(*fields, **named):
        if before: before(*fields)
        result = real(*fields, **named)
        if after: after(*fields)
        return result
    setattr(owner, name, stepped)

def finish():
    status = program.main()
    for sock in kept:
        sock.settimeout(1.0)
        try:
            print("ANSWER", sock.recv(65536)[:12], flush=True)
        except OSError as trouble:
            print("ANSWER", repr(trouble), flush=True)
    sys.exit(status)
"""


@asynccontextmanager
async def node_process(
    folder, *servers, code=PLAIN, discovery=None, fifo=False, wait=True, known=True, **how
):
    """A node as a process of its own; its end is looked for, its output is kept."""
    node = Node(folder, *servers, discovery=discovery or ListService(lambda request: None), **how)
    config = node.config if known else {key: value for key, value in node.config.items() if key != "known"}
    node.config_path.write_text(json.dumps(config))
    env = os.environ | {"PROXY_CONFIG": str(node.config_path)}
    if fifo:
        node.config_path.unlink()
        os.mkfifo(node.config_path)
        env["PLACE"] = f"127.0.0.1:{node.port}"
    node.log = folder / "log"
    async with trio.open_nursery() as nursery:
        for one in (*servers, node.discovery):
            nursery.start_soon(one.run)
        with node.log.open("wb") as out:
            node.process = subprocess.Popen([sys.executable, "-c", code], env=env, stdout=out, stderr=out)
        try:
            if wait:
                await wait_until(lambda: b"listening" in node.log.read_bytes())
            yield node
        finally:
            node.process.kill()
            node.process.wait()
            print(node.log.read_text())  # shown for a test that fails
            nursery.cancel_scope.cancel()


async def ended(node, limit=10.0):
    """The exit status, and how long that took."""
    began = time.monotonic()
    with trio.fail_after(limit):
        while node.process.poll() is None:
            await trio.sleep(0.005)
    return node.process.returncode, time.monotonic() - began


def run(test):
    def within(tmp_path):
        async def limited():
            with trio.fail_after(30):
                await test(tmp_path)

        trio.run(limited)

    within.__name__ = test.__name__
    return within


@run
async def test_sigterm_while_the_file_is_read_ends_it_before_it_listens(tmp_path):
    async with node_process(tmp_path, Server(), fifo=True, wait=False) as node:
        # it is being read from here on
        writer = await trio.to_thread.run_sync(lambda: open(node.config_path, "wb"))
        node.process.send_signal(signal.SIGTERM)
        await wait_until(lambda: _pending_taken(node.process.pid))
        with writer:
            writer.write(json.dumps(node.config).encode())
        status, _ = await ended(node)
        assert status == 0 and b"listening" not in node.log.read_bytes()


def _pending_taken(pid):
    """Whether no signal is left that the process was sent and has not been given."""
    with open(f"/proc/{pid}/status") as status:
        return not any(int(line.split()[1], 16) for line in status if line.startswith(("SigPnd", "ShdPnd")))


@run
async def test_sigterm_between_listening_and_handling_signals_loses_nothing_that_was_accepted(tmp_path):
    code = (
        BEFORE
        + """
def bound(*_):
    ask()
    os.kill(os.getpid(), signal.SIGTERM)
step(Downstream, "__init__", after=bound)
finish()
"""
    )
    async with node_process(tmp_path, Server(), code=code, wait=False) as node:
        status, _ = await ended(node)
        assert status == 0 and b"ANSWER b'HTTP/1.1 200" in node.log.read_bytes(), node.log.read_text()


@run
async def test_sigterm_before_the_first_list_ends_it_in_time(tmp_path):
    async with node_process(tmp_path, known=False) as node:
        client = Client(node.port).send(b"GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
        assert (await client.answer())[0] == 503
        waiting = Client(node.port).send(message(node, "view", timeout="800m")[0])
        node.process.send_signal(signal.SIGTERM)
        assert (await waiting.answer())[0] == 503
        status, elapsed_s = await ended(node)
        assert status == 0 and elapsed_s < 1.0 + 0.7


@run
async def test_a_second_sigterm_and_a_sighup_during_shutdown_end_nothing_early(tmp_path):
    server, go = Server(), trio.Event()
    server.on = {"read": lambda _: go.wait()}
    async with node_process(tmp_path, server, nodes=2) as node:
        client = Client(node.port).send(message(node, "place", body="b", timeout="900m")[0])
        await wait_until(lambda: server.requests)
        node.process.send_signal(signal.SIGTERM)
        await wait_until(lambda: b"event=stopping" in node.log.read_bytes())
        node.process.send_signal(signal.SIGHUP)
        await wait_until(lambda: b"event=reloaded" in node.log.read_bytes())
        node.process.send_signal(signal.SIGTERM)
        node.process.send_signal(signal.SIGINT)
        await wait_until(lambda: node.log.read_bytes().count(b"event=stopping") == 3)
        go.set()
        assert (await client.answer())[0] == 200
        status, _ = await ended(node)
        assert status == 0 and b"Traceback" not in node.log.read_bytes()


@run
async def test_a_signal_at_the_very_end_does_not_change_the_exit_status(tmp_path):
    code = (
        BEFORE
        + """
from wheatroute.net.upstream import Upstream
def last(*_):
    for _ in range(3):
        os.kill(os.getpid(), signal.SIGTERM)
    os.kill(os.getpid(), signal.SIGHUP)
    os.kill(os.getpid(), signal.SIGINT)
step(Upstream, "close_all_idle", after=last)
finish()
"""
    )
    async with node_process(tmp_path, Server(), code=code) as node:
        node.process.send_signal(signal.SIGTERM)
        status, _ = await ended(node)
        assert status == 0 and b"Traceback" not in node.log.read_bytes(), node.log.read_text()


@run
async def test_a_connection_that_arrives_as_the_listener_closes_is_not_left_in_its_queue(tmp_path):
    """One comes in the last moment before the close, after the queue was emptied."""
    code = (
        BEFORE
        + """
import trio
close, closing = trio.lowlevel.notify_closing, []
def about_to_close(sock):
    if getattr(sock, "getsockname", None) and sock.getsockname() == place and not closing:
        closing.append(1)
        try:
            ask(0.3)
        except OSError as trouble:
            print("TURNED AWAY", repr(trouble), flush=True)
    close(sock)
trio.lowlevel.notify_closing = about_to_close
finish()
"""
    )
    async with node_process(tmp_path, Server(), code=code, deadline=0.5) as node:
        node.process.send_signal(signal.SIGTERM)
        status, _ = await ended(node)
        log = node.log.read_text()
        # not taken at all, or answered; never taken and dropped
        assert status == 0 and ("TURNED AWAY" in log or "ANSWER b'HTTP/1.1" in log), log


@run
async def test_connections_accepted_last_are_closed_with_the_others_or_answered(tmp_path):
    """Two come before the queue is emptied for the last time, one silent. Their tasks begin after that."""
    code = (
        BEFORE
        + """
def last(self):
    silent = socket.create_connection(place)
    kept.append(silent)
    ask(name=b"c2")
    print("LAST", time.monotonic(), flush=True)
step(Downstream, "_close_listener", before=last)
step(program, "main", after=lambda *_: print("OVER", time.monotonic(), flush=True))
finish()
"""
    )
    async with node_process(tmp_path, Server(), code=code, deadline=0.5) as node:
        node.process.send_signal(signal.SIGTERM)
        status, _ = await ended(node)
        log = node.log.read_text()
        lines = dict(line.split(" ", 1) for line in log.splitlines() if line.startswith(("LAST", "OVER")))
        assert status == 0 and float(lines["OVER"]) - float(lines["LAST"]) < 1.0, log
        assert "ANSWER b''" in log and "ANSWER b'HTTP/1.1 503" in log, log


@run
async def test_a_request_that_comes_as_its_resting_connection_is_shut_goes_nowhere(tmp_path):
    """It comes between the last look at the connection and its close; its client sends it again elsewhere."""
    code = (
        BEFORE
        + """
def asked(line):
    if kept and line.peer == "%s:%d" % kept[0].getsockname() and not os.environ.get("SENT"):
        os.environ["SENT"] = "1"
        kept[0].sendall(b"GET /view/1 HTTP/1.1\\r\\nHost: b\\r\\nRequest-Id: c9\\r\\n"
                        b"Request-Timeout: 900m\\r\\n\\r\\n")
step(Connection, "is_reusable", after=asked)
def listening(*_):
    ask(name=b"c1", timeout=b"4000m")  # on a laden machine the loop may begin late
step(Downstream, "__init__", after=listening)
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
        status, _ = await ended(node)
        log = node.log.read_text()
        assert status == 0 and "FIRST b'HTTP/1.1 200" in log and server.ids == [b"c1"], log
        assert "ANSWER b''" in log or "ANSWER ConnectionResetError" in log, log


@run
async def test_idle_clients_are_closed_by_a_shutdown_and_half_requests_are_read_to_their_end(tmp_path):
    server = Server()
    async with node_process(tmp_path, server, nodes=2) as node:
        resting, half = Client(node.port), Client(node.port)
        assert (await resting.send(message(node, "view")[0]).answer())[0] == 200
        text, one = message(node, "place", body="bb")
        half.send(text[:-1])
        node.process.send_signal(signal.SIGTERM)
        await wait_until(lambda: b"event=stopping" in node.log.read_bytes())
        assert await resting.answer() is None
        half.send(text[-1:])
        status, answer = await half.answer()
        assert status in (200, 503) and b"connection: close" in answer.lower()
        assert (status == 200) == (one in server.ids)
        status, _ = await ended(node)
        assert status == 0


@run
async def test_a_slow_reader_of_a_response_begun_before_the_shutdown_is_closed_after_it(tmp_path):
    body = b"x" * 400_000
    server = Server(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    code = (
        BEFORE
        + """
def small(line, sock, *_):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
step(Connection, "__init__", after=small)
finish()
"""
    )
    async with node_process(tmp_path, server, code=code, nodes=2, deadline=2.0) as node:
        client = Client(node.port)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        client.send(message(node, "place", body="b", timeout="2000m")[0])
        await wait_until(lambda: server.requests)
        await trio.sleep(0.2)  # its answer fills what the client does not read
        node.process.send_signal(signal.SIGTERM)
        await wait_until(lambda: b"event=stopping" in node.log.read_bytes())
        await trio.sleep(1.6)  # idle ones were shut by now
        status, answer = await client.answer()
        assert status == 200 and answer.endswith(b"\r\n\r\n" + body)
        assert await client.answer() is None  # no further request is asked for on it
        status, _ = await ended(node)
        assert status == 0


@run
async def test_after_sighup_the_new_list_counts_though_the_old_service_answered_last(tmp_path):
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
        await wait_until(lambda: any(b"after=3&" in one for one in new.requests))
        before = len(servers[0].requests)
        for _ in range(10):
            assert (await Client(node.port).send(message(node, "view")[0]).answer())[0] == 200
        assert len(servers[0].requests) == before
        nursery.cancel_scope.cancel()


def test_a_restarted_node_is_ready_at_once_and_logs_it(tmp_path):
    """Nine in ten have to be ready within 10 s: here from the start of the process to the first answer."""

    async def tell():
        async with node_process(tmp_path, Server(OK)) as node:
            client = Client(node.port).send(b"GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
            assert (await client.answer())[0] == 200

    began = time.monotonic()
    trio.run(tell)
    assert time.monotonic() - began < 10.0
