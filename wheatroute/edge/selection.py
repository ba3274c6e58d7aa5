"""Ranks servers for a request by weighted rendezvous hashing, corrected by the expected wait. No I/O.

A server is drawn with a probability proportional to its weight (`latency_weights.py`). The draw is keyed by
the last shared prefix block of the prompt, so that all nodes draw the same server for the same prefix without
coordination; for a request without prefix blocks the draw is random. Congested servers are moved behind the
others. A server is congested if its expected wait for the first token exceeds the shortest expected wait by
more than a fraction of the latency target. The expected wait counts the prompt tokens that are queued at
the server and those that it would have to prefill again.

Source of weighted rendezvous hashing: C. Schindelhauer, G. Schomaker, "Weighted distributed hash tables",
SPAA 2005.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from math import log
from random import Random

from wheatroute.edge.instances import Server
from wheatroute.edge.latency_weights import LatencyWeights
from wheatroute.edge.prefill import PrefillModel
from wheatroute.edge.prefix_cache import PreferredServers, PrefixCacheIndex
from wheatroute.edge.prompt_headers import PrefixBlock
from wheatroute.edge.server_load import LoadTracker

WARMUP_WEIGHT_FACTOR = 0.5  # multiplies the weight of a server that is warming up
# Fraction of the latency target by which the first token may be later than at the best server.
CONGESTION_THRESHOLD = 0.15
# Cost, in tokens, of one shared prefix token that this node has not sent to a server lately. At the preferred
# server it is below 1, because other nodes' requests have mostly filled the cache already. At other servers
# it is above 1, because a prefill also evicts what they have cached.
PREFERRED_MISS_COST = 0.15
OTHER_MISS_COST = 3.0
# Servers keep blocks for longer than `cache_ttl_s`.
CACHE_TTL_FACTOR = 6.0  # multiple of `cache_ttl_s` for which blocks count as cached
MIN_RESPONSE_TIMEOUT_S = 0.8
RESPONSE_TIMEOUT_FACTOR = 2.0  # multiple of the p95 of the time to first token
MIN_LATENCY_S = 0.001  # lower bound of the expected time to first token, for divisions by it
HASH_RANGE = 2.0**64


class ServerSelector:
    """Ranks the servers of all services by their latency, load, health and cached prefixes.

    `cache_ttl_s` (`bounds.again_s`) is the time in seconds within which a repeated prefill of the same prompt
    is penalized.
    """

    def __init__(self, cache_ttl_s: float, rng: Random, clock: Callable[[], float]) -> None:
        self.prefix_cache = PrefixCacheIndex(CACHE_TTL_FACTOR * cache_ttl_s)
        self.load = LoadTracker()
        # A server whose pending attempts get no response for longer than this is avoided.
        self.response_timeout_s = MIN_RESPONSE_TIMEOUT_S
        self._weights = LatencyWeights()
        self._preferred = PreferredServers()
        self._prefill_models: dict[str, PrefillModel] = {}  # keyed by service name
        self._rng = rng
        self._clock = clock

    def set_cache_ttl(self, cache_ttl_s: float) -> None:
        """Changes the time in seconds for which a repeated prefill is penalized; keeps the prefix index."""
        self.prefix_cache.set_ttl(CACHE_TTL_FACTOR * cache_ttl_s)

    def set_response_timeout(self, p95_s: float) -> None:
        """Derives the response timeout from the p95 of the time to first token; `p95_s` is 0 if unknown."""
        self.response_timeout_s = max(MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_FACTOR * p95_s)

    def record_latency(self, server: Server, tokens: float, latency_s: float) -> None:
        """Updates the prefill model and the weights by one time to first token.

        `tokens` is the number of prompt tokens that the server had to prefill before the first token. The
        weights use the latency in multiples of the expected latency; otherwise one long prompt would make a
        server look slow.
        """
        model = self._prefill_model(server.instance.service)
        expected_s = model.predict(tokens)
        model.learn(tokens, latency_s)
        self._weights.record(server.id, latency_s / max(MIN_LATENCY_S, expected_s), self._clock())

    def forget(self, server: Server) -> None:
        """Drops the latency and load of a server that has left."""
        self._weights.forget(server.id)
        self.load.forget(server.id)

    def rank(
        self,
        service: str,
        servers: list[Server],
        key: str | None,
        blocks: tuple[PrefixBlock, ...],
        target_s: float,
    ) -> list[Server]:
        """Returns the servers of a service in the order in which to try them.

        `key` is the prefix key of the prompt (see `ClientRequest.prefix_key`), None for a random draw.
        `target_s` is the latency target in seconds.
        """
        now = self._clock()
        self._weights.update(service, tuple(server.id for server in servers), now)
        avoided = {server.id for server in servers if self._is_avoided(server, now)}
        drawn = sorted(servers, key=lambda server: (server.id in avoided, -self._score(server, key, now)))
        if not drawn:
            return []
        if key is not None:
            self._preferred.record(key, drawn[0].id)
        return self._demote_congested(drawn, avoided, blocks, target_s, now)

    def _demote_congested(
        self,
        drawn: list[Server],
        avoided: set[str],
        blocks: tuple[PrefixBlock, ...],
        target_s: float,
        now: float,
    ) -> list[Server]:
        """Returns the drawn order with congested servers moved behind the others, sorted by expected wait."""
        waits = {server.id: self._expected_wait(server, blocks, server is drawn[0], now) for server in drawn}
        accepted_waits = [waits[server.id] for server in drawn if server.id not in avoided]
        max_wait = min(accepted_waits or waits.values()) + CONGESTION_THRESHOLD * target_s
        return sorted(
            drawn,
            key=lambda server: (
                server.id in avoided,
                waits[server.id] if waits[server.id] > max_wait else 0.0,
            ),
        )

    def expected_prefill_tokens(
        self, server: Server, key: str | None, blocks: tuple[PrefixBlock, ...]
    ) -> float:
        """Returns the number of prompt tokens that a server is expected to prefill for a request."""
        is_preferred = self._preferred.is_preferred(key, server.id)
        return self._prefill_cost(server, blocks, PREFERRED_MISS_COST if is_preferred else 1.0, self._clock())

    def _is_avoided(self, server: Server, now: float) -> bool:
        """Returns whether a server is to be tried only after all others."""
        has_timed_out = server.unresponsive_for(now) > self.response_timeout_s
        return has_timed_out or server.has_unacknowledged_bytes(now) or server.is_degraded(now)

    def _expected_wait(
        self, server: Server, blocks: tuple[PrefixBlock, ...], is_preferred: bool, now: float
    ) -> float:
        """Returns the expected seconds until the first token, less the part that is equal at all servers."""
        model = self._prefill_model(server.instance.service)
        miss_cost = PREFERRED_MISS_COST if is_preferred else OTHER_MISS_COST
        tokens = self.load.queued_tokens(server.id) + self._prefill_cost(server, blocks, miss_cost, now)
        running_s = self.load.running_requests(server.id) * model.base / max(1, server.instance.slots)
        return (model.slope * tokens + running_s) * self._weights.relative_latency(server.id, now)

    def _prefill_cost(
        self, server: Server, blocks: tuple[PrefixBlock, ...], miss_cost: float, now: float
    ) -> float:
        """Returns the tokens that a server would have to prefill, shared ones weighted by `miss_cost`."""
        uncached = self.prefix_cache.uncached_tokens(server.id, blocks, now)
        unshared = blocks[-1].tokens if blocks else 0
        if uncached <= unshared:
            return uncached
        return unshared + (uncached - unshared) * miss_cost

    def _prefill_model(self, service: str) -> PrefillModel:
        if service not in self._prefill_models:
            self._prefill_models[service] = PrefillModel()
        return self._prefill_models[service]

    def _score(self, server: Server, key: str | None, now: float) -> float:
        """Returns the server's score in weighted rendezvous hashing; the highest score wins the draw."""
        weight = self._weights.weight(server.id)
        if server.is_warming_up(now):
            weight *= WARMUP_WEIGHT_FACTOR
        drawn = self._rng.random() if key is None else _hash_fraction(key, server.id)
        return weight / -log(max(drawn, 1e-18))


def _hash_fraction(key: str, server_id: str) -> float:
    """Returns a number between 0 and 1 for a key and a server, the same on all nodes."""
    digest = hashlib.blake2b(f"{key}\n{server_id}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE
