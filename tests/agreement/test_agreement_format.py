"""The formats of stored versions, statuses, notices and snapshots, and of peer messages, must not change."""

import hashlib
import json

import orjson

from wheatroute import peer_messages, snapshot
from wheatroute.agreement.drain_notices import DrainNotices
from wheatroute.agreement.member import EffectiveVersions, Member
from wheatroute.agreement.versions import History, digest

PUT = {
    "format": 1,
    "seq": 1,
    "before": "",
    "kind": "put",
    "version": 1,
    "parent": 0,
    "content": {"request_classes": {"look": {"hard-stop": 2.0}}, "tenants": ["acme", "zoë"]},
    "digest": "2e6d758187d3bdfa261d561319016e07aae0dabb3ac1ed806992b663f5697ece",
    "name": "op-1",
    "who": "on call",
    "when": 1780000000.5,
    "why": "shorter deadlines",
}
FORCE = {
    "format": 1,
    "seq": 2,
    "before": "81bb5e9f61323b139355c6f3470b5f394754b900264abd52302f15e347eb8eb5",
    "kind": "force",
    "version": 1,
    "by": "n0",
}
SECOND = PUT | {
    "seq": 3,
    "before": "1fccb184309d7a8399a1286306526e72d8d9cc57a7526f0eab38f1390925fb6f",
    "version": 2,
    "parent": 1,
    "name": "op-2",
}
WITHDRAW = {
    "format": 1,
    "seq": 4,
    "before": "c985330aa85f50ce13e4c63ba30dafadae7b14f394e18579d969e091b5bc00da",
    "kind": "withdraw",
    "version": 2,
    "by": "n0",
    "reason": "n1: no such class",
}
STATUS = {
    "name": "n0",
    "start": "5f3a",
    "beat": 1,
    "seq": 2,
    "acts": [1, 0],
    "careful": False,
    "refuses": 0,
    "reason": "",
    "lasts": 1.275,
    "list": ["", 0],
    "at": 1780000001.0,
}
ENTRY = {"id": "s1", "addr": "10.0.1.1:80", "state": "in_service", "started_ms": 1000}
SNAPSHOT = (
    b"wheatroute-snapshot 1 68 "
    b"f669867527e10992bc5f9bbd0f91752024609fb9652167c8d2d9c0476e4c0382\n"
    b'{"servers":{"s1":{"latency":1.5,"age":0.25}},"written":1780000000.0}'
)


def put(history, name):
    """Returns the record that puts the content of `PUT`; `name` is the id of the put."""
    return history.put_record(PUT["content"], name, "on call", 1780000000.5, "shorter deadlines")


def test_records_keep_their_format_and_chain():
    history = History()
    assert put(history, "op-1") == PUT
    history.apply(PUT)
    assert history.next_record("force", version=1, by="n0") == FORCE
    history.apply(FORCE)
    assert put(history, "op-2") == SECOND
    history.apply(SECOND)
    assert history.next_record("withdraw", version=2, by="n0", reason="n1: no such class") == WITHDRAW
    history.apply(WITHDRAW)
    assert (history.head, history.active, history.pending) == (4, 1, 0)
    assert digest(WITHDRAW) == "df2a987415e9de00c2974003ad386f3109bca6688c6829c076b3092911f28bb6"


def test_a_process_status_has_the_same_keys_in_the_same_order():
    member = Member("n0", "5f3a", 1.5)
    member.confirm(10.0, [PUT, FORCE])
    member.record_check(1)
    member.set_effective(EffectiveVersions(1, 0, False))
    assert orjson.dumps(member.next_status(1780000001.0)) == orjson.dumps(STATUS)


def test_a_status_written_by_another_process_is_parsed():
    member = Member("n1", "77", 1.5)
    member.confirm(10.0, [PUT])
    member.record_check(1)
    refusing = STATUS | {"seq": 1, "refuses": 1, "reason": "no such class"}
    record = member.next_decision(10.1, 10.2, [refusing])
    assert record == FORCE | {
        "kind": "withdraw",
        "by": "n1",
        "reason": "n0: no such class",
    }


def test_drain_notices_keep_their_format():
    sender, receiver = DrainNotices(1.5), DrainNotices(1.5)
    for notices in (sender, receiver):
        notices.filter_message({"full": True, "servers": [ENTRY]})
    sender.filter_message({"full": False, "servers": [ENTRY | {"state": "terminating"}]})
    notice = {"id": "s1", "started": 1000, "leaves": True, "turn": 1}
    notices, expired_ids = sender.outgoing(1.0)
    assert (orjson.dumps(notices), expired_ids) == (orjson.dumps([notice]), [])
    assert receiver.receive([notice], 1.0) == [ENTRY | {"state": "terminating"}]


def test_a_snapshot_keeps_its_format():
    body = {"servers": {"s1": {"latency": 1.5, "age": 0.25}}}
    assert snapshot.encode(body, 1780000000.0) == SNAPSHOT
    assert snapshot.decode(SNAPSHOT, 1780000001.0, 60.0) == body | {"written": 1780000000.0}


def test_peer_messages_keep_their_format():
    loads = [("10.0.1.1:80", 0.25), ("10.0.1.2:80", 0.0), ("10.0.1.3:80", 7.0)]
    text = "hjdw:m%y!T$<}"
    assert peer_messages.encode_loads(loads) == [text]
    servers = peer_messages.ShortNames()
    for number, (name, _) in enumerate(loads):
        servers.add(name, number)
    assert peer_messages.decode_loads(text, servers.numbers) == {0: 0.25, 1: 0.0, 2: 0.92}


def test_a_digest_is_the_hash_of_the_canonical_json():
    assert digest({"b": 1.0, "a": "é"}) == hashlib.sha256('{"a":"é","b":1}'.encode()).hexdigest()
    assert json.loads(orjson.dumps(PUT)) == PUT
