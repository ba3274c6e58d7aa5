"""The edge nodes that exist, and the load that they have at servers. A state machine without I/O.

Times are in seconds of the steady clock.
"""

from __future__ import annotations

from collections import defaultdict

from wheatroute.cluster.messages import ServerLoad, UsageReport

NODE_LOST_S = 3.0  # without contact, after which an edge node is lost and no longer counts
NODE_UNRESPONSIVE_S = 1.5  # without contact, after which a node may be running isolated, on its local quotas
NODE_FORGOTTEN_S = 20.0  # without contact, after which a lost node is taken to have ended


class EdgeNodes:
    """The edge nodes in contact with this primary, and their load at servers.

    A primary that has just begun has contact with few of them. Until it has listened for `NODE_LOST_S`,
    there are at least `previous_count`, which the primary before counted.
    """

    def __init__(self, now: float = 0.0, previous_count: int = 0) -> None:
        self._began = now
        self._previous_count = previous_count
        self._last_contact: dict[str, float] = {}  # of nodes that count
        self._lost: dict[str, float] = {}  # the last contact of nodes that are lost
        self._ever_seen: set[str] = set()
        self._ever_reported: set[str] = set()  # nodes whose demand is known
        self._loads: dict[str, dict[str, ServerLoad]] = {}  # by node and server

    def contact(self, now: float, node: str) -> None:
        """Notes a message of an edge node."""
        self._last_contact[node] = now
        self._ever_seen.add(node)
        self._lost.pop(node, None)

    def count(self, now: float) -> int:
        """The number of edge nodes."""
        for node in [node for node, last in self._last_contact.items() if now - last > NODE_LOST_S]:
            self._lost[node] = self._last_contact.pop(node)
            self._loads.pop(node, None)
        previous = self._previous_count if now - self._began < NODE_LOST_S else 0
        return max(1, len(self._last_contact), previous)

    def unresponsive(self, now: float) -> dict[str, float]:
        """Nodes without recent contact, and when the last one was."""
        self._lost = {node: last for node, last in self._lost.items() if now - last < NODE_FORGOTTEN_S}
        late = {node: last for node, last in self._last_contact.items() if now - last > NODE_UNRESPONSIVE_S}
        return self._lost | late

    def missing_fraction(self, now: float) -> float:
        """The fraction of the nodes counted before that this primary, though it has listened, never saw."""
        if not self._previous_count or not NODE_UNRESPONSIVE_S < now - self._began < NODE_FORGOTTEN_S:
            return 0.0
        return max(0.0, 1.0 - len(self._ever_seen) / self._previous_count)

    def known_fraction(self, now: float) -> float:
        """The fraction of all nodes whose demand is known; 1 once this primary has listened long enough."""
        if not self._previous_count or now - self._began >= NODE_LOST_S:
            return 1.0
        return min(1.0, max(1, len(self._ever_reported)) / self._previous_count)

    def report(self, now: float, report: UsageReport) -> None:
        """Takes the load of a node's report."""
        self.contact(now, report.node)
        self._ever_reported.add(report.node)
        if report.servers is not None:
            self._loads[report.node] = report.servers

    def load_elsewhere(self, node: str) -> dict[str, ServerLoad]:
        """The load of all other nodes, by server."""
        tokens: dict[str, int] = defaultdict(int)
        running: dict[str, int] = defaultdict(int)
        for other, servers in self._loads.items():
            for server, load in servers.items() if other != node else ():
                tokens[server] += load.queued_prompt_tokens
                running[server] += load.running_requests
        return {server: ServerLoad(tokens[server], running[server]) for server in running}
