"""The live edge nodes and the load that they put on servers. A state machine without I/O.

Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import defaultdict

from wheatroute.cluster.messages import ServerLoad, UsageReport

NODE_LOST_S = 3.0  # time without contact, after which an edge node is lost and no longer counted
NODE_UNRESPONSIVE_S = 1.5  # time without contact, after which a node may be isolated and use its local quotas
NODE_FORGOTTEN_S = 20.0  # time without contact, after which a lost node is assumed to have shut down


class EdgeNodes:
    """Tracks the edge nodes in contact with this primary, and their load on each server.

    A new primary has had contact with few of them. Until it has listened for `NODE_LOST_S`, it counts at
    least `previous_count` nodes, the number that the previous primary counted.
    """

    def __init__(self, now: float = 0.0, previous_count: int = 0) -> None:
        self._started_at = now
        self._previous_count = previous_count
        self._last_contact: dict[str, float] = {}  # time of the last contact of each node that counts
        self._lost: dict[str, float] = {}  # time of the last contact of each lost node
        self._ever_seen: set[str] = set()
        self._ever_reported: set[str] = set()  # nodes whose demand is known
        self._loads: dict[str, dict[str, ServerLoad]] = {}  # node -> server -> load

    def record_contact(self, now: float, node: str) -> None:
        """Records that a message from an edge node arrived."""
        self._last_contact[node] = now
        self._ever_seen.add(node)
        self._lost.pop(node, None)

    def count(self, now: float) -> int:
        """The number of edge nodes, at least 1; marks nodes without contact for `NODE_LOST_S` as lost."""
        for node in [node for node, last in self._last_contact.items() if now - last > NODE_LOST_S]:
            self._lost[node] = self._last_contact.pop(node)
            self._loads.pop(node, None)
        previous = self._previous_count if now - self._started_at < NODE_LOST_S else 0
        return max(1, len(self._last_contact), previous)

    def unresponsive(self, now: float) -> dict[str, float]:
        """Returns the nodes that may be isolated, each with the time of its last contact.

        That was `NODE_UNRESPONSIVE_S` to `NODE_FORGOTTEN_S` ago.
        """
        self._lost = {node: last for node, last in self._lost.items() if now - last < NODE_FORGOTTEN_S}
        late = {node: last for node, last in self._last_contact.items() if now - last > NODE_UNRESPONSIVE_S}
        return self._lost | late

    def missing_fraction(self, now: float) -> float:
        """The fraction of the previously counted nodes that have not contacted this primary.

        0 if their number is unknown, until this primary has listened for `NODE_UNRESPONSIVE_S`, and again
        after `NODE_FORGOTTEN_S`.
        """
        if not self._previous_count or not NODE_UNRESPONSIVE_S < now - self._started_at < NODE_FORGOTTEN_S:
            return 0.0
        return max(0.0, 1.0 - len(self._ever_seen) / self._previous_count)

    def known_fraction(self, now: float) -> float:
        """The fraction of the previously counted nodes whose demand this primary knows.

        1 if their number is unknown, or once this primary has listened for `NODE_LOST_S`.
        """
        if not self._previous_count or now - self._started_at >= NODE_LOST_S:
            return 1.0
        return min(1.0, max(1, len(self._ever_reported)) / self._previous_count)

    def report(self, now: float, report: UsageReport) -> None:
        """Records the contact and the load from a node's report."""
        self.record_contact(now, report.node)
        self._ever_reported.add(report.node)
        if report.servers is not None:
            self._loads[report.node] = report.servers

    def load_elsewhere(self, node: str) -> dict[str, ServerLoad]:
        """The total load of all other nodes on each server."""
        tokens: dict[str, int] = defaultdict(int)
        running: dict[str, int] = defaultdict(int)
        for other, servers in self._loads.items():
            for server, load in servers.items() if other != node else ():
                tokens[server] += load.queued_prompt_tokens
                running[server] += load.running_requests
        return {server: ServerLoad(tokens[server], running[server]) for server in running}
