"""One request and its attempts: the state that the rules on final answers and retries depend on. No I/O."""

from __future__ import annotations

from math import inf

from wheatroute.balancing.settings import RequestClass


class Request:
    """A request that has no final answer yet, or that still has attempts in flight.

    Times are in seconds on the clock of `Balancer.handle_events`. `target` is the time until which an answer
    has its full value; at `give_up_at` the request gets its final answer if it has none yet. `value` is the
    value of the request's class, multiplied by the factors in `RequestAdmission.new_request` and, unless
    answers count by their work (`DecisionSettings.work_counts`), divided by the mean latency of the class, so
    that it is a value per second.
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
        "idle_buckets",
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
        # The next three lists have one entry per attempt.
        self.servers: list[int] = []
        # Bucket of the longest time for which the attempt's connection may have been idle.
        self.idle_buckets: list[int] = []
        self.opened_connection: list[bool] = []  # whether the attempt needed a new connection
        self.attempts_in_flight: set[int] = set()  # unordered: read only through sorted() or min()
        self.may_have_run = 0  # number of ended attempts that may have run
        # Deduplication group of the first attempt that may have run. Repeats of a keyed request are sent only
        # to this group.
        self.group = -1
        # When the first attempt that may have run was sent; the retry window starts then.
        self.first_sent_at = inf
        self.is_over = self.is_hedged = self.is_queued = False
        # At the entry tier, the tenant whose token the request took; -1 if it has no tenant or is beyond its
        # tenant's quota. At a tier below, the request's tenant, or -1.
        self.quota_tenant = -1
        self.capacity_fraction = 1.0  # fraction of the concurrency limit that the request may use
        self.relative_size = 1.0  # hinted work divided by the mean work of the class
