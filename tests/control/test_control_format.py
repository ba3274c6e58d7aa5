"""Messages between control and edge nodes and the stored state keep the encoding of an earlier release.

The expected bytes were written by an earlier version of the program, that of landing 12.
"""

import hashlib
import json

import msgspec
import pytest

from wheatroute.cluster.configuration import (
    ClientLimits,
    Engine,
    Route,
    Service,
    Tenant,
    WeightedService,
    decode_configuration,
)
from wheatroute.cluster.distribution import (
    EMPTY_VERSION,
    Difference,
    ItemChanges,
    decode_difference,
    encode_difference,
    make_difference,
    make_version,
)
from wheatroute.cluster.messages import (
    Instance,
    InstanceState,
    NotPrimary,
    QuotaDemand,
    QuotaGrant,
    RegistryVersion,
    ServerLoad,
    Update,
    UpdateRequest,
    UsageReport,
    UsageResponse,
)
from wheatroute.cluster.settings import Limits
from wheatroute.control.changes import Change, ConfigurationState, apply_change, decode_state, encode_state
from wheatroute.control.configuration_limits import configuration_limits
from wheatroute.control.quotas import BucketLevels
from wheatroute.control.registry import HeartbeatModel, ServerHeartbeat, decode_heartbeat
from wheatroute.control.soft_state import SoftState, make_soft_state

LIMITS = configuration_limits(Limits())

VERSION = RegistryVersion(epoch=7, number=12)
INSTANCES = (
    Instance("s1", "llm", "10.0.1.1:80", "z1", 8, InstanceState.READY, 3, 250.0, ("m-a", "m-b")),
    Instance("s2", "llm", "10.0.1.2:80", "z2", 8, InstanceState.UNRESPONSIVE, 4),
    Instance("s3", "llm", "10.0.1.3:80", "z2", 8, InstanceState.DRAINING, 5),
    Instance("s4", "llm", "10.0.1.4:80", "z2", 8, InstanceState.REMOVED, 6),
)
ROUTE = Route(
    "chat",
    "a.example",
    "/v1",
    "streaming",
    30000.0,
    800.0,
    3,
    None,
    (WeightedService("llm", 0.75),),
    2,
    True,
    True,
    True,
    40.0,
)
TENANT = Tenant("acme", ("key-1",), 3, "tokens", 0.25, 1000.0, 4000.0)
SERVICE = Service("llm", "/health", 64, Engine(8, 100000))
ITEMS = ItemChanges((ROUTE,), (SERVICE,), (TENANT,), ("old-route",), ("old-service",), ("old-tenant",))

