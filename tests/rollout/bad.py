"""The program made bad on purpose: `python bad.py HOW` starts a node that does worse in one way."""

import os
import random
import sys
import threading

import trio

from wheatroute import __main__ as node
from wheatroute.net.clients import Clients
from wheatroute.net.exchange import Answer
from wheatroute.net.rounds import Rounds

CHANCE = random.Random(1)


def refuses(share):
    """Some requests are refused that need not be."""
    arrived = Rounds.arrived

    def instead(self, exchange):
        if CHANCE.random() < share:
            exchange.settle(Answer(503, stay_away=0.1))
        else:
            arrived(self, exchange)

    Rounds.arrived = instead


def loses(share):
    """Some requests are never answered, and the node does not know."""
    settled = Clients._settled

    def instead(self, client):
        if CHANCE.random() >= share:
            settled(self, client)

    Clients._settled = instead


def late(seconds):
    """All answers take longer."""
    settled = Clients._settled

    async def after(self, client):
        await trio.sleep(seconds)
        if client.exchange is not None:
            settled(self, client)

    Clients._settled = lambda self, client: self._nursery.start_soon(after, self, client)


def unready():
    """It serves and never confirms anything."""
    from wheatroute.rollout.telling import Telling

    row = Telling.row
    Telling.row = lambda self: row(self) | {"ready": False}


HOW = {
    "dies": lambda: sys.exit(3),
    "dies later": lambda: threading.Timer(2.5, os._exit, (4,)).start(),
    "refuses": lambda: refuses(0.1),
    "loses": lambda: loses(0.02),
    "late": lambda: late(0.05),
    "unready": unready,
}

if __name__ == "__main__":
    HOW[sys.argv[1]]()
    sys.exit(node.main())
