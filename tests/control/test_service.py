"""The HTTP faces of a control node around a replicator that is told what to say."""

import asyncio
import logging

import msgspec
import pytest
from litestar.testing import AsyncTestClient

from wheatroute.cluster.configuration import decode_configuration
from wheatroute.cluster.distribution import EMPTY_VERSION, apply_difference, decode_difference, make_version
from wheatroute.cluster.errors import RequestError
from wheatroute.cluster.messages import (
    InstanceState,
    NotPrimary,
    QuotaDemand,
    RegistryVersion,
    Update,
    UpdateRequest,
    UsageReport,
    UsageResponse,
)
from wheatroute.cluster.settings import Settings
from wheatroute.control.api import Handlers, control_app, internal_app
from wheatroute.control.changes import Change, ConfigurationState, encode_state
from wheatroute.control.quotas import BucketLevels
from wheatroute.control.registry import Registry, decode_heartbeat
from wheatroute.control.service import ControlService, SoftState
from wheatroute.replication.records import Document, DocumentVersion
from wheatroute.replication.views import View

FIRST = {
    "generation": 3,
    "routes": [],
    "services": [{"name": "s"}],
    "tenants": [{"name": "t", "api_keys": ["k"], "rate_per_s": 10, "burst": 5}],
}
BEAT = {"backend": "s", "addr": "10.0.0.9:80", "zone": "z", "slots": 4, "state": "ready", "seq": 1}


def version_of(update):
    """What a node that has nothing makes of an update."""
    return apply_difference(EMPTY_VERSION, decode_difference(update.configuration_change))


class Core:
    is_leading = is_healthy = True
    view = View(4, "10.0.0.2/0", ("10.0.0.1/0", "10.0.0.2/0"), ("10.0.0.1/0", "10.0.0.2/0", "10.0.0.3/0"))
    hosts = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
    identity = "10.0.0.1/0"

    def __init__(self):
        self.document = self.committed = Document(DocumentVersion(4, 1), encode_state(ConfigurationState()))
        self.primary_heard = True

    def primary_host(self, now):
        return "10.0.0.2" if self.primary_heard and not self.is_leading else ""


class Replicator:
    """Commits what is written at once, unless told otherwise."""

    def __init__(self, service):
        self.service = service
        self.core = Core()
        self.is_serving = True
        self.soft_state = self.bucket_levels = b""
        self.bucket_levels_at = 0.0
        self.acknowledges = self.confirms = self.acknowledges_soft_state = True
        self.soft_states = []

    async def write(self, payload, timeout):
        if not self.acknowledges:
            return False
        self.core.document = self.core.committed = Document(
            DocumentVersion(4, self.core.document.version.sequence + 1), payload
        )
        self.service._committed(self.core.document)
        return True

    async def confirm_leadership(self, timeout):
        return self.confirms

    def replicate_soft_state(self, payload):
        self.soft_states.append(payload)
        return 4, len(self.soft_states)

    def replicate_bucket_levels(self, payload):
        self.bucket_levels = payload

    async def wait_for_soft_state_acks(self, version, timeout):
        return self.acknowledges_soft_state


def played(tell):
    """Runs a story with a service, its replicator and both of its apps."""

    def run():
        async def story():
            settings = Settings(node="c", ip="10.0.0.1", zone="z", listen={}, port_range=(1, 2), seeds=())
            service = ControlService(settings, logging.getLogger("test-control"))
            service.replicator = Replicator(service)
            service._registry = Registry(4, 1.2, asyncio.get_running_loop().time())
            service._committed(service.replicator.core.document)
            handlers = Handlers(service, 8080, logging.getLogger("test-control"))
            async with AsyncTestClient(control_app(handlers)) as outside:
                async with AsyncTestClient(internal_app(handlers)) as inside:
                    await tell(service, outside, Inside(inside))

        asyncio.run(story())

    run.__name__ = tell.__name__
    return run


class Inside:
    def __init__(self, client):
        self.client = client

    async def updates(self, configuration=-1, registry=None, wait_s=0.0):
        asked = UpdateRequest("edge-1", "z", configuration, registry or RegistryVersion(), wait_s)
        got = await self.client.post("/updates", content=msgspec.msgpack.encode(asked))
        kind = Update if got.status_code == 200 else NotPrimary
        return msgspec.msgpack.decode(got.content, type=kind)


