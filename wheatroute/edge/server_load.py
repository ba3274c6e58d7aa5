"""Tracks the load of servers from this node's own attempts and the reports of other nodes. No I/O."""

from __future__ import annotations

from wheatroute.cluster.messages import ServerLoad


class _LocalLoad:
    """Load that this node causes at one server."""

    __slots__ = ("running_requests", "queued_tokens")

    def __init__(self) -> None:
        self.running_requests = 0
        self.queued_tokens = 0.0  # prompt tokens of attempts that have no first token yet


class LoadTracker:
    """Counts running requests and queued prompt tokens by server id."""

    def __init__(self) -> None:
        self._local: dict[str, _LocalLoad] = {}
        self._remote: dict[str, ServerLoad] = {}

    def start(self, server_id: str, tokens: float) -> float:
        """Counts an attempt with this many prompt tokens; returns the tokens then queued at its server."""
        load = self._local.setdefault(server_id, _LocalLoad())
        load.running_requests += 1
        load.queued_tokens += tokens
        return self.queued_tokens(server_id)

    def end_prefill(self, server_id: str, tokens: float) -> None:
        """Removes an attempt's tokens from the queue after its first token or its failure."""
        load = self._local.get(server_id)
        if load is not None:
            load.queued_tokens = max(0.0, load.queued_tokens - tokens)

    def end(self, server_id: str) -> None:
        """Removes an attempt that has ended."""
        load = self._local.get(server_id)
        if load is not None:
            load.running_requests -= 1

    def set_remote(self, loads: dict[str, ServerLoad]) -> None:
        """Replaces the load that all other nodes cause, by server id."""
        self._remote = loads

    def local(self) -> dict[str, ServerLoad]:
        """Returns the load that this node causes, for its report to the primary."""
        return {
            server_id: ServerLoad(round(load.queued_tokens), load.running_requests)
            for server_id, load in self._local.items()
            if load.running_requests
        }

    def running_requests(self, server_id: str) -> int:
        """Returns the number of requests that run at a server, as far as this node knows."""
        local, remote = self._local.get(server_id), self._remote.get(server_id)
        return (local.running_requests if local else 0) + (remote.running_requests if remote else 0)

    def queued_tokens(self, server_id: str) -> float:
        """Returns the prompt tokens that a server has yet to prefill, as far as this node knows."""
        local, remote = self._local.get(server_id), self._remote.get(server_id)
        return (local.queued_tokens if local else 0.0) + (remote.queued_prompt_tokens if remote else 0.0)

    def forget(self, server_id: str) -> None:
        """Drops the load of a server that has left, unless attempts still run there."""
        load = self._local.get(server_id)
        if load is not None and not load.running_requests:
            del self._local[server_id]
