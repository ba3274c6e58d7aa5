"""Trace of one client request through all nodes. A run has the same events with and without it. No I/O."""

from __future__ import annotations

from wheatroute.fleet.engine import Engine
from wheatroute.fleet.requests import NodeRequest

NO_REQUEST = -1


class RequestTrace:
    """Lines about one client request; `request_index` is NO_REQUEST where none is traced."""

    def __init__(self, engine: Engine) -> None:
        self.request_index = NO_REQUEST
        self.lines: list[str] = []
        self._engine = engine
        self._start = engine.now

    def follows(self, request: NodeRequest) -> bool:
        """Whether this request is traced; asked before a line is made, as lines cost time."""
        return request.client_request.index == self.request_index

    def add(self, node_name: str, depth: int, request: NodeRequest, text: str) -> None:
        """Adds a line with the seconds since the run's start, indented by the node's depth."""
        elapsed_s = self._engine.now - self._start
        indent = "  " * depth
        self.lines.append(f"{elapsed_s:9.3f} s  {indent}{node_name}, request {request.number}: {text}")
