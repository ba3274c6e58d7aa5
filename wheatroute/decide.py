"""All decisions of wheatroute: which server gets a request, when a hedge goes out, when to say no.

How to call it: make one `Balancer(terms, chance)` for each node, then call `round(now, events, writer)`
once a round with all that came in; the decisions are written straight into `writer` during that call.
Events, terms and writer are those of `wheatroute/interface.py`. There is no clock here but `now`, no
chance but the `random.Random` passed in, and nothing is shared.
"""

from __future__ import annotations

from bisect import bisect
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from heapq import heappop, heappush
from math import ceil, inf, sqrt
from random import Random

from wheatroute.balancing.interface import (
    CommandWriter,
    DeduplicationGroup,
    Event,
    EventBatch,
    Idempotency,
    ListEntry,
    Outcome,
    Report,
    ServerState,
)
from wheatroute.balancing.settings import DecisionSettings, RequestClass
from wheatroute.learned import FLOOR, MARGIN, RESOLVE, SAMPLES, WINDOW, Idleness, Pace, Request, Ring, Servers
from wheatroute.orders import Alike, Waiting
from wheatroute.split import clamped_shares

# The design's own figures.
BEAT = 0.25  # health, window and waiting room are looked at this often, in shares of RESOLVE
FAR_MORE = 1.0  # a draw on a server with this multiple of the mean in flight, and a bit, is redrawn
TOLD_MORE = 1.5  # the same for what servers tell of all nodes
REDRAWS = 4
REPORTERS = 2  # nodes that probe for all others
PARTNERS = 8.0  # a node keeps to so many servers, and more where a server would have fewer nodes than that
DEAR = 3.0  # and to so many times fewer where open connections have a price
TURN = (sqrt(5.0) - 1.0) / 2.0  # of the round of servers between the places of one node and the next
HEDGE_SHARE = 0.1  # of the attempts sent may be hedges: twice the share that a p95 lets through
REPEAT_SHARE = 0.1  # of the requests taken may be sent again after an attempt that may have run

# Left open by the design.
SMOOTHING = 0.2  # weight of the newest latency of a server
CROSSED = 10.0  # a crossing counts as so many times its price, in usual latencies
CROWDED = 0.9  # attempts that stay out longer by this share of the shortest stay tell of servers full enough
BEYOND = 0.5  # of the room is open to requests beyond their tenant's share
HURRY = 0.375  # of the shortest target latency may be spent waiting at a server called easy
HASTE = 1.25  # usual latencies that a held request must have left when it starts
SILENT = 3.0  # a server with an attempt out for this multiple of the p95, nothing heard since, hangs
STUCK = 5.0  # an attempt out for this multiple of its class's mean, while its server answers others, is stuck
OUTLIER = 3.0  # a server this multiple slower than the median server is left to trial attempts
FAILING = 0.3  # share of a server's answers that are errors
LARGE = 64  # with more servers kept to, a beat's parts go into rounds of their own, and only beats solve
SORTED = 64  # requests that may be looked at for each one more that is held, or that comes due