CASES = [
    pytest.param(
        INSTANCES[0],
        (
            "89a26964a27331a773657276696365a36c6c6da761646472657373ab31302e302e312e313a3830a47a6f"
            "6e65a27a31a5736c6f747308a57374617465a57265616479a76368616e67656403ad636f6c645f756e74"
            "696c5f6d73cb406f400000000000a66d6f64656c7392a36d2d61a36d2d62"
        ),
        id="instance",
    ),
    pytest.param(VERSION, "82a565706f636807a66e756d6265720c", id="registry-version"),
    pytest.param(
        UpdateRequest("edge-1", "z1", 41, VERSION, 0.7, True),
        (
            "86a46e6f6465a6656467652d31a47a6f6e65a27a31ad636f6e66696775726174696f6e29a87265676973"
            "74727982a565706f636807a66e756d6265720ca6776169745f73cb3fe6666666666666a577686f6c65c3"
        ),
        id="update-request",
    ),
    pytest.param(
        Update(7, 41, b"difference", VERSION, INSTANCES, True, False, ("10.0.0.1", "10.0.0.2"), 3),
        (
            "89a565706f636807ad636f6e66696775726174696f6e29b4636f6e66696775726174696f6e5f6368616e"
            "6765c40a646966666572656e6365a8726567697374727982a565706f636807a66e756d6265720ca9696e"
            "7374616e6365739489a26964a27331a773657276696365a36c6c6da761646472657373ab31302e302e31"
            "2e313a3830a47a6f6e65a27a31a5736c6f747308a57374617465a57265616479a76368616e67656403ad"
            "636f6c645f756e74696c5f6d73cb406f400000000000a66d6f64656c7392a36d2d61a36d2d6289a26964"
            "a27332a773657276696365a36c6c6da761646472657373ab31302e302e312e323a3830a47a6f6e65a27a"
            "32a5736c6f747308a57374617465a673696c656e74a76368616e67656404ad636f6c645f756e74696c5f"
            "6d73cb0000000000000000a66d6f64656c739089a26964a27333a773657276696365a36c6c6da7616464"
            "72657373ab31302e302e312e333a3830a47a6f6e65a27a32a5736c6f747308a57374617465a864726169"
            "6e696e67a76368616e67656405ad636f6c645f756e74696c5f6d73cb0000000000000000a66d6f64656c"
            "739089a26964a27334a773657276696365a36c6c6da761646472657373ab31302e302e312e343a3830a4"
            "7a6f6e65a27a32a5736c6f747308a57374617465a4676f6e65a76368616e67656406ad636f6c645f756e"
            "74696c5f6d73cb0000000000000000a66d6f64656c7390a577686f6c65c3a7736574746c6564c2ad636f"
            "6e74726f6c5f686f73747392a831302e302e302e31a831302e302e302e32a5656467657303"
        ),
        id="update",
    ),
    pytest.param(
        Update(7, 41, None, VERSION, (), False, True, ("10.0.0.1",), 3),
        (
            "89a565706f636807ad636f6e66696775726174696f6e29b4636f6e66696775726174696f6e5f6368616e"
            "6765c0a8726567697374727982a565706f636807a66e756d6265720ca9696e7374616e63657390a57768"
            "6f6c65c2a7736574746c6564c3ad636f6e74726f6c5f686f73747391a831302e302e302e31a565646765"
            "7303"
        ),
        id="update-without-configuration",
    ),
    pytest.param(
        NotPrimary("10.0.0.1", ("10.0.0.1", "10.0.0.2")),
        (
            "82a77072696d617279a831302e302e302e31ad636f6e74726f6c5f686f73747392a831302e302e302e31"
            "a831302e302e302e32"
        ),
        id="not-primary",
    ),
    pytest.param(ServerLoad(1200, 3), "92cd04b003", id="server-load"),
    pytest.param(
        QuotaDemand(10.0, 2.5, 100.0, 30.0, 20.0, (5, 0, 7)),
        (
            "86a677616e746564cb4024000000000000a872657475726e6564cb4004000000000000a472617465cb40"
            "59000000000000a5616c6f6e65cb403e000000000000aa616c6f6e655f746f6c64cb4034000000000000"
            "a6726563656e7493050007"
        ),
        id="quota-demand",
    ),
    pytest.param(
        QuotaDemand(),
        (
            "86a677616e746564cb0000000000000000a872657475726e6564cb0000000000000000a472617465cb00"
            "00000000000000a5616c6f6e65cb0000000000000000aa616c6f6e655f746f6c64cb0000000000000000"
            "a6726563656e7490"
        ),
        id="quota-demand-default",
    ),
    pytest.param(
        QuotaGrant(10.0, 0.5, 40.0, 80.0),
        (
            "84a6746f6b656e73cb4024000000000000a6776169745f73cb3fe0000000000000a86f776e5f72617465"
            "cb4044000000000000aa6f776e5f746f6b656e73cb4054000000000000"
        ),
        id="quota-grant",
    ),
    pytest.param(
        UsageReport("edge-1", {"acme": QuotaDemand(1.0)}, {"s1": ServerLoad(10, 1)}, {"s2": 0.8}, 4.0),
        (
            "85a46e6f6465a6656467652d31a774656e616e747381a461636d6586a677616e746564cb3ff000000000"
            "0000a872657475726e6564cb0000000000000000a472617465cb0000000000000000a5616c6f6e65cb00"
            "00000000000000aa616c6f6e655f746f6c64cb0000000000000000a6726563656e7490a7736572766572"
            "7381a27331920a01aa73696c656e745f666f7281a27332cb3fe999999999999aa8726563656e745f73cb"
            "4010000000000000"
        ),
        id="usage-report",
    ),
    pytest.param(
        UsageReport("edge-1", {}),
        (
            "85a46e6f6465a6656467652d31a774656e616e747380a773657276657273c0aa73696c656e745f666f72"
            "c0a8726563656e745f73c0"
        ),
        id="usage-report-unchanged",
    ),
    pytest.param(
        UsageResponse({"acme": QuotaGrant(1.0)}, {"s1": ServerLoad(10, 1)}, 3, 7),
        (
            "84a66772616e747381a461636d6584a6746f6b656e73cb3ff0000000000000a6776169745f73cb000000"
            "0000000000a86f776e5f72617465cb0000000000000000aa6f776e5f746f6b656e73cb00000000000000"
            "00a77365727665727381a27331920a01a5656467657303a46c65616407"
        ),
        id="usage-response",
    ),
    pytest.param(
        SoftState(INSTANCES, {"acme": 400.0}, {"acme": 20.0}, 3),
        (
            "84a9696e7374616e6365739489a26964a27331a773657276696365a36c6c6da761646472657373ab3130"
            "2e302e312e313a3830a47a6f6e65a27a31a5736c6f747308a57374617465a57265616479a76368616e67"
            "656403ad636f6c645f756e74696c5f6d73cb406f400000000000a66d6f64656c7392a36d2d61a36d2d62"
            "89a26964a27332a773657276696365a36c6c6da761646472657373ab31302e302e312e323a3830a47a6f"
            "6e65a27a32a5736c6f747308a57374617465a673696c656e74a76368616e67656404ad636f6c645f756e"
            "74696c5f6d73cb0000000000000000a66d6f64656c739089a26964a27333a773657276696365a36c6c6d"
            "a761646472657373ab31302e302e312e333a3830a47a6f6e65a27a32a5736c6f747308a57374617465a8"
            "647261696e696e67a76368616e67656405ad636f6c645f756e74696c5f6d73cb0000000000000000a66d"
            "6f64656c739089a26964a27334a773657276696365a36c6c6da761646472657373ab31302e302e312e34"
            "3a3830a47a6f6e65a27a32a5736c6f747308a57374617465a4676f6e65a76368616e67656406ad636f6c"
            "645f756e74696c5f6d73cb0000000000000000a66d6f64656c7390a76275636b65747381a461636d65cb"
            "4079000000000000a665787472617381a461636d65cb4034000000000000a5656467657303"
        ),
        id="soft-state",
    ),
    pytest.param(
        make_soft_state(INSTANCES, {"acme": BucketLevels(400.0, 20.0)}, 3),
        (
            "84a9696e7374616e6365739489a26964a27331a773657276696365a36c6c6da761646472657373ab3130"
            "2e302e312e313a3830a47a6f6e65a27a31a5736c6f747308a57374617465a57265616479a76368616e67"
            "656403ad636f6c645f756e74696c5f6d73cb406f400000000000a66d6f64656c7392a36d2d61a36d2d62"
            "89a26964a27332a773657276696365a36c6c6da761646472657373ab31302e302e312e323a3830a47a6f"
            "6e65a27a32a5736c6f747308a57374617465a673696c656e74a76368616e67656404ad636f6c645f756e"
            "74696c5f6d73cb0000000000000000a66d6f64656c739089a26964a27333a773657276696365a36c6c6d"
            "a761646472657373ab31302e302e312e333a3830a47a6f6e65a27a32a5736c6f747308a57374617465a8"
            "647261696e696e67a76368616e67656405ad636f6c645f756e74696c5f6d73cb0000000000000000a66d"
            "6f64656c739089a26964a27334a773657276696365a36c6c6da761646472657373ab31302e302e312e34"
            "3a3830a47a6f6e65a27a32a5736c6f747308a57374617465a4676f6e65a76368616e67656406ad636f6c"
            "645f756e74696c5f6d73cb0000000000000000a66d6f64656c7390a76275636b65747381a461636d65cb"
            "4079000000000000a665787472617381a461636d65cb4034000000000000a5656467657303"
        ),
        id="soft-state-of-levels",
    ),
    pytest.param(
        make_soft_state(INSTANCES[:0], {}, 3, {"s4": 1.5}),
        "85a9696e7374616e63657390a76275636b65747380a665787472617380a5656467657303a8646570617274656481a27334cb3ff8000000000000",
        id="soft-state-with-departures",
    ),
    pytest.param(
        BucketLevels(400.0, 20.0),
        "82a56c696d6974cb4079000000000000a56578747261cb4034000000000000",
        id="bucket-levels",
    ),
    pytest.param(
        ConfigurationState(3, b"{}", (b"0123456789abcdef",), (2,), 1),
        (
            "85aa67656e65726174696f6e03a4626f6479c4027b7da574616b656e91c4103031323334353637383961"
            "6263646566a562617365739102a9666f72676f7474656e01"
        ),
        id="configuration-state",
    ),
    pytest.param(
        ITEMS,
        (
            "86a6726f75746573918ea46e616d65a463686174a8686f73746e616d65a9612e6578616d706c65ab7061"
            "74685f707265666978a32f7631a46b696e64a973747265616d696e67aa74696d656f75745f6d73cb40dd"
            "4c0000000000a97461726765745f6d73cb4089000000000000a87072696f7269747903a76261636b656e"
            "64c0a573706c69749182a76261636b656e64a36c6c6da6776569676874cb3fe8000000000000a7726574"
            "7269657302a67075626c6963c3a6737469636b79c3a6726573756d65c3aa6761705f61696d5f6d73cb40"
            "44000000000000a873657276696365739184a46e616d65a36c6c6dab6865616c74685f70617468a72f68"
            "65616c7468a96d61785f636f6e6e7340a6656e67696e6582a5736c6f747308ab6b765f63617061636974"
            "79ce000186a0a774656e616e74739187a46e616d65a461636d65a86170695f6b65797391a56b65792d31"
            "a87072696f7269747903a4756e6974a6746f6b656e73af756e6361636865645f746f6b656e73cb3fd000"
            "0000000000aa726174655f7065725f73cb408f400000000000a56275727374cb40af400000000000ab67"
            "6f6e655f726f7574657391a96f6c642d726f757465ad676f6e655f736572766963657391ab6f6c642d73"
            "657276696365ac676f6e655f74656e616e747391aa6f6c642d74656e616e74"
        ),
        id="item-changes",
    ),
    pytest.param(
        Difference(40, 41, 3, ClientLimits(8192, 1048576, 5000.0, 30000.0), ITEMS, 123456789),
        (
            "86a46261736528a873657175656e636529aa67656e65726174696f6e03a66c696d69747384b06d61785f"
            "6865616465725f6279746573cd2000ae6d61785f626f64795f6279746573ce00100000b1686561646572"
            "5f74696d656f75745f6d73cb40b3880000000000af69646c655f74696d656f75745f6d73cb40dd4c0000"
            "000000a56974656d7386a6726f75746573918ea46e616d65a463686174a8686f73746e616d65a9612e65"
            "78616d706c65ab706174685f707265666978a32f7631a46b696e64a973747265616d696e67aa74696d65"
            "6f75745f6d73cb40dd4c0000000000a97461726765745f6d73cb4089000000000000a87072696f726974"
            "7903a76261636b656e64c0a573706c69749182a76261636b656e64a36c6c6da6776569676874cb3fe800"
            "0000000000a77265747269657302a67075626c6963c3a6737469636b79c3a6726573756d65c3aa676170"
            "5f61696d5f6d73cb4044000000000000a873657276696365739184a46e616d65a36c6c6dab6865616c74"
            "685f70617468a72f6865616c7468a96d61785f636f6e6e7340a6656e67696e6582a5736c6f747308ab6b"
            "765f6361706163697479ce000186a0a774656e616e74739187a46e616d65a461636d65a86170695f6b65"
            "797391a56b65792d31a87072696f7269747903a4756e6974a6746f6b656e73af756e6361636865645f74"
            "6f6b656e73cb3fd0000000000000aa726174655f7065725f73cb408f400000000000a56275727374cb40"
            "af400000000000ab676f6e655f726f7574657391a96f6c642d726f757465ad676f6e655f736572766963"
            "657391ab6f6c642d73657276696365ac676f6e655f74656e616e747391aa6f6c642d74656e616e74a664"
            "6967657374ce075bcd15"
        ),
        id="difference",
    ),
]


