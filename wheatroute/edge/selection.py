"""Which server gets a request: the design's split, drawn by what the server keeps of the prompt.

Each second the split is solved inverse to the smoothed time to first token of this node's own requests,
clamped to half..twice the even share. A draw by the split is keyed by the last shared part of the prompt
(weighted rendezvous hashing), so that all nodes come to the same server for the same part, without talk; a
request without parts is drawn by chance. A draw that lands on a crowded server is redrawn: on one where the
first token would come later than at the best one by more than a part of the request's target, counting the
prompt tokens that wait there and those that this server would have to read again.

Source of the weighted form: C. Schindelhauer, G. Schomaker, "Weighted distributed hash tables", SPAA 2005.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from math import log
from random import Random

from wheatroute.cluster.messages import ServerLoad
from wheatroute.edge.instances import Server
from wheatroute.edge.prefill import PrefillModel
from wheatroute.edge.routing import PromptPart
from wheatroute.split import clamped_shares

SOLVE_INTERVAL = 1.0  # seconds
SMOOTHING = 0.2  # weight of the newest time to first token
PRIOR = 3.0  # times to first token that the mean stands for beside a server's own
MEMORY = 10.0  # seconds after which half of a server's own times are forgotten
STEADY_LOW, STEADY_HIGH = 0.75, 1.35  # times of the mean between which a server gets the even share
COLD_SHARE = 0.5  # of its share that a cold server gets
CROWDED_SHARE = 0.15  # of a request's target by which the first token may come later than elsewhere
READ_AGAIN = 3.0  # times that a shared part counts which another server than the first would read
KEPT_MULTIPLE = 6.0  # of the time in which a part that is read again has a price; servers keep it for longer
READ_AT_HOME = 0.15  # of the shared parts that the first server of the draw is expected to read
SHORTEST_SILENCE = 0.8  # seconds that a server may answer nothing before it is passed over
SHORTEST = 0.001  # seconds that a time to first token is taken for at the least
REMEMBERED_PARTS = 20000
HASH_SPAN = 2.0**64


class _Sample:
    """Smoothed relative time to first token of one server."""

    __slots__ = ("ratio", "weight", "noted")

    def __init__(self) -> None:
        self.ratio, self.weight, self.noted = 1.0, 0.0, 0.0


class _Held:
    """What this node has at one server."""

    __slots__ = ("running", "waiting_tokens")

    def __init__(self) -> None:
        self.running, self.waiting_tokens = 0, 0.0


class KeptParts:
    """Parts of prompts that servers should still keep, by this node's own requests; bounded and expiring."""

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._used: OrderedDict[tuple[str, str], float] = OrderedDict()

    def keep(self, keep_s: float) -> None:
        """Servers keep a part for so long after its last use, in seconds."""
        self._keep_s = keep_s

    def sent(self, server: str, parts: Iterable[PromptPart], now: float) -> None:
        """A request with these parts has begun at a server."""
        for part in parts:
            key = (server, part.id)
            self._used[key] = now
            self._used.move_to_end(key)
        while len(self._used) > REMEMBERED_PARTS:
            self._used.popitem(last=False)

    def unread(self, server: str, parts: tuple[PromptPart, ...], now: float) -> int:
        """Tokens that a server has to read: those behind the first part that it doesn't keep."""
        for place, part in enumerate(parts):
            used = self._used.get((server, part.id))
            if used is None or now - used > self._keep_s:
                return sum(later.tokens for later in parts[place:])
        return 0


class Selection:
    """Shares and loads of the servers of all services, as this node sees them."""

    def __init__(self, keep_s: float, chance: Random, clock: Callable[[], float]) -> None:
        self.kept = KeptParts(KEPT_MULTIPLE * keep_s)
        self._models: dict[str, PrefillModel] = {}
        self._chance = chance
        self._clock = clock
        self._samples: dict[str, _Sample] = {}
        self._held: dict[str, _Held] = {}
        self._elsewhere: dict[str, ServerLoad] = {}
        self._shares: dict[str, float] = {}
        self.silence = 0.0  # the same by this node's own p95, in seconds
        self._homes: OrderedDict[str, str] = OrderedDict()
        self._solved: dict[str, tuple[float, tuple[str, ...]]] = {}

    def keep(self, keep_s: float) -> None:
        """For how long servers are said to keep prompts, in seconds; what is known of them stays."""
        self.kept.keep(KEPT_MULTIPLE * keep_s)

    # what is observed

    def started(self, server: Server, tokens: float) -> float:
        """A request with so many tokens to read goes to a server; returns how many wait there then."""
        held = self._held.setdefault(server.id, _Held())
        held.running += 1
        held.waiting_tokens += tokens
        return self._waiting_tokens(server)

    def answered(self, server: Server, tokens: float) -> None:
        """Its first token came, or it never will."""
        held = self._held.get(server.id)
        if held is not None:
            held.waiting_tokens = max(0.0, held.waiting_tokens - tokens)

    def ended(self, server: Server) -> None:
        """The request is over."""
        held = self._held.get(server.id)
        if held is not None:
            held.running -= 1

    def first_token(self, server: Server, tokens: float, took: float) -> None:
        """A time to first token, in seconds, with so many tokens to read before.

        It counts in multiples of what is usual for as many: else a server looks slow for one long prompt.
        """
        model = self._model(server.instance.service)
        usual = model.base + model.slope * tokens
        model.learn(tokens, took)
        sample = self._samples.setdefault(server.id, _Sample())
        now = self._clock()
        kept = sample.weight * min(1.0 - SMOOTHING, 1.0 / (1.0 + (now - sample.noted) / MEMORY))
        ratio = took / max(SHORTEST, usual)
        sample.ratio += (ratio - sample.ratio) / (kept + 1.0)
        sample.weight, sample.noted = kept + 1.0, now

    def told(self, loads: dict[str, ServerLoad]) -> None:
        """What other nodes have at servers."""
        self._elsewhere = loads

    def loads(self) -> dict[str, ServerLoad]:
        """What this node has at servers."""
        return {
            server: ServerLoad(round(held.waiting_tokens), held.running)
            for server, held in self._held.items()
            if held.running
        }

    def forget(self, server: Server) -> None:
        """A server has left."""
        self._samples.pop(server.id, None)
        self._shares.pop(server.id, None)
        held = self._held.get(server.id)
        if held is not None and not held.running:
            del self._held[server.id]

    # the split

    def _solve(self, service: str, servers: list[Server], now: float) -> None:
        names = tuple(server.id for server in servers)
        solved, known = self._solved.get(service, (-SOLVE_INTERVAL, ()))
        if known == names and now - solved < SOLVE_INTERVAL:
            return
        self._solved[service] = (now, names)
        shares = clamped_shares([self._expected(name, now) for name in names])
        self._shares.update(zip(names, shares, strict=True))

    def _expected(self, name: str, now: float) -> float:
        """A server's time in multiples of the usual; the mean while little was heard.

        What lies near the mean counts as the mean: a share that moves with every answer would move prompts
        away from the servers that keep them.
        """
        sample = self._samples.get(name)
        if sample is None:
            return 1.0
        weight = sample.weight / (1.0 + (now - sample.noted) / MEMORY)
        expected = (PRIOR + weight * sample.ratio) / (PRIOR + weight)
        return 1.0 if STEADY_LOW < expected < STEADY_HIGH else expected

    def order(
        self,
        service: str,
        servers: list[Server],
        key: str | None,
        parts: tuple[PromptPart, ...],
        target: float,
    ) -> list[Server]:
        """Servers in the order in which to try them; `target` in seconds."""
        now = self._clock()
        self._solve(service, servers, now)
        doubtful = {server.id for server in servers if self._doubtful(server, now)}
        ranked = sorted(servers, key=lambda server: (server.id in doubtful, -self._score(server, key, now)))
        if not ranked:
            return []
        waits = {server.id: self.wait(server, parts, server is ranked[0]) for server in ranked}
        if key is not None:
            self._homes[key] = ranked[0].id
            self._homes.move_to_end(key)
            if len(self._homes) > REMEMBERED_PARTS:
                self._homes.popitem(last=False)
        sound = [waits[server.id] for server in ranked if server.id not in doubtful]
        most = min(sound or waits.values()) + CROWDED_SHARE * target
        # the order of the draw among servers that are not crowded, then by how crowded they are
        return sorted(
            ranked,
            key=lambda server: (server.id in doubtful, waits[server.id] if waits[server.id] > most else 0.0),
        )

    def _doubtful(self, server: Server, now: float) -> bool:
        """Whether a server is passed over while there are others."""
        silent = server.silent_for(now) > self.patience or server.unacknowledged(now)
        return silent or server.doubtful(now)

    @property
    def patience(self) -> float:
        """Seconds for which a server may answer nothing before it is passed over."""
        return max(SHORTEST_SILENCE, self.silence)

    def wait(self, server: Server, parts: tuple[PromptPart, ...], home: bool) -> float:
        """Seconds until the first token at a server, beyond what is the same at all of them."""
        service = server.instance.service
        model = self._model(service)
        again = READ_AT_HOME if home else READ_AGAIN
        tokens = self._waiting_tokens(server) + self._to_read(server, parts, again)
        running = self.running(server) * model.base / max(1, server.instance.slots)
        return (model.slope * tokens + running) * self._expected(server.id, self._clock())

    def _to_read(self, server: Server, parts: tuple[PromptPart, ...], again: float) -> float:
        """Tokens that a server would have to read, the shared ones among them counted `again` times."""
        unread = self.kept.unread(server.id, parts, self._clock())
        own = parts[-1].tokens if parts else 0
        return own + (unread - own) * again if unread > own else unread

    def expected_unread(self, server: Server, key: str | None, parts: tuple[PromptPart, ...]) -> float:
        """Tokens that a server will read; other nodes' requests have filled the first of the draw too."""
        home = key is not None and self._homes.get(key) == server.id
        return self._to_read(server, parts, READ_AT_HOME if home else 1.0)

    def _model(self, service: str) -> PrefillModel:
        if service not in self._models:
            self._models[service] = PrefillModel()
        return self._models[service]

    def _score(self, server: Server, key: str | None, now: float) -> float:
        """Weighted rendezvous: the highest goes first, each server as often as its share says."""
        share = self._shares.get(server.id, 1.0)
        if server.cold_until > now:
            share *= COLD_SHARE
        drawn = self._chance.random() if key is None else _hashed(key, server.id)
        return share / -log(max(drawn, 1e-18))

    def running(self, server: Server) -> int:
        """Requests at a server, as far as this node knows."""
        held, other = self._held.get(server.id), self._elsewhere.get(server.id)
        return (held.running if held else 0) + (other.running_requests if other else 0)

    def _waiting_tokens(self, server: Server) -> float:
        """Prompt tokens that a server has still to read."""
        held, other = self._held.get(server.id), self._elsewhere.get(server.id)
        return (held.waiting_tokens if held else 0.0) + (other.queued_prompt_tokens if other else 0.0)


def _hashed(key: str, server: str) -> float:
    """A fixed draw between 0 and 1 for a key and a server, alike on all nodes."""
    digest = hashlib.blake2b(f"{key}\n{server}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / HASH_SPAN
