"""Identities of control nodes: `ADDRESS/NONCE`. No I/O.

The nonce is drawn at random when a node's disk is first written, so a machine that lost its disk returns as a
different node: it has no vote and no membership until a view names it, and no promise of the earlier node
binds it.
"""

from __future__ import annotations

GENESIS_NONCE = "0"  # nonce of every seed at the first start of the whole system


def host_of(identity: str) -> str:
    """Returns the address of a node."""
    return identity.partition("/")[0]


def genesis_identity(host: str) -> str:
    """Returns the identity of a seed at the first start of the whole system."""
    return f"{host}/{GENESIS_NONCE}"
