"""A tiny host: hands the decisions their rounds and answers relays the way a test says."""

import random

from wheatroute.decide import Balancer
from wheatroute.interface import Effect, Event, Group, Outcome, State

PURE, RECEIPTED, EFFECTFUL = 0, 1, 2


def terms(**changes):
    def kind(effect, utility, group=Group.ALL):
        return {"target_time": 1.0, "stretch": 0.0, "hard_stop": 3.0, "utility": utility, "late_utility": 0.0,
                "effect": effect, "group": group, "repeat_window": 2.0, "streamed": False}
    out = {"nodes": 1, "node": 0, "tick": 0.005, "tier": 0, "tiers": 1, "zones": 1, "second_copies": True,
           "withdrawals": True, "probes": False, "bounce_advice": True, "longest_advice": 2.0,
           "most_relays": 4, "connect_within": 0.1, "excess_utility": 0.05, "crossing_price": 0.0,
           "idle_closed": 30.0, "calls_per_connection": 1, "ask_within": 10.0,
           "cold_time": 20.0, "cold_share": 0.1, "drain_grace": 0.5, "fall_span": 3.0, "fall_multiple": 3.0,
           "zone": 0, "list_on_request": False, "work_counts": False, "customers": [], "reported": [],
           "traffic_types": [kind(Effect.PURE, 5.0), kind(Effect.RECEIPTED, 3.0, Group.CELL),
                             kind(Effect.EFFECTFUL, 3.0)]}
    return out | changes


class Host:
    """Servers are numbered; `answer(server, relay)` tells (outcome, took), or None for never."""

    def __init__(self, servers=4, answer=None, seed=1, start=100.0, entries=None, report=None,
                 **changes):
        self.terms = terms(**changes)
        self.balancer = Balancer(self.terms, random.Random(seed))
        self.now, self.answer = start, answer or (lambda server, relay: (Outcome.HANDLED, 0.1))
        self.events, self.pending, self.did = [], [], []
        self.report = report or (lambda server: None)
        self.relays, self.out, self.final, self.arrivals = {}, set(), {}, 0
        self.list(entries or [self.entry(s) for s in range(servers)], True)

    @staticmethod
    def entry(server, state=State.LIVE, zone=0, cell=None, started=0.0):
        return (server, zone, 0, server // 2 if cell is None else cell, state, 1.0, started)

    def list(self, entries, whole=False):
        self.events.append((Event.LISTED, entries, whole))

    def ask(self, kind=PURE, left=3.0, customer=-1, repeated=False):
        number, self.arrivals = self.arrivals, self.arrivals + 1
        self.relays[number] = []
        self.events.append((Event.ARRIVED, number, kind, left, customer, repeated))
        return number

    def step(self, seconds=0.0):
        """One round now, then one a tick until `seconds` have gone by."""
        end = self.now + seconds
        while True:
            for item in sorted(one for one in self.pending if one[0] <= self.now + 1e-9):
                self.pending.remove(item)
                self._return(*item[1:])
            events, self.events = self.events, []
            self.balancer.round(self.now, events, self)
            if self.now >= end - 1e-9:
                return self
            self.now += self.terms["tick"]

    def run(self, seconds, rate, kind=PURE, **how):
        """Commands at an even rate."""
        for _ in range(int(seconds * rate)):
            self.ask(kind, **how)
            self.step(1.0 / rate)
        return self

    def _return(self, number, n, server, outcome, took):
        if (number, n) not in self.out:
            return
        self.out.discard((number, n))
        finished = number in self.final or outcome == Outcome.HANDLED
        if outcome == Outcome.HANDLED:
            self.final.setdefault(number, "handled")
        self.events.append((Event.RETURNED, number, n, server, outcome, took, finished,
                            self.report(server)))

    def sent(self, server, since=0.0):
        return sum(1 for what, when, *rest in self.did
                   if what == "relay" and rest[1] == server and when >= since)

    def count(self, what):
        return sum(1 for one in self.did if one[0] == what)

    # the writer

    def relay(self, command, server, time_out):
        assert command not in self.final, "nothing goes out after the final answer"
        n = len(self.relays[command])
        self.relays[command].append(server)
        self.out.add((command, n))
        self.did.append(("relay", self.now, command, server))
        outcome, took = self.answer(server, (command, n)) or (Outcome.TIMED_OUT, time_out)
        self.pending.append((self.now + took, command, n, server, outcome, took))

    def withdraw(self, command, n):
        self.did.append(("withdraw", self.now, command, n))
        self.pending.append((self.now + self.terms["tick"], command, n, self.relays[command][n],
                             Outcome.WITHDRAWN, 0.5))

    def bounce(self, command, stay_away):
        self._end(command, "bounced", stay_away)

    def terminate(self, command):
        self._end(command, "terminated", 0.0)

    def _end(self, command, word, stay_away):
        assert command not in self.final, "one final answer"
        self.final[command] = word
        self.did.append((word, self.now, command, stay_away))

    def wake(self, moment):
        assert moment > self.now

    def sound(self, server):
        self.did.append(("sound", self.now, server))

    def watch(self, enable):
        self.did.append(("watch", self.now, enable))

    def fetch(self):
        self.did.append(("fetch", self.now))

    def close(self, server):
        self.did.append(("close", self.now, server))

    def log(self, text):
        self.did.append(("log", self.now, text))
