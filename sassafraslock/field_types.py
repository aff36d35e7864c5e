"""Types of the fields in rows and messages that others write; msgspec checks their bounds."""

from __future__ import annotations

import collections.abc
import re
import typing

import msgspec

DecodedT = typing.TypeVar("DecodedT")

MAX_NAME_CHARS = 255
MAX_TEXT_CHARS = 4_096
MAX_DURATION_S = 86_400
MAX_WALL_MS = 4_102_444_800_000  # the start of the year 2100, as Unix time
MAX_BEATS = 1 << 33  # two a second for more than a century
MAX_VERSION = (1 << 63) - 1
MAX_COUNT = 1_000_000
MAX_PER_S = 1_000_000_000
MAX_BYTES = 1 << 40
MAX_SERVER_IDS = 16
MAX_CALLER_IDS = 2

_PRINTABLE = r"\A[^\x00-\x1f\x7f-\x9f\u2028\u2029]*\Z"
_HEADER_VALUE = r"\A[!-~]+\Z"
_BYTE = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_GROUP = "[0-9A-Fa-f]{1,4}"


def _ipv6_pattern() -> str:
    """Return the pattern of eight groups, of which ``::`` may replace one or more."""
    forms = [f"{_GROUP}(?::{_GROUP}){{7}}", f"::(?:{_GROUP}(?::{_GROUP}){{0,6}})?"]
    for count in range(1, 8):
        left = f"{_GROUP}(?::{_GROUP}){{{count - 1}}}::"
        right = f"(?:{_GROUP}(?::{_GROUP}){{0,{6 - count}}})?" if count < 7 else ""
        forms.append(left + right)
    return "|".join(forms)


_PORT = "(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
_ADDRESS = rf"\A(?:{_BYTE}(?:\.{_BYTE}){{3}}|{_ipv6_pattern()}):{_PORT}\Z"

# How msgspec names a pattern in its errors.
_PATTERN_IN_TEXT = re.compile("matching regex '.*'")

Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS, pattern=_PRINTABLE)]
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS, pattern=_PRINTABLE)]
# A name that is only compared with known ones; without a pattern it is checked much faster.
Reference = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
# An id that is sent in a header: visible ASCII characters only.
ServerId = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS, pattern=_HEADER_VALUE)]
Path = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS, pattern=_HEADER_VALUE)]
# An IP address and a port from 1 to 65535, such as ``10.0.0.7:80``.
Address = typing.Annotated[str, msgspec.Meta(max_length=64, pattern=_ADDRESS)]
Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Number = typing.Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_BYTES)]
DurationMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_S * 1_000)]
# The reading of a steady clock that started at an unknown time.
ClockS = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_WALL_MS // 1_000)]
DurationS = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
# How much longer something lasts; it may have ended by the time that the value is written.
RemainingMs = typing.Annotated[
    int, msgspec.Meta(ge=-MAX_DURATION_S * 1_000, le=MAX_DURATION_S * 1_000)
]
RemainingS = typing.Annotated[float, msgspec.Meta(ge=-MAX_DURATION_S, le=MAX_DURATION_S)]
AgeMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_MS)]
WallMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_MS)]
Version = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
Beat = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_BEATS)]
Quantity = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_PER_S)]
Digest = typing.Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
Hash32 = typing.Annotated[int, msgspec.Meta(ge=0, le=(1 << 32) - 1)]
ServerIds = typing.Annotated[list[ServerId], msgspec.Meta(max_length=MAX_SERVER_IDS)]
CallerIds = typing.Annotated[list[Name], msgspec.Meta(max_length=MAX_CALLER_IDS)]


def age_ms(heard_ms: int, now_ms: int) -> int:
    """Return how long ago something was heard, as an :data:`AgeMs` to send.

    :param heard_ms: when it was heard.
    :param now_ms: the current time of the same clock.
    """
    return min(MAX_WALL_MS, max(0, now_ms - heard_ms))


def ms(seconds: float) -> int:
    """Return a duration in milliseconds.

    :param seconds: the duration in seconds.
    """
    return round(seconds * 1_000)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    :param address: the address, of type :data:`Address`.
    :raises ValueError: if the part after the last colon is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_valid(value: object, field_type: typing.Any) -> bool:
    """Return whether a value is of one of the types of this module.

    :param value: the value.
    :param field_type: the type.
    """
    try:
        msgspec.convert(value, field_type)
    except msgspec.ValidationError:
        return False
    return True


def describe(error: Exception) -> str:
    """Return what is wrong with a value that was decoded, without the patterns of this module.

    :param error: what the decoder raised.
    """
    text = _PATTERN_IN_TEXT.sub("in the form of this field", str(error))
    return f"{type(error).__name__}: {text}"


def check(value: object) -> str:
    """Return what is wrong with the fields of a dataclass, or an empty string.

    :param value: an instance whose class names the types of this module.
    """
    try:
        msgspec.convert(msgspec.to_builtins(value), type(value))
    except (msgspec.MsgspecError, OverflowError, RecursionError) as error:
        return describe(error)
    return ""


def decode_each(
    items: collections.abc.Iterable[msgspec.Raw],
    decode: collections.abc.Callable[[msgspec.Raw], DecodedT],
) -> tuple[tuple[DecodedT, ...], tuple[str, ...]]:
    """Return the items that can be decoded, and what is wrong with each of the others.

    :param items: the encoded items.
    :param decode: decodes one of them; what it raises costs that item alone.
    """
    decoded: list[DecodedT] = []
    faults: list[str] = []
    for number, item in enumerate(items):
        try:
            decoded.append(decode(item))
        except (msgspec.MsgspecError, RecursionError) as error:
            faults.append(f"item {number}: {describe(error)}")
    return tuple(decoded), tuple(faults)
