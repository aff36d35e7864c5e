"""Messages between entries, encoded as MessagePack with a type tag and a version."""

from __future__ import annotations

import typing

import msgspec

from sassafraslock import errors

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4 << 20


class Message(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """What every message carries: its sender and the protocol version."""

    sender: str
    version: int = PROTOCOL_VERSION


class ServiceLoad(msgspec.Struct, frozen=True):
    """What a peer has of one service: free slots, all slots, and requests that wait for one."""

    free_slots: int
    slots: int
    waiting: int = 0


class Heartbeat(Message, frozen=True):
    """Sent to every peer at a fixed interval."""

    incarnation: int
    sequence: int
    region: str
    zone: str
    caller_address: str
    peer_address: str
    leaving: bool
    ready: bool
    in_flight: int
    revisions: dict[str, int]
    view_epochs: dict[str, int]
    claim_epochs: dict[str, int]
    services: dict[str, ServiceLoad]
    splits: dict[str, dict[str, float]] = {}


class SlotRequest(Message, frozen=True):
    """Asks a steward for one slot of a service until the deadline has passed.

    Where ``wait_ms`` is not 0, the steward queues the request for so long.
    """

    request_id: int
    service: str
    filing: bool
    duration_ms: int
    wait_ms: int
    avoid: list[str]


class SlotReply(Message, frozen=True):
    """Grants a slot on a server, or none where ``server_id`` is empty."""

    request_id: int
    grant_id: str
    server_id: str


class SlotReturn(Message, frozen=True):
    """Gives a granted slot back, and tells how the server behaved."""

    service: str
    grant_id: str
    server_id: str
    failed: bool


class BytesRequest(Message, frozen=True):
    """Asks a link's steward for bytes to send to a region."""

    request_id: int
    to_region: str
    size_bytes: int
    filing: bool


class BytesReply(Message, frozen=True):
    """Grants bytes, 0 where the link is full."""

    request_id: int
    granted_bytes: int


class ClaimRequest(Message, frozen=True):
    """Asks a partition's owner to claim a request key for one attempt."""

    request_id: int
    key: str
    nonce: str
    body_hash: str
    deadline_ms: int


class RecordedAnswer(msgspec.Struct, frozen=True):
    """The answer that a completed request got."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ClaimReply(Message, frozen=True):
    """The verdict on a claim: granted, answered before, or refused."""

    request_id: int
    granted: bool
    answer: RecordedAnswer | None = None
    refusal_kind: errors.ErrorKind | None = None
    reason: str = ""


class ClaimRelease(Message, frozen=True):
    """Says that an attempt was never dispatched and never will be."""

    key: str
    nonce: str


class ClaimDone(Message, frozen=True):
    """Reports the answer of an attempt."""

    key: str
    nonce: str
    answer: RecordedAnswer


class SettingsRequest(Message, frozen=True):
    """Asks a peer for a team's subtree."""

    team: str


class SettingsPush(Message, frozen=True):
    """Carries a team's accepted subtree."""

    team: str
    revision: int
    document: bytes


class Suspicion(Message, frozen=True):
    """Names the servers that broke while running a request; none clears the suspicion."""

    request_id: int
    fingerprint: str
    server_ids: list[str]


class SuspicionNoted(Message, frozen=True):
    """Confirms that a suspicion is known."""

    request_id: int


AnyMessage = (
    Heartbeat
    | SlotRequest
    | SlotReply
    | SlotReturn
    | BytesRequest
    | BytesReply
    | ClaimRequest
    | ClaimReply
    | ClaimRelease
    | ClaimDone
    | SettingsRequest
    | SettingsPush
    | Suspicion
    | SuspicionNoted
)
Reply = SlotReply | BytesReply | ClaimReply | SuspicionNoted

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[typing.Any] = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Encode a message.

    :param message: the message.
    """
    return _ENCODER.encode(message)


def decode(raw: bytes) -> AnyMessage | errors.Refusal:
    """Decode a message, or refuse one that is damaged or of another version.

    :param raw: the bytes received.
    """
    if len(raw) > MAX_MESSAGE_BYTES:
        return errors.Refusal(errors.ErrorKind.PEER_PROTOCOL, f"{len(raw)} bytes are too many")
    try:
        message = _DECODER.decode(raw)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return errors.Refusal(errors.ErrorKind.PEER_PROTOCOL, str(error))
    if message.version != PROTOCOL_VERSION:
        reason = f"protocol version {message.version}, not {PROTOCOL_VERSION}; update the entry"
        return errors.Refusal(errors.ErrorKind.PEER_PROTOCOL, reason)
    return typing.cast("AnyMessage", message)
