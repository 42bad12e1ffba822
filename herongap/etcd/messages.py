"""Requests and replies of etcd's v3 JSON gateway (etcd.io, "API reference", rpc.proto through grpc-gateway).

Keys and values are base64 in JSON, 64-bit integers are strings, fields at their zero value are left out.
Streams are JSON objects on lines of their own, each `{"result": ...}` or `{"error": ...}`.
"""

import base64
from typing import Literal

import msgspec

from herongap.errors import HerongapError, Unusable

GRPC_NOT_FOUND = 5  # gRPC: a lease that is gone
GRPC_OUT_OF_RANGE = 11  # gRPC OUT_OF_RANGE: a revision that is gone, or is not there yet
GRPC_UNAUTHENTICATED = 16
MAX_LINE_BYTES = 32 << 20  # bytes of one stream object; etcd fragments watch replies far below


class EtcdError(HerongapError):
    """The server's refusal: its gRPC `code` and message."""

    advice = "see the log of the member, its users and its quota"

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code

    @property
    def compacted(self) -> bool:
        return self.code == GRPC_OUT_OF_RANGE and "compacted" in str(self)


class MalformedReplyError(Unusable):
    """A reply that is not what the API gives."""

    advice = "see which member answered, and what stands between it and here"


class ResponseHeader(msgspec.Struct):
    cluster_id: int = 0
    member_id: int = 0
    revision: int = 0
    raft_term: int = 0


class KeyValue(msgspec.Struct):
    """A key as the store holds it; a deletion has its key and `mod_revision` alone."""

    key: bytes = b""
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class Event(msgspec.Struct):
    kv: KeyValue
    type: Literal["PUT", "DELETE"] = "PUT"


class RangeResponse(msgspec.Struct):
    header: ResponseHeader
    kvs: list[KeyValue] = []
    more: bool = False
    count: int = 0


class WatchResponse(msgspec.Struct):
    """One message of a watch stream."""

    header: ResponseHeader
    watch_id: int = 0
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    fragment: bool = False
    events: list[Event] = []


class LeaseResponse(msgspec.Struct):
    """The answer to a grant or a keep-alive; a `TTL` of 0 is a lease that is gone."""

    header: ResponseHeader = msgspec.field(default_factory=ResponseHeader)
    ID: int = 0
    TTL: int = 0
    error: str = ""


class _Ranged(msgspec.Struct):
    kvs: list[KeyValue] = []


class _Response(msgspec.Struct):
    response_range: _Ranged | None = None


class TxnResponse(msgspec.Struct):
    """The answer to a claim. Where it failed, what stands in its way."""

    header: ResponseHeader
    succeeded: bool = False
    responses: list[_Response] = []

    @property
    def existing(self) -> KeyValue | None:
        """What stood in the way; None where there was nothing, or nothing was asked."""
        kvs = [kv for r in self.responses if r.response_range for kv in r.response_range.kvs]
        return kvs[0] if kvs else None

    def claimed(self, lease: int) -> bool:
        """Whether the key is under that lease: put just now, or by a claim whose answer was lost."""
        return self.succeeded or (self.existing is not None and self.existing.lease == lease)

    @property
    def conflict(self) -> tuple[int, int, bytes | None]:
        """After a swap that failed: the revision, the key's version and value; 0 and None without a key."""
        existing = self.existing
        return (
            self.header.revision,
            existing.mod_revision if existing else 0,
            existing.value if existing else None,
        )


class PutResponse(msgspec.Struct):
    header: ResponseHeader


class AuthenticateResponse(msgspec.Struct):
    token: str = ""


class _Fault(msgspec.Struct):
    """The gateway's error in its forms: flat for unary calls, nested in streams, `grpc_code` in old ones."""

    code: int = 0
    grpc_code: int = 0
    message: str = ""
    error: str = ""


class _Line(msgspec.Struct):
    result: msgspec.Raw = msgspec.Raw(b"")
    error: msgspec.Raw = msgspec.Raw(b"")


def encode_base64(data: str | bytes) -> str:
    return base64.b64encode(data.encode() if isinstance(data, str) else data).decode("ascii")


def prefix_end(prefix: str) -> bytes:
    """The end of the range of all keys with a prefix (etcd, "Interacting": prefix ranges)."""
    data = prefix.encode()
    for i in range(len(data) - 1, -1, -1):
        if data[i] < 0xFF:
            return data[:i] + bytes([data[i] + 1])
    return b"\0"


