"""A client's request with its route, tenant and the state of its attempts. No I/O.

Also selects the headers that are forwarded between client and server.
"""

from __future__ import annotations

import msgspec

from wheatroute.cluster.configuration import Route, Tenant
from wheatroute.edge.prompt_headers import PrefixBlock, TokenCount, parse_prefix_blocks, parse_token_count
from wheatroute.edge.routing import RoutingTable

Headers = list[tuple[bytes, bytes]]

# Header fields that apply to one connection only (RFC 9110, 7.6.1); so do those that Connection lists.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"trailers",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Header fields of a client's request that are not forwarded: each attempt sets its own, or servers must not
# see them.
REPLACED = frozenset(
    (
        b"authorization",
        b"content-length",
        b"expect",
        b"timeout-ms",
        b"target-instance",
        b"tenant",
        b"priority",
    )
)
RESPONSE_REPLACED = frozenset((b"content-length",))


class ClientRequest(msgspec.Struct):
    """A complete request. Times are seconds of the node's monotonic clock."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    id: bytes = b""
    table: RoutingTable | None = None
    route: Route | None = None
    tenant: Tenant | None = None
    service: str = ""
    deadline: float = 0.0
    prefix_blocks: tuple[PrefixBlock, ...] = ()
    token_count: TokenCount | None = None
    charged_tokens: float = 0.0
    sent_attempts: int = 0  # number of attempts whose head was completely written to a server
    may_have_run: bool = False

    def header(self, name: bytes) -> str:
        """Returns the first value of a header field, an empty string if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""

    @property
    def prefix_key(self) -> str | None:
        """Id of the last prefix block that other requests may share, None without prefix blocks.

        This is the second to last block, because the last block belongs to this request or its session alone.
        If there is only one block, it is that one.
        """
        if not self.prefix_blocks:
            return None
        return self.prefix_blocks[-2].id if len(self.prefix_blocks) > 1 else self.prefix_blocks[-1].id

    def parse_headers(self) -> None:
        """Sets the id, the prefix blocks and the token count from the headers."""
        self.id = self.header(b"request-id").encode("latin-1")
        self.prefix_blocks = parse_prefix_blocks(self.header(b"prefix-hash"))
        self.token_count = parse_token_count(self.header(b"token-count"))


def request_headers(
    request: ClientRequest,
    server_id: str,
    remaining_s: float,
    prefill_tokens: float,
    last_event_id: bytes | None,
) -> Headers:
    """Returns the header fields of an attempt.

    `remaining_s` is the time until the request's deadline, `prefill_tokens` the number of prompt tokens that
    the server is expected to prefill, and `last_event_id` the event after which a broken stream is resumed.
    """
    headers = _end_to_end_headers(request.headers, REPLACED)
    if last_event_id is not None:
        headers = [field for field in headers if field[0] != b"last-event-id"]
        headers.append((b"Last-Event-Id", last_event_id))
    headers.append((b"Timeout-Ms", b"%d" % max(1, int(remaining_s * 1000))))
    headers.append((b"Target-Instance", server_id.encode("latin-1")))
    if request.tenant is not None:
        headers.append((b"Tenant", request.tenant.name.encode("latin-1")))
    if request.table is not None and request.route is not None:
        rank = request.table.server_rank(request.route, request.tenant, prefill_tokens)
        headers.append((b"Priority", b"%d" % rank))
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return headers


def response_headers(headers: Headers) -> Headers:
    """Returns the header fields of a server's response that are forwarded to the client."""
    return _end_to_end_headers(headers, RESPONSE_REPLACED)


def _end_to_end_headers(headers: Headers, excluded: frozenset[bytes]) -> Headers:
    """Returns the fields that are neither hop-by-hop nor excluded (RFC 9110, 7.6.1)."""
    connection_options = {
        name.strip().lower() for key, value in headers if key == b"connection" for name in value.split(b",")
    }
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP and key not in excluded and key not in connection_options
    ]
