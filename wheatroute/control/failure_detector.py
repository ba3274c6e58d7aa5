"""A failure detector for servers, based on the reports of edge nodes. A state machine without I/O.

An edge node reports a server that responds to none of its requests. One report is not sufficient, since the
fault may be in that node or its link. A server is suspected once two nodes report it, or one node if the
server's heartbeat is late; a heartbeat that arrived after the unanswered request was sent refutes the report.

All times are in seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import defaultdict

import msgspec

REPORTING_NODES = 2  # number of edge nodes that must report a server; all of them if there are fewer
REPORT_VALID_S = 1.5  # time after which a report expires unless it is repeated
LATE_HEARTBEATS = 1.3  # heartbeat intervals without a heartbeat, after which one report is sufficient


class UnresponsiveReport(msgspec.Struct, frozen=True):
    """A report that a server doesn't respond: its arrival time, and when the unanswered request was sent."""

    received_at: float
    request_sent_at: float


class FailureDetector:
    """Decides which servers are suspected to have failed, from the reports of all edge nodes."""

    def __init__(self, heartbeat_s: float) -> None:
        self.expect_heartbeats(heartbeat_s)
        # server -> edge node -> its newest report
        self._reports: dict[str, dict[str, UnresponsiveReport]] = defaultdict(dict)

    def expect_heartbeats(self, heartbeat_s: float) -> None:
        """Sets the interval at which servers send heartbeats, in seconds."""
        self._late_after_s = LATE_HEARTBEATS * heartbeat_s

    def report(self, now: float, node: str, unresponsive_for: dict[str, float]) -> None:
        """Records a node's report, which replaces its earlier one.

        `unresponsive_for` maps each unresponsive server to the seconds without a response; all other servers
        respond to the node.
        """
        for server in [server for server, nodes in self._reports.items() if node in nodes]:
            del self._reports[server][node]
            if not self._reports[server]:
                del self._reports[server]
        for server, seconds in unresponsive_for.items():
            self._reports[server][node] = UnresponsiveReport(now, now - seconds)

    def is_suspected(self, now: float, server: str, last_heartbeat: float, node_count: int) -> bool:
        """Whether enough of `node_count` edge nodes report a server, given the time of its last heartbeat."""
        supporting = sum(
            now - report.received_at <= REPORT_VALID_S and report.request_sent_at > last_heartbeat
            for report in self._reports.get(server, {}).values()
        )
        is_late = now - last_heartbeat > self._late_after_s
        return supporting >= (1 if is_late else min(REPORTING_NODES, max(1, node_count)))
