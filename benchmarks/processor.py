"""What the external processor adds to a request: a stand-in proxy asks it at a set rate, on loopback.

Owns the processes: the processor with its workers, the proxies, and in the same run the same transport with
an echo in place of the module, which is the floor. All delays are from before a request's headers are written
to after its answer is read, in one HDR histogram.

    python benchmarks/processor.py                   2,000 requests a second for 30 s, and the knee
    python benchmarks/processor.py --short --json    one JSON object as the last line, within 45 s
"""

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import trio  # noqa: E402

from wheatroute.standin.ext_proc_messages import PATH  # noqa: E402
from wheatroute.standin.proxy import histogram  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
FILE = """
name = "bench"
[[pools]]
name = "shop"
{servers}
[[traffic_types]]
name = "view"
effect = "pure"
paths = ["/view"]
hard_stop = 2.0
utility = 5.0
[[traffic_types]]
name = "amend"
effect = "receipted"
paths = ["/amend"]
hard_stop = 2.0
repeat_window = 4.0
[[traffic_types]]
name = "place"
effect = "effectful"
paths = ["/place"]
hard_stop = 2.0
[processor]
listen = "127.0.0.1:{port}"
pool = "shop"
workers = {workers}
"""


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as free:
        return int(free.getsockname()[1])


def children(pid: int) -> list[int]:
    """A process and those it started."""
    found = [pid]
    for task in Path(f"/proc/{pid}/task").iterdir():
        found += [one for child in (task / "children").read_text().split() for one in children(int(child))]
    return found


def cost(pids: list[int]) -> tuple[float, float]:
    """CPU seconds used so far and MB held, of all together and of the largest."""
    seconds, most = 0.0, 0.0
    for pid in pids:
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        seconds += (int(fields[11]) + int(fields[12])) / TICKS
        held = [line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if "VmRSS" in line]
        most = max(most, int(held[0].split()[1]) / 1024)
    return seconds, most


def start(echo: bool, workers: int, servers: int) -> tuple[subprocess.Popen[bytes], int]:
    """The processor, or the floor, ready to be asked."""
    port = free_port()
    if echo:
        line = [sys.executable, __file__, "--echo", str(port), "--workers", str(workers)]
    else:
        listed = "\n".join(
            f'[[pools.servers]]\nid = "s{n}"\naddress = "127.0.0.1:{7000 + n}"' for n in range(servers)
        )
        with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
            file.write(FILE.format(servers=listed, port=port, workers=workers))
        line = [sys.executable, "-m", "wheatroute.cli", "processor", file.name]
    process = subprocess.Popen(line, cwd=ROOT, stdout=subprocess.DEVNULL)
    end = time.monotonic() + 15
    while time.monotonic() < end:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            time.sleep(1.0)  # the other workers as well
            return process, port
        except OSError:
            time.sleep(0.05)
    raise RuntimeError("the processor does not listen")


def drive(
    port: int, rate: float, seconds: float, proxies: int, connections: int, vanish: float, seed: int
) -> dict[str, Any]:
    """All proxies together, started at once."""
    running = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "wheatroute.standin.proxy",
                f"127.0.0.1:{port}",
                "--rate",
                str(rate / proxies),
                "--seconds",
                str(seconds),
                "--connections",
                str(connections),
                "--seed",
                str(seed + n),
                "--vanish",
                str(vanish),
                "--json",
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        for n in range(proxies)
    ]
    count: Counter[str] = Counter()
    delays, twice = histogram(), 0
    for one in running:
        out, _ = one.communicate(timeout=seconds + 30)
        told = json.loads(out)
        count.update(told["count"])
        delays.decode_and_add(told["delays"])
        twice += told["unsafe_twice"]
    return {
        "count": dict(count),
        "unsafe_twice": twice,
        **{
            name: round(delays.get_value_at_percentile(part) / 1000, 3)
            for name, part in (("p50_ms", 50), ("p99_ms", 99), ("p999_ms", 99.9), ("worst_ms", 100))
        },
    }


def measure(
    echo: bool, told: argparse.Namespace, rate: float, seconds: float, vanish: float
) -> dict[str, Any]:
    process, port = start(echo, told.workers, told.servers)
    try:
        drive(port, rate, 1.0, told.proxies, told.connections, 0.0, 100)  # cold starts are not the matter
        pids = children(process.pid)
        before, _ = cost(pids)
        out = drive(port, rate, seconds, told.proxies, told.connections, vanish, 200)
        after, most = cost(pids)
        asked = out["count"].get("requests", 0)
        out |= {
            "us_cpu_request": round((after - before) / max(1, asked) * 1e6, 1),
            "mb_worker": round(most, 1),
        }
    finally:
        process.send_signal(signal.SIGTERM)
        status = process.wait(20)
    return out | {"exit": status}


