"""`python -m wheatroute`: one real node. Owns its start, its signals and its exit status, nothing else.

SIGTERM and SIGINT stop it once all that was taken is answered; SIGHUP has it read the file again, also while
it stops. A signal to stop that comes before anything listens, or once more, is heeded as the first one is.

Exit status: 0 after SIGTERM or SIGINT, 1 if it cannot listen, 2 if what it was told at start is no use.
"""

import gc
import os
import signal
import sys
from collections.abc import Sequence
from typing import Any

import trio

from wheatroute.net import boot as boot_data
from wheatroute.net.clients import Clients
from wheatroute.net.discovery import Discovery
from wheatroute.net.log import open_log
from wheatroute.net.peers import Peers
from wheatroute.net.rounds import Rounds
from wheatroute.net.servers import Servers
from wheatroute.net.signals import heed, heeded, note_early

CLIENTS_SHARE = 0.55  # of the connections: a request has its client's, and while it is sent a server's


async def serve_node(boot: dict[str, Any], log: Any, early: Sequence[int] = ()) -> None:
    """Runs until SIGTERM or SIGINT and all that was taken is answered; `early` are those that came before."""
    # open before anything listens: a signal in between would end the process with clients in its queue
    with heeded() as signals:
        if early:
            log.info("stopped", signal=signal.Signals(early[0]).name)
            return
        await _serve(boot, log, signals)


async def _serve(boot: dict[str, Any], log: Any, signals: Any) -> None:
    most = boot["descriptors"]
    rounds = Rounds(boot["terms"], boot["seed"], log)
    servers = Servers(boot["terms"], most - int(most * CLIENTS_SHARE), boot["longest_answer"], rounds, log)
    rounds.servers = servers
    if boot["followed"]:
        from wheatroute.etcd.discovery import (
            EtcdDiscovery,  # off unless the file names etcd in the list's place
        )

        discovery: Discovery = EtcdDiscovery(boot, rounds, servers, log)
    elif boot["agreement"]:
        from wheatroute.agreement.steady import SteadyList

        discovery = SteadyList(boot, rounds, servers, log)
    else:
        discovery = Discovery(boot, rounds, servers, log)
    rounds.discovery = discovery
    peers = rounds.peers = Peers(boot["peers"], rounds, discovery, log) if boot["peers"] else None
    clients = Clients(boot, int(most * CLIENTS_SHARE), rounds, discovery, log)
    following = None
    if boot["agreement"]:
        from wheatroute.agreement import node as agreement  # off unless the file names a place for versions

        following = agreement.follow(boot, rounds, servers, clients, discovery, log)
    telling = None
    if boot["rollout"]:
        from wheatroute.rollout.telling import Telling  # off unless the file names a place for rollouts

        telling = Telling(boot, clients, servers, discovery, following, log)
    trio.lowlevel.add_instrument(rounds.passes)
    async with trio.open_nursery() as nursery:
        for task in (
            servers.run,
            discovery.run,
            rounds.run,
            *([peers.run] if peers else []),
            *([following.run] if following else []),
            *([telling.run] if telling else []),
        ):
            nursery.start_soon(task)
        nursery.start_soon(heed, signals, clients.stop, lambda: _read_anew(boot, discovery, log), log)
        log.info("listening", descriptors=most)
        await clients.run()
        servers.shut_all()
        if boot["followed"]:
            await discovery.leave()
        if following:
            await following.leave()
        log.info("stopped")
        nursery.cancel_scope.cancel()


def _read_anew(boot: dict[str, Any], discovery: Discovery, log: Any) -> None:
    """Takes from the file what a running node can change; a file of no use changes nothing."""
    try:
        told = boot_data.read_anew(os.environ)
    except boot_data.BootError as trouble:
        log.warning("not-reloaded", trouble=str(trouble))
        return
    kept = ",".join(name for name in boot_data.FIXED if told[name] != boot[name])
    log.info("reloaded", list="{}:{}".format(*told["discovery"]), **{"until_restart": kept} if kept else {})
    discovery.move(told["discovery"])


def main() -> int:
    early = note_early()
    try:
        boot = boot_data.read(os.environ)
    except boot_data.BootError as trouble:
        print(f"wheatroute: {trouble}", file=sys.stderr)
        return 2
    log = open_log(boot["name"])
    gc.freeze()  # what is loaded by now stays for good
    gc.set_threshold(10000, 20, 50)  # little that is made for a request refers back to itself
    try:
        trio.run(serve_node, boot, log, early)
    except OSError as trouble:
        print(f"wheatroute: {trouble}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
