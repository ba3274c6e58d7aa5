"""One request and the account of its attempts, by which the rules on answers and repeats are kept. No I/O."""

from __future__ import annotations

from math import inf

from wheatroute.balancing.settings import RequestClass


class Request:
    """A request that has no final answer yet, or attempts in flight.

    Moments are in seconds, on the clock of `Balancer.handle_events`. `target` is the moment up to which an
    answer counts in full, `give_up_at` the one at which the request gets its final answer if it has none.
    `value` is the class's, with the factors of `RequestAdmission.new_request`; unless answers count by their
    work, it is divided by the mean latency of the class, so that it is a value a second.
    """

    __slots__ = (
        "number",
        "class_number",
        "rules",
        "target",
        "give_up_at",
        "value",
        "servers",
        "attempts_in_flight",
        "may_have_run",
        "group",
        "first_sent_at",
        "is_over",
        "is_hedged",
        "is_queued",
        "idle_steps",
        "opened_connection",
        "quota_tenant",
        "capacity_fraction",
        "relative_size",
    )

    def __init__(
        self,
        number: int,
        class_number: int,
        rules: RequestClass,
        target: float,
        give_up_at: float,
        value: float,
    ) -> None:
        self.number, self.class_number, self.rules = number, class_number, rules
        self.target, self.give_up_at, self.value = target, give_up_at, value
        self.servers: list[int] = []  # by attempt
        self.idle_steps: list[int] = []  # by attempt: how long its connection may have been idle
        self.opened_connection: list[bool] = []  # by attempt: it needed a new connection
        self.attempts_in_flight: set[int] = set()  # only sorted() or min() of it is used
        self.may_have_run = 0  # attempts that ended and may have run
        self.group = -1  # deduplication group of the first attempt that may have run: repeats stay in it
        self.first_sent_at = inf  # when that attempt was sent: the retry window begins
        self.is_over = self.is_hedged = self.is_queued = False
        self.quota_tenant = -1  # the tenant whose quota it used; -1: it is beyond its tenant's quota
        self.capacity_fraction = 1.0  # of the concurrency limit that it may use
        self.relative_size = 1.0  # hinted work over the mean of its class