def echo(port: int, workers: int) -> None:
    """The floor: the same transport and messages, each answered with the same decision at once."""
    from wheatroute.grpc.call import Call
    from wheatroute.grpc.limits import ConnectionLimits
    from wheatroute.grpc.messages import CallError
    from wheatroute.grpc.server import Server, listen
    from wheatroute.net.log import open_log
    from wheatroute.processor.processing_messages import CONTINUE_RESPONSES, ResponseEncoder

    encoder = ResponseEncoder("x-gateway-destination-endpoint", "envoy.lb", "")
    decision = encoder.decision(b"127.0.0.1:7000", 1.0)

    class Echo:
        def __init__(self, call: Call) -> None:
            self.call, self.answers = call, 0

        def headers(self, headers: dict[bytes, bytes]) -> None: ...

        def message(self, message: bytes) -> None:
            self.call.send(CONTINUE_RESPONSES["response_headers"] if self.answers else decision)
            self.answers += 1

        def half_closed(self) -> None:
            self.call.finish()

        def call_ended(self, outcome: CallError) -> None: ...

    listener = listen(("127.0.0.1", port))
    for _ in range(workers - 1):
        if os.fork() == 0:
            break
    server = Server({PATH: Echo}, ConnectionLimits(), open_log("echo"), shares_listener=True)

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run, [listener])
            with trio.open_signal_receiver(signal.SIGTERM) as signals:
                async for _ in signals:
                    break
            nursery.cancel_scope.cancel()

    me = os.getpid()
    trio.run(serve)
    for pid in children(me)[1:]:
        os.kill(pid, signal.SIGTERM)


def main() -> None:
    parse = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parse.add_argument("--short", action="store_true")
    parse.add_argument("--json", action="store_true")
    parse.add_argument("--rate", type=float, default=2000.0)
    parse.add_argument("--seconds", type=float, default=30.0)
    parse.add_argument("--workers", type=int, default=3)
    parse.add_argument("--proxies", type=int, default=3)
    parse.add_argument("--connections", type=int, default=2, help="of each proxy")
    parse.add_argument("--servers", type=int, default=48)
    parse.add_argument("--vanish", type=float, default=0.01)
    parse.add_argument("--echo", type=int, help=argparse.SUPPRESS)
    told = parse.parse_args()
    if told.echo:
        echo(told.echo, told.workers)
        return
    seconds = 8.0 if told.short else told.seconds
    floor = measure(True, told, told.rate, seconds, 0.0)
    print("floor    ", floor)
    found = measure(False, told, told.rate, seconds, told.vanish)
    print("processor", found)
    out = {
        "rate": told.rate,
        "workers": told.workers,
        "proxies": told.proxies,
        "requests": found["count"].get("requests", 0),
        "decisions": found["count"].get("decisions", 0),
        "refused": sum(n for name, n in found["count"].items() if name.startswith("immediate")),
        "unanswered": found["count"].get("unanswered", 0),
        "unsafe_twice": found["unsafe_twice"],
        "p50_added_ms": found["p50_ms"],
        "p99_added_ms": found["p99_ms"],
        "worst_added_ms": found["worst_ms"],
        "floor_p50_ms": floor["p50_ms"],
        "floor_p99_ms": floor["p99_ms"],
        "us_cpu_request": found["us_cpu_request"],
        "floor_us_cpu_request": floor["us_cpu_request"],
        "mb_worker": found["mb_worker"],
    }
    if not told.short:
        out["knee"] = knee(told)
    print(json.dumps(out))


def knee(told: argparse.Namespace) -> float:
    """The highest rate, by steps of a quarter, at which p99 stays under 1 ms."""
    rate, best = 500.0, 0.0
    while rate < 20000.0:
        found = measure(False, told, rate, 6.0, told.vanish)
        print(f"at {rate:.0f}: p99 {found['p99_ms']} ms, {found['us_cpu_request']} us of CPU a request")
        if found["p99_ms"] >= 1.0:
            break
        best, rate = rate, rate * 1.25
    return best


if __name__ == "__main__":
    main()
