"""Names on the wire and in settings files, mapped to ours, and names mapped to dense numbers. No I/O.

Only what the bench's link, the node on sockets and the processor share; outcomes and server states as one of
them spells them stay with it.
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
# figures of load reports: the simulator's names and those on the sockets, and ours
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


UNRESERVED_IN_PATH = "!$&'()*+,;=:@"  # a path may hold them percent-encoded or as they are


class NameNumbering(dict[str, int]):
    """Numbers by name; a name that is looked up for the first time gets the next number."""

    def __missing__(self, name: str) -> int:
        self[name] = number = len(self)
        return number


def numbers_by_spelling(numbers: Mapping[str, int], *spellings: Callable[[str], bytes]) -> dict[bytes, int]:
    """Numbers by the bytes that a name may come in on the wire.

    Clients spell names that are not ASCII in several ways; without all of them a tenant's requests would be
    counted as nobody's. Where two names have a spelling in common, the earlier spelling decides.
    """
    found: dict[bytes, int] = {}
    for spelling in spellings:
        for name, number in numbers.items():
            with suppress(UnicodeEncodeError):
                found.setdefault(spelling(name), number)
    return found


def numbers_by_path_segment(numbers: Mapping[str, int]) -> dict[bytes, int]:
    """Numbers by each spelling of a name as a segment of a path."""
    return numbers_by_spelling(
        numbers,
        lambda name: quote(name, safe="").encode(),
        lambda name: quote(name, safe=UNRESERVED_IN_PATH).encode(),
        str.encode,
    )


def numbers_by_header_value(numbers: Mapping[str, int]) -> dict[bytes, int]:
    """Numbers by each spelling of a name as the value of a header."""
    return numbers_by_spelling(
        numbers, str.encode, lambda name: quote(name, safe="").encode(), lambda name: name.encode("latin-1")
    )
