"""The datagrams with which entries lend shares, and ask for, grant and return tokens."""

from __future__ import annotations

import enum
import typing

import msgspec

from sassafraslock import field_types

MAX_ITEMS = 20  # of one datagram
MAX_LEASE_MS = 30_000

Run = typing.Annotated[int, msgspec.Meta(ge=0, le=field_types.MAX_VERSION)]
Number = typing.Annotated[int, msgspec.Meta(ge=0, le=field_types.MAX_VERSION)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
LeaseMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_LEASE_MS)]


class LeaseAsk(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A collector asks for an entry's share; ``run`` names the collector's process.

    With a ``lease_ms`` of 0 it asks only which entries the other one knows.
    """

    sender: field_types.Name
    run: Run
    number: Number
    lease_ms: LeaseMs


class LeaseAnswer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The entry's share, whether it is lent to the asker, and otherwise who holds it.

    ``digest`` is that of the ids of all entries that it knows.
    """

    sender: field_types.Name
    run: Run
    number: Number
    share: Share
    granted: bool
    holder: field_types.Name = ""
    digest: field_types.Hash32 = 0


class Release(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A collector stops to use the share that it got by asks up to ``number``."""

    sender: field_types.Name
    run: Run
    number: Number


class AskItem(msgspec.Struct, frozen=True, array_like=True):
    """Asks for tokens of one limit; ``number`` is unique to one sender's process."""

    number: Number
    key: field_types.Name
    rate_per_s: field_types.Rate
    burst: field_types.Rate
    count: field_types.Quantity = 1.0


class TokenAsk(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """An entry asks a collector; of ``is_pull``, a collector asks another one for its surplus."""

    sender: field_types.Name
    run: Run
    is_pull: bool
    items: typing.Annotated[list[AskItem], msgspec.Meta(max_length=MAX_ITEMS)]


class Verdict(enum.IntEnum):
    """What a collector answers to an ask."""

    GRANTED = 0
    USED_UP = 1
    PENDING = 2  # the collector asks others and answers once more
    UNKNOWN = 3  # the collector holds no shares and reaches nobody that does
    NOT_COLLECTING = 4


class AnswerItem(msgspec.Struct, frozen=True, array_like=True):
    """The answer to one ask.

    Tokens are valid for ``valid_ms`` after the ask was sent. ``wait_ms`` is the time until the next
    token, and ``left`` what a collector could still give to another one.
    """

    number: Number
    verdict: Verdict
    count: field_types.Quantity = 0.0
    valid_ms: LeaseMs = 0
    wait_ms: field_types.DurationMs = 0
    left: field_types.Quantity = 0.0


class TokenAnswer(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Answers to asks of the entry that this is sent to; ``run`` is that of the asks."""

    sender: field_types.Name
    run: Run
    items: typing.Annotated[list[AnswerItem], msgspec.Meta(max_length=MAX_ITEMS)]


class TokenReturn(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Tokens that were granted for the asks ``numbers`` and that no request used."""

    sender: field_types.Name
    run: Run
    numbers: typing.Annotated[list[Number], msgspec.Meta(max_length=MAX_ITEMS)]


AnyMessage = LeaseAsk | LeaseAnswer | Release | TokenAsk | TokenAnswer | TokenReturn

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Return a message as the payload of a datagram.

    :param message: the message.
    """
    return _ENCODER.encode(message)


def decode(payload: bytes) -> AnyMessage | str:
    """Return the message of a datagram, or what is wrong with it.

    :param payload: the datagram without its mark.
    """
    try:
        return _DECODER.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        return field_types.describe(error)
