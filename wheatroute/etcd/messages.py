"""The messages of etcd's v3 API that are used here, with the published names and numbers. No I/O.

The table is taken from etcd's rpc.proto, kv.proto and auth.proto (API version 3); protobuf preserves fields
that aren't in it as unknown fields. Each message class is an attribute of this module, by its name.
"""

from __future__ import annotations

from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

PACKAGE = "etcdserverpb"
# Message: fields as "name number type", where * marks a repeated field and | a member of the message's oneof.
TABLE = """
KeyValue: key 1 bytes, create_revision 2 int64, mod_revision 3 int64, version 4 int64, value 5 bytes,
  lease 6 int64
Event: type 1 int32, kv 2 KeyValue, prev_kv 3 KeyValue
ResponseHeader: cluster_id 1 uint64, member_id 2 uint64, revision 3 int64, raft_term 4 uint64
RangeRequest: key 1 bytes, range_end 2 bytes, limit 3 int64, revision 4 int64, sort_order 5 int32,
  sort_target 6 int32, serializable 7 bool, keys_only 8 bool, count_only 9 bool, min_mod_revision 10 int64,
  max_mod_revision 11 int64, min_create_revision 12 int64, max_create_revision 13 int64
RangeResponse: header 1 ResponseHeader, kvs 2 *KeyValue, more 3 bool, count 4 int64
PutRequest: key 1 bytes, value 2 bytes, lease 3 int64, prev_kv 4 bool, ignore_value 5 bool,
  ignore_lease 6 bool
PutResponse: header 1 ResponseHeader, prev_kv 2 KeyValue
DeleteRangeRequest: key 1 bytes, range_end 2 bytes, prev_kv 3 bool
DeleteRangeResponse: header 1 ResponseHeader, deleted 2 int64, prev_kvs 3 *KeyValue
RequestOp: request_range 1 |RangeRequest, request_put 2 |PutRequest,
  request_delete_range 3 |DeleteRangeRequest
ResponseOp: response_range 1 |RangeResponse, response_put 2 |PutResponse,
  response_delete_range 3 |DeleteRangeResponse
Compare: result 1 int32, target 2 int32, key 3 bytes, version 4 |int64, create_revision 5 |int64,
  mod_revision 6 |int64, value 7 |bytes, lease 8 |int64, range_end 64 bytes
TxnRequest: compare 1 *Compare, success 2 *RequestOp, failure 3 *RequestOp
TxnResponse: header 1 ResponseHeader, succeeded 2 bool, responses 3 *ResponseOp
CompactionRequest: revision 1 int64, physical 2 bool
CompactionResponse: header 1 ResponseHeader
WatchCreateRequest: key 1 bytes, range_end 2 bytes, start_revision 3 int64, progress_notify 4 bool,
  filters 5 *int32, prev_kv 6 bool, watch_id 7 int64, fragment 8 bool
WatchCancelRequest: watch_id 1 int64
WatchProgressRequest:
WatchRequest: create_request 1 |WatchCreateRequest, cancel_request 2 |WatchCancelRequest,
  progress_request 3 |WatchProgressRequest
WatchResponse: header 1 ResponseHeader, watch_id 2 int64, created 3 bool, canceled 4 bool,
  compact_revision 5 int64, cancel_reason 6 string, fragment 7 bool, events 11 *Event
LeaseGrantRequest: TTL 1 int64, ID 2 int64
LeaseGrantResponse: header 1 ResponseHeader, ID 2 int64, TTL 3 int64, error 4 string
LeaseRevokeRequest: ID 1 int64
LeaseRevokeResponse: header 1 ResponseHeader
LeaseKeepAliveRequest: ID 1 int64
LeaseKeepAliveResponse: header 1 ResponseHeader, ID 2 int64, TTL 3 int64
LeaseTimeToLiveRequest: ID 1 int64, keys 2 bool
LeaseTimeToLiveResponse: header 1 ResponseHeader, ID 2 int64, TTL 3 int64, grantedTTL 4 int64, keys 5 *bytes
AuthenticateRequest: name 1 string, password 2 string
AuthenticateResponse: header 1 ResponseHeader, token 2 string
StatusRequest:
StatusResponse: header 1 ResponseHeader, version 2 string, dbSize 3 int64, leader 4 uint64,
  raftIndex 5 uint64, raftTerm 6 uint64
"""
PUT, DELETE = 0, 1  # Event.EventType
NO_PUT, NO_DELETE = 0, 1  # WatchCreateRequest.FilterType: the events of a watch that are left out
EQUAL, GREATER, LESS, NOT_EQUAL = range(4)  # Compare.CompareResult
VERSION, CREATE, MOD, VALUE, LEASE = range(5)  # Compare.CompareTarget
# WATCH, AUTH and MAINTENANCE are paths of methods. KV and LEASES are what the paths of a service's methods
# begin with.
KV, WATCH, LEASES = "/etcdserverpb.KV/", "/etcdserverpb.Watch/Watch", "/etcdserverpb.Lease/"
AUTH, MAINTENANCE = "/etcdserverpb.Auth/Authenticate", "/etcdserverpb.Maintenance/Status"
_FIELD = descriptor_pb2.FieldDescriptorProto
_SCALARS = {
    "bytes": _FIELD.TYPE_BYTES,
    "int64": _FIELD.TYPE_INT64,
    "uint64": _FIELD.TYPE_UINT64,
    "int32": _FIELD.TYPE_INT32,
    "bool": _FIELD.TYPE_BOOL,
    "string": _FIELD.TYPE_STRING,
}


def _compile(table: str) -> dict[str, Any]:
    """Returns the message classes of a table in the format of `TABLE`, by name."""
    file = descriptor_pb2.FileDescriptorProto(name="wheatroute/etcd.proto", package=PACKAGE, syntax="proto3")
    for line in table.replace(",\n", ",").strip().splitlines():
        name, _, fields = line.partition(":")
        message = file.message_type.add(name=name)
        for text in filter(None, map(str.strip, fields.split(","))):
            _add(message, *text.split())
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return {
        message.name: message_factory.GetMessageClass(pool.FindMessageTypeByName(f"{PACKAGE}.{message.name}"))
        for message in file.message_type
    }


def _add(message: Any, name: str, number: str, type_name: str) -> None:
    """Adds a field to a message; `type_name` may start with a mark as in `TABLE`."""
    field = message.field.add(name=name, number=int(number), label=_FIELD.LABEL_OPTIONAL)
    if type_name.startswith("*"):
        field.label = _FIELD.LABEL_REPEATED
    elif type_name.startswith("|"):
        if not message.oneof_decl:
            message.oneof_decl.add(name="choice")
        field.oneof_index = 0
    type_name = type_name.lstrip("*|")
    if type_name in _SCALARS:
        field.type = _SCALARS[type_name]
    else:
        field.type, field.type_name = _FIELD.TYPE_MESSAGE, f".{PACKAGE}.{type_name}"


MESSAGES = _compile(TABLE)


def __getattr__(name: str) -> Any:
    """Returns a message class by its name."""
    try:
        return MESSAGES[name]
    except KeyError:
        raise AttributeError(name) from None


def prefix_end(prefix: bytes) -> bytes:
    """Returns the `range_end` of all keys with a prefix, by etcd's convention."""
    stripped = prefix.rstrip(b"\xff")
    return stripped[:-1] + bytes((stripped[-1] + 1,)) if stripped else b"\0"