def range_body(first: str | bytes, end: bytes, revision: int = 0, limit: int = 0) -> bytes:
    """Keys in order, at a revision or (0) as they are now, linearizable."""
    asked = {"key": encode_base64(first), "range_end": encode_base64(end)}
    if revision:
        asked["revision"] = str(revision)
    if limit:
        asked["limit"] = str(limit)
    return msgspec.json.encode(asked)


def watch_body(prefix: str, start: int) -> bytes:
    """Every change from a revision on, with notes of progress, large replies in fragments."""
    create = {
        "key": encode_base64(prefix),
        "range_end": encode_base64(prefix_end(prefix)),
        "start_revision": str(start),
        "progress_notify": True,
        "fragment": True,
    }
    return msgspec.json.encode({"create_request": create})


def put_body(key: str, value: bytes, lease: int = 0) -> bytes:
    return msgspec.json.encode(
        {"key": encode_base64(key), "value": encode_base64(value), "lease": str(lease)}
    )


def delete_body(key: str) -> bytes:
    return msgspec.json.encode({"key": encode_base64(key)})


def claim_body(key: str, value: bytes, lease: int) -> bytes:
    """Put a key under a lease if nobody holds it (a transaction on its create revision), else read it."""
    return _put_if(
        key, {"value": encode_base64(value), "lease": str(lease)}, target="CREATE", create_revision="0"
    )


def swap_body(key: str, base: int, value: bytes) -> bytes:
    """Put a key if its mod revision is `base` still (0: if there is none), else read it."""
    return _put_if(key, {"value": encode_base64(value)}, target="MOD", mod_revision=str(base))


def _put_if(key: str, put: dict, **equal: str) -> bytes:
    there = {"key": encode_base64(key)}
    compare = there | {"result": "EQUAL"} | equal
    success, failure = [{"request_put": there | put}], [{"request_range": there}]
    return msgspec.json.encode({"compare": [compare], "success": success, "failure": failure})


def grant_body(ttl: int) -> bytes:
    return msgspec.json.encode({"TTL": str(ttl), "ID": "0"})


def lease_body(lease: int) -> bytes:
    return msgspec.json.encode({"ID": str(lease)})


def authenticate_body(user: str, password: str) -> bytes:
    return msgspec.json.encode({"name": user, "password": password})


def decode_reply(data: bytes, kind: type):
    """A unary reply; raises Refused for the server's refusal, Garbled for anything else."""
    try:
        return msgspec.json.decode(data, type=kind, strict=False)
    except msgspec.MsgspecError as fault:
        raise _decode_error(data) or MalformedReplyError(f"not a {kind.__name__}: {fault}") from fault


def decode_error(data: bytes) -> Exception:
    """What a reply with an error status says."""
    return _decode_error(data) or MalformedReplyError("an error without a reason")


def _decode_error(data: bytes) -> EtcdError | None:
    try:
        fault = msgspec.json.decode(data, type=_Fault, strict=False)
    except msgspec.MsgspecError:
        return None
    message = fault.message or fault.error
    return EtcdError(fault.code or fault.grpc_code, message) if message else None


def decode_stream_line(line: bytes, kind: type):
    """One object of a stream; raises Refused or Garbled."""
    try:
        part = msgspec.json.decode(line, type=_Line)
    except msgspec.MsgspecError as fault:
        raise MalformedReplyError(f"not a line of a stream: {fault}") from fault
    if bytes(part.error):
        raise decode_error(bytes(part.error))
    if not bytes(part.result):
        raise MalformedReplyError("a line with neither result nor error")
    return decode_reply(bytes(part.result), kind)


class LineSplitter:
    """A stream's bytes cut into its lines; one that is longer than FRAME is refused, not kept."""

    def __init__(self):
        self._kept = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now. Raises Garbled."""
        *lines, rest = data.split(b"\n")
        if lines:
            lines[0] = bytes(self._kept) + lines[0]
            self._kept = bytearray(rest)
        else:
            self._kept += rest
        if len(self._kept) > MAX_LINE_BYTES:
            raise MalformedReplyError("a line longer than is taken")
        return [line for line in lines if line.strip()]
