"""Messages of the external processing protocol: what is read of requests, and the responses. No I/O.

The protocol is published as `envoy.service.ext_proc.v3.ExternalProcessor`: one stream is one request of the
proxy.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from math import ceil
from typing import Any

from envoy.config.core.v3.base_pb2 import HeaderValueOption
from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingRequest, ProcessingResponse

METHOD_PATH = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
RESPONSE_FLAGS_ATTRIBUTE = "response.flags"  # an attribute that a proxy may send along
DEFAULT_METADATA_KEY = "destination"  # where the settings name no header
RETRY_AFTER = "retry-after"
MAX_CACHED_DECISIONS = 65536  # by address: servers come and go for years


def header_values(headers: Iterable[Any]) -> Iterator[tuple[str, bytes]]:
    """Yields names and values of a message's `HeaderValue`s, which have their value in one of two fields."""
    for header in headers:
        yield header.key, header.raw_value or header.value.encode()


def response_flags(request: ProcessingRequest) -> int:
    """Returns what the proxy says of a response that it made up itself, 0 where it says nothing."""
    for attributes in request.attributes.values():
        if RESPONSE_FLAGS_ATTRIBUTE in attributes.fields:
            return int(attributes.fields[RESPONSE_FLAGS_ATTRIBUTE].number_value)
    return 0


class ResponseEncoder:
    """Encodes responses that name a server, or that there is none.

    A server is named in `destination_header` and in the dynamic metadata of `metadata_namespace`, the time
    left, in milliseconds, in `time_header`. An empty name turns one off.
    """

    def __init__(self, destination_header: str, metadata_namespace: str, time_header: str) -> None:
        self._destination_header = destination_header
        self._metadata_namespace = metadata_namespace
        self._time_header = time_header
        self._cached_decisions: dict[bytes, bytes] = {}  # by address, without the time left

    def decision(self, address: bytes, time_left_s: float) -> bytes:
        """Returns the response that names a server."""
        encoded = self._cached_decision(address)
        if not self._time_header:
            return encoded
        response = ProcessingResponse.FromString(encoded)
        time_left_ms = max(1, int(time_left_s * 1000))
        _set_request_header(response, self._time_header, b"%d" % time_left_ms)
        return response.SerializeToString()

    def _cached_decision(self, address: bytes) -> bytes:
        encoded = self._cached_decisions.get(address)
        if encoded is None:
            if len(self._cached_decisions) > MAX_CACHED_DECISIONS:
                self._cached_decisions.clear()
            encoded = self._cached_decisions[address] = self._encode_decision(address)
        return encoded

    def _encode_decision(self, address: bytes) -> bytes:
        response = ProcessingResponse()
        if self._destination_header:
            _set_request_header(response, self._destination_header, address)
        else:
            response.request_headers.SetInParent()
        if self._metadata_namespace:
            metadata = response.dynamic_metadata.fields[self._metadata_namespace].struct_value
            key = self._destination_header or DEFAULT_METADATA_KEY
            metadata.fields[key].string_value = address.decode("ascii")
        return response.SerializeToString()

    @staticmethod
    def immediate(status: int, reason: str, retry_after_s: float) -> bytes:
        """Returns the response that has the proxy answer the client itself; 0 sends no Retry-After."""
        response = ProcessingResponse()
        immediate = response.immediate_response
        immediate.status.code = status
        immediate.details = f"wheatroute-{reason.replace(' ', '-')}"
        immediate.body = reason.encode() + b"\n"
        if retry_after_s > 0.0:
            # whole seconds, as clients beyond the proxy read it by the standard
            header = immediate.headers.set_headers.add().header
            header.key = RETRY_AFTER
            header.raw_value = b"%d" % ceil(retry_after_s)
        return response.SerializeToString()


def _set_request_header(response: ProcessingResponse, name: str, value: bytes) -> None:
    option = response.request_headers.response.header_mutation.set_headers.add()
    option.header.key = name
    option.header.raw_value = value
    # a client's own header must not win
    option.append_action = HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD


def _encode_continue(part: str) -> bytes:
    response = ProcessingResponse()
    getattr(response, part).SetInParent()
    return response.SerializeToString()


# responses that change nothing, by the part of the exchange that the proxy asks about
CONTINUE_RESPONSES = {
    part: _encode_continue(part)
    for part in (
        "response_headers",
        "request_body",
        "response_body",
        "request_trailers",
        "response_trailers",
    )
}