CONFIGURATION = {
    "generation": 3,
    "routes": [
        {
            "name": "chat",
            "hostname": "a.example",
            "path_prefix": "/v1",
            "kind": "streaming",
            "timeout_ms": 30000,
            "target_ms": 800,
            "priority": 5,
            "backend": "llm",
            "retries": 2,
            "resume": True,
            "gap_aim_ms": 40,
        }
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/health",
            "max_conns": 64,
            "engine": {"slots": 8, "kv_capacity": 100000},
        }
    ],
    "limits": {
        "max_header_bytes": 8192,
        "max_body_bytes": 1048576,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 30000,
    },
    "tenants": [
        {
            "name": "acme",
            "api_keys": ["key-1"],
            "priority": 3,
            "unit": "tokens",
            "uncached_tokens": 1.0,
            "rate_per_s": 1000,
            "burst": 4000,
        }
    ],
}
BODY = json.dumps(CONFIGURATION).encode()
STATE = (
    "78015d52b16e13411045f00391d2a4b456295284e02376625251e50b5220a16835b737b91b7cbb7bdadd"
    "b36c592e53a3fc0329a0a54d19be805fc86f4430b36720e1aa9d37336fe6bdb9eb6f353a0c90c8bb575f"
    "4a5fad7ebc6cd7ea1fa8ce46c78723157c9f3072f071ad1c58e497320d24c5b9c6c7f40783235c82ed5a"
    "944407a9d15dc02b5a4afd9b4521e89c5c25614c01c192ab054c649147682b338ec7fc0908a1c62d36cb"
    "4817c8074a2b2e9a724109668e035bdb5ae1099802e545dfe628f679d7147ae4b8864e03d961ca64bcb9"
    "642c625890f95fdb96ae416845030bc90a86580659586ae39d937d4f260ca0abc9892f6b155b9f049f31"
    "3c5f68031d9861e942948d3779704b9672d93a933175854197abc1e759f14e14c818b9ca5fbc184f66d3"
    "d3134e6d1b9e39371d8ca3aa45fd2c912ddd705742072e8f7d724930ec1227a1233dc755beb3e2c7eb42"
    "89454f5c977fa17794c48de4d9fc287dbd33601aacf4163a1b15477240feaf5077ac4a18453b63651fa2"
    "b44fc488cbcd6d0266b9b9dfd97da0ef1f3e9dbfbfdbdf7bfc7cf0f3e2b68488f1e6c5d72b1f6a9f78ef"
    "5fbf01f10bdc43"
)
PATCHED = (
    "780155903d4b0341108615fd01012dac070b8b5573e6c3789595bd202284b0ecdd8db93577bbc7de2678"
    "8494a98594d6a650b0b2d52efe023b6b213fc14a74f6e2076eb3ccbb33cfbcef8eefbaa8d0082bb55abd"
    "0974543c2f1743f813c1af3330ba6f3107bfdd6190a319c8b0ac86a0448ae04392a4c0204691d89867c2"
    "c6a4ed2e4ad25371c943ad14019a0443d5958aa6869027da92d862d01bf050642294b600dfabba331ad1"
    "b244a6d2b50c4b081123343c284a332def606f0177b67f54af5a6f35f69ba51bd76c658ae49ea7446910"
    "96818c12fc27d7ca750c2c2aa1dcb6f66f3011523e062293bc87857b02bab73d206f9991da94866b0cfa"
    "4a5a0a6d750f29a7ab4311c618f16fc5f7766835fd33f28c5c11c9a56410f44d4e837517b8339a5a41f3"
    "935965ed4d3e9c5d1c1d3e6e6e7c5c6dbd9ccc2ad7eba7afc9783e9fbedf23e2d3f1341039e693a595db"
    "736dbada92f9cf2fa1a5a317"
)


