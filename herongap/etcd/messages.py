"""Requests and responses of etcd's v3 JSON gateway (etcd.io, "API reference"; rpc.proto by grpc-gateway).

Keys and values are base64 in JSON, 64-bit integers are strings, and fields with their zero value are omitted.
Streams are JSON objects on separate lines, each `{"result": ...}` or `{"error": ...}`.
"""

import base64
from typing import Literal

import msgspec

from herongap.errors import HerongapError, Unusable

GRPC_NOT_FOUND = 5  # a lease that has expired
GRPC_OUT_OF_RANGE = 11  # a revision that has been compacted, or does not exist yet
GRPC_UNAUTHENTICATED = 16
MAX_LINE_BYTES = 32 << 20  # of one stream object; etcd fragments watch responses far below this size


class EtcdError(HerongapError):
    """An error returned by the server: its gRPC `code` and message."""

    advice = "see the log of the member, its users and its quota"

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code

    @property
    def compacted(self) -> bool:
        """Whether the requested revision has been compacted."""
        return self.code == GRPC_OUT_OF_RANGE and "compacted" in str(self)


class MalformedReplyError(Unusable):
    """A response that does not conform to the API."""

    advice = "see which member answered, and which proxies lie between"


class ResponseHeader(msgspec.Struct):
    """The header of every response: which member of which cluster answered, and at which revision."""

    cluster_id: int = 0
    member_id: int = 0
    revision: int = 0
    raft_term: int = 0


class KeyValue(msgspec.Struct):
    """A key as the store holds it; a deletion carries only its key and `mod_revision`."""

    key: bytes = b""
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class Event(msgspec.Struct):
    """A change of one key."""

    kv: KeyValue
    type: Literal["PUT", "DELETE"] = "PUT"


class RangeResponse(msgspec.Struct):
    """One page of a read."""

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
    """The response to a grant or a keep-alive; a `TTL` of 0 means that the lease has expired."""

    header: ResponseHeader = msgspec.field(default_factory=ResponseHeader)
    ID: int = 0
    TTL: int = 0
    error: str = ""


class _RangeResult(msgspec.Struct):
    kvs: list[KeyValue] = []


class _OperationResult(msgspec.Struct):
    response_range: _RangeResult | None = None


class TxnResponse(msgspec.Struct):
    """The response to a conditional put. Where the condition failed, it carries the key as it is."""

    header: ResponseHeader
    succeeded: bool = False
    responses: list[_OperationResult] = []

    @property
    def existing(self) -> KeyValue | None:
        """The key as read after a failed condition; None if it does not exist or was not read."""
        kvs = [kv for r in self.responses if r.response_range for kv in r.response_range.kvs]
        return kvs[0] if kvs else None

    def claimed(self, lease: int) -> bool:
        """Whether the key is under that lease: put just now, or by a claim whose response was lost."""
        return self.succeeded or (self.existing is not None and self.existing.lease == lease)

    @property
    def conflict(self) -> tuple[int, int, bytes | None]:
        """After a failed swap: the store's revision, the key's revision and value (0, None without a key)."""
        existing = self.existing
        return (
            self.header.revision,
            existing.mod_revision if existing else 0,
            existing.value if existing else None,
        )


class PutResponse(msgspec.Struct):
    """The response to a put or a deletion."""

    header: ResponseHeader


class AuthenticateResponse(msgspec.Struct):
    """The response to a login."""

    token: str = ""


class _ErrorBody(msgspec.Struct):
    """An error of the gateway: flat for unary calls, nested in streams, with `grpc_code` in old versions."""

    code: int = 0
    grpc_code: int = 0
    message: str = ""
    error: str = ""


class _StreamLine(msgspec.Struct):
    result: msgspec.Raw = msgspec.Raw(b"")
    error: msgspec.Raw = msgspec.Raw(b"")


def encode_base64(data: str | bytes) -> str:
    """Keys and values as the gateway expects them."""
    return base64.b64encode(data.encode() if isinstance(data, str) else data).decode("ascii")


def prefix_end(prefix: str) -> bytes:
    """The end of the range of all keys with a prefix (etcd, "Interacting": prefix ranges)."""
    data = prefix.encode()
    for i in range(len(data) - 1, -1, -1):
        if data[i] < 0xFF:
            return data[:i] + bytes([data[i] + 1])
    return b"\0"


