"""Which edge nodes there are, and what they have at servers; a state machine without I/O."""

from __future__ import annotations

from collections import defaultdict

from wheatroute.cluster.messages import ServerLoad, UsageReport

NODE_LOST = 3.0  # seconds of silence after which an edge node no longer counts


class EdgeNodes:
    """The edge nodes that were heard of late, and what they have at servers.

    A primary that has just begun has heard few of them: until it has listened long enough there are at least
    as many as the one before had counted.
    """

    def __init__(self, now: float = 0.0, counted_before: int = 0) -> None:
        self._settled_at = now + NODE_LOST
        self._counted_before = counted_before
        self._heard: dict[str, float] = {}
        self._servers: dict[str, dict[str, ServerLoad]] = {}

    def heard(self, now: float, node: str) -> None:
        """An edge node is there."""
        self._heard[node] = now

    def count(self, now: float) -> int:
        """How many there are."""
        for node in [node for node, heard in self._heard.items() if now - heard > NODE_LOST]:
            del self._heard[node]
            self._servers.pop(node, None)
        before = self._counted_before if now < self._settled_at else 0
        return max(1, len(self._heard), before)

    def report(self, now: float, report: UsageReport) -> None:
        """Takes in what a node has at servers."""
        self.heard(now, report.node)
        if report.servers is not None:
            self._servers[report.node] = report.servers

    def elsewhere(self, node: str) -> dict[str, ServerLoad]:
        """What all other nodes have at each server."""
        tokens: dict[str, int] = defaultdict(int)
        running: dict[str, int] = defaultdict(int)
        for other, servers in self._servers.items():
            for server, load in servers.items() if other != node else ():
                tokens[server] += load.waiting_tokens
                running[server] += load.running
        return {server: ServerLoad(tokens[server], running[server]) for server in running}
