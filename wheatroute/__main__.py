"""`python -m wheatroute`: one real node. Owns its start, its signals and its exit status, nothing else.

Exit status: 0 after SIGTERM or SIGINT, 1 if it cannot listen, 2 if what it was told at start is no use.
"""

import gc
import os
import signal
import sys
from typing import Any

import trio

from wheatroute.net import boot as boot_data
from wheatroute.net.callers import Callers
from wheatroute.net.discovery import Discovery
from wheatroute.net.log import open_log
from wheatroute.net.rounds import Rounds
from wheatroute.net.servers import Servers

CALLERS_SHARE = 0.55  # of the connections: a command has its caller's, and while it is relayed a server's


async def serve_node(boot: dict[str, Any], log: Any) -> None:
    """Runs until SIGTERM or SIGINT and all that was taken is answered."""
    most = boot["descriptors"]
    rounds = Rounds(boot["terms"], boot["seed"], log)
    servers = Servers(boot["terms"], most - int(most * CALLERS_SHARE), rounds, log)
    rounds.servers = servers
    rounds.discovery = discovery = Discovery(boot, rounds, servers, log)
    callers = Callers(boot, int(most * CALLERS_SHARE), rounds, discovery, log)
    trio.lowlevel.add_instrument(rounds.passes)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            for task in (servers.run, discovery.run, rounds.run):
                nursery.start_soon(task)
            nursery.start_soon(_stop_when_told, signals, callers, log)
            log.info("listening", descriptors=most)
            await callers.run()
            servers.shut_all()
            log.info("stopped")
            nursery.cancel_scope.cancel()


async def _stop_when_told(signals: Any, callers: Callers, log: Any) -> None:
    async for number in signals:
        log.info("stopping", signal=signal.Signals(number).name)
        await callers.stop()
        return


def main() -> int:
    try:
        boot = boot_data.read(os.environ)
    except boot_data.BootError as trouble:
        print(f"wheatroute: {trouble}", file=sys.stderr)
        return 2
    log = open_log(boot["name"])
    gc.freeze()  # what is loaded by now stays for good
    gc.set_threshold(10000, 20, 50)  # little that is made for a command refers back to itself
    try:
        trio.run(serve_node, boot, log)
    except OSError as trouble:
        print(f"wheatroute: {trouble}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
