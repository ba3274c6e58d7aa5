"""Which edge nodes there are, and what they have at servers; a state machine without I/O."""

from __future__ import annotations

from collections import defaultdict

from wheatroute.cluster.messages import ServerLoad, UsageReport

NODE_LOST = 3.0  # seconds of silence after which an edge node no longer counts
NODE_SILENT = 1.5  # seconds after which one may be there and live on its own parts of the quotas
NODE_FORGOTTEN = 20.0  # seconds after which one is taken to be gone


class EdgeNodes:
    """The edge nodes that were heard of late, and what they have at servers.

    A primary that has just begun has heard few of them: until it has listened long enough there are at least
    as many as the one before had counted.
    """

    def __init__(self, now: float = 0.0, counted_before: int = 0) -> None:
        self._began = now
        self._counted_before = counted_before
        self._silent: dict[str, float] = {}  # nodes that are lost, and when they were heard last
        self._known: set[str] = set()  # all that were ever heard
        self._reported: set[str] = set()  # all that ever told what they need
        self._heard: dict[str, float] = {}
        self._servers: dict[str, dict[str, ServerLoad]] = {}

    def heard(self, now: float, node: str) -> None:
        """An edge node is there."""
        self._heard[node] = now
        self._known.add(node)
        self._silent.pop(node, None)

    def count(self, now: float) -> int:
        """How many there are."""
        for node in [node for node, heard in self._heard.items() if now - heard > NODE_LOST]:
            self._silent[node] = self._heard.pop(node)
            self._servers.pop(node, None)
        before = self._counted_before if now - self._began < NODE_LOST else 0
        return max(1, len(self._heard), before)

    def silent(self, now: float) -> dict[str, float]:
        """Nodes that were heard, but not of late: by name, when they were heard last."""
        self._silent = {node: heard for node, heard in self._silent.items() if now - heard < NODE_FORGOTTEN}
        late = {node: heard for node, heard in self._heard.items() if now - heard > NODE_SILENT}
        return self._silent | late

    def missing(self, now: float) -> float:
        """The part of the nodes counted before that this primary, though it has listened, never heard."""
        if not self._counted_before or not NODE_SILENT < now - self._began < NODE_FORGOTTEN:
            return 0.0
        return max(0.0, 1.0 - len(self._known) / self._counted_before)

    def known(self, now: float) -> float:
        """The part of all nodes whose needs this primary knows, until it has listened long enough."""
        if not self._counted_before or now - self._began >= NODE_LOST:
            return 1.0
        return min(1.0, max(1, len(self._reported)) / self._counted_before)

    def report(self, now: float, report: UsageReport) -> None:
        """Takes in what a node has at servers."""
        self.heard(now, report.node)
        self._reported.add(report.node)
        if report.servers is not None:
            self._servers[report.node] = report.servers

    def elsewhere(self, node: str) -> dict[str, ServerLoad]:
        """What all other nodes have at each server."""
        tokens: dict[str, int] = defaultdict(int)
        running: dict[str, int] = defaultdict(int)
        for other, servers in self._servers.items():
            for server, load in servers.items() if other != node else ():
                tokens[server] += load.queued_prompt_tokens
                running[server] += load.running_requests
        return {server: ServerLoad(tokens[server], running[server]) for server in running}
