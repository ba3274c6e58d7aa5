"""Maps names on the wire and in settings files to internal ones, and names to dense numbers. No I/O.

Contains only names that the simulator's link, the node and the processor share. The names of outcomes and of
server states differ between these three, so the package of each defines its own.
"""

from collections.abc import Callable, Mapping
from contextlib import suppress
from urllib.parse import quote

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency

IDEMPOTENCY_NAMES = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_GROUP_NAMES = {
    "all": DeduplicationGroup.ALL,
    "zone": DeduplicationGroup.ZONE,
    "cell": DeduplicationGroup.CELL,
}
# Metrics of load reports: maps the names that the simulator and real servers use to internal names. Decisions
# use "held" (requests in progress), "queued" (requests waiting) and "rate" (requests per second).
REPORT_FIGURES = {
    "active": "held",
    "waiting": "queued",
    "cpu": "busy",
    "avg_ms": "service_ms",
    "rps": "rate",
    "err_rps": "error_rate",
    "inflight": "held",
    "queue": "queued",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "rate",
    "eps": "error_rate",
}


# Characters that a path segment may contain either literally or percent-encoded (RFC 3986, `pchar`).
UNRESERVED_IN_PATH = "!$&'()*+,;=:@"


class NameNumbering(dict[str, int]):
    """Maps names to numbers; a name that is looked up for the first time gets the next number."""

    def __missing__(self, name: str) -> int:
        self[name] = number = len(self)
        return number


def numbers_by_spelling(numbers: Mapping[str, int], *spellings: Callable[[str], bytes]) -> dict[bytes, int]:
    """Returns the number of each name by every byte string that may represent the name on the wire.

    Clients encode non-ASCII names in several ways; if one way were missing, requests of a tenant would not be
    counted for it. If two names share a spelling, it belongs to the name for which an earlier function in
    `spellings` returns it.
    """
    found: dict[bytes, int] = {}
    for spelling in spellings:
        for name, number in numbers.items():
            with suppress(UnicodeEncodeError):
                found.setdefault(spelling(name), number)
    return found


def numbers_by_path_segment(numbers: Mapping[str, int]) -> dict[bytes, int]:
    """Returns the number of each name by every spelling of the name as a path segment."""
    return numbers_by_spelling(
        numbers,
        lambda name: quote(name, safe="").encode(),
        lambda name: quote(name, safe=UNRESERVED_IN_PATH).encode(),
        str.encode,
    )


def numbers_by_header_value(numbers: Mapping[str, int]) -> dict[bytes, int]:
    """Returns the number of each name by every spelling of the name as a header value."""
    return numbers_by_spelling(
        numbers, str.encode, lambda name: quote(name, safe="").encode(), lambda name: name.encode("latin-1")
    )
