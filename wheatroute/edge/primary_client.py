"""HTTP client of an edge node for the control nodes: finds the primary and posts messages to it.

If a host does not answer or is not the primary, the next message goes to another host.
"""

from __future__ import annotations

from math import inf

import msgspec
import trio

from wheatroute.cluster.http_client import httpx
from wheatroute.cluster.messages import MEDIA_TYPE, NotPrimary
from wheatroute.edge.node import EdgeNode

CONNECT_TIMEOUT_S = 0.3
PRIMARY_LOST_AFTER_S = 1.5  # time without an update after which the primary counts as lost
MAX_CONNECTIONS, MAX_IDLE_CONNECTIONS = 32, 4
IDLE_TIMEOUT_S = 20.0
BROKEN_CONNECTION_ERRORS = (httpx.ReadError, httpx.WriteError, httpx.CloseError, httpx.RemoteProtocolError)


class PrimaryClient:
    """Posts messages to the control nodes; `primary` is the host that gets the next message."""

    def __init__(self, node: EdgeNode) -> None:
        self.primary = ""
        self.was_redirected = False  # whether the last response named `primary` as the primary
        self.failed_at = -inf  # last time when a host did not answer or did not accept a connection
        self.updated_at = -inf  # time of the last update from a primary
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
    def has_lost_primary(self) -> bool:
        """Whether no primary has sent an update for `PRIMARY_LOST_AFTER_S` seconds."""
        return trio.current_time() - self.updated_at > PRIMARY_LOST_AFTER_S

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seed hosts, which are always among the known hosts."""
        self._seeds = seeds
        self.set_hosts(tuple(self._hosts))

    def set_hosts(self, hosts: tuple[str, ...]) -> None:
        """Replaces the known control nodes by those that a control node has listed; keeps the seed hosts."""
        self._hosts = list(dict.fromkeys([*hosts, *self._seeds]))

    def switch_host(self) -> None:
        """Chooses another host for the next message.

        The choice is random, because the edge nodes would all switch to the same host if each took the next
        one in the list.
        """
        others = [host for host in self._hosts if host != self.primary]
        if others:
            self.primary = self._rng.choice(others)

    def _switch_host_from(self, host: str) -> None:
        # A concurrent message may have switched hosts already.
        if host == self.primary:
            self.switch_host()

    async def post(
        self, path: str, message: msgspec.Struct, read_timeout_s: float, connect_timeout_s: float
    ) -> bytes | None:
        """Posts a message to `primary`; returns the response, or None if that host doesn't answer with 200.

        If None is returned, the next message goes to another host.
        """
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
            # A broken connection does not mean that the host is down: it may answer the next message.
            if not isinstance(error, BROKEN_CONNECTION_ERRORS):
                self.failed_at = trio.current_time()
            self._switch_host_from(host)
            return None
        if response.status_code == 200:
            return response.content
        if response.status_code == 503 and self._follow_redirect(host, response.content):
            return None
        self._switch_host_from(host)
        return None

    def _follow_redirect(self, host: str, body: bytes) -> bool:
        """Follows a redirect of a control node that is not the primary.

        Returns False if the node names no primary or names itself.
        """
        redirect = msgspec.msgpack.decode(body, type=NotPrimary)
        self.set_hosts(redirect.control_hosts)
        if not redirect.primary or redirect.primary == host:
            return False
        self.primary = redirect.primary
        self.was_redirected = True
        return True
