"""The messages that a proxy exchanges with an external processor, by Envoy's published protocol. No I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingRequest

PATH = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
DESTINATION = "x-gateway-destination-endpoint"  # header in which a decision names the server


class RequestClass(NamedTuple):
    """A class of the requests that the stand-in sends."""

    name: str
    method: str


IDEMPOTENT, KEYED, NON_IDEMPOTENT = range(3)  # places in `REQUEST_CLASSES`
REQUEST_CLASSES = (RequestClass("view", "GET"), RequestClass("amend", "POST"), RequestClass("place", "POST"))


def request_headers(
    request_id: str, request_class: int, attempt: int, timeout_s: float = 2.0, **more: str
) -> bytes:
    """The first message of a stream; `more` are further headers by name."""
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
    """The message with a server's response headers; an underscore in a name of `more` stands for a hyphen."""
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
    """The server that a decision names as `HOST:PORT`; empty for none."""
    for option in response.request_headers.response.header_mutation.set_headers:
        if option.header.key == DESTINATION:
            return bytes(option.header.raw_value).decode()
    return ""
