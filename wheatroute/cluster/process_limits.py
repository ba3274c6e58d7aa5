"""How the memory and the descriptors of a process are divided among what it holds for its clients.

A process is ended if it exceeds `memory_mb`, and can't open a connection beyond `max_fds`. So both are
divided here, and every part has a fixed upper bound. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from wheatroute.cluster.memory_budget import MEBIBYTE
from wheatroute.cluster.settings import Limits

PROGRAM_BYTES = 64 * MEBIBYTE  # the program itself, without clients
MIN_CLIENT_BYTES = 16 * MEBIBYTE  # memory for clients on machines that are too small for both
CONNECTION_BYTES = 32768  # an open connection with its task and parser, without what it has read
# Parts of the memory for clients: for their connections, and for what they have sent or are to receive. The
# rest is for copies that are made while that is parsed, decoded or sent on.
CONNECTIONS_FRACTION = 0.375
DATA_FRACTION = 0.375
# Registered servers are kept several times: encoded for other control nodes and for edge nodes, too.
REGISTRY_FRACTION = 0.0625
FILE_DESCRIPTORS = 200  # descriptors that the platform keeps for files
OTHER_SOCKETS = 48  # listeners, the readiness probe's connections, and those to control nodes
MIN_CONNECTIONS = 64
CALLERS_FRACTION = 0.4  # part of a control node's connections for servers and operators
EDGE_NODES_FRACTION = 0.45
# Connections that an asyncio listener accepts before those that are too many are closed.
ACCEPT_BURST = 16
SERVER_CONNECTIONS_FRACTION = 0.45  # part of an edge node's connections that may go to servers


def client_bytes(limits: Limits) -> int:
    """Returns the memory for clients' connections and data."""
    return max(MIN_CLIENT_BYTES, limits.memory_mb * MEBIBYTE - PROGRAM_BYTES)


def data_bytes(limits: Limits) -> int:
    """Returns the memory for what clients send and receive: bodies, heads and responses."""
    return int(DATA_FRACTION * client_bytes(limits))


def max_registry_bytes(limits: Limits) -> int:
    """Returns the memory for the servers that have registered."""
    return int(REGISTRY_FRACTION * data_bytes(limits))


def connections_in_memory(limits: Limits) -> int:
    """Returns the number of connections for which there is memory."""
    return int(CONNECTIONS_FRACTION * client_bytes(limits)) // CONNECTION_BYTES


@dataclass(frozen=True)
class EdgeConnectionLimits:
    """The largest numbers of connections of an edge node."""

    clients: int
    servers: int


@dataclass(frozen=True)
class ControlConnectionLimits:
    """The largest numbers of connections that a control node accepts at each of its addresses."""

    callers: int  # servers and operators
    edge_nodes: int
    control_nodes: int


def control_connections(limits: Limits) -> ControlConnectionLimits:
    """Divides the sockets of a control node among its addresses."""
    sockets = max(MIN_CONNECTIONS, limits.max_fds - FILE_DESCRIPTORS - OTHER_SOCKETS)
    connections = min(sockets, connections_in_memory(limits))
    callers = int(CALLERS_FRACTION * connections)
    edge_nodes = int(EDGE_NODES_FRACTION * connections)
    return ControlConnectionLimits(callers, edge_nodes, connections - callers - edge_nodes)


def edge_connections(limits: Limits) -> EdgeConnectionLimits:
    """Divides the sockets of an edge node between clients and servers."""
    sockets = max(MIN_CONNECTIONS, limits.max_fds - FILE_DESCRIPTORS - OTHER_SOCKETS)
    servers = int(SERVER_CONNECTIONS_FRACTION * sockets)
    return EdgeConnectionLimits(min(sockets - servers, connections_in_memory(limits)), servers)