def range_body(first: str | bytes, end: bytes, revision: int = 0, limit: int = 0) -> bytes:
    """A linearizable read of a key range, at a revision or (0) at the latest one."""
    request = {"key": encode_base64(first), "range_end": encode_base64(end)}
    if revision:
        request["revision"] = str(revision)
    if limit:
        request["limit"] = str(limit)
    return msgspec.json.encode(request)


def watch_body(prefix: str, start: int) -> bytes:
    """A watch of all changes from a revision on, with progress notifications and fragmented responses."""
    create = {
        "key": encode_base64(prefix),
        "range_end": encode_base64(prefix_end(prefix)),
        "start_revision": str(start),
        "progress_notify": True,
        "fragment": True,
    }
    return msgspec.json.encode({"create_request": create})


def put_body(key: str, value: bytes, lease: int = 0) -> bytes:
    """An unconditional put."""
    return msgspec.json.encode(
        {"key": encode_base64(key), "value": encode_base64(value), "lease": str(lease)}
    )


def delete_body(key: str) -> bytes:
    """A deletion of one key."""
    return msgspec.json.encode({"key": encode_base64(key)})


def claim_body(key: str, value: bytes, lease: int) -> bytes:
    """Put a key under a lease if it does not exist (compares its create revision), else read it."""
    return _put_if(
        key, {"value": encode_base64(value), "lease": str(lease)}, target="CREATE", create_revision="0"
    )


def swap_body(key: str, base: int, value: bytes) -> bytes:
    """Put a key if its mod revision is still `base` (0: if it does not exist), else read it."""
    return _put_if(key, {"value": encode_base64(value)}, target="MOD", mod_revision=str(base))


def _put_if(key: str, put: dict, **equal: str) -> bytes:
    key_field = {"key": encode_base64(key)}
    compare = key_field | {"result": "EQUAL"} | equal
    success, failure = [{"request_put": key_field | put}], [{"request_range": key_field}]
    return msgspec.json.encode({"compare": [compare], "success": success, "failure": failure})


def grant_body(ttl: int) -> bytes:
    """A request for a lease whose ID the server chooses."""
    return msgspec.json.encode({"TTL": str(ttl), "ID": "0"})


def lease_body(lease: int) -> bytes:
    """A keep-alive or a revocation of a lease."""
    return msgspec.json.encode({"ID": str(lease)})


def authenticate_body(user: str, password: str) -> bytes:
    """A login, which returns a token."""
    return msgspec.json.encode({"name": user, "password": password})


def decode_reply(data: bytes, kind: type):
    """Decode a unary response; raises EtcdError for an error of the server, else MalformedReplyError."""
    try:
        return msgspec.json.decode(data, type=kind, strict=False)
    except msgspec.MsgspecError as error:
        raise _decode_error(data) or MalformedReplyError(f"not a {kind.__name__}: {error}") from error


def decode_error(data: bytes) -> Exception:
    """The error in the body of a response with an error status."""
    return _decode_error(data) or MalformedReplyError("an error without a message")


def _decode_error(data: bytes) -> EtcdError | None:
    try:
        body = msgspec.json.decode(data, type=_ErrorBody, strict=False)
    except msgspec.MsgspecError:
        return None
    message = body.message or body.error
    return EtcdError(body.code or body.grpc_code, message) if message else None


def decode_stream_line(line: bytes, kind: type):
    """Decode one object of a stream; raises EtcdError or MalformedReplyError."""
    try:
        envelope = msgspec.json.decode(line, type=_StreamLine)
    except msgspec.MsgspecError as error:
        raise MalformedReplyError(f"not a line of a stream: {error}") from error
    if bytes(envelope.error):
        raise decode_error(bytes(envelope.error))
    if not bytes(envelope.result):
        raise MalformedReplyError("a line with neither result nor error")
    return decode_reply(bytes(envelope.result), kind)


class LineSplitter:
    """Splits the bytes of a stream into lines; rejects a line of more than MAX_LINE_BYTES."""

    def __init__(self):
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The lines completed by these bytes. Raises MalformedReplyError."""
        *lines, rest = data.split(b"\n")
        if lines:
            lines[0] = bytes(self._rest) + lines[0]
            self._rest = bytearray(rest)
        else:
            self._rest += rest
        if len(self._rest) > MAX_LINE_BYTES:
            raise MalformedReplyError("a line longer than the maximum")
        return [line for line in lines if line.strip()]
