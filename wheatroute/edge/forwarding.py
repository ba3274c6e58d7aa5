"""Gives each request its one response: admits it, has it dispatched, and forwards what comes back.

Invariants: each request gets exactly one response, or a closed connection; what broke off after its first
byte never looks complete to the client.
"""

from __future__ import annotations

import trio

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.edge.admission import Admission, RequestLease
from wheatroute.edge.attempt import Attempt
from wheatroute.edge.client_response import ClientDisconnectedError, ClientResponse
from wheatroute.edge.dispatch import Dispatcher
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.request import ClientRequest, response_headers
from wheatroute.net.connection import MalformedError

RETRY_AFTER_JITTER = 0.5  # of the `Retry-After` time, added at random


class Forwarder:
    """The path of every request through this node."""

    def __init__(self, node: EdgeNode, request_lease: RequestLease) -> None:
        self._node = node
        self._admission = Admission(node, request_lease)
        self._dispatcher = Dispatcher(node)

    async def handle(self, request: ClientRequest, response: ClientResponse) -> None:
        """Give a request its response; raises ClientDisconnectedError if it can't be written to its end."""
        try:
            await self._handle(request, response)
        except RequestError as error:
            await self._fail(request, response, error)
        except ClientDisconnectedError:
            raise
        except Exception:
            self._node.log.exception("fault", extra={"request": request.id.decode("latin-1")})
            if response.has_begun:
                raise ClientDisconnectedError("a fault of this node") from None
            kind = ErrorKind.INTERNAL if request.may_have_run else ErrorKind.INTERNAL_UNSENT
            await self._fail(request, response, RequestError(kind, "a fault of this node"))

    async def _handle(self, request: ClientRequest, response: ClientResponse) -> None:
        await self._admission.admit(request)
        with trio.move_on_at(request.deadline) as scope:
            await self._forward(request, response)
        # a response that has begun just breaks off at the deadline
        if scope.cancelled_caught and not response.has_begun:
            kind = ErrorKind.DEADLINE_EXCEEDED if request.may_have_run else ErrorKind.DEADLINE_EXCEEDED_UNSENT
            raise RequestError(kind, "out of time")

    async def _fail(self, request: ClientRequest, response: ClientResponse, error: RequestError) -> None:
        """Answer a request with an error of this node's own."""
        self._admission.refund(request)
        if request.service:
            self._log_failure(request, error)
        await response.send_error(request.id, error, self._retry_after_s(request, error))

    def _log_failure(self, request: ClientRequest, error: RequestError) -> None:
        self._node.log.info(
            "request-failed",
            extra={
                "request": request.id.decode("latin-1"),
                "kind": error.kind.value,
                "detail": error.detail,
                "version": self._node.table.generation,
                "epoch": self._node.instances.version.epoch,
                "sends": request.sent_attempts,
            },
        )

    def _retry_after_s(self, request: ClientRequest, error: RequestError) -> float:
        """Return the seconds until a client should retry; with jitter, so that not all come at once."""
        retry_after_s = error.response.retry_after_s
        if error.kind == ErrorKind.OVER_QUOTA and request.tenant is not None:
            retry_after_s = max(retry_after_s, self._node.quotas.retry_after_s(request.tenant.name))
        return retry_after_s * (1.0 + RETRY_AFTER_JITTER * self._node.rng.random())

    async def _forward(self, request: ClientRequest, response: ClientResponse) -> None:
        attempt = await self._dispatcher.dispatch(request, lambda: not response.is_client_disconnected)
        try:
            if attempt.is_streaming:
                await self._forward_stream(request, attempt, response)
            else:
                headers = response_headers(attempt.headers)
                await response.send(attempt.status, headers, attempt.body, attempt.reason)
        finally:
            self._dispatcher.release(attempt)

    # streams

    async def _forward_stream(
        self, request: ClientRequest, first_attempt: Attempt, response: ClientResponse
    ) -> None:
        """Forward a stream; one that breaks off is resumed at another server if its route allows that."""
        headers = response_headers(first_attempt.headers)
        await response.start_stream(first_attempt.status, headers, first_attempt.body, first_attempt.reason)
        attempt = first_attempt
        try:
            while True:
                try:
                    events = await attempt.next_events()
                except (OSError, MalformedError) as error:
                    attempt.server.record_failure(trio.current_time())
                    resumed = await self._resume(request, response, attempt, str(error))
                    if attempt is not first_attempt:
                        self._dispatcher.release(attempt)
                    attempt = resumed
                    await response.send_events(attempt.body)
                    continue
                if events is None:
                    break
                await response.send_events(events)
        except RequestError as error:
            self._log_failure(request, error)
            raise ClientDisconnectedError("the stream broke off") from error
        finally:
            if attempt is not first_attempt:
                self._dispatcher.release(attempt)
        await response.end_stream()

    async def _resume(
        self, request: ClientRequest, response: ClientResponse, broken: Attempt, detail: str
    ) -> Attempt:
        """Return an attempt with the same stream from another server, after the last event forwarded.

        Raises RequestError if the stream can't be resumed.
        """
        assert request.route is not None
        last_event_id = broken.splitter.last_event_id
        # One server more than `Delivery.has_retries_left` allows: else no stream of a route with the default
        # of 1 could be resumed.
        has_retries_left = request.sent_attempts <= request.route.retries
        may_resume = request.route.resume and last_event_id is not None and has_retries_left
        if not may_resume or not self._dispatcher.may_retry(request):
            raise RequestError(ErrorKind.SERVER_FAILED, f"stream broke: {detail}")
        resumed = await self._dispatcher.dispatch(
            request, lambda: not response.is_client_disconnected, last_event_id
        )
        if not resumed.is_streaming or resumed.status != broken.status:
            self._dispatcher.release(resumed)
            raise RequestError(ErrorKind.SERVER_FAILED, "the stream could not be taken up")
        return resumed
