"""The program made bad on purpose: `python faulty_node.py HOW` starts a node that does worse in one way."""

import os
import random
import sys
import threading

import trio

from wheatroute import __main__ as node
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.exchange import Response
from wheatroute.net.request_handler import RequestHandler

CHANCE = random.Random(1)


def refuses(share):
    """Some requests are refused that need not be."""
    add_request = BalancerDriver.add_request

    def instead(self, exchange):
        if CHANCE.random() < share:
            exchange.complete(Response(503, retry_after_s=0.1))
        else:
            add_request(self, exchange)

    BalancerDriver.add_request = instead


def loses(share):
    """Some requests are never answered, and the node does not know."""
    respond = RequestHandler._respond

    def instead(self, client):
        if CHANCE.random() >= share:
            respond(self, client)

    RequestHandler._respond = instead


def late(seconds):
    """All answers take longer."""
    respond = RequestHandler._respond

    async def after(self, client):
        await trio.sleep(seconds)
        if client.exchange is not None:
            respond(self, client)

    RequestHandler._respond = lambda self, client: self.writer.nursery.start_soon(after, self, client)


def unready():
    """It serves and never confirms anything."""
    from wheatroute.rollout.figures_reporter import FiguresReporter

    next_status = FiguresReporter.next_status
    FiguresReporter.next_status = lambda self: next_status(self) | {"ready": False}


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
