"""Decodes messages of lists, in which one entry out of bounds costs that entry alone."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from sassafraslock import field_types

MessageT = typing.TypeVar("MessageT", bound=msgspec.Struct)


@dataclasses.dataclass(slots=True, frozen=True)
class InvalidItem:
    """An entry of a list that was left out, and why."""

    list_name: str
    reason: str


class ListDecoder(typing.Generic[MessageT]):
    """Decodes MessagePack to a struct whose fields are lists, and is encoded as an array."""

    __slots__ = ("_message_type", "_whole", "_lists", "_items")

    def __init__(self, message_type: type[MessageT]) -> None:
        self._message_type = message_type
        self._whole = msgspec.msgpack.Decoder(message_type)
        self._lists = msgspec.msgpack.Decoder(list[list[msgspec.Raw]])
        self._items: dict[str, msgspec.msgpack.Decoder[typing.Any]] = {}
        for field in msgspec.structs.fields(message_type):
            (item_type,) = typing.get_args(field.type)
            self._items[field.name] = msgspec.msgpack.Decoder(item_type)

    def decode(self, data: bytes) -> tuple[MessageT, list[InvalidItem]]:
        """Return a message, and the entries that were left out.

        :param data: the encoded message.
        :raises msgspec.DecodeError: if the message is not an array of lists, or is nested deeply.
        """
        try:
            return self._decode(data)
        except RecursionError as error:
            raise msgspec.DecodeError(field_types.describe(error)) from error

    def _decode(self, data: bytes) -> tuple[MessageT, list[InvalidItem]]:
        try:
            return self._whole.decode(data), []
        except msgspec.ValidationError:
            return self._decode_items(data)

    def _decode_items(self, data: bytes) -> tuple[MessageT, list[InvalidItem]]:
        lists: dict[str, list[typing.Any]] = {name: [] for name in self._items}
        invalid = []
        for (name, decoder), raw_items in zip(
            self._items.items(), self._lists.decode(data), strict=False
        ):
            for raw in raw_items:
                try:
                    lists[name].append(decoder.decode(raw))
                except (msgspec.DecodeError, RecursionError) as error:
                    invalid.append(InvalidItem(name, field_types.describe(error)))
        return self._message_type(**lists), invalid
