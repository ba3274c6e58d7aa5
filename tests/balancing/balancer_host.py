"""A host of the balancer in virtual time; a test defines how its servers answer."""

import random
from dataclasses import replace

from wheatroute.balancing.interface import AttemptOutcome, DeduplicationGroup, Event, Idempotency, ServerState
from wheatroute.balancing.settings import DecisionSettings, RequestClass
from wheatroute.decide import Balancer

IDEMPOTENT, KEYED, NON_IDEMPOTENT = 0, 1, 2  # numbers of the request classes of `decision_settings`


def decision_settings(**changes):
    """Returns settings with one request class of each idempotency, and with `changes`."""

    def request_class(idempotency, value, group=DeduplicationGroup.ALL):
        return RequestClass(
            target_latency=1.0,
            deadline=3.0,
            value=value,
            idempotency=idempotency,
            deduplication_group=group,
            retry_window=2.0,
        )

    defaults = DecisionSettings(
        tick=0.005,
        can_hedge=True,
        can_cancel=True,
        can_advise_retry=True,
        max_retry_after_s=2.0,
        max_attempts=4,
        connect_timeout_s=0.1,
        excess_value_factor=0.05,
        idle_timeout_s=30.0,
        list_max_age_s=10.0,
        warmup_s=20.0,
        warmup_initial_share=0.1,
        drain_grace_s=0.5,
        overload_window_s=3.0,
        overload_multiple=3.0,
        report_how="answers",
        request_classes=[
            request_class(Idempotency.IDEMPOTENT, 5.0),
            request_class(Idempotency.KEYED, 3.0, DeduplicationGroup.CELL),
            request_class(Idempotency.NON_IDEMPOTENT, 3.0),
        ],
    )
    return replace(defaults, **changes)


# Settings of nodes that probe servers for their queue length and exchange the results.
REPORTS_WAIT = {"report_how": "probe", "reported": ["queued", "rate"], "can_probe": True, "has_peers": True}
# Ways in which an attempt ends, for `answer`: the outcome and the seconds until then; None: it never ends.
SERVED, NEVER = (AttemptOutcome.SERVED, 0.1), None


