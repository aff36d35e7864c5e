"""The bytes of copies of the store that entries send to each other, compressed if large."""

from __future__ import annotations

import dataclasses
import zlib

import msgspec

from sassafraslock.services import store_export

MIN_COMPRESSED_BYTES = 4 << 10
COMPRESSION_LEVEL = 1
SHARED_MS = 50  # peers that wait for the same change ask for the same copy
CONTENT_ENCODING = b"content-encoding"
DEFLATE = b"deflate"


@dataclasses.dataclass(slots=True, frozen=True)
class EncodedCopy:
    """The bytes of a copy, and whether they are compressed."""

    body: bytes
    is_compressed: bool


@dataclasses.dataclass(slots=True, frozen=True)
class _Shared:
    requested: dict[str, int]
    reached: dict[str, int]
    made_ms: int
    copy: EncodedCopy


class CopyEncoder:
    """Encodes copies, once for all peers that ask for the same one at the same time."""

    __slots__ = ("_shared",)

    def __init__(self) -> None:
        self._shared: _Shared | None = None

    def encode(
        self, export: store_export.Export, requested: dict[str, int], now_ms: int
    ) -> EncodedCopy:
        """Return the bytes of a copy.

        :param export: the copy.
        :param requested: the versions after which changes were requested.
        :param now_ms: the monotonic time.
        """
        if not export.changes:
            return EncodedCopy(msgspec.msgpack.encode(export), False)
        shared = self._shared
        if (
            shared is not None
            and now_ms - shared.made_ms <= SHARED_MS
            and (shared.requested, shared.reached) == (requested, export.positions)
        ):
            return shared.copy
        copy = _encode(export)
        self._shared = _Shared(requested, export.positions, now_ms, copy)
        return copy


def _encode(export: store_export.Export) -> EncodedCopy:
    plain = msgspec.msgpack.encode(export)
    if len(plain) < MIN_COMPRESSED_BYTES:
        return EncodedCopy(plain, False)
    return EncodedCopy(zlib.compress(plain, COMPRESSION_LEVEL), True)


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Return the bytes of a compressed copy.

    :param data: the compressed bytes.
    :param max_bytes: the largest size that is accepted.
    :raises ValueError: if they are not compressed, not complete or larger.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(f"copy cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"copy is cut off, or larger than {max_bytes} bytes")
    return plain
