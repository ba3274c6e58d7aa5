"""Rules on retries: whether a request may be sent again, and whether it may be rejected. No I/O.

A non-idempotent request runs at most once. A keyed request may be repeated only at servers of the
deduplication group of its first attempt and only within the retry window, because only there and then do the
servers drop the repeat. The window is checked here, the group by `ServerSelection.may_send` when a server is
chosen.
"""

from math import inf

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency
from wheatroute.balancing.request import Request
from wheatroute.balancing.server_statistics import ServerStatistics
from wheatroute.balancing.settings import DecisionSettings, RequestClass


def deduplication_group(rules: RequestClass, servers: ServerStatistics, server: int) -> int:
    """Returns the server's deduplication group: its zone, its cell, or 0 if the group is all servers.

    Each server of a group drops repeats of a keyed request that another one of the group was sent. For an
    unknown server (-1) the result is 0.
    """
    group = rules.deduplication_group
    if group == DeduplicationGroup.ALL or server < 0:
        return 0
    return servers.zone[server] if group == DeduplicationGroup.ZONE else servers.cell[server]


def may_repeat(request: Request, settings: DecisionSettings, now: float) -> bool:
    """Returns whether another attempt of the request may be sent at all; `now` is in seconds."""
    if request.is_over or len(request.servers) >= settings.max_attempts:
        return False
    if request.attempts_in_flight and not settings.can_hedge:
        return False
    if not request.may_have_run and not request.attempts_in_flight:
        return True
    if request.rules.idempotency == Idempotency.KEYED:
        return now < request.first_sent_at + request.rules.retry_window - settings.tick
    return request.rules.idempotency == Idempotency.IDEMPOTENT


def apply_changed_rules(request: Request, rules: RequestClass, servers: ServerStatistics) -> None:
    """Applies changed rules to a request, which may already have been sent under other rules.

    `SettingsUpdates.settings_changed` calls this for each pending request if the new settings apply to them.
    """
    request.rules = rules
    groups = {deduplication_group(rules, servers, server) for server in request.servers}
    if len(groups) == 1:
        request.group = groups.pop()
    elif groups:
        # The request was sent to several groups, and a group doesn't drop a repeat of what another group has
        # run. Setting the time of the first attempt to -inf ends the retry window, so `may_repeat` allows no
        # keyed repeat.
        request.first_sent_at = -inf


def may_reject(request: Request) -> bool:
    """Returns whether the final answer may say that the client can safely send the request again."""
    if request.rules.idempotency == Idempotency.IDEMPOTENT:
        return True
    if not (request.may_have_run or request.attempts_in_flight):
        return True
    is_keyed = request.rules.idempotency == Idempotency.KEYED
    return is_keyed and request.rules.deduplication_group == DeduplicationGroup.ALL
