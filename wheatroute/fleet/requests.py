"""Data of simulated requests: as the client sees them, as a node sees them, and their attempts. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from math import inf

from wheatroute.balancing.interface import AttemptOutcome
from wheatroute.fleet.engine import ScheduledCall
from wheatroute.fleet.jobs import Job
from wheatroute.fleet.network import Address
from wheatroute.fleet.servers import Server

# Outcomes that prove that an attempt never ran.
NEVER_RAN = (AttemptOutcome.FULL, AttemptOutcome.UNCONNECTED, AttemptOutcome.MOOT)


class RequestOutcome(StrEnum):
    """How a request ended, at a node or at its client; the values appear in violations and traces."""

    OPEN = ""  # not ended yet
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LEFT = "left"  # the client stopped waiting
    LOST = "lost"  # the node died while the request was open
    UNREACHED = "unreached"  # no node could be reached


class ClientRequest:
    """Holds one request as its client sees it, with all its tries."""

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
        "honors_retry_after",
        "tries",
        "outcome",
        "ended_at",
        "is_over",
    )

    def __init__(
        self, index: int, class_number: int, tenant: int, zone: int, size: float, arrived_at: float
    ) -> None:
        self.index = index  # position in the order of arrival, from 0
        self.class_number = class_number
        self.tenant = tenant  # -1: no tenant
        self.zone = zone  # zone of the client
        self.size = size  # work, as a multiple of the mean of its class
        self.arrived_at = arrived_at
        self.target_at = 0.0  # an answer up to this time has its full value
        self.deadline_at = 0.0
        self.is_within_quota = True
        self.honors_retry_after = True
        self.tries = 0
        self.outcome = RequestOutcome.OPEN  # outcome of the last try
        self.ended_at = inf  # end of the last try
        self.is_over = False  # the client makes no further try


class NodeRequest:
    """Holds one request at one node: a try of a client or a call of a server."""

    __slots__ = (
        "node_address",
        "number",
        "client_request",
        "call_number",
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
        call_number: int,
        deadline_at: float,
        tenant: int,
        on_answer: Callable[[RequestOutcome, float], None],
    ) -> None:
        self.node_address = node_address
        self.number = number  # unique at its node
        self.client_request = client_request
        self.call_number = call_number  # unique within the client request; 0 at an entry node
        self.deadline_at = deadline_at
        self.tenant = tenant
        self.on_answer = on_answer  # called once, with the outcome and the seconds after which to retry
        self.outcome = RequestOutcome.OPEN
        self.attempts: list[Attempt] = []
        self.in_flight = 0  # number of attempts that have not ended

    @property
    def is_answered(self) -> bool:
        """Whether the request has an outcome; also true if its client has left."""
        return self.outcome is not RequestOutcome.OPEN

    @property
    def class_number(self) -> int:
        """The index of its request class in the plan."""
        return self.client_request.class_number

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Returns the attempts except those that are known not to have run."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]


class Attempt:
    """Holds one attempt of a request at a server."""

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
        self.number = number  # index in its request, from 0
        self.server = server
        self.sent_at = sent_at
        self.outcome: AttemptOutcome | None = None  # None while in flight
        self.timeout: ScheduledCall | None = None  # the call that ends the attempt at its timeout
        self.job: Job | None = None  # set when the server accepts it
        self.is_over = False  # the node no longer waits for it
        self.has_connection = False
        self.is_written = False  # it was written completely, so it may have run
        self.incarnation = server.incarnation  # of the server when the connection was opened
