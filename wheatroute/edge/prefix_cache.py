"""Which prefix blocks the servers should still have in their KV caches, by this node's own requests.

Bounded, without I/O. Servers do not report what they cache; the index assumes that a block stays cached for a
fixed time after its last use.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from wheatroute.edge.prompt_headers import PrefixBlock

MAX_ENTRIES = 20000  # the least recently used ones are dropped beyond it


class PrefixCacheIndex:
    """Time of the last use of each block at each server."""

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._last_used: OrderedDict[tuple[str, str], float] = OrderedDict()  # by server id and block id

    def set_ttl(self, ttl_s: float) -> None:
        """Change for how many seconds after its last use a block counts as cached."""
        self._ttl_s = ttl_s

    def record_use(self, server_id: str, blocks: Iterable[PrefixBlock], now: float) -> None:
        """Record that a server has answered a request whose prompt has these blocks."""
        for block in blocks:
            key = (server_id, block.id)
            self._last_used[key] = now
            self._last_used.move_to_end(key)
        while len(self._last_used) > MAX_ENTRIES:
            self._last_used.popitem(last=False)

    def uncached_tokens(self, server_id: str, blocks: tuple[PrefixBlock, ...], now: float) -> int:
        """Return the tokens that a server has to prefill: those from the first block on that isn't cached."""
        for index, block in enumerate(blocks):
            last_used = self._last_used.get((server_id, block.id))
            if last_used is None or now - last_used > self._ttl_s:
                return sum(later.tokens for later in blocks[index:])
        return 0


class PreferredServers:
    """The server that was ranked first when a prefix key was last drawn."""

    def __init__(self) -> None:
        self._server_ids: OrderedDict[str, str] = OrderedDict()  # by prefix key

    def record(self, key: str, server_id: str) -> None:
        """Record the server that ranks first for a key."""
        self._server_ids[key] = server_id
        self._server_ids.move_to_end(key)
        if len(self._server_ids) > MAX_ENTRIES:
            self._server_ids.popitem(last=False)

    def is_preferred(self, key: str | None, server_id: str) -> bool:
        """Whether a server ranked first for a key; false without a key."""
        return key is not None and self._server_ids.get(key) == server_id
