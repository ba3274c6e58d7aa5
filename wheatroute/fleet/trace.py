"""Trace of one client request through all nodes. Tracing doesn't change the events of a run. No I/O."""

from __future__ import annotations

from wheatroute.fleet.engine import Engine
from wheatroute.fleet.requests import NodeRequest

NO_REQUEST = -1


class RequestTrace:
    """Collects lines about the client request with the index `request_index`; NO_REQUEST traces none."""

    def __init__(self, engine: Engine) -> None:
        self.request_index = NO_REQUEST
        self.lines: list[str] = []
        self._engine = engine
        self._start = engine.now

    def follows(self, request: NodeRequest) -> bool:
        """Returns whether the request is traced.

        Callers check this before they build a line, because building one takes time.
        """
        return request.client_request.index == self.request_index

    def add(self, node_name: str, depth: int, request: NodeRequest, text: str) -> None:
        """Adds a line with the time since the run's start in seconds, indented by the node's depth."""
        elapsed_s = self._engine.now - self._start
        indent = "  " * depth
        self.lines.append(f"{elapsed_s:9.3f} s  {indent}{node_name}, request {request.number}: {text}")
