"""Estimates which prefix blocks servers have in their KV caches, from this node's own requests. No I/O.

Servers do not report what they cache, so the index assumes that a block stays cached for a fixed time after
its last use. The number of entries is bounded.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from wheatroute.edge.prompt_headers import PrefixBlock

MAX_ENTRIES = 20000  # beyond this, the least recently used entries are dropped


class PrefixCacheIndex:
    """Records when each block was last used at each server.

    A block counts as cached for `ttl_s` seconds after its last use.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        # Time of the last use, keyed by server id and block id, least recently used first.
        self._last_used: OrderedDict[tuple[str, str], float] = OrderedDict()

    def set_ttl(self, ttl_s: float) -> None:
        """Changes the time in seconds for which a block counts as cached after its last use."""
        self._ttl_s = ttl_s

    def record_use(self, server_id: str, blocks: Iterable[PrefixBlock], now: float) -> None:
        """Records that a server has answered a request whose prompt has these blocks."""
        for block in blocks:
            key = (server_id, block.id)
            self._last_used[key] = now
            self._last_used.move_to_end(key)
        while len(self._last_used) > MAX_ENTRIES:
            self._last_used.popitem(last=False)

    def uncached_tokens(self, server_id: str, blocks: tuple[PrefixBlock, ...], now: float) -> int:
        """Returns the tokens to prefill at a server: those of the first uncached and of all later blocks."""
        for index, block in enumerate(blocks):
            last_used = self._last_used.get((server_id, block.id))
            if last_used is None or now - last_used > self._ttl_s:
                return sum(later.tokens for later in blocks[index:])
        return 0


class PreferredServers:
    """Remembers, for each prefix key, which server was ranked first by the last draw (see `selection`)."""

    def __init__(self) -> None:
        self._server_ids: OrderedDict[str, str] = OrderedDict()  # keyed by prefix key

    def record(self, key: str, server_id: str) -> None:
        """Records the server that ranks first for a key."""
        self._server_ids[key] = server_id
        self._server_ids.move_to_end(key)
        if len(self._server_ids) > MAX_ENTRIES:
            self._server_ids.popitem(last=False)

    def is_preferred(self, key: str | None, server_id: str) -> bool:
        """Returns whether a server was ranked first for a key; False without a key."""
        return key is not None and self._server_ids.get(key) == server_id
