"""Starts the toy servers and a node in front of them, sends ten requests through the node and stops it."""

import http.client
import os
import subprocess
import sys
import time
from pathlib import Path

import toy_server

HERE = Path(__file__).parent


def wait_until_up(address: str, node: subprocess.Popen) -> None:
    """Waits until the node reports that it is up; exits if its process has ended."""
    while node.poll() is None:
        client = http.client.HTTPConnection(address, timeout=1)
        try:
            client.request("GET", "/up")
            if client.getresponse().status == 200:
                return
        except OSError:
            time.sleep(0.05)
        finally:
            client.close()
    sys.exit("the node did not start: is another process using its port?")


def main() -> None:
    toy_server.start(slow=0.1)
    node = subprocess.Popen(
        [sys.executable, "-m", "wheatroute"],
        cwd=HERE.parent,
        env=os.environ | {"PROXY_CONFIG": str(HERE / "node.json")},
    )
    try:
        wait_until_up(toy_server.NODE["listen"], node)
        client = http.client.HTTPConnection(toy_server.NODE["listen"], timeout=5)
        for number in range(10):
            client.request(
                "GET",
                f"/look/{number}",
                headers={"Request-Id": f"{number:016x}", "Tenant": "a-shop", "Request-Timeout": "2000m"},
            )
            response = client.getresponse()
            print(response.status, response.read().decode().strip(), flush=True)
        client.close()
    finally:
        node.terminate()
        print("node ended with status", node.wait())


if __name__ == "__main__":
    main()