@pytest.mark.parametrize(("value", "written"), CASES)
def test_the_encoding_is_unchanged(value, written):
    assert msgspec.msgpack.encode(value).hex() == written
    assert msgspec.msgpack.decode(bytes.fromhex(written), type=type(value)) == value


def test_the_digest_and_the_full_difference_of_a_configuration_are_unchanged():
    version = make_version(decode_configuration(BODY), 41)
    assert version.digest == 8673784257128854832
    sent = encode_difference(make_difference(EMPTY_VERSION, version))
    assert (
        hashlib.sha256(msgspec.msgpack.encode(decode_difference(sent))).hexdigest()
        == "4785f94a0c81f430a97fd53265282e89815596f5ddc981898f77aa1dbb1e6b13"
    )


def test_the_encoding_of_the_replicated_document_is_unchanged():
    state = apply_change(ConfigurationState(), Change(is_partial=False, if_match='"0"', body=BODY), LIMITS)
    assert encode_state(state).hex() == STATE
    assert decode_state(bytes.fromhex(STATE)) == state
    patch = Change(is_partial=True, if_match="3", body=b'{"generation": 4, "delete": {"routes": ["chat"]}}')
    assert patch.digest.hex() == "9a1456da6c85e7e7a5f7ad656565bd51"
    assert encode_state(apply_change(state, patch, LIMITS)).hex() == PATCHED


def test_a_server_heartbeat_is_decoded_by_its_json_keys():
    body = {
        "backend": "llm",
        "addr": "10.0.1.1:80",
        "zone": "z1",
        "generation": "g",
        "slots": 8,
        "state": "draining",
        "cold_ms": 250.0,
        "seq": 9,
        "phase": "prefill",
        "models": [{"name": "m-a", "generation": 2}],
    }
    expected = ServerHeartbeat(
        "llm", "10.0.1.1:80", "z1", "g", 8, "draining", 250.0, 9, "prefill", (HeartbeatModel("m-a", 2),)
    )
    assert decode_heartbeat(json.dumps(body).encode()) == expected
