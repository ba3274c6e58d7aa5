"""The external processor and a stand-in proxy that asks it, on loopback: `make demo` shows it after the node.

Starts both, asks forty requests, prints where they were sent and what was refused, and stops both.
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
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    text = (ROOT / "deploy" / "processor.toml").read_text().replace("127.0.0.1:9002", f"127.0.0.1:{port}")
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        line = [sys.executable, "-m", "wheatroute.cli", "processor", file.name]
        processor = subprocess.Popen(line, cwd=ROOT)
        try:
            _wait_for(port)
            print("a proxy asks, and repeats some requests whose end it never told:", flush=True)
            asked = [f"127.0.0.1:{port}", "--rate", "20", "--seconds", "2", "--vanish", "0.2"]
            subprocess.run([sys.executable, "-m", "wheatroute.standin.proxy", *asked], cwd=ROOT, check=True)
        finally:
            processor.send_signal(signal.SIGTERM)
            processor.wait(10)


def _wait_for(port: int) -> None:
    end = time.monotonic() + 10
    while time.monotonic() < end:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            time.sleep(0.05)
    raise SystemExit("the processor does not listen")


if __name__ == "__main__":
    main()
