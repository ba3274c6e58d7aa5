"""HTTP handlers of the control role: one app for servers and operators, one for edge nodes.

Bodies are JSON for servers and operators, and msgpack for edge nodes.
"""

from __future__ import annotations

import logging
from typing import Any, NamedTuple

import msgspec
from litestar import Litestar, Request, Response, delete, get, patch, post, put

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.messages import (
    MEDIA_TYPE,
    UPDATES_PATH,
    USAGE_PATH,
    NotPrimary,
    Update,
    UpdateRequest,
    UsageReport,
)
from wheatroute.control.changes import Change
from wheatroute.control.configuration_limits import MAX_CONFIGURATION_BYTES, ConfigurationLimits
from wheatroute.control.registry import MalformedHeartbeatError, decode_heartbeat
from wheatroute.control.service import ControlService

JSON = "application/json"
CONFIGURATION_PATH, INSTANCES_PATH = "/-/config", "/-/instances/"
MAX_HEARTBEAT_BYTES = 65536
MAX_REPORT_BYTES = 1 << 20  # a poll or a usage report of an edge node
MAX_LOGGED_DETAIL = 300  # maximum logged characters of an error's detail


def encode_message(message: msgspec.Struct) -> bytes:
    """Encodes a message to an edge node."""
    return msgspec.msgpack.encode(message)


class UpdateEncoder:
    """Encodes updates; equal ones that follow each other share their bytes.

    A change wakes the polls of all edge nodes at the same time, and its update may be large.
    """

    def __init__(self) -> None:
        self._update: Update | None = None
        self._encoded = b""

    def encode(self, update: Update) -> bytes:
        """Returns the encoded update."""
        if update.configuration_change is None:
            return encode_message(update)
        if update != self._update:
            self._update, self._encoded = update, encode_message(update)
        return self._encoded


def _json_response(status: int, content: Any, headers: dict[str, str] | None = None) -> Response[bytes]:
    return Response(msgspec.json.encode(content), status_code=status, media_type=JSON, headers=headers)


class BodyLimits(NamedTuple):
    """The largest body by prefix of the path, see `wheatroute.control.limited_connections`."""

    control: dict[str, int]
    internal: dict[str, int]


def body_limits(configuration: ConfigurationLimits) -> BodyLimits:
    """Returns the limits for both apps."""
    return BodyLimits(
        {CONFIGURATION_PATH: configuration.max_bytes, INSTANCES_PATH: MAX_HEARTBEAT_BYTES},
        {UPDATES_PATH: MAX_REPORT_BYTES, USAGE_PATH: MAX_REPORT_BYTES},
    )


