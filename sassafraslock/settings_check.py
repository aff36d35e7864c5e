"""Converts plain data to settings classes and reports every problem at once."""

from __future__ import annotations

import dataclasses
import difflib
import typing

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One fault in settings: where it is, what is wrong, and how to mend it."""

    path: str
    what: str
    fix: str

    def __str__(self) -> str:
        return f"{self.path or '(top)'}: {self.what}; {self.fix}"


def parse_toml(text: str) -> dict[str, typing.Any] | Problem:
    """Parse TOML text to plain data.

    :param text: the TOML document.
    """
    try:
        parsed = msgspec.toml.decode(text)
    except msgspec.DecodeError as error:
        return Problem("", f"not valid TOML: {error}", "mend the syntax at the place named")
    return typing.cast("dict[str, typing.Any]", parsed)


def convert(cls: type, raw: object, path: str, problems: list[Problem]) -> typing.Any:
    """Build ``cls`` from plain data and append each problem found.

    :param cls: a dataclass, or a list or dict of dataclasses.
    :param raw: what TOML or JSON gave.
    :param path: the dotted path of ``raw``, for the messages.
    :param problems: collects the problems; the result is valid only if none was added.
    """
    if not dataclasses.is_dataclass(cls):
        return _convert_plain(cls, raw, path, problems)
    if not isinstance(raw, dict):
        problems.append(Problem(path, "is not a table", "write it as a TOML table"))
        return None
    hints = typing.get_type_hints(cls, include_extras=True)
    _check_unknown(cls, raw, path, problems)
    values = {}
    for field in dataclasses.fields(cls):
        where = f"{path}.{field.name}" if path else field.name
        if field.name in raw:
            values[field.name] = convert(hints[field.name], raw[field.name], where, problems)
        elif _is_required(field):
            problems.append(Problem(where, "is missing", f"add {field.name} = ..."))
    if len(values) < sum(_is_required(f) for f in dataclasses.fields(cls)):
        return None
    try:
        return cls(**values)
    except TypeError:
        return None


def _is_required(field: dataclasses.Field[typing.Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _check_unknown(cls: type, raw: dict[str, object], path: str, problems: list[Problem]) -> None:
    known = [f.name for f in dataclasses.fields(cls)]
    for name in raw:
        if name in known:
            continue
        close = difflib.get_close_matches(name, known, 1)
        fix = f"did you mean {close[0]}?" if close else f"use one of {', '.join(known)}"
        problems.append(Problem(f"{path}.{name}" if path else name, "is not a known setting", fix))


def _convert_plain(cls: type, raw: object, path: str, problems: list[Problem]) -> typing.Any:
    origin, arguments = typing.get_origin(cls), typing.get_args(cls)
    if origin is dict and _holds_dataclass(arguments[1]) and isinstance(raw, dict):
        return {k: convert(arguments[1], v, f"{path}.{k}", problems) for k, v in raw.items()}
    if origin is list and _holds_dataclass(arguments[0]) and isinstance(raw, list):
        return [convert(arguments[0], v, f"{path}[{i}]", problems) for i, v in enumerate(raw)]
    optional = [a for a in arguments if dataclasses.is_dataclass(a)]
    if optional and raw is not None:
        return convert(typing.cast(type, optional[0]), raw, path, problems)
    try:
        return msgspec.convert(raw, cls)
    except msgspec.ValidationError as error:
        problems.append(Problem(path, str(error), "give a value of that type and range"))
        return None


def _holds_dataclass(cls: typing.Any) -> bool:
    return dataclasses.is_dataclass(cls) or typing.get_origin(cls) in (dict, list)
