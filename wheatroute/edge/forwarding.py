"""Gives each request its one answer: admits it, has it sent, and passes on what comes back."""

from __future__ import annotations

import trio

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.edge.admission import Admission, Lease
from wheatroute.edge.answers import ClientAnswer, ClientGoneError
from wheatroute.edge.attempt import Attempt
from wheatroute.edge.dispatch import Dispatcher
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.request import ClientRequest, answer_headers
from wheatroute.net.connection import MalformedError

COME_BACK_SPREAD = 0.5  # of the time that a refused client is told to wait


class Forwarder:
    """The path of every request through this node."""

    def __init__(self, node: EdgeNode, lease: Lease) -> None:
        self._node = node
        self._admission = Admission(node, lease)
        self._dispatcher = Dispatcher(node)

    async def handle(self, request: ClientRequest, client: ClientAnswer) -> None:
        """Gives the request its one answer; raises ClientGoneError if there is nobody to give it to."""
        try:
            await self._handle(request, client)
        except RequestError as error:
            await self._refuse(request, client, error)
        except ClientGoneError:
            raise
        except Exception:
            self._node.log.exception("fault", extra={"request": request.id.decode("latin-1")})
            if client.begun:
                raise ClientGoneError("a fault of this node") from None
            kind = ErrorKind.INTERNAL if request.may_have_run else ErrorKind.INTERNAL_UNSENT
            await self._refuse(request, client, RequestError(kind, "a fault of this node"))

    async def _handle(self, request: ClientRequest, client: ClientAnswer) -> None:
        await self._admission.admit(request)
        with trio.move_on_at(request.deadline) as limit:
            await self._forward(request, client)
        if limit.cancelled_caught and not client.begun:  # what was begun breaks off
            kind = ErrorKind.DEADLINE_EXCEEDED if request.may_have_run else ErrorKind.DEADLINE_EXCEEDED_UNSENT
            raise RequestError(kind, "out of time")

    async def _refuse(self, request: ClientRequest, client: ClientAnswer, error: RequestError) -> None:
        """Answers a request that has no answer of a server, and never will."""
        self._admission.refund(request)
        if request.service:
            self._log_failure(request, error)
        await client.refuse(request.id, error, self._come_back(request, error))

    def _log_failure(self, request: ClientRequest, error: RequestError) -> None:
        epoch = self._node.instances.version.epoch
        self._node.log.info(
            "request-failed",
            extra={
                "request": request.id.decode("latin-1"),
                "kind": error.kind.value,
                "detail": error.detail,
                "version": self._node.table.generation,
                "epoch": epoch,
                "sends": request.sends,
            },
        )

    def _come_back(self, request: ClientRequest, error: RequestError) -> float:
        """Seconds after which a refused client should come back; spread, so that not all come at once."""
        wait = error.response.retry_after_s
        if error.kind == ErrorKind.OVER_QUOTA and request.tenant is not None:
            wait = max(wait, self._node.quotas.wait(request.tenant.name))
        return wait * (1.0 + COME_BACK_SPREAD * self._node.chance.random())

    async def _forward(self, request: ClientRequest, client: ClientAnswer) -> None:
        attempt = await self._dispatcher.begin(request, lambda: not client.gone)
        try:
            if attempt.streaming:
                await self._pass_on(request, attempt, client)
            else:
                headers = answer_headers(attempt.headers)
                await client.answer(attempt.status, headers, attempt.body, attempt.reason)
        finally:
            self._dispatcher.let_go(attempt)

    # streams

    async def _pass_on(self, request: ClientRequest, attempt: Attempt, client: ClientAnswer) -> None:
        """Passes a stream on; one that breaks is taken up at another server where its route allows that."""
        await client.start(attempt.status, answer_headers(attempt.headers), attempt.body, attempt.reason)
        current = attempt
        try:
            while True:
                try:
                    data = await current.next_events()
                except (OSError, MalformedError) as error:
                    current.server.failed(trio.current_time())
                    resumed = await self._resume(request, client, current, str(error))
                    if current is not attempt:
                        self._dispatcher.let_go(current)
                    current = resumed
                    await client.part(current.body)
                    continue
                if data is None:
                    break
                await client.part(data)
        except RequestError as error:
            self._log_failure(request, error)
            raise ClientGoneError("the stream broke off") from error
        finally:
            if current is not attempt:
                self._dispatcher.let_go(current)
        await client.end()

    async def _resume(
        self, request: ClientRequest, client: ClientAnswer, broken: Attempt, detail: str
    ) -> Attempt:
        """The same stream from another server, from behind the last event that was passed on."""
        assert request.route is not None
        last = broken.splitter.last_id
        allowed = request.route.resume and last is not None and request.sends <= request.route.retries
        if not allowed or not self._dispatcher.may_repeat(request):
            raise RequestError(ErrorKind.SERVER_FAILED, f"stream broke: {detail}")
        resumed = await self._dispatcher.begin(request, lambda: not client.gone, last)
        if not resumed.streaming or resumed.status != broken.status:
            self._dispatcher.let_go(resumed)
            raise RequestError(ErrorKind.SERVER_FAILED, "the stream could not be taken up")
        return resumed