class Handlers:
    """The request handlers of a control node's two apps, `control_app` and `internal_app`.

    Redirects to the primary use this node's `control_port`, since all control nodes have the same.
    """

    def __init__(self, service: ControlService, control_port: int, log: logging.Logger) -> None:
        self._service = service
        self._control_port = control_port
        self._log = log
        self._updates = UpdateEncoder()

    def _error(self, request: Request[Any, Any, Any], error: RequestError) -> Response[bytes]:
        """The response to an error; a redirect to the primary if the error names its host."""
        if error.kind == ErrorKind.NOT_PRIMARY and error.detail and error.detail != error.kind.value:
            location = f"http://{error.detail}:{self._control_port}{request.url.path}"
            return _json_response(307, {"error": error.kind.value}, {"Location": location})
        response = error.response
        headers = {"Retry-After": f"{response.retry_after_s:g}"} if response.retry_after_s else {}
        return _json_response(response.status, {"error": error.kind.value, "detail": error.detail}, headers)

    async def change(self, request: Request[Any, Any, Any], is_partial: bool) -> Response[bytes]:
        """Handles PUT and PATCH of the configuration."""
        body = await request.body()
        change = Change(is_partial, request.headers.get("if-match", ""), body)
        try:
            generation = await self._service.change(change)
        except TimeoutError:
            return self._error(request, RequestError(ErrorKind.NO_QUORUM, "an earlier change takes too long"))
        except RequestError as error:
            if error.kind == ErrorKind.BODY_TOO_LARGE:
                self._service.limit_log.record("configuration")
            self._log.info(
                "change-failed",
                extra={
                    "kind": error.kind.value,
                    "detail": error.detail[:MAX_LOGGED_DETAIL],
                    "if_match": change.if_match,
                },
            )
            return self._error(request, error)
        return _json_response(200, {"generation": generation})

    async def read(self, request: Request[Any, Any, Any]) -> Response[bytes]:
        """Handles GET of the configuration."""
        try:
            body = await self._service.read()
        except RequestError as error:
            return self._error(request, error)
        return Response(body, status_code=200, media_type=JSON)

    async def heartbeat(self, request: Request[Any, Any, Any]) -> Response[bytes]:
        """Handles PUT of an instance: a server's heartbeat."""
        identity = request.path_params["identity"]
        try:
            heartbeat = decode_heartbeat(await request.body())
            await self._service.heartbeat(identity, heartbeat)
        except MalformedHeartbeatError as error:
            return self._error(request, RequestError(ErrorKind.BAD_REQUEST, str(error)))
        except RequestError as error:
            return self._error(request, error)
        host = request.headers.get("host", "")
        return _json_response(200, {"beat_url": f"http://{host}{INSTANCES_PATH}{identity}"} if host else {})

    async def deregister(self, request: Request[Any, Any, Any]) -> Response[bytes]:
        """Handles DELETE of an instance: a server that shuts down."""
        try:
            await self._service.deregister(request.path_params["identity"])
        except RequestError as error:
            return self._error(request, error)
        return _json_response(200, {})

    async def updates(self, request: Request[Any, Any, Any]) -> Response[bytes]:
        """Handles an edge node's long poll."""
        try:
            update_request = msgspec.msgpack.decode(await request.body(), type=UpdateRequest)
        except msgspec.DecodeError as error:
            return self._error(request, RequestError(ErrorKind.BAD_REQUEST, str(error)))
        response = await self._service.updates(update_request)
        if isinstance(response, NotPrimary):
            return _message_response(response)
        return Response(self._updates.encode(response), status_code=200, media_type=MEDIA_TYPE)

    async def usage(self, request: Request[Any, Any, Any]) -> Response[bytes]:
        """Handles an edge node's usage report."""
        try:
            report = msgspec.msgpack.decode(await request.body(), type=UsageReport)
        except msgspec.DecodeError as error:
            return self._error(request, RequestError(ErrorKind.BAD_REQUEST, str(error)))
        return _message_response(self._service.usage(report))


def _message_response(message: msgspec.Struct) -> Response[bytes]:
    status = 503 if isinstance(message, NotPrimary) else 200
    return Response(encode_message(message), status_code=status, media_type=MEDIA_TYPE)


def control_app(handlers: Handlers) -> Litestar:
    """The app for servers and operators."""

    @put(CONFIGURATION_PATH, request_max_body_size=MAX_CONFIGURATION_BYTES)
    async def put_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.change(request, is_partial=False)

    @patch(CONFIGURATION_PATH, request_max_body_size=MAX_CONFIGURATION_BYTES)
    async def patch_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.change(request, is_partial=True)

    @get(CONFIGURATION_PATH)
    async def get_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.read(request)

    @put(INSTANCES_PATH + "{identity:str}")
    async def put_instance(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.heartbeat(request)

    @delete(INSTANCES_PATH + "{identity:str}", status_code=200)
    async def delete_instance(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.deregister(request)

    return Litestar(
        [put_configuration, patch_configuration, get_configuration, put_instance, delete_instance],
        openapi_config=None,
    )


def internal_app(handlers: Handlers) -> Litestar:
    """The app for edge nodes."""

    @post(UPDATES_PATH, status_code=200)
    async def updates(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.updates(request)

    @post(USAGE_PATH, status_code=200)
    async def usage(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.usage(request)

    return Litestar([updates, usage], openapi_config=None)
