"""Whether a request may be sent again, and what its final answer may be. Pure functions; no I/O.

A request that isn't idempotent runs at most once. One under a key may run again only where and while the
servers drop the repeat: in the deduplication group of its first attempt, within the retry window. The window
is checked here, the group by `ServerSelection.may_send`, as each server is chosen.
"""

from math import inf

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency
from wheatroute.balancing.request import Request
from wheatroute.balancing.server_statistics import ServerStatistics
from wheatroute.balancing.settings import DecisionSettings, RequestClass


def deduplication_group(rules: RequestClass, servers: ServerStatistics, server: int) -> int:
    """The number of the group that drops a repeat of what this server was sent; 0 for an unknown server."""
    group = rules.deduplication_group
    if group == DeduplicationGroup.ALL or server < 0:
        return 0
    return servers.zone[server] if group == DeduplicationGroup.ZONE else servers.cell[server]


def may_repeat(request: Request, settings: DecisionSettings, now: float) -> bool:
    """Whether any further attempt may be sent at all; `now` is in seconds."""
    if request.is_over or len(request.servers) >= settings.max_attempts:
        return False
    if request.attempts_in_flight and not settings.can_hedge:
        return False
    if not request.may_have_run and not request.attempts_in_flight:
        return True
    if request.rules.idempotency == Idempotency.KEYED:
        return now < request.first_sent_at + request.rules.retry_window - settings.tick
    return request.rules.idempotency == Idempotency.IDEMPOTENT


def rebind(request: Request, rules: RequestClass, servers: ServerStatistics) -> None:
    """Binds a request to changed rules, also where it was sent under others.

    Called by `SettingsUpdates.settings_changed` for each request that binding settings find here.
    """
    request.rules = rules
    groups = {deduplication_group(rules, servers, server) for server in request.servers}
    if len(groups) == 1:
        request.group = groups.pop()
    elif groups:
        # One group would run a repeat that another has run. With a first attempt infinitely long ago the
        # retry window is over, so `may_repeat` allows no repeat under the key.
        request.first_sent_at = -inf


def may_reject(request: Request) -> bool:
    """Whether the client may be told that it can send the request again unharmed."""
    if request.rules.idempotency == Idempotency.IDEMPOTENT:
        return True
    if not (request.may_have_run or request.attempts_in_flight):
        return True
    is_keyed = request.rules.idempotency == Idempotency.KEYED
    return is_keyed and request.rules.deduplication_group == DeduplicationGroup.ALL
