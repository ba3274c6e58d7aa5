"""HTTP handlers of the control role: one app for servers and operators, one for edge nodes."""

from __future__ import annotations

import logging
from typing import Any

import msgspec
from litestar import Litestar, Request, Response, delete, get, patch, post, put

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.messages import (
    MEDIA_TYPE,
    UPDATES_PATH,
    USAGE_PATH,
    NotPrimary,
    UpdateRequest,
    UsageReport,
)
from wheatroute.control.changes import Change
from wheatroute.control.registry import decode_heartbeat
from wheatroute.control.service import ControlService, encode

JSON = "application/json"
BODY_LIMIT = 8 << 20


def _json(status: int, content: Any, headers: dict[str, str] | None = None) -> Response[bytes]:
    return Response(msgspec.json.encode(content), status_code=status, media_type=JSON, headers=headers)


class Handlers:
    """The handlers of both apps, around one service."""

    def __init__(self, service: ControlService, control_port: int, log: logging.Logger) -> None:
        self._service = service
        self._port = control_port
        self._log = log

    def _error(self, request: Request[Any, Any, Any], error: RequestError) -> Response[bytes]:
        """The answer to an error: where another node leads, its address."""
        if error.kind == ErrorKind.NOT_PRIMARY and error.detail and error.detail != error.kind.value:
            place = f"http://{error.detail}:{self._port}{request.url.path}"
            return _json(307, {"error": error.kind.value}, {"Location": place})
        answer = error.response
        headers = {"Retry-After": f"{answer.retry_after_s:g}"} if answer.retry_after_s else {}
        return _json(answer.status, {"error": error.kind.value, "detail": error.detail}, headers)

    async def change(self, request: Request[Any, Any, Any], partial: bool) -> Response[bytes]:
        """PUT and PATCH of the configuration."""
        body = await request.body()
        change = Change(partial, request.headers.get("if-match", ""), body)
        try:
            version = await self._service.change(change)
        except TimeoutError:
            return self._error(request, RequestError(ErrorKind.NO_QUORUM, "an earlier change takes long"))
        except RequestError as error:
            self._log.info(
                "change-not-taken",
                extra={"kind": error.kind.value, "detail": error.detail[:300], "match": change.match},
            )
            return self._error(request, error)
        return _json(200, {"generation": version})

    async def read(self, request: Request[Any, Any, Any]) -> Response[bytes]:
        """GET of the configuration."""
        try:
            body = await self._service.read()
        except RequestError as error:
            return self._error(request, error)
        return Response(body, status_code=200, media_type=JSON)

    async def heartbeat(self, request: Request[Any, Any, Any]) -> Response[bytes]:
        """PUT of an instance."""
        identity = request.path_params["identity"]
        try:
            beat = decode_heartbeat(await request.body())
            await self._service.heartbeat(identity, beat)
        except msgspec.DecodeError as error:
            return self._error(request, RequestError(ErrorKind.BAD_REQUEST, str(error)))
        except RequestError as error:
            return self._error(request, error)
        host = request.headers.get("host", "")
        return _json(200, {"beat_url": f"http://{host}/-/instances/{identity}"} if host else {})

    async def leave(self, request: Request[Any, Any, Any]) -> Response[bytes]:
        """DELETE of an instance."""
        try:
            await self._service.leave(request.path_params["identity"])
        except RequestError as error:
            return self._error(request, error)
        return _json(200, {})

    async def updates(self, request: Request[Any, Any, Any]) -> Response[bytes]:
        """An edge node's long poll."""
        asked = msgspec.msgpack.decode(await request.body(), type=UpdateRequest)
        return _message(await self._service.updates(asked))

    async def usage(self, request: Request[Any, Any, Any]) -> Response[bytes]:
        """An edge node's report."""
        report = msgspec.msgpack.decode(await request.body(), type=UsageReport)
        return _message(self._service.usage(report))


def _message(message: msgspec.Struct) -> Response[bytes]:
    status = 503 if isinstance(message, NotPrimary) else 200
    return Response(encode(message), status_code=status, media_type=MEDIA_TYPE)


def control_app(handlers: Handlers) -> Litestar:
    """For servers and operators."""

    @put("/-/config", request_max_body_size=BODY_LIMIT)
    async def put_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.change(request, partial=False)

    @patch("/-/config", request_max_body_size=BODY_LIMIT)
    async def patch_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.change(request, partial=True)

    @get("/-/config")
    async def get_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.read(request)

    @put("/-/instances/{identity:str}")
    async def put_instance(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.heartbeat(request)

    @delete("/-/instances/{identity:str}", status_code=200)
    async def delete_instance(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.leave(request)

    return Litestar(
        [put_configuration, patch_configuration, get_configuration, put_instance, delete_instance],
        openapi_config=None,
    )


def internal_app(handlers: Handlers) -> Litestar:
    """For edge nodes."""

    @post(UPDATES_PATH, status_code=200)
    async def updates(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.updates(request)

    @post(USAGE_PATH, status_code=200)
    async def usage(request: Request[Any, Any, Any]) -> Response[bytes]:
        return await handlers.usage(request)

    return Litestar([updates, usage], openapi_config=None)
