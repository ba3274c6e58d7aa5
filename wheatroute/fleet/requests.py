"""Requests of the emulator as data: at their client, at a node, and their attempts. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from math import inf

from wheatroute.balancing.interface import AttemptOutcome
from wheatroute.fleet.engine import ScheduledCall
from wheatroute.fleet.jobs import Job
from wheatroute.fleet.network import Address
from wheatroute.fleet.servers import Server

# outcomes that prove it of an attempt
NEVER_RAN = (AttemptOutcome.FULL, AttemptOutcome.UNCONNECTED, AttemptOutcome.MOOT)


class RequestOutcome(StrEnum):
    """How a request ended, at a node or at its client; values are the words of stories and traces."""

    OPEN = ""  # not yet
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LEFT = "left"  # the client didn't wait any longer
    LOST = "lost"  # the node that held it has died
    UNREACHED = "unreached"  # no node could be reached


class ClientRequest:
    """One request as its client sees it, with all its tries."""

    __slots__ = (
        "index",
        "class_number",
        "tenant",
        "zone",
        "size",
        "arrived_at",
        "target_at",
        "deadline_at",
        "is_within_quota",
        "heeds_retry_advice",
        "tries",
        "outcome",
        "ended_at",
        "is_over",
    )

    def __init__(
        self, index: int, class_number: int, tenant: int, zone: int, size: float, arrived_at: float
    ) -> None:
        self.index = index  # in the order of arrival
        self.class_number = class_number
        self.tenant = tenant  # -1: none
        self.zone = zone  # of the client
        self.size = size  # work, as a multiple of its class's mean
        self.arrived_at = arrived_at
        self.target_at = 0.0  # an answer up to then has its whole value
        self.deadline_at = 0.0
        self.is_within_quota = True
        self.heeds_retry_advice = True
        self.tries = 0
        self.outcome = RequestOutcome.OPEN  # of the last try
        self.ended_at = inf  # of the last try
        self.is_over = False  # no further try


class NodeRequest:
    """One request at one node: a try of a client, or a call of a server."""

    __slots__ = (
        "node_address",
        "number",
        "client_request",
        "call",
        "deadline_at",
        "tenant",
        "on_answer",
        "outcome",
        "attempts",
        "in_flight",
    )

    def __init__(
        self,
        node_address: Address,
        number: int,
        client_request: ClientRequest,
        call: int,
        deadline_at: float,
        tenant: int,
        on_answer: Callable[[RequestOutcome, float], None],
    ) -> None:
        self.node_address = node_address
        self.number = number  # at its node
        self.client_request = client_request
        self.call = call  # tells the calls of one client request apart; 0 at the entry
        self.deadline_at = deadline_at
        self.tenant = tenant
        self.on_answer = on_answer  # called once, with the seconds to stay away
        self.outcome = RequestOutcome.OPEN
        self.attempts: list[Attempt] = []
        self.in_flight = 0

    @property
    def is_answered(self) -> bool:
        """Whether it has ended, also by its client's leaving."""
        return self.outcome is not RequestOutcome.OPEN

    @property
    def class_number(self) -> int:
        """Its request class."""
        return self.client_request.class_number

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Its attempts but for those that are proven not to have run."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]


class Attempt:
    """One attempt of a request at a server."""

    __slots__ = (
        "request",
        "number",
        "server",
        "sent_at",
        "outcome",
        "timeout",
        "job",
        "is_over",
        "has_connection",
        "is_written",
        "incarnation",
    )

    def __init__(self, request: NodeRequest, number: int, server: Server, sent_at: float) -> None:
        self.request = request
        self.number = number  # in its request, from 0
        self.server = server
        self.sent_at = sent_at
        self.outcome: AttemptOutcome | None = None  # None: in flight
        self.timeout: ScheduledCall | None = None
        self.job: Job | None = None  # once the server has accepted it
        self.is_over = False  # the node doesn't wait for it
        self.has_connection = False
        self.is_written = False  # so that it may have run
        self.incarnation = server.incarnation  # of the server, when its connection was opened
