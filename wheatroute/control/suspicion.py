"""Which servers several edge nodes suspect; a state machine without I/O.

An edge node suspects a server that answers none of its requests. One node's word is not enough, as the fault
may lie with that node or its link; two are believed, and one where a heartbeat is late, unless the server's
heartbeats contradict them.
"""

from __future__ import annotations

from collections import defaultdict

BELIEVED_FROM = 2  # nodes that must suspect a server, or all nodes where there are fewer
WORD_VALID = 1.5  # seconds for which a node's word counts, unless it is told again
LATE_BEATS = 1.3  # heartbeats missing from which one node's word is enough


class Suspicions:
    """By server, which nodes have told of its silence; times are of the steady clock, in seconds."""

    def __init__(self, heartbeat_s: float) -> None:
        self.expect_heartbeats(heartbeat_s)
        # by server and node: when it was told, and when the request was sent that has no answer
        self._told: dict[str, dict[str, tuple[float, float]]] = defaultdict(dict)

    def expect_heartbeats(self, heartbeat_s: float) -> None:
        """Servers send a heartbeat so often, in seconds."""
        self._late_s = LATE_BEATS * heartbeat_s

    def told(self, now: float, node: str, silent_for: dict[str, float]) -> None:
        """A node's report: for how long each server that it suspects has been silent; all others are well."""
        for server in [server for server, nodes in self._told.items() if node in nodes]:
            del self._told[server][node]
            if not self._told[server]:
                del self._told[server]
        for server, seconds in silent_for.items():
            self._told[server][node] = (now, now - seconds)

    def believed(self, now: float, server: str, heard: float, nodes: int) -> bool:
        """Whether enough of the `nodes` that there are get no answer of a server that was `heard` last then.

        A heartbeat since a request was sent contradicts that node: it is its path that is broken.
        """
        words = self._told.get(server, {}).values()
        standing = [sent for told, sent in words if now - told <= WORD_VALID and sent > heard]
        late = now - heard > self._late_s
        return len(standing) >= (1 if late else min(BELIEVED_FROM, max(1, nodes)))