@played
async def test_a_configuration_is_taken_read_back_and_handed_out(service, outside, inside):
    assert (await outside.get("/-/config")).status_code == 404
    body = msgspec.json.encode(FIRST)
    for _ in range(2):
        assert (await outside.put("/-/config", content=body, headers={"If-Match": "0"})).status_code == 200
    assert (await outside.get("/-/config")).content == body
    told = await inside.updates()
    assert told.configuration == 2
    assert version_of(told) == make_version(decode_configuration(body), 2)
    assert (await inside.updates(configuration=2)).configuration_change is None
    bad = await outside.put("/-/config", content=body[:-4], headers={"If-Match": "3"})
    assert bad.status_code == 400 and bad.json()["error"] == "invalid-configuration"
    assert (await outside.patch("/-/config", content=b"{}", headers={"If-Match": "1"})).status_code == 412


@played
async def test_what_too_few_disks_took_gets_no_clear_answer(service, outside, inside):
    service.replicator.acknowledges = False
    got = await outside.put("/-/config", content=msgspec.json.encode(FIRST), headers={"If-Match": "0"})
    assert got.status_code == 503 and (await inside.updates()).configuration_change is None


@played
async def test_a_change_waits_for_the_write_before_it(service, outside, inside):
    """At each change of view the document is written anew; an order that comes in that moment is taken."""
    core = service.replicator.core
    kept, core.committed = core.committed, None
    order = asyncio.create_task(service.change(Change(False, "0", msgspec.json.encode(FIRST))))
    await asyncio.sleep(0)
    assert not order.done()
    core.committed = kept
    assert await order == 3
    core.committed = None  # it never comes
    body = msgspec.json.encode({"generation": 4, "upsert": {"services": [{"name": "s4"}]}})
    with pytest.raises(RequestError, match="not acknowledged yet"):
        await service.change(Change(True, "3", body))


@played
async def test_a_read_is_answered_only_by_a_leader_that_a_majority_confirms(service, outside, inside):
    await outside.put("/-/config", content=msgspec.json.encode(FIRST), headers={"If-Match": "0"})
    service.replicator.confirms = False
    assert (await outside.get("/-/config")).status_code == 503
    # nor is an order acknowledged again without that
    again = await outside.put("/-/config", content=msgspec.json.encode(FIRST), headers={"If-Match": "0"})
    assert again.status_code == 503


@played
async def test_no_order_is_refused_by_a_leader_that_no_majority_confirms(service, outside, inside):
    """It may have been deposed: what it would refuse may have been taken, or be due, elsewhere."""
    first = msgspec.json.encode(FIRST)
    await outside.put("/-/config", content=first, headers={"If-Match": "0"})
    stale = msgspec.json.encode(FIRST | {"generation": 4})
    invalid = msgspec.json.encode(FIRST | {"generation": 2})
    orders = ((stale, "0", 412), (invalid, "3", 400), (b"{", "3", 400))
    for confirms in (True, False):
        service.replicator.confirms = confirms
        for body, match, refusal in orders:
            got = await outside.put("/-/config", content=body, headers={"If-Match": match})
            assert got.status_code == (refusal if confirms else 503)


@played
async def test_a_first_configuration_is_handed_out_only_by_a_leader_that_a_majority_confirms(
    service, outside, inside
):
    await outside.put("/-/config", content=msgspec.json.encode(FIRST), headers={"If-Match": "0"})
    service.replicator.confirms = False
    assert isinstance(await inside.updates(), NotPrimary)
    # a node that has one takes nothing older: the lease is enough for it, also for a newer one
    assert (await inside.updates(configuration=1)).configuration == 2
    assert isinstance(await inside.updates(configuration=2), Update)
    service.replicator.confirms = True
    assert (await inside.updates()).configuration == 2


@played
async def test_a_leader_that_is_deposed_while_it_asks_hands_nothing_out(service, outside, inside):
    await outside.put("/-/config", content=msgspec.json.encode(FIRST), headers={"If-Match": "0"})

    async def deposed(timeout):
        service.replicator.core.is_leading = service.replicator.is_serving = False
        service._view_changed()
        return True

    service.replicator.confirm_leadership = deposed
    assert isinstance(await inside.updates(), NotPrimary)


