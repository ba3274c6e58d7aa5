"""How an edge node hears from the primary: a long poll with its version, and reports of its use."""

from __future__ import annotations

import msgspec
import trio

from wheatroute.cluster.distribution import DifferenceError, decode_difference
from wheatroute.cluster.http_client import httpx
from wheatroute.cluster.messages import (
    UPDATES_PATH,
    USAGE_PATH,
    NotPrimary,
    QuotaDemand,
    Update,
    UpdateRequest,
    UsageReport,
    UsageResponse,
)
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.quota_leases import AloneSpell
from wheatroute.edge.routing import RoutingTable
from wheatroute.edge.usage_accounts import UsageAccounts

POLL_WAIT = 0.7  # seconds that the primary may hold a poll
POLL_MARGIN = 0.45  # seconds on top of it until the primary counts as lost
CONNECT_TIMEOUT = 0.3
PAUSE = 0.06  # seconds between two hosts that gave no answer
REPORT_INTERVAL = 0.3  # seconds between two reports of a node
REPORT_SPACING = 0.01  # seconds between two reports of all nodes, on which the primary's load depends
LEASE_TIMEOUT = 0.25
LEASE_HOSTS = 2  # that a request for tokens asks: one that leads no more names the next
LEASE_PAUSE = 0.3  # seconds after a host gave no answer in which no client is kept waiting for one
ALONE_AFTER = 1.5  # seconds without word from the primary
MEDIA = {"Content-Type": "application/msgpack"}
BROKEN_CONNECTION = (httpx.ReadError, httpx.WriteError, httpx.CloseError, httpx.RemoteProtocolError)


