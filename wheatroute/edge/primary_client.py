"""HTTP client of an edge node for the control nodes: finds the primary, and posts messages to it.

A host that gives no answer, or is not the primary, is replaced by another one for the next message.
"""

from __future__ import annotations

from math import inf

import msgspec
import trio

from wheatroute.cluster.http_client import httpx
from wheatroute.cluster.messages import MEDIA_TYPE, NotPrimary
from wheatroute.edge.node import EdgeNode

CONNECT_TIMEOUT_S = 0.3
ISOLATED_AFTER_S = 1.5  # without an update from a primary
MAX_CONNECTIONS, MAX_IDLE_CONNECTIONS = 32, 4
IDLE_TIMEOUT_S = 20.0
BROKEN_CONNECTION = (httpx.ReadError, httpx.WriteError, httpx.CloseError, httpx.RemoteProtocolError)


class PrimaryClient:
    """The control nodes as one edge node knows them; `primary` is the host that gets the next message."""

    def __init__(self, node: EdgeNode) -> None:
        self.primary = ""
        self.was_redirected = False  # the last response named `primary` as the primary
        self.failed_at = -inf  # when a host last gave no answer, or accepted no connection
        self.updated_at = -inf  # when the last update of a primary came
        self._rng = node.rng
        self._port = node.settings.internal_port
        self._seeds = node.settings.seed_hosts
        self._hosts: list[str] = list(self._seeds)
        if self._hosts:
            self.primary = self._hosts[0]
        self._http = httpx.AsyncClient(
            trust_env=False,
            headers={"Content-Type": MEDIA_TYPE},
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_IDLE_CONNECTIONS,
                keepalive_expiry=IDLE_TIMEOUT_S,
            ),
        )

    @property
    def is_isolated(self) -> bool:
        """Whether there was no contact with a primary for a while."""
        return trio.current_time() - self.updated_at > ISOLATED_AFTER_S

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds, which are always among the known hosts."""
        self._seeds = seeds
        self.set_hosts(tuple(self._hosts))

    def set_hosts(self, hosts: tuple[str, ...]) -> None:
        """Replace the known control nodes, by what a control node told."""
        self._hosts = list(dict.fromkeys([*hosts, *self._seeds]))

    def move_on(self) -> None:
        """Choose another host as the next primary.

        At random: the next one in order would be the same for all nodes.
        """
        others = [host for host in self._hosts if host != self.primary]
        if others:
            self.primary = self._rng.choice(others)

    def _move_on_from(self, host: str) -> None:
        # another message may have moved on meanwhile
        if host == self.primary:
            self.move_on()

    async def post(
        self, path: str, message: msgspec.Struct, read_timeout_s: float, connect_timeout_s: float
    ) -> bytes | None:
        """Post a message to the primary; return its response, or None, after which another host is next."""
        host = self.primary
        self.was_redirected = False
        try:
            with trio.fail_after(read_timeout_s + CONNECT_TIMEOUT_S):
                response = await self._http.post(
                    f"http://{host}:{self._port}{path}",
                    content=msgspec.msgpack.encode(message),
                    timeout=httpx.Timeout(read_timeout_s, connect=connect_timeout_s),
                )
        except (httpx.HTTPError, trio.TooSlowError, OSError) as error:
            # a connection that breaks says nothing of its host: the next message may be answered at once
            if not isinstance(error, BROKEN_CONNECTION):
                self.failed_at = trio.current_time()
            self._move_on_from(host)
            return None
        if response.status_code == 200:
            return response.content
        if response.status_code == 503 and self._follow_redirect(host, response.content):
            return None
        self._move_on_from(host)
        return None

    def _follow_redirect(self, host: str, body: bytes) -> bool:
        """Take the primary that a control node names which isn't; return False if it names none."""
        redirect = msgspec.msgpack.decode(body, type=NotPrimary)
        self.set_hosts(redirect.control_hosts)
        if not redirect.primary or redirect.primary == host:
            return False
        self.primary = redirect.primary
        self.was_redirected = True
        return True
