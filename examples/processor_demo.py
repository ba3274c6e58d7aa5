"""Runs the external processor and a stand-in proxy on loopback; part of `make demo`.

Starts both, sends forty requests, prints where they were routed and what was rejected, and stops both.
"""

import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def main() -> None:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    text = (ROOT / "deploy" / "processor.toml").read_text().replace("127.0.0.1:9002", f"127.0.0.1:{port}")
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        command = [sys.executable, "-m", "wheatroute.cli", "processor", file.name]
        processor = subprocess.Popen(command, cwd=ROOT)
        try:
            _wait_until_listening(port)
            print("a proxy sends requests, and repeats some whose end it did not report:", flush=True)
            arguments = [f"127.0.0.1:{port}", "--rate", "20", "--seconds", "2", "--vanish", "0.2"]
            subprocess.run(
                [sys.executable, "-m", "wheatroute.standin.proxy", *arguments], cwd=ROOT, check=True
            )
        finally:
            processor.send_signal(signal.SIGTERM)
            processor.wait(10)


def _wait_until_listening(port: int) -> None:
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            time.sleep(0.05)
    raise SystemExit("the processor does not accept connections")


if __name__ == "__main__":
    main()