class ControlClient:
    """The one edge node's side of distribution."""

    def __init__(self, node: EdgeNode) -> None:
        self._node = node
        self._port = node.settings.internal_port
        self._seeds = node.settings.seed_hosts
        self._hosts: list[str] = list(self._seeds)
        self._primary = self._hosts[0] if self._hosts else ""
        self._epoch = -1
        self._heard = -1e9
        self._unanswered = -1e9  # when a host was last silent, or took no connection
        self._whole = False  # whether the whole is asked for: a difference came that can't be used here
        self._named = False  # whether the host that is asked next was named as primary
        self._told: dict[str, object] = {}
        self._accounts = UsageAccounts(node.quotas, trio.current_time())
        self._report_due = trio.Event()
        self._suspected = False  # whether the last report named a server that answers nothing
        self._client = httpx.AsyncClient(
            trust_env=False,
            headers=MEDIA,
            limits=httpx.Limits(max_connections=32, max_keepalive_connections=4, keepalive_expiry=20.0),
        )

    @property
    def alone(self) -> bool:
        """Whether there was no word from the primary for a while."""
        return trio.current_time() - self._heard > ALONE_AFTER

    async def run(self) -> None:
        """Polls for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_regularly)
            named = False
            while True:
                host = self._primary
                if await self._poll():
                    named = False
                    continue
                # a primary that was named is asked at once, unless it was named by one that was named itself
                named = not named and self._named and self._primary != host
                if not named:
                    await trio.sleep(PAUSE * (0.5 + self._node.chance.random()))

    def know_seeds(self, seeds: tuple[str, ...]) -> None:
        """Adds these seeds to the nodes that can be asked."""
        self._seeds = seeds
        self._know(tuple(self._hosts))

    async def _poll(self) -> bool:
        """One long poll; false if another host is to be asked."""
        node = self._node
        request = UpdateRequest(
            node.settings.node,
            node.settings.zone,
            node.table.sequence,
            node.instances.version,
            POLL_WAIT if node.configured else 0.3,
            self._whole,
        )
        timeout = httpx.Timeout(POLL_WAIT + POLL_MARGIN, connect=CONNECT_TIMEOUT)
        body = await self._post(UPDATES_PATH, request, timeout)
        if body is None:
            return False
        update = msgspec.msgpack.decode(body, type=Update)
        if update.epoch < self._epoch:
            self._move_on()
            return False
        self._epoch, self._heard = update.epoch, trio.current_time()
        if self._accounts.moved(self._primary):
            self._report_due.set()
        self._know(update.control_hosts)
        table = self._changed_table(update)
        node.apply(update, table)
        return not self._whole

    def _changed_table(self, update: Update) -> RoutingTable | None:
        """The newer table, if one was told; the whole is asked for next where a difference doesn't fit."""
        if update.configuration_change is None:
            return None
        node = self._node
        try:
            table = node.table.apply_difference(decode_difference(update.configuration_change))
        except DifferenceError as error:
            self._whole = True
            node.log.warning("difference-not-used", extra={"trouble": str(error)})
            return None
        self._whole = False
        return table

    async def _post(self, path: str, message: msgspec.Struct, timeout: httpx.Timeout) -> bytes | None:
        """The primary's answer, or None, after which another host comes next."""
        host = self._primary
        self._named = False
        url = f"http://{host}:{self._port}{path}"
        try:
            with trio.fail_after((timeout.read or POLL_WAIT) + CONNECT_TIMEOUT):
                answer = await self._client.post(
                    url, content=msgspec.msgpack.encode(message), timeout=timeout
                )
        except (httpx.HTTPError, trio.TooSlowError, OSError) as error:
            # a connection that breaks says nothing of its host: the next one may be answered at once
            if not isinstance(error, BROKEN_CONNECTION):
                self._unanswered = trio.current_time()
            self._move_on(host)
            return None
        if answer.status_code == 200:
            return answer.content
        if answer.status_code == 503:
            told = msgspec.msgpack.decode(answer.content, type=NotPrimary)
            self._know(told.control_hosts)
            if told.primary and told.primary != host:
                self._primary = told.primary
                self._named = True
                return None
        self._move_on(host)
        return None

    def _know(self, hosts: tuple[str, ...]) -> None:
        self._hosts = list(dict.fromkeys([*hosts, *self._seeds]))

    def _move_on(self, host: str = "") -> None:
        """Another host, drawn by chance: the next in order would be the same for all nodes."""
        others = [one for one in self._hosts if one != (host or self._primary)]
        if others and (not host or host == self._primary):
            self._primary = self._node.chance.choice(others)

    # use

    async def lease(self, tenant: str, tokens: float) -> None:
        """Asks for tokens of a tenant; without an answer the node lives on its own part."""
        node = self._node
        if await self._send_lease(tenant, tokens):
            return
        if limits := node.table.tenants.get(tenant):
            node.quotas.refill_alone(
                limits, trio.current_time(), node.nodes, node.settings.bounds.quota_slack
            )

    async def _send_lease(self, tenant: str, tokens: float) -> bool:
        """Asks the primary, or the one that it names; false at once while nobody has answered of late."""
        for _ in range(LEASE_HOSTS):
            if self.alone or trio.current_time() - self._unanswered < LEASE_PAUSE:
                return False
            if await self._send_report(self._lease_report(tenant, tokens)):
                return True
        return False

    def _lease_report(self, tenant: str, tokens: float) -> UsageReport:
        """A request for tokens."""
        node, now = self._node, trio.current_time()
        needs = {tenant: node.quotas.need(tenant, tokens, 0.0, now)}
        return self._accounts.report(node.settings.node, self._primary, needs, now)

    async def _send_report(self, report: UsageReport) -> bool:
        host = self._primary
        body = await self._post(USAGE_PATH, report, httpx.Timeout(LEASE_TIMEOUT, connect=LEASE_TIMEOUT))
        if body is None:
            return False
        answer = msgspec.msgpack.decode(body, type=UsageResponse)
        self._node.nodes = answer.edge_node_count
        self._accounts.answered(host, report, answer)
        self._node.selection.told(answer.servers)
        for tenant, grant in answer.grants.items():
            told_alone = report.tenants[tenant].isolated_usage
            spell = self._node.quotas.granted(tenant, grant, trio.current_time(), told_alone)
            if spell is not None:
                self._log_alone(spell)
        return True

    def _log_alone(self, spell: AloneSpell) -> None:
        self._node.log.info(
            "quota-alone",
            extra={
                "tenant": spell.tenant,
                "for_s": round(spell.seconds, 2),
                "tokens": round(spell.tokens),
                "nodes": spell.nodes,
            },
        )

    async def _report_regularly(self) -> None:
        """Tells what this node has at servers, and gives back what it doesn't need."""
        node = self._node
        while True:
            interval = max(REPORT_INTERVAL, REPORT_SPACING * node.nodes)
            with trio.move_on_after(interval * (0.8 + 0.4 * node.chance.random())):
                await self._report_due.wait()
            self._report_due = trio.Event()
            now = trio.current_time()
            loads = node.selection.loads()
            if self.alone or not (loads or self._told or self._accounts.moved(self._primary)):
                continue
            self._told = dict(loads)
            silent = node.instances.silent(now, node.selection.patience)
            suspects = silent if silent or self._suspected else None
            self._suspected = bool(silent)
            # tokens in hand belong to the account, so none are given back with it
            needs = {} if self._accounts.due(self._primary) else self._returns(now)
            report = self._accounts.report(node.settings.node, self._primary, needs, now)
            await self._send_report(msgspec.structs.replace(report, servers=loads, unresponsive_for=suspects))

    def _returns(self, now: float) -> dict[str, QuotaDemand]:
        """What each tenant's clients need, and what this node gives back as it doesn't."""
        quotas = self._node.quotas
        return {
            tenant: quotas.need(tenant, 0.0, quotas.surplus(tenant, now), now)
            for tenant in quotas.tenants()
            if quotas.asked_rate(tenant, now) or quotas.owes(tenant)
        }
