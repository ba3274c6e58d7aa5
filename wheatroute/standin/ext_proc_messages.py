"""The messages between a proxy and an external processor, in Envoy's published protocol. No I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingRequest

PATH = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
DESTINATION = "x-gateway-destination-endpoint"  # header that has the server's address in a decision


class RequestClass(NamedTuple):
    """A class of the requests that the stand-in sends."""

    name: str
    method: str


# Indexes in `REQUEST_CLASSES`; a keyed request has an idempotency key.
IDEMPOTENT, KEYED, NON_IDEMPOTENT = range(3)
REQUEST_CLASSES = (RequestClass("view", "GET"), RequestClass("amend", "POST"), RequestClass("place", "POST"))


def request_headers(
    request_id: str, request_class: int, attempt: int, timeout_s: float = 2.0, **more: str
) -> bytes:
    """Returns the first message of a stream; `more` are further headers by name."""
    name, method = REQUEST_CLASSES[request_class]
    headers = {
        ":method": method,
        ":path": f"/{name}/7",
        ":authority": "shop.local",
        "x-request-id": request_id,
        "request-timeout": f"{int(timeout_s * 1000)}m",
        "user-agent": "stand-in",
        "x-envoy-attempt-count": str(attempt),
        "x-forwarded-proto": "http",
        "accept": "*/*",
    }
    if request_class == KEYED:
        headers["idempotency-key"] = request_id
    message = ProcessingRequest()
    _add_headers(message.request_headers, headers | more)
    message.request_headers.end_of_stream = request_class == IDEMPOTENT
    return message.SerializeToString()


def response_headers(status: int, **more: str) -> bytes:
    """Returns the message with a server's response headers.

    `more` are further headers by name, with underscores in place of hyphens.
    """
    headers = {":status": str(status), "content-type": "text/plain"} | more
    message = ProcessingRequest()
    _add_headers(message.response_headers, {key.replace("_", "-"): value for key, value in headers.items()})
    return message.SerializeToString()


def _add_headers(part: Any, headers: dict[str, str]) -> None:
    for key, value in headers.items():
        header = part.headers.headers.add()
        header.key = key
        header.raw_value = value.encode()


def destination(response: Any) -> str:
    """Returns the server in a decision as `HOST:PORT`; empty if it names none."""
    for option in response.request_headers.response.header_mutation.set_headers:
        if option.header.key == DESTINATION:
            return bytes(option.header.raw_value).decode()
    return ""