class Balancer:
    """The decisions of one node."""

    def __init__(self, terms: DecisionSettings, chance: Random) -> None:
        self._chance = chance
        self._servers = Servers()
        self._pace = Pace()
        self._idleness = Idleness()
        self._ring = Ring()
        self._alike = Alike()
        self._on_trial: list[int] = []  # barred servers that this node would keep to
        self._trials_due = -inf  # before this moment none of them may be tried
        self._kept_to = 0  # servers that this node keeps to, barred ones as well
        self._parts: deque[Callable[[], None]] = deque()  # of a beat before a large tier, still to be done
        self._requests: dict[int, Request] = {}
        self._waiting = Waiting()
        self._held_since = 0  # requests held since the waiting ones were last sorted out
        self._due: list[tuple[float, int, Request]] = []  # hedge timers (number of attempts > 0) and ends
        self._armed, self._next_beat, self._next_resolve = inf, -inf, -inf
        self._hedge_credit = self._repeat_credit = 1.0
        self._usual_left: list[float] = []
        self._allowance: list[float] = []
        self._caution = 1.0
        self._served, self._rate = 0, 0.0  # requests served since the last beat, and a second
        self._short = -inf  # when room last ran short of what had to be in time
        self._ask_at, self._ask_wait = -inf if terms.list_on_request else inf, 0.0
        self._sounding, self._probes_out = deque[int](), 0  # servers to be probed in this round; probes out
        self._heard: dict[int, float] = {}  # what probes have told since the last word to the others
        self._now = self._by = 0.0
        self._takes: dict[Event, Callable[..., None]] = {
            event: getattr(self, f"_{event.name.lower()}") for event in Event if event != Event.TIMER_DUE
        }
        self._settle(terms)

    def _settle(self, terms: DecisionSettings) -> None:
        """Terms to decide by, and what follows from them; what was learned stays."""
        self._terms, self._kinds, self._tick = terms, terms.request_classes, terms.tick
        self._entry = terms.tier == 0
        self._depth = max(1, terms.tiers - terms.tier)  # tiers that a request here passes
        self._large = LARGE if terms.max_servers_per_tick is None else terms.max_servers_per_tick
        self._pace.extend(len(self._kinds))
        self._usual_left += [0.0] * (len(self._kinds) - len(self._usual_left))
        # guards against nodes so many that none ever sees a share used: a few requests may be saved up
        saved = [self._saved(quota) for quota in self._quotas()]
        new = [one / 2 for one in saved[len(self._allowance) :]]
        self._allowance = [*map(min, self._allowance, saved), *new]
        # guards against reports by probes only, too dear for every node: few ask, and tell all others
        self._reports = (
            terms.report_how == "probe" and terms.can_probe and terms.has_peers and terms.node < REPORTERS
        )
        self._waits = {"queued", "rate"}.issubset(terms.reported) and "held" not in terms.reported
        # what one more request adds: the class in most haste must still be in time at a server called easy
        self._one = HURRY * min(one.target_latency for one in self._kinds) / FLOOR if self._waits else 1.0
        # guards against work worth little that fills up what all nodes take for room; own limits sort it out
        self._modest = BEYOND * sum(kind.value for kind in self._kinds) / len(self._kinds)
        self._tells = self._waits or "held" in terms.reported  # reports say how laden servers are
        self._hedged_worth = max(
            (kind.value for kind in self._kinds if kind.idempotency == Idempotency.IDEMPOTENT), default=inf
        )

    def _settings_changed(self, terms: DecisionSettings, binding: bool) -> None:
        """Other terms from now on; requests taken before keep to their own unless these bind them too."""
        for request in self._requests.values() if binding else ():
            request.rules = terms.request_classes[request.kind]
            groups = {self._group(request.rules, server) for server in request.servers}
            if len(groups) == 1:
                request.group = groups.pop()
            elif groups:  # guards against a repeat that one group takes for new after another has run it
                request.since = -inf
        self._settle(terms)
        self._solve()

    @property
    def servers(self) -> Servers:
        """What was learned of them, for keeping: see `memory.py`."""
        return self._servers

    def handle_events(self, now: float, events: EventBatch, writer: CommandWriter) -> None:
        """Takes in all that came since the last round and writes what is to be done."""
        self._now, self._writer = now, writer
        self._by = now + self._tick / 2  # a host may round moments: what is due within half a tick is due
        if self._armed <= self._by:
            self._armed = inf
        for event, *fields in events:
            if event in self._takes:
                self._takes[event](*fields)
        if self._by >= self._ask_at:
            self._ask_at = inf
            writer.watch(True)
        if self._parts:
            # rather where nobody waits for the round
            if not events or events[0][0] == Event.TIMER_DUE or self._by >= self._next_beat - BEAT / 2:
                self._parts.popleft()()
        elif self._by >= self._next_beat:
            self._beat()
        self._run_due()
        self._drain_waiting()
        self._arm()

    # the list of servers

    def _servers_listed(self, entries: list[ListEntry], whole: bool) -> None:
        servers = self._servers
        self._ask_wait = 0.0
        if whole:
            servers.ready = [False] * len(servers.ready)
            self._alike.clear()
        for server, zone, model, cell, state, _, started in entries:
            servers.extend(server + 1)
            if servers.ready[server]:
                self._alike.remove((servers.zone[server], servers.model[server]), server)
            servers.zone[server], servers.model[server], servers.cell[server] = zone, model, cell
            # rule three: nothing new from the moment this node is told, well inside the grace
            servers.ready[server] = state == ServerState.LIVE
            if servers.ready[server]:
                self._alike.add((zone, model), server)
            if state == ServerState.REMOVED:
                servers.forget(server, 0.0)
            elif started > servers.born[server]:
                servers.forget(server, started)
                # other nodes hear of it too: a random first credit keeps them from all sending at once
                servers.credit[server] = self._chance.random()
        (self._solve if whole else self._solve_soon)()

    def _list_failed(self) -> None:
        """Guards against a list service that fails under load: asked again later and later, never in step."""
        terms = self._terms
        if terms.list_on_request:
            longest = terms.list_max_age_s / 4  # a node is deemed told of what is older than list_max_age_s
            self._ask_wait = min(longest, max(longest / 8, 2 * self._ask_wait))
            self._ask_at = self._now + self._ask_wait * (0.5 + 0.5 * self._chance.random())

    def _nodes_counted(self, nodes: int, node: int, caution: float) -> None:
        """Another number of nodes: tenants' quotas, the part kept to and the pace of trials follow."""
        self._caution = caution
        self._settings_changed(replace(self._terms, nodes=nodes, node=node), False)

    # the split

    def _solve(self) -> None:
        """Fractions inverse to smoothed latency, clamped around the even share."""
        servers, ring = self._servers, self._ring
        everyone = self._alike.round()
        kept = self._keep_to(everyone)
        ring.servers = [server for server in kept if not servers.barred[server]]
        self._on_trial, self._trials_due = [server for server in kept if servers.barred[server]], -inf
        ring.open = max(1, len(ring.servers)) / max(1, len(kept))
        ring.out = sum(
            servers.held[server] - len(self._stuck(server)) for server in ring.servers if servers.held[server]
        )
        ring.fair = max(1, len(everyone)) / self._terms.nodes
        self._solve_ring(ring)
        self._kept_to = len(kept)

    def _solve_soon(self) -> None:
        """At once, or before a large tier with the next beat: until then draws pass by what may not be drawn.

        Guards against rounds as long as the servers barred or listed in them are many times those kept to.
        """
        if self._kept_to <= self._large:
            self._solve()

    def _keep_to(self, everyone: list[int]) -> list[int]:
        """The servers that this node splits over.

        Guards against hearing each server of a large tier too seldom to tell the slow from the quick: a node
        keeps to a part of the round, at a place of its own, and all parts together cover the tier evenly.
        """
        count, nodes = len(everyone), self._terms.nodes
        # one with more traffic to more, as often as it hears them: else its servers carry more than others
        dear = DEAR if self._terms.connection_price > 0 else 1.0
        own = self._ring.peak * WINDOW / SAMPLES
        most = min(count, ceil(max(PARTNERS / dear, PARTNERS * dear * count / nodes, own / dear)))
        first = int(self._terms.node * TURN % 1.0 * count)
        return everyone[first : first + most] + everyone[: max(0, first + most - count)]

    def _solve_ring(self, ring: Ring) -> None:
        servers = self._servers
        expected = servers.expected(ring.servers, self._now, sum(self._pace.mean) / len(self._pace.mean))
        ring.expected = dict(zip(ring.servers, expected, strict=True))
        # guards against a server too slow for half the even share: it is left to trial attempts
        usual = sorted(expected)[len(expected) // 2] if expected else 1.0
        ring.slow = [s for s, one in zip(ring.servers, expected, strict=True) if one > OUTLIER * usual]
        # guards against slow servers kept too busy where most of a latency is spent in the tiers below, which
        # are the same for all: each tier is taken to have an equal part of the shortest
        below = (1.0 - 1.0 / self._depth) * min(expected, default=0.0)
        # a server in another building looks slower by what crossing costs
        price, zone = CROSSED * self._terms.crossing_price, self._terms.zone
        wish = clamped_shares(
            [
                one - below + price * (servers.zone[s] != zone)
                for s, one in zip(ring.servers, expected, strict=True)
            ]
        )
        told = [servers.told[s] for s in ring.servers if self._now - servers.told_at[s] < WINDOW]
        ring.told = sum(told) / len(told) if told else 0.0
        ring.bounds, ring.share, total = [], {}, 0.0
        for server, one in zip(ring.servers, wish, strict=True):
            one *= self._warmth(server)
            total += one
            ring.bounds.append(total)
            ring.share[server] = one

    def _warmth(self, server: int) -> float:
        """The least share of its capacity that a server can have by now."""
        terms, age = self._terms, self._now - self._servers.born[server]
        if not self._servers.born[server] or age >= terms.warmup_s:
            return 1.0
        return (
            terms.warmup_initial_share + (1.0 - terms.warmup_initial_share) * max(0.0, age) / terms.warmup_s
        )

    def _draw(self, ring: Ring, request: Request, easy: bool = False) -> int:
        """A server by the split, redrawn where it holds far more than the mean; -1 if none will do."""
        servers, bounds = self._servers, ring.bounds
        if not bounds:
            return -1
        far = FAR_MORE * ring.out / len(bounds) + 0.1
        best, least = -1, inf
        for _ in range(REDRAWS):
            server = ring.servers[min(len(bounds) - 1, bisect(bounds, self._chance.random() * bounds[-1]))]
            if not self._fits(request, server, easy):
                continue
            unfit = request.kind in self._stuck(server) or self._late(request, server)
            if servers.held[server] < far and not unfit and not self._crowded(ring, server):
                return server
            load = (servers.held[server] + 1 + unfit * ring.out) / ring.share[server]
            if load < least:
                best, least = server, load
        if best < 0 or self._late(request, best):
            best = min(
                (s for s in ring.servers if self._fits(request, s, easy)),
                default=-1,
                key=lambda s: (
                    self._late(request, s) and ring.expected[s],
                    (servers.held[s] + 1) / ring.share[s],
                ),
            )
        if best < 0 and request.servers and not easy:
            # a repeat's group, or another way after a full server, may lie outside the part kept to
            fit = [s for s in range(len(servers.ready)) if self._fits(request, s)]
            best = self._chance.choice([s for s in fit if self._easy(s)] or fit) if fit else -1
        return best

    def _late(self, request: Request, server: int) -> bool:
        """Whether a server would need too long for a request of this size.

        Guards against heavy requests on slow machines that handle light ones in time.
        """
        usual = self._pace.mean[request.kind] * request.size * self._ring.expected[server]
        return request.size > 1.0 and self._now + usual > request.target

    def _stuck(self, server: int) -> list[int]:
        """The request classes of attempts that last far too long on a server that goes on answering others.

        Guards against classes that hang at some servers only, and fill the room of all: see what uses this.
        """
        servers, pace, stuck = self._servers, self._pace, []
        # oldest first: the rest went out too late for the shortest mean there is
        latest, heard = self._now - STUCK * pace.least, servers.heard[server]
        if len(servers.out[server]) < 2 or pace.all_slow:
            return stuck
        for (number, _), sent in servers.out[server].items():
            if sent >= latest:
                break
            kind = self._requests[number].kind
            if sent < self._now - STUCK * (pace.mean[kind] or inf) < heard:
                stuck.append(kind)
        # one alone may be a long request
        return [kind for kind in stuck if stuck.count(kind) > 1]

    def _crowded(self, ring: Ring, server: int) -> bool:
        """Whether a server's report says that it holds far more than the mean; an old report says little.

        Guards against crowds of other nodes' requests, which this node's own calls do not show.
        """
        servers, far = self._servers, TOLD_MORE * ring.told + self._one
        age = self._now - servers.told_at[server]
        return ring.told + (servers.told[server] - ring.told) / (1.0 + age / RESOLVE) > far

    def _heed(self, server: int, report: Report, took: float) -> None:
        """What a server holds: as reported, or its requests a second times how long this one was out.

        Where it tells what waits, that over its requests a second: how long a request will wait there.
        """
        rate = report.get("rate", 0.0)
        held = report.get("held", rate * took)
        if self._waits:  # a server that answers nothing makes what waits there wait for ever
            held = min(WINDOW, report.get("queued", 0.0) / (rate or 1.0 / WINDOW))
        self._servers.told[server], self._servers.told_at[server] = held, self._now

    def _sound(self) -> None:
        """Probes the next part of all servers: each has its turn once in RESOLVE, at both reporters."""
        self._probes_out = 0
        everyone, half = self._alike.round(), len(self._alike.round()) // 2
        if not self._sounding:  # one of the two is half a round ahead
            self._sounding.extend(everyone if self._terms.node else everyone[half:] + everyone[:half])
        for _ in range(min(len(self._sounding), ceil(len(everyone) * BEAT))):
            server = self._sounding.popleft()
            if self._servers.ready[server]:
                self._probes_out += 1
                self._writer.probe(server)

    def _probe_ended(self, server: int, outcome: Outcome, took: float, report: Report | None) -> None:
        self._probes_out -= 1
        if report and outcome == Outcome.SERVED:
            self._heed(server, report, took)
            self._heard[server] = self._servers.told[server]
        if self._probes_out <= 0 and self._heard:
            self._writer.send_loads(self._heard)
            self._heard = {}

    def _peer_reported(self, figures: Report) -> None:
        """What another node was told by servers: as good as heard here, where this node's list has them."""
        for server, held in figures.items():
            if server < len(self._servers.ready) and self._servers.ready[server]:
                self._servers.told[server], self._servers.told_at[server] = held, self._now

    def _easy(self, server: int, part: float = 1.0) -> bool:
        """Whether a server tells that it holds little for all nodes, with what was sent to it since.

        Guards against a node that sees little traffic, and takes what chance brings it for a lack of room. A
        server also holds what waits for the tiers below, and is the less at work for it.
        """
        servers, now = self._servers, self._now
        return (
            self._tells
            and servers.told[server] < FLOOR * sqrt(self._depth) * self._one * part
            and now - servers.told_at[server] < RESOLVE
            and servers.full[server] <= now
        )

    def _fits(self, request: Request, server: int, easy: bool = False) -> bool:
        servers = self._servers
        return (
            servers.ready[server]
            and not servers.barred[server]
            and (not easy or self._easy(server, request.part if self._waits else 1.0))
            and self._may_go(request, server)
        )

    def _may_go(self, request: Request, server: int) -> bool:
        """Rule two's group and window, rule four's credit, and no server twice for a request."""
        if server in request.servers or self._servers.full[server] > self._now:
            return False
        if self._servers.no_new[server] > self._now and not self._servers.spare[server]:
            return False
        if self._warmth(server) < 1.0 and self._servers.credit[server] < 1.0:
            return False
        if request.rules.idempotency == Idempotency.KEYED and (request.may or request.out):
            return self._group(request.rules, server) == request.group
        return True

    def _group(self, rules: RequestClass, server: int) -> int:
        group = rules.deduplication_group
        if group == DeduplicationGroup.ALL or server < 0:
            return 0
        return self._servers.zone[server] if group == DeduplicationGroup.ZONE else self._servers.cell[server]

    def _may_repeat(self, request: Request) -> bool:
        """Rule two: whether any further attempt may go out at all."""
        if request.over or len(request.servers) >= self._terms.max_attempts:
            return False
        if request.out and not self._terms.can_hedge:
            return False
        if not request.may and not request.out:
            return True
        if request.rules.idempotency == Idempotency.KEYED:
            return self._now < request.since + request.rules.retry_window - self._tick
        return request.rules.idempotency == Idempotency.IDEMPOTENT

    def _may_refuse(self, request: Request) -> bool:
        if request.rules.idempotency == Idempotency.IDEMPOTENT or not (request.may or request.out):
            return True
        return (
            request.rules.idempotency == Idempotency.KEYED
            and request.rules.deduplication_group == DeduplicationGroup.ALL
        )

    # requests

    def _arrived(
        self,
        number: int,
        kind: int,
        left: float,
        tenant: int,
        repeated: bool,
        earlier: Sequence[tuple[int, float, bool]] = (),
        work: float = 0.0,
    ) -> None:
        terms = self._kinds[kind]
        elapsed = self._elapsed(kind, left, repeated)
        stop = self._now + left - 2 * self._tick
        target = min(stop, self._now + terms.target_latency - elapsed)
        value = terms.value
        if not self._terms.work_counts:
            value /= self._pace.mean[kind] or 1.0
        share = self._spend(tenant) if self._entry else tenant
        value *= 1.0 if share == tenant else self._terms.excess_value_factor
        if target <= self._now:
            value *= terms.late_value
        give_up = stop if terms.late_value or not self._entry else max(target, self._now)
        request = Request(number, kind, terms, target, give_up, value)
        request.size = self._pace.size(kind, work)
        request.share, request.part = share, 1.0 if share == tenant else BEYOND
        if self._waits and terms.value < self._modest:
            request.part *= BEYOND**2
        self._requests[number] = request
        self._repeat_credit = min(self._repeat_credit + REPEAT_SHARE, 1.0 + REPEAT_SHARE * SAMPLES * 2)
        self._enter_earlier(request, earlier)
        if give_up <= self._now or earlier and not self._may_repeat(request):
            self._finish(request)
            return
        heappush(self._due, (give_up, -number - 1, request))
        if not self._send(request):
            (self._finish if request.may else self._hold)(request)

    def _enter_earlier(self, request: Request, earlier: Sequence[tuple[int, float, bool]]) -> None:
        """Rule two where each try of a request comes here by itself: what ran before counts as its own."""
        for server, sent, may in earlier:
            if may and not request.may:
                request.group, request.since = self._group(request.rules, server), sent
            request.may += may
            request.servers.append(server)
            request.idle.append(0)
            request.opened.append(False)

    def _elapsed(self, kind: int, left: float, repeated: bool) -> float:
        """How much of its target latency a request has used before it came here, as far as that shows.

        A first try has used none, however much time its client leaves it: clients differ in that, and one
        that leaves more than others must not make the others look late.
        """
        if not self._entry:
            # a call from the tier above; its client's time is told at some places only
            longest = self._usual_left[kind] = max(self._usual_left[kind], left)
            return longest - left
        if not repeated:
            self._usual_left[kind] = left
            return 0.0
        used = self._kinds[kind].deadline - left
        return used if left < (1.0 - MARGIN) * self._usual_left[kind] else 0.0

    def _quotas(self) -> list[float]:
        """The tenants' shares at this node: by its number, or by its part of the traffic if that is more.

        Guards against the few nodes that carry most of the traffic taking most of it for beyond the shares.
        """
        told = [one.quota for one in self._terms.tenants]
        part = max(1.0 / self._terms.nodes, min(1.0, self._ring.peak / (sum(told) or 1.0)))
        return [part * one for one in told]

    @staticmethod
    def _saved(quota: float) -> float:
        return max(SAMPLES / 4 if quota else 0.0, 2.0 * quota * RESOLVE)

    def _spend(self, tenant: int) -> int:
        """The tenant whose share a request uses; -1 for none, as beyond the share."""
        if tenant < 0 or self._allowance[tenant] < 1.0:
            return -1
        self._allowance[tenant] -= 1.0
        return tenant

    def _send(self, request: Request) -> bool:
        """One attempt by the split, if some ring has room."""
        server, ring = self._trial_for(request), self._ring
        if server < 0:
            over = ring.out >= ring.room * request.part
            if not over or any(map(self._easy, ring.servers)):
                server = self._draw(ring, request, over)
        if server < 0 and not ring.servers:
            server = self._last_resort(request)
        if server < 0:
            return False
        self._attempt(request, server)
        return True

    def _shut(self, part: float = 1.0) -> bool:
        """Whether no request that may use this part of the room can go out, not even for trial."""
        ring = self._ring
        return (
            bool(ring.servers)
            and ring.out >= ring.room * part
            and not self._trial_due()
            and not any(map(self._easy, ring.servers))
        )

    def _last_resort(self, request: Request) -> int:
        """Guards against barring everything: with no server left, the least laden barred one is tried."""
        servers = self._servers
        fit = [
            s
            for s, ready in enumerate(servers.ready)
            if ready and servers.held[s] < FLOOR and self._may_go(request, s)
        ]
        return min(fit, key=lambda s: (servers.held[s], servers.barred[s]), default=-1)

    def _attempt(self, request: Request, server: int) -> None:
        servers, n = self._servers, len(request.servers)
        if not request.may and not request.out:
            request.group, request.since = self._group(request.rules, server), self._now
        request.servers.append(server)
        request.out.add(n)
        request.idle.append(self._idleness.step(self._freshen(server)))
        request.opened.append(not servers.spare[server])
        servers.spare[server] += (self._terms.calls_per_connection if request.opened[n] else 0) - 1
        servers.out[server][request.number, n] = self._now
        servers.held[server] += 1
        servers.told[server] += self._one * (BEYOND if self._waits else 1.0)  # until its next report
        servers.credit[server] -= 1.0
        self._ring.out += server in self._ring.share
        self._writer.attempt(request.number, server, request.give_up - self._now)
        self._hedge_credit = min(self._hedge_credit + HEDGE_SHARE, 1.0 + HEDGE_SHARE * SAMPLES * 2)
        kind = request.rules
        if (
            n == 0
            and kind.value == self._hedged_worth
            and kind.idempotency == Idempotency.IDEMPOTENT
            and self._terms.can_hedge
            and self._pace.timer < inf
        ):
            heappush(self._due, (self._now + self._pace.timer, request.number, request))

    def _freshen(self, server: int) -> float:
        """Shuts connections too long idle to be trusted; returns how long the one now used was idle."""
        servers = self._servers
        if servers.held[server] or servers.used[server] == -inf:
            return 0.0
        idle = self._now - servers.used[server]
        if idle < min(self._idleness.stale, self._terms.idle_timeout_s):
            return idle
        servers.spare[server] = 0
        if idle < self._terms.idle_timeout_s:
            self._writer.close(server)
        return 0.0

    def _attempt_ended(
        self,
        number: int,
        n: int,
        server: int,
        outcome: Outcome,
        took: float,
        finished: bool,
        report: Report | None,
    ) -> None:
        request = self._requests.get(number)
        if request is None or n not in request.out:
            return
        request.out.discard(n)
        servers = self._servers
        servers.held[server] -= 1
        self._ring.out -= server in self._ring.share
        servers.out[server].pop((number, n), None)
        if report and outcome == Outcome.SERVED:
            self._heed(server, report, took)
        self._learn(request, server, outcome, took)
        self._learn_idleness(request, n, server, outcome, took)
        self._learn_connections(request.opened[n], server, outcome)
        if outcome not in (Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT):
            request.may += 1
        if finished or outcome == Outcome.SERVED:
            self._close(request)
        elif not request.over and not request.out and not request.queued:
            self._again(request)
        if request.over and not request.out:
            self._requests.pop(number, None)

    def _again(self, request: Request) -> None:
        """Nothing is out any more and the request is not done: another attempt, or its end."""
        # the credit guards against repeats that swell an overload
        if (
            not self._may_repeat(request)
            or self._now + self._tick >= request.give_up
            or request.may
            and self._repeat_credit < 1.0
        ):
            self._finish(request)
        else:
            self._repeat_credit -= 1.0 if request.may else 0.0
            if not self._send(request):
                (self._finish if request.may else self._hold)(request)

    def _close(self, request: Request, kept: int = -1) -> None:
        """The request is done: what else is out for it is called off."""
        request.over = True
        for n in sorted(request.out - {kept}):
            if self._terms.can_cancel:
                self._writer.cancel(request.number, n)
        if not request.out:
            self._requests.pop(request.number, None)

    def _finish(self, request: Request) -> None:
        """Rule one: the final answer of a request that no server has given one for."""
        if request.share >= 0 and not request.servers:
            self._allowance[request.share] += 1.0  # its client may send it again
        if self._may_refuse(request):
            advice = self._terms.max_retry_after_s if self._terms.can_advise_retry else 0.0
            self._writer.reject(request.number, min(advice, self._kinds[request.kind].target_latency))
        else:
            self._writer.fail(request.number)
        self._close(request)

    def _client_left(self, number: int) -> None:
        request = self._requests.get(number)
        if request is not None and not request.over:
            self._close(request)

    def _answer_started(self, number: int, n: int, server: int) -> None:
        """A streamed answer belongs to the client from its first byte on: nothing is owed but its end."""
        request = self._requests.get(number)
        if request is not None and n in request.out:
            self._servers.heard[server] = self._now
            self._close(request, n)

    # waiting here

    def _hold(self, request: Request) -> None:
        request.queued = True
        usual = self._pace.mean[request.kind] * request.size * max(1.0, self._pace.latest)
        start_by = request.target - HASTE * usual
        self._waiting.add(start_by, request)
        self._held_since += 1
        # guards against a cost of each that grows with all that wait
        if self._held_since * SORTED >= len(self._waiting):
            self._sort_out()

    def _sort_out(self) -> None:
        """Turns away at once what cannot all be served in time, the least valuable for its work first.

        Guards against work that waits long and comes to nothing, and against starving the least valuable
        while there is room for all: those that must start first go first, and only where one would start
        too late, foretold from the work before it and the rate here, the cheapest up to it is given up.
        """
        self._held_since = 0
        if not self._rate or not self._entry or not self._waiting:
            return
        mean, room = self._pace.mean, self._ring.room
        usual = sum(mean) / len(mean) or 1.0
        # guards against the little that was asked for of late taken for all that there is room for
        rate, ahead, fit = max(self._rate, room / usual / max(1.0, self._pace.latest)), 0.0, []
        for start_by, number, request in self._waiting.by_start[:]:
            if request.over:
                # guards against a second answer: one that ran out of time while nothing had room stands here
                self._waiting.remove(start_by, request)
                continue
            work = (mean[request.kind] or usual) * request.size / usual / rate
            heappush(fit, (request.value, -number, work, start_by, request))
            ahead, own = ahead + work, work
            # its own work is none that it waits for: at a node with few requests a second it looks like much
            while fit and self._now + ahead - own > start_by:
                _, _, work, began, least = heappop(fit)
                ahead -= work
                least.queued = False
                self._waiting.remove(began, least)
                self._finish(least)
                self._short = self._now

    def _drain_waiting(self) -> None:
        """Sends what waits as far as there is room: by due time, or by value while not all can be in time."""
        if not self._waiting or self._shut():
            return
        beyond, gone, many, trial = False, [], len(self._waiting) > SORTED, self._trial_due()
        by_value = self._now - self._short < RESOLVE
        for *_, start_by, _, request in self._waiting.by_value if by_value else self._waiting.by_start:
            if beyond and request.part < 1.0 and not request.over:
                continue
            if request.over or self._send(request):
                request.queued = False
                gone.append((start_by, request))
            elif self._shut() or many and not request.servers and request.part == 1.0 and not trial:
                # guards against a cost that grows with all that wait: what takes no such one takes no other
                break
            else:
                beyond = beyond or self._shut(BEYOND)
        for start_by, request in gone:
            self._waiting.remove(start_by, request)

    # moments that come due

    def _run_due(self) -> None:
        due = self._due
        while due and due[0][0] <= self._by:
            moment, number, request = heappop(due)
            if request.over:
                continue
            if number < 0:
                request.queued = False
                self._finish(request)
            else:
                self._hedge(request, moment)

    def _hedge(self, request: Request, due: float) -> None:
        """The design's one hedge, of the most valuable safe class, to another server by the same split."""
        if request.hedged or len(request.out) != 1 or not self._may_repeat(request):
            return
        pace = self._pace
        if self._now - due > pace.timer * MARGIN + self._tick:
            # guards against a stalled turn: what is overdue together is spread out again
            heappush(self._due, (self._now + pace.timer * self._chance.random(), request.number, request))
            return
        if pace.all_slow or self._hedge_credit < 1.0 or self._now >= request.target:
            return
        if self._ring.out < self._ring.room:
            server = self._draw(self._ring, request)
            if server >= 0:
                request.hedged = True
                self._hedge_credit -= 1.0
                self._attempt(request, server)

    def _arm(self) -> None:
        """Asks for the next round that is needed, unless one as early is already asked for."""
        due, spent = self._due, SORTED
        while due and due[0][2].over and spent:  # the rest in the rounds to come
            heappop(due)
            spent -= 1
        moment = min(due[0][0] if due else inf, self._now if self._parts else self._next_beat, self._ask_at)
        if moment < self._armed:
            self._armed = moment
            self._writer.wake_at(max(moment, self._now + self._tick))

    # health

    def _learn(self, request: Request, server: int, outcome: Outcome, took: float) -> None:
        servers, now = self._servers, self._now
        if outcome == Outcome.SERVED:
            self._served += 1
            servers.served[server] += 1
            servers.full[server] = 0.0
            self._ring.served += 1
            self._note(server, self._pace.add(now, request.kind, took, True, request.size))
            servers.heard[server] = now
            servers.errors[server] *= 1.0 - SMOOTHING
            servers.misses[server] = 0
            self._pass_trial(server)
        elif outcome == Outcome.TIMED_OUT:
            self._note(server, self._pace.add(now, request.kind, took, False, request.size))
        elif outcome == Outcome.WITHDRAWN:
            share = took / (self._pace.mean[request.kind] * request.size or took or 1.0)
            if share > servers.latency[server] > 0.0:
                self._note(server, share)
                servers.misses[server] += 1
        elif outcome in (Outcome.ERROR, Outcome.UNKNOWN):
            servers.errors[server] += (1.0 - servers.errors[server]) * SMOOTHING
            if (
                servers.errors[server] > FAILING
                and not servers.barred[server]
                and self._apart(servers.errors, server)
            ):
                # guards against a server that fails fast and would draw traffic by its low latency
                self._bar_few(server)
        elif outcome in (Outcome.UNCONNECTED, Outcome.RESET):
            # guards against a dead process; when it is back it is cold, whether or not the list says so.
            # A reset or a connection that only never came may be the path: that makes no server cold
            if outcome == Outcome.UNCONNECTED and took < self._terms.connect_timeout_s / 2:
                servers.born[server] = max(servers.born[server], now)
        elif outcome == Outcome.FULL:
            # guards against knocking again before it can have done anything
            servers.full[server] = now + self._pace.mean[request.kind] / 2
            servers.told[server] = max(servers.told[server], TOLD_MORE * self._ring.told + 2 * self._one)
        if outcome != Outcome.SERVED:  # nor is one that was turned away, or never went out, still under way
            self._fail_trial(server)

    def _learn_idleness(self, request: Request, n: int, server: int, outcome: Outcome, took: float) -> None:
        step, usual = request.idle[n], self._pace.mean[request.kind] * max(1.0, self._pace.latest)
        if outcome == Outcome.SERVED:
            self._idleness.good[step] += 1.0
            self._servers.used[server] = self._now
        elif outcome in (Outcome.TIMED_OUT, Outcome.WITHDRAWN) and took > 2 * usual:
            self._idleness.lost[step] += 1.0

    def _learn_connections(self, opened: bool, server: int, outcome: Outcome) -> None:
        """Keeps count of open connections, and of servers that take no new ones.

        Guards against a tier that accepts no new connections for a while, or has no room for more, though
        it is well and answers on those that are open: they are used, and not crowded onto few servers.
        """
        servers = self._servers
        if outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.FULL):
            servers.spare[server] += 1
            if opened:
                servers.wait_new[server] = servers.no_new[server] = 0.0
            return
        if outcome == Outcome.UNCONNECTED and opened:
            servers.wait_new[server] = min(max(RESOLVE / 2, 2 * servers.wait_new[server]), WINDOW / 2)
            servers.no_new[server] = self._now + servers.wait_new[server]
        elif outcome in (Outcome.UNCONNECTED, Outcome.RESET):
            servers.spare[server] = 0
            servers.misses[server] += 1
            if servers.misses[server] > 1:
                # one miss alone may be the path's: where paths are bad to all servers, barring at the first
                # would crowd the few that happened to be reached
                self._bar(server)

    def _note(self, server: int, share: float) -> None:
        """Smooths a latency in; what was heard long ago counts for less than what was heard just now."""
        servers = self._servers
        kept = servers.weight[server] * min(1.0 - SMOOTHING, servers.recent(server, self._now))
        servers.weight[server], servers.noted[server] = kept + 1.0, self._now
        servers.latency[server] += (share - servers.latency[server]) / (kept + 1.0)

    def _apart(self, figures: list[float], server: int) -> bool:
        """Whether a server stands out: where half of the tier is as bad, it is the tier's trouble."""
        ready = [figures[s] for s, fit in enumerate(self._servers.ready) if fit]
        ready.sort()
        return bool(ready) and figures[server] > 2.0 * ready[len(ready) // 2]

    def _bar_few(self, server: int) -> None:
        """Bars a server unless half of them are: what most suffer is the tier's trouble, not a server's."""
        if 2 * (len(self._on_trial) + 1) <= self._kept_to:
            self._bar(server)

    def _bar(self, server: int) -> None:
        servers = self._servers
        if servers.barred[server]:
            return
        self._prolong(server)
        self._on_trial.append(server)
        self._trials_due = -inf
        self._solve_soon()

    def _prolong(self, server: int) -> None:
        """Sets when a barred server is tried next, ever later.

        Guards against trials of so many nodes that they alone keep a slow server from getting well.
        """
        servers, many = self._servers, max(1.0, 1.0 / self._ring.fair)
        servers.penalty[server] = min(max(many * RESOLVE / 2, 2 * servers.penalty[server]), many * WINDOW / 2)
        servers.barred[server] = self._now + servers.penalty[server]

    def _trial_for(self, request: Request) -> int:
        """A barred server whose time has come gets one safe request: the way back in."""
        servers = self._servers
        harmless = request.rules.can_trial
        if harmless is None:
            harmless = request.rules.idempotency == Idempotency.IDEMPOTENT
        if not harmless or request.servers or not self._trial_due():
            return -1
        for server in self._on_trial:
            if servers.barred[server] <= self._now and not servers.trial[server]:
                if servers.ready[server] and self._may_go(request, server):
                    servers.trial[server] = True
                    return server
        return -1

    def _trial_due(self) -> bool:
        """Whether any barred server may be tried by now, looked up no more often than that can change."""
        if self._now < self._trials_due:
            return False
        servers = self._servers
        untried = [servers.barred[server] for server in self._on_trial if not servers.trial[server]]
        self._trials_due = min(untried, default=inf)
        return self._trials_due <= self._now

    def _pass_trial(self, server: int) -> None:
        servers = self._servers
        servers.trial[server] = False
        self._trials_due = -inf
        if servers.barred[server] and servers.latency[server] < OUTLIER * max(1.0, self._pace.median):
            servers.barred[server] = servers.penalty[server] = servers.errors[server] = 0.0
            if server in self._on_trial:
                self._on_trial.remove(server)
            self._solve_soon()

    def _fail_trial(self, server: int) -> None:
        servers = self._servers
        if servers.barred[server] and servers.trial[server]:
            servers.trial[server], self._trials_due = False, -inf
            self._prolong(server)

    def _beat(self) -> None:
        now, pace = self._now, self._pace
        step = BEAT * RESOLVE
        # guards against a stalled turn: answers may lie unread, so nobody is blamed for silence
        stalled = now - self._next_beat > step / 2
        self._next_beat = now + step
        pace.beat(now)
        self._rate += (self._served / step - self._rate) * SMOOTHING if self._rate else self._served / step
        self._served = 0
        for i, quota in enumerate(self._quotas()):
            self._allowance[i] = min(self._saved(quota), self._allowance[i] + quota * step)
        parts: list[Callable[[], None]] = []
        if now >= self._next_resolve:
            self._next_resolve = now + RESOLVE
            parts += [lambda: pace.resolve(now), self._idleness.resolve]
        if self._reports:
            parts.append(self._sound)
        if not stalled:
            parts.append(self._watch_silence)
        more = CROWDED / self._depth  # a crowd's wait is thinned out by calls to the tiers below
        parts += [
            lambda: self._refill(step),
            lambda: self._ring.beat(step, pace.spread, more, self._chance),
            self._solve,
            self._sort_out,
        ]
        if self._kept_to > self._large and self._ring.limit < inf:
            # guards against one round that takes as long as the servers are many: a part goes into each of
            # the next rounds, which come within some ticks; not the first time, when there is no room yet
            self._parts.extend(parts)
        else:
            for part in parts:
                part()

    def _watch_silence(self) -> None:
        """Guards against servers that take work and answer nothing, or answer far too late."""
        servers, patience = self._servers, SILENT * self._pace.p95 or inf
        # an attempt is out for that long, or hedges won over one after the other before it was
        silent = [
            s
            for s, out in enumerate(servers.out)
            if out
            and servers.ready[s]
            and (
                self._now - max(next(iter(out.values())), servers.heard[s]) > patience
                or servers.misses[s] > 2
                and self._now - servers.heard[s] > patience
            )
        ]
        for server in silent:
            self._bar_few(server)
            if servers.barred[server]:
                self._rescue(server, patience)
        for server in self._ring.slow:
            self._bar_few(server)

    def _rescue(self, server: int, patience: float) -> None:
        """What may run elsewhere is sent elsewhere when its server has gone silent."""
        for (number, _), sent in list(self._servers.out[server].items()):
            request = self._requests.get(number)
            if request is None or request.over or len(request.out) > 1:
                continue
            old = self._now - sent >= patience / SILENT
            if old and self._repeat_credit >= 1.0 and self._may_repeat(request) and self._send(request):
                self._repeat_credit -= 1.0

    def _refill(self, step: float) -> None:
        """Rule four: what this node may send to a cold server, from what its like carry when warm.

        Half of the stated multiple: peers carry less than they can, and chance wants room. Only servers kept
        to have credit and are the measure: else a new one starves until all nodes come at once.
        """
        servers, terms = self._servers, self._terms
        carried: dict[int, list[float]] = {}
        kept_to = self._on_trial + self._ring.servers
        for server in kept_to:
            rate = servers.served[server] / step
            servers.served[server] = 0
            servers.carried[server] += (rate - servers.carried[server]) * SMOOTHING * BEAT
            if self._warmth(server) >= 1.0 and not servers.barred[server]:
                carried.setdefault(servers.model[server], []).append(servers.carried[server])
        everywhere = [rate for rates in carried.values() for rate in rates]
        for server in kept_to:
            warmth = self._warmth(server)
            if warmth < 1.0:
                like = carried.get(servers.model[server]) or everywhere or [max(servers.carried, default=0.0)]
                rate = terms.overload_multiple / 2 * warmth * sum(like) / len(like) / self._caution
                most = max(1.0, rate * terms.overload_window_s / 2)
                servers.credit[server] = min(most, max(-most, servers.credit[server]) + rate * step)
