"""Measures the latency that the external processor adds to a request; stand-in proxies load it on loopback.

As a baseline ("floor"), the same run also measures the same transport with a server that sends a fixed
decision instead of making one. Latencies are from before a request's headers are written to after the
processor's response is read, in one HDR histogram.

    python benchmarks/processor.py                   2,000 requests a second for 30 s, and the highest rate
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

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CONFIGURATION_TEMPLATE = """
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
    """Returns a port that was free just now."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        return int(free.getsockname()[1])


def children(pid: int) -> list[int]:
    """Returns the ids of a process and of all its descendants."""
    found = [pid]
    for task in Path(f"/proc/{pid}/task").iterdir():
        found += [one for child in (task / "children").read_text().split() for one in children(int(child))]
    return found


def cpu_and_memory(pids: list[int]) -> tuple[float, float]:
    """Returns the CPU seconds that all processes have used together, and the MB of the largest one."""
    seconds, largest_mb = 0.0, 0.0
    for pid in pids:
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        seconds += (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        rss_lines = [line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if "VmRSS" in line]
        largest_mb = max(largest_mb, int(rss_lines[0].split()[1]) / 1024)
    return seconds, largest_mb


def start(is_floor: bool, workers: int, servers: int) -> tuple[subprocess.Popen[bytes], int]:
    """Starts the processor or the floor server; returns process and port once it accepts connections."""
    port = free_port()
    if is_floor:
        command = [sys.executable, __file__, "--echo", str(port), "--workers", str(workers)]
    else:
        server_tables = "\n".join(
            f'[[pools.servers]]\nid = "s{n}"\naddress = "127.0.0.1:{7000 + n}"' for n in range(servers)
        )
        with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
            file.write(CONFIGURATION_TEMPLATE.format(servers=server_tables, port=port, workers=workers))
        command = [sys.executable, "-m", "wheatroute.cli", "processor", file.name]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    end = time.monotonic() + 15
    while time.monotonic() < end:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            # Only one worker is known to listen; gives the others time to start.
            time.sleep(1.0)
            return process, port
        except OSError:
            time.sleep(0.05)
    raise RuntimeError("the processor does not accept connections")


def run_proxies(
    port: int, rate: float, seconds: float, proxies: int, connections: int, vanish: float, seed: int
) -> dict[str, Any]:
    """Runs all proxies at the same time; returns their added counts and the quantiles of their latencies."""
    processes = [
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
    counts: Counter[str] = Counter()
    latencies, unsafe_twice = histogram(), 0
    for proxy in processes:
        output, _ = proxy.communicate(timeout=seconds + 30)
        report = json.loads(output)
        counts.update(report["count"])
        latencies.decode_and_add(report["delays"])
        unsafe_twice += report["unsafe_twice"]
    return {
        "count": dict(counts),
        "unsafe_twice": unsafe_twice,
        **{
            name: round(latencies.get_value_at_percentile(percentile) / 1000, 3)
            for name, percentile in (("p50_ms", 50), ("p99_ms", 99), ("p999_ms", 99.9), ("worst_ms", 100))
        },
    }


def measure(
    is_floor: bool, options: argparse.Namespace, rate: float, seconds: float, vanish: float
) -> dict[str, Any]:
    """Measures the processor or the floor server at a rate; returns its latencies, CPU time and memory."""
    process, port = start(is_floor, options.workers, options.servers)
    try:
        # Warm-up: cold starts are not measured.
        run_proxies(port, rate, 1.0, options.proxies, options.connections, 0.0, 100)
        pids = children(process.pid)
        before, _ = cpu_and_memory(pids)
        result = run_proxies(port, rate, seconds, options.proxies, options.connections, vanish, 200)
        after, largest_mb = cpu_and_memory(pids)
        request_count = result["count"].get("requests", 0)
        result |= {
            "us_cpu_request": round((after - before) / max(1, request_count) * 1e6, 1),
            "mb_worker": round(largest_mb, 1),
        }
    finally:
        process.send_signal(signal.SIGTERM)
        status = process.wait(20)
    return result | {"exit": status}


def run_floor_server(port: int, workers: int) -> None:
    """Runs the floor server: the same transport and messages, and always the same decision."""
    from wheatroute.grpc.call import Call
    from wheatroute.grpc.limits import ConnectionLimits
    from wheatroute.grpc.messages import CallError
    from wheatroute.grpc.server import Server, listen
    from wheatroute.net.log import open_log
    from wheatroute.processor.processing_messages import CONTINUE_RESPONSES, ResponseEncoder

    encoder = ResponseEncoder("x-gateway-destination-endpoint", "envoy.lb", "")
    decision = encoder.decision(b"127.0.0.1:7000", 1.0)

    class FixedDecision:
        """Answers the first message of a call with the decision, and the next ones with CONTINUE."""

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
    server = Server({PATH: FixedDecision}, ConnectionLimits(), open_log("echo"), shares_listener=True)

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
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--rate", type=float, default=2000.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--proxies", type=int, default=3)
    parser.add_argument("--connections", type=int, default=2, help="connections of each proxy")
    parser.add_argument("--servers", type=int, default=48)
    parser.add_argument("--vanish", type=float, default=0.01)
    parser.add_argument("--echo", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.echo:
        run_floor_server(options.echo, options.workers)
        return
    seconds = 8.0 if options.short else options.seconds
    floor = measure(True, options, options.rate, seconds, 0.0)
    print("floor    ", floor)
    measured = measure(False, options, options.rate, seconds, options.vanish)
    print("processor", measured)
    result = {
        "rate": options.rate,
        "workers": options.workers,
        "proxies": options.proxies,
        "requests": measured["count"].get("requests", 0),
        "decisions": measured["count"].get("decisions", 0),
        "refused": sum(n for name, n in measured["count"].items() if name.startswith("immediate")),
        "unanswered": measured["count"].get("unanswered", 0),
        "unsafe_twice": measured["unsafe_twice"],
        "p50_added_ms": measured["p50_ms"],
        "p99_added_ms": measured["p99_ms"],
        "worst_added_ms": measured["worst_ms"],
        "floor_p50_ms": floor["p50_ms"],
        "floor_p99_ms": floor["p99_ms"],
        "us_cpu_request": measured["us_cpu_request"],
        "floor_us_cpu_request": floor["us_cpu_request"],
        "mb_worker": measured["mb_worker"],
    }
    if not options.short:
        result["knee"] = max_sustained_rate(options)
    print(json.dumps(result))


def max_sustained_rate(options: argparse.Namespace) -> float:
    """Returns the highest rate, in steps of a quarter, at which p99 stays under 1 ms."""
    rate, best = 500.0, 0.0
    while rate < 20000.0:
        measured = measure(False, options, rate, 6.0, options.vanish)
        print(
            f"at {rate:.0f}: p99 {measured['p99_ms']} ms, {measured['us_cpu_request']} us of CPU per request"
        )
        if measured["p99_ms"] >= 1.0:
            break
        best, rate = rate, rate * 1.25
    return best


if __name__ == "__main__":
    main()