@played
async def test_a_drain_is_acknowledged_only_by_a_leader_that_a_majority_confirms(service, outside, inside):
    service.replicator.confirms = False
    draining = msgspec.json.encode(BEAT | {"state": "draining"})
    assert (await outside.put("/-/instances/i-1", content=draining)).status_code == 503
    assert (await outside.delete("/-/instances/i-1")).status_code == 503
    service.replicator.confirms = True
    assert (await outside.put("/-/instances/i-1", content=draining)).status_code == 200
    assert (await outside.delete("/-/instances/i-1")).status_code == 200


@played
async def test_a_follower_that_hears_no_primary_sends_nobody_to_it(service, outside, inside):
    service.replicator.core.is_leading = service.replicator.core.primary_heard = False
    for method, path in (("GET", "/-/config"), ("PUT", "/-/instances/i-1"), ("DELETE", "/-/instances/i-1")):
        got = await outside.request(method, path, content=msgspec.json.encode(BEAT), follow_redirects=False)
        assert got.status_code == 503 and 0 < float(got.headers["retry-after"]) < 1
    assert await inside.updates() == NotPrimary("", Core.hosts)


@played
async def test_a_primary_whose_disk_takes_no_writes_says_so_and_keeps_its_state(service, outside, inside):
    body = msgspec.json.encode(FIRST)
    service.replicator.core.is_healthy = False
    told = await outside.put("/-/config", content=body, headers={"If-Match": "0"})
    assert (told.status_code, told.json()["error"]) == (503, "storage") and "Retry-After" in told.headers
    service.replicator.core.is_healthy = True
    assert (await outside.put("/-/config", content=body, headers={"If-Match": "0"})).status_code == 200


@played
async def test_callers_are_sent_to_the_primary(service, outside, inside):
    service.replicator.core.is_leading = False
    for method, path in (("GET", "/-/config"), ("PUT", "/-/instances/i-1"), ("DELETE", "/-/instances/i-1")):
        got = await outside.request(method, path, content=msgspec.json.encode(BEAT), follow_redirects=False)
        assert (got.status_code, got.headers["location"]) == (307, f"http://10.0.0.2:8080{path}")
    assert await inside.updates() == NotPrimary("10.0.0.2", Core.hosts)


@played
async def test_a_leader_without_a_majority_acknowledges_nothing(service, outside, inside):
    service.replicator.is_serving = False
    assert (await outside.put("/-/instances/i-1", content=msgspec.json.encode(BEAT))).status_code == 503
    assert await inside.updates() == NotPrimary("", Core.hosts)


@played
async def test_a_drain_is_acknowledged_once_all_members_know_and_reaches_a_waiting_poll(
    service, outside, inside
):
    assert (await outside.put("/-/instances/i-1", content=msgspec.json.encode(BEAT))).status_code == 200
    known = (await inside.updates()).registry
    draining = msgspec.json.encode(BEAT | {"state": "draining", "seq": 2})
    service.replicator.acknowledges_soft_state = False
    assert (await outside.put("/-/instances/i-1", content=draining)).status_code == 503
    service.replicator.acknowledges_soft_state = True
    assert (await outside.put("/-/instances/i-1", content=draining)).status_code == 200
    told = await inside.updates(configuration=1, registry=known, wait_s=5.0)
    assert [(one.id, one.state) for one in told.instances] == [("i-1", InstanceState.DRAINING)]
    shared = msgspec.msgpack.decode(service.replicator.soft_states[-1], type=dict)["instances"]
    assert [(one["id"], one["state"]) for one in shared] == [("i-1", "draining")]
    assert (await outside.delete("/-/instances/i-1")).status_code == 200


@played
async def test_many_servers_that_leave_together_are_told_to_the_members_once(service, outside, inside):
    """The registry is sent whole: once for each of them grows with the square of the servers."""
    for n in range(50):
        await service.heartbeat(f"i-{n}", decode_heartbeat(msgspec.json.encode(BEAT)))
    before = len(service.replicator.soft_states)
    beat = decode_heartbeat(msgspec.json.encode(BEAT | {"state": "draining", "seq": 2}))
    async with asyncio.TaskGroup() as group:
        for n in range(50):
            group.create_task(service.heartbeat(f"i-{n}", beat))
    hints = service.replicator.soft_states[before:]
    assert len(hints) <= 2
    told = msgspec.msgpack.decode(hints[-1], type=SoftState)
    assert {one.state for one in told.instances} == {InstanceState.DRAINING} and len(told.instances) == 50


