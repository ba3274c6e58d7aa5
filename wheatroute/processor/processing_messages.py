"""Reads requests and encodes responses of the external processing protocol. No I/O.

The protocol is published as `envoy.service.ext_proc.v3.ExternalProcessor`: each stream is one request of the
proxy.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from math import ceil
from typing import Any

from envoy.config.core.v3.base_pb2 import HeaderValueOption
from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingRequest, ProcessingResponse

METHOD_PATH = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
# Attribute with the flags of a response that the proxy generated itself. A proxy may include it in messages.
RESPONSE_FLAGS_ATTRIBUTE = "response.flags"
# Metadata key of the server's address if the settings name no destination header.
DEFAULT_METADATA_KEY = "destination"
RETRY_AFTER = "retry-after"
# The cache of decisions by address is cleared beyond this size: it would otherwise grow without limit, since
# servers are added and removed for years.
MAX_CACHED_DECISIONS = 65536


def header_values(headers: Iterable[Any]) -> Iterator[tuple[str, bytes]]:
    """Yields names and values of `HeaderValue` messages, which hold the value in one of two fields."""
    for header in headers:
        yield header.key, header.raw_value or header.value.encode()


def response_flags(request: ProcessingRequest) -> int:
    """Returns the proxy's flags for a response that it generated itself; 0 if it sends none."""
    for attributes in request.attributes.values():
        if RESPONSE_FLAGS_ATTRIBUTE in attributes.fields:
            return int(attributes.fields[RESPONSE_FLAGS_ATTRIBUTE].number_value)
    return 0


class ResponseEncoder:
    """Encodes responses to the proxy: decisions that name a server, and immediate responses.

    The server's address is set in the header `destination_header` and in the dynamic metadata of the
    namespace `metadata_namespace`, and the time left, in milliseconds, in the header `time_header`. An empty
    name disables the respective output.
    """

    def __init__(self, destination_header: str, metadata_namespace: str, time_header: str) -> None:
        self._destination_header = destination_header
        self._metadata_namespace = metadata_namespace
        self._time_header = time_header
        # Encoded decisions by address, without the time left.
        self._cached_decisions: dict[bytes, bytes] = {}

    def decision(self, address: bytes, time_left_s: float) -> bytes:
        """Returns the encoded response that names the server at `address` ("host:port")."""
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
        """Returns the encoded response that makes the proxy respond to the client itself.

        `retry_after_s` is the value of the Retry-After header; 0 omits the header.
        """
        response = ProcessingResponse()
        immediate = response.immediate_response
        immediate.status.code = status
        immediate.details = f"wheatroute-{reason.replace(' ', '-')}"
        immediate.body = reason.encode() + b"\n"
        if retry_after_s > 0.0:
            # Rounded up to whole seconds: the HTTP standard allows no fractions, and clients of the proxy
            # follow it.
            header = immediate.headers.set_headers.add().header
            header.key = RETRY_AFTER
            header.raw_value = b"%d" % ceil(retry_after_s)
        return response.SerializeToString()


def _set_request_header(response: ProcessingResponse, name: str, value: bytes) -> None:
    option = response.request_headers.response.header_mutation.set_headers.add()
    option.header.key = name
    option.header.raw_value = value
    # Overwrites a header of the same name that the client has sent.
    option.append_action = HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD


def _encode_continue(part: str) -> bytes:
    response = ProcessingResponse()
    getattr(response, part).SetInParent()
    return response.SerializeToString()


# Encoded responses that let the proxy continue without changes, by the field that is set in the message to
# which they respond.
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