class BalancerHost:
    """Passes events to a `Balancer`, and executes and records its commands.

    `answer(server, attempt)` returns how an attempt ends, as (outcome, seconds), or None if it never ends;
    `attempt` is (request, attempt number). `report(server)` returns the server's load report.
    `final_answers` has "served", "rejected" or "failed" for each request that is over.
    """

    def __init__(self, servers=4, answer=None, seed=1, start=100.0, entries=None, report=None, **changes):
        self.settings = decision_settings(**changes)
        self.balancer = Balancer(self.settings, random.Random(seed))
        self.now, self.answer = start, answer or (lambda server, attempt: SERVED)
        # `pending` has the ends of attempts to come: (time, request, n, server, outcome, elapsed seconds).
        self.events, self.pending = [], []
        self.commands = []  # (name, time, *arguments) of each command
        self.report = report or (lambda server: None)
        self.attempts = {}  # the servers of each request's attempts, by request
        self.in_flight = set()  # (request, attempt number)
        self.final_answers, self.request_count = {}, 0
        self.list_servers(entries or [self.list_entry(s) for s in range(servers)], True)

    @staticmethod
    def list_entry(server, state=ServerState.LIVE, zone=0, cell=None, started=0.0):
        return (server, zone, 0, server // 2 if cell is None else cell, state, 1.0, started)

    def list_servers(self, entries, is_full=False):
        self.events.append((Event.SERVERS_LISTED, entries, is_full))

    def send_request(self, request_class=IDEMPOTENT, time_left=3.0, tenant=-1, is_repeated=False):
        """Adds the arrival of a request to the next batch; returns the request's number."""
        number, self.request_count = self.request_count, self.request_count + 1
        self.attempts[number] = []
        self.events.append((Event.ARRIVED, number, request_class, time_left, tenant, is_repeated))
        return number

    def step(self, seconds=0.0):
        """Runs one event batch now, then one per clock step until `seconds` have passed."""
        end = self.now + seconds
        while True:
            for ending in sorted(entry for entry in self.pending if entry[0] <= self.now + 1e-9):
                self.pending.remove(ending)
                self._end_attempt(*ending[1:])
            events, self.events = self.events, []
            self.balancer.handle_events(self.now, events, self)
            if self.now >= end - 1e-9:
                return self
            self.now += self.settings.tick

    def run(self, seconds, rate, request_class=IDEMPOTENT, **options):
        """Sends requests at a constant rate for this many seconds."""
        for _ in range(int(seconds * rate)):
            self.send_request(request_class, **options)
            self.step(1.0 / rate)
        return self

    def _end_attempt(self, number, n, server, outcome, elapsed_s):
        if (number, n) not in self.in_flight:
            return
        self.in_flight.discard((number, n))
        is_finished = number in self.final_answers or outcome == AttemptOutcome.SERVED
        if outcome == AttemptOutcome.SERVED:
            self.final_answers.setdefault(number, "served")
        report = self.report(server)
        self.events.append((Event.ATTEMPT_ENDED, number, n, server, outcome, elapsed_s, is_finished, report))

    def attempts_to(self, server, since=0.0):
        """Returns the number of attempts sent to a server since a time."""
        return sum(
            1
            for name, when, *rest in self.commands
            if name == "attempt" and rest[1] == server and when >= since
        )

    def command_count(self, name):
        return sum(1 for command in self.commands if command[0] == name)

    # Methods of `CommandWriter`.

    def attempt(self, request, server, timeout_s):
        assert request not in self.final_answers, "an attempt was sent after the final answer"
        n = len(self.attempts[request])
        self.attempts[request].append(server)
        self.in_flight.add((request, n))
        self.commands.append(("attempt", self.now, request, server))
        outcome, elapsed_s = self.answer(server, (request, n)) or (AttemptOutcome.TIMED_OUT, timeout_s)
        self.pending.append((self.now + elapsed_s, request, n, server, outcome, elapsed_s))

    def cancel(self, request, n):
        self.commands.append(("cancel", self.now, request, n))
        self.pending.append(
            (
                self.now + self.settings.tick,
                request,
                n,
                self.attempts[request][n],
                AttemptOutcome.WITHDRAWN,
                0.5,
            )
        )

    def reject(self, request, retry_after_s):
        self._end_request(request, "rejected", retry_after_s)

    def fail(self, request):
        self._end_request(request, "failed", 0.0)

    def _end_request(self, request, final_answer, retry_after_s):
        assert request not in self.final_answers, "the request got a second final answer"
        self.final_answers[request] = final_answer
        self.commands.append((final_answer, self.now, request, retry_after_s))

    def wake_at(self, moment):
        assert moment > self.now

    def probe(self, server):
        self.commands.append(("probe", self.now, server))

    def send_loads(self, loads):
        self.commands.append(("send_loads", self.now, dict(loads)))

    def watch(self, enable):
        self.commands.append(("watch", self.now, enable))

    def fetch(self):
        self.commands.append(("fetch", self.now))

    def close(self, server):
        self.commands.append(("close", self.now, server))

    def log(self, text):
        self.commands.append(("log", self.now, text))


def failing_servers(*servers, outcome=NEVER):
    """Returns an `answer` by which attempts at these servers have `outcome` and all others are served."""
    return lambda server, attempt: outcome if server in servers else SERVED


def slow_servers(*slow):
    """Returns an `answer` by which all attempts are served, those at these servers four times slower."""
    return lambda server, attempt: (AttemptOutcome.SERVED, 0.4 if server in slow else 0.1)


def slow_at_times(server, attempt):
    """An `answer` by which the first attempt of every 25th request is slow."""
    return (AttemptOutcome.SERVED, 0.8) if attempt[0] % 25 == 24 and attempt[1] == 0 else SERVED


def node_at_its_limit(reported_load):
    """Returns one node of forty whose own low traffic reaches its limit; all servers report this load."""
    report = {"held": reported_load}
    host = BalancerHost(servers=8, nodes=40, reported=["held"], report=lambda server: report)
    return host.run(3.0, 20).step(0.2)


def run_with_light_reports(host, seconds, rate, **options):
    """Sends requests while other nodes report empty server queues; returns the numbers of the requests."""
    first = host.request_count
    for _ in range(int(seconds * 4)):
        host.events.append((Event.PEER_REPORTED, dict.fromkeys(range(40), 0.0)))
        host.run(0.25, rate, **options)
    return range(first, host.request_count)
