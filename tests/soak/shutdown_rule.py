"""The rule that a planned stop loses no request, judged by what clients, servers and the platform see."""

import signal
from dataclasses import dataclass, field
from math import inf

FULL_SERVICE_S = 3.0  # until this time after SIGTERM every request is to be admitted
CONTACT_S = 1.0  # a request is judged if its node had no unplanned trouble from this long before it
LOSS_SLACK_S = 0.2  # a request that was not passed on may cross the end of its connection by this much
CLOCK_SLACK_S = 0.1  # difference between times taken here and in the node
SHUTDOWN_MARGIN_S = 0.5  # time before the kill at which a node answers what is left
FINAL_PART = 5 / 6  # part of the grace period after which a request that came early may be cut
NOT_RUN_STATUSES = (408, 421, 429, 503)  # statuses which promise that the request has not run and never will
STOPPING_BODY, STOPPED_BODY = b"stopping\n", b"stopped\n"


class OwnLateness:
    """How late the observing process was: while its loop stood still, it saw no response and no end."""

    def __init__(self):
        self._delays = []  # (time at which the loop went on, seconds for which it stood still)
        self.max_s = 0.0

    def record(self, now, delay_s):
        """Records that the loop went on now, late by `delay_s`."""
        self._delays.append((now, delay_s))
        self.max_s = max(self.max_s, delay_s)

    def between(self, begin, end):
        """Returns the seconds in this time for which the loop stood still."""
        return sum(
            min(end, at) - max(begin, at - delay_s)
            for at, delay_s in self._delays
            if at > begin and at - delay_s < end
        )


@dataclass
class NodeLife:
    """One process of a node, from its start to its end."""

    node: str
    started_at: float
    stopped_at: float = inf  # first SIGTERM
    ended_at: float = inf
    exit_status: int | None = None
    troubles: list = field(default_factory=list)  # times of unplanned signals
    has_answered: bool = False  # whether anybody got a response from it
    signals: list = field(default_factory=list)  # (time, number)

    def had_trouble(self, begin, end):
        """Whether something unplanned happened to the process at that time."""
        return any(begin - CONTACT_S <= at <= end for at in self.troubles)


@dataclass
class ServerRun:
    """One execution of a request at a server."""

    begun_at: float
    ended_at: float = inf
    is_whole: bool = False


@dataclass
class Exchange:
    """A request as its client sees it, and its executions."""

    identity: str
    kind: str
    life: NodeLife
    timeout_s: float
    follows_close: bool  # whether an earlier response on the connection announced its end
    begun_at: float = inf  # first byte was sent
    sent_at: float = inf  # last byte was sent
    ended_at: float = inf  # response complete, or connection ended
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    runs: list = field(default_factory=list)

    def describe(self):
        """Returns the exchange with its times from SIGTERM."""
        stop = self.life.stopped_at if self.life.stopped_at < inf else self.life.started_at
        runs = [(round(run.begun_at - stop, 3), round(run.ended_at - stop, 3)) for run in self.runs]
        return (
            f"{self.identity} ({self.kind}) at {self.life.node}, SIGTERM at {self.life.stopped_at:.3f}: "
            f"sent {self.sent_at - stop:.3f}, ended {self.ended_at - stop:.3f} after it, "
            f"status {self.status}, runs {runs}"
        )


def violations_of_exchange(exchange, grace_s, lateness):
    """Returns the names of the rules that an exchange broke."""
    broken = []
    if not exchange.is_whole and is_lost(exchange, grace_s, lateness):
        broken.append("lost")
    if exchange.runs and exchange.is_whole and exchange.status in NOT_RUN_STATUSES:
        broken.append("refused, but ran")
    if exchange.kind != "safe" and len(exchange.runs) > 1:
        broken.append("ran twice")
    if exchange.is_whole and exchange.body == STOPPING_BODY and is_refused_early(exchange, grace_s):
        broken.append("refused while there was time")
    if exchange.is_whole and exchange.body == STOPPED_BODY and is_ended_early(exchange, grace_s):
        broken.append("ended sooner than it had to be")
    if exchange.is_whole and exchange.status == 200 and not exchange.runs:
        broken.append("answered, but never ran")
    return broken


def is_lost(exchange, grace_s, lateness):
    """Returns whether a request without a whole response was lost by its node."""
    life = exchange.life
    if exchange.sent_at == inf or exchange.ended_at == inf:
        return False  # never sent whole, or still open at the end of the run
    if life.had_trouble(exchange.begun_at, exchange.ended_at):
        return False
    if exchange.ended_at >= exchange.begun_at + exchange.timeout_s:
        return False
    if not exchange.runs:
        # A client may send again what crossed the end of its connection.
        waited_s = exchange.ended_at - exchange.sent_at
        waited_s -= lateness.between(exchange.sent_at, exchange.ended_at)
        return not exchange.follows_close and waited_s > LOSS_SLACK_S
    # It had been sent when it began to run, even if the observer's loop noted that later.
    sent_at = min(exchange.sent_at, exchange.runs[0].begun_at)
    came_early = sent_at <= life.stopped_at + FULL_SERVICE_S
    return not (came_early and exchange.ended_at >= life.stopped_at + grace_s * FINAL_PART)


def is_refused_early(exchange, grace_s):
    """Returns whether a node refused a request because of its stop although there was time for it."""
    life = exchange.life
    if exchange.ended_at >= life.stopped_at + grace_s - SHUTDOWN_MARGIN_S - CLOCK_SLACK_S:
        return False
    return exchange.ended_at < life.stopped_at + FULL_SERVICE_S - CLOCK_SLACK_S


def is_ended_early(exchange, grace_s):
    """Returns whether a node gave a sent request up before the end of its stop."""
    return exchange.ended_at < exchange.life.stopped_at + grace_s - SHUTDOWN_MARGIN_S - CLOCK_SLACK_S


def violations_of_life(life, grace_s, lateness):
    """Returns the names of the rules that a process broke when it was stopped.

    A process that has answered nothing may end by the signal: it may not even have begun to handle signals.
    """
    if life.stopped_at == inf or life.troubles or life.ended_at == inf:
        return []
    if life.exit_status == -signal.SIGTERM and not life.has_answered:
        return []
    broken = []
    if life.exit_status != 0:
        broken.append(f"ended with status {life.exit_status}")
    if life.ended_at - lateness.between(life.stopped_at, life.ended_at) > life.stopped_at + grace_s:
        broken.append("outlived its grace period")
    return broken