@played
async def test_a_primary_that_is_deposed_before_it_shares_tells_nobody_anything(service, outside, inside):
    for n in range(2):
        await service.heartbeat(f"i-{n}", decode_heartbeat(msgspec.json.encode(BEAT)))
    draining = decode_heartbeat(msgspec.json.encode(BEAT | {"state": "draining", "seq": 2}))
    await service.heartbeat("i-0", draining)  # the next sharing waits a moment
    shared = len(service.replicator.soft_states)
    second = asyncio.create_task(service.heartbeat("i-1", draining))
    await asyncio.sleep(0)
    service.replicator.core.is_leading = False
    with pytest.raises(RequestError):
        await second
    assert len(service.replicator.soft_states) == shared


@played
async def test_the_levels_of_buckets_are_told_without_the_registry(service, outside, inside):
    await outside.put("/-/config", content=msgspec.json.encode(FIRST), headers={"If-Match": "0"})
    await outside.put("/-/instances/i-1", content=msgspec.json.encode(BEAT))
    service._share_registry()
    shared = len(service.replicator.soft_states)
    report = UsageReport("edge-1", {"t": QuotaDemand(4.0)})
    await inside.client.post("/usage", content=msgspec.msgpack.encode(report))
    service._share_buckets(asyncio.get_running_loop().time() + 1.0)
    assert len(service.replicator.soft_states) == shared
    told = msgspec.msgpack.decode(service.replicator.bucket_levels, type=dict[str, BucketLevels])
    assert told["t"].limit < 2.0
    # a primary that starts from both goes by the newer word
    service.replicator.soft_state = service.replicator.soft_states[-1]
    service._quotas = service._new_quotas(is_first=True)
    service._quotas.configure(service._versions.tenants, asyncio.get_running_loop().time())
    service._restore(asyncio.get_running_loop().time())
    assert service._quotas.levels()["t"].limit < 2.0


@played
async def test_a_poll_that_waits_is_woken_by_a_change(service, outside, inside):
    known = (await inside.updates()).registry
    async with asyncio.timeout(5.0):
        waiting = asyncio.ensure_future(inside.updates(configuration=1, registry=known, wait_s=4.0))
        await outside.put("/-/instances/i-1", content=msgspec.json.encode(BEAT))
        assert [one.id for one in (await waiting).instances] == ["i-1"]


@played
async def test_a_heartbeat_that_cannot_be_read_is_refused(service, outside, inside):
    assert (await outside.put("/-/instances/i-1", content=b"{")).status_code == 400


@played
async def test_a_server_that_two_nodes_get_no_answer_of_is_passed_over_by_all(service, outside, inside):
    await outside.put("/-/config", content=msgspec.json.encode(FIRST), headers={"If-Match": "0"})
    await outside.put("/-/instances/i-1", content=msgspec.json.encode(BEAT))
    known = (await inside.updates(configuration=2)).registry
    await asyncio.sleep(0)
    since_the_beat = 0.0

    async def report(node, silent_for):
        body = msgspec.msgpack.encode(UsageReport(node, {}, {}, silent_for))
        assert (await inside.client.post("/usage", content=body)).status_code == 200

    async def state():
        told = await inside.updates(configuration=2, registry=known)
        return [one.state for one in told.instances]

    await report("edge-2", {})
    await report("edge-1", {"i-1": since_the_beat})
    await report("edge-1", {"i-1": since_the_beat})
    assert await state() == []  # one node's word, however often
    await report("edge-2", {"i-1": 900.0})
    assert await state() == []  # a heartbeat came since that request was sent
    await report("edge-2", {})
    await report("edge-3", {"i-1": since_the_beat})
    assert await state() == [InstanceState.UNRESPONSIVE]
    await outside.put("/-/instances/i-1", content=msgspec.json.encode(BEAT | {"seq": 2}))
    assert await state() == [InstanceState.READY]


@played
async def test_tokens_are_granted_by_the_configuration_in_force(service, outside, inside):
    await outside.put("/-/config", content=msgspec.json.encode(FIRST), headers={"If-Match": "0"})
    report = UsageReport("edge-1", {"t": QuotaDemand(4.0), "none": QuotaDemand(1.0)})
    got = await inside.client.post("/usage", content=msgspec.msgpack.encode(report))
    told = msgspec.msgpack.decode(got.content, type=UsageResponse)
    assert told.grants["t"].tokens == 4.0 and told.grants["none"].tokens == 1.0
