"""Converts decoded TOML or JSON to settings classes, and collects every problem on the way."""

from __future__ import annotations

import dataclasses
import difflib
import typing

import msgspec


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """An error in settings: the dotted path of the value, the error, and how to fix it."""

    path: str
    message: str
    fix: str

    def __str__(self) -> str:
        return f"{self.path or '(top)'}: {self.message}; {self.fix}"


def parse_toml(text: str) -> dict[str, typing.Any] | Problem:
    """Parse TOML text to plain data; a syntax error is returned as a problem.

    :param text: the TOML document.
    """
    try:
        parsed = msgspec.toml.decode(text)
    except msgspec.DecodeError as error:
        return Problem("", f"not valid TOML: {error}", "correct the syntax at that position")
    return typing.cast("dict[str, typing.Any]", parsed)


def convert(cls: type, raw: object, path: str, problems: list[Problem]) -> typing.Any:
    """Convert plain data to ``cls``, and append each problem found to ``problems``.

    :param cls: a dataclass, or a list or dict of dataclasses.
    :param raw: the decoded TOML or JSON.
    :param path: the dotted path of ``raw`` in the document, empty at its top.
    :param problems: the list that problems are added to; the result is valid only if none was.
    """
    if not dataclasses.is_dataclass(cls):
        return _convert_plain(cls, raw, path, problems)
    if not isinstance(raw, dict):
        problems.append(Problem(path, "is not a table", "write it as a TOML table"))
        return None
    hints = typing.get_type_hints(cls, include_extras=True)
    _check_names(cls, raw, path, problems)
    values = {}
    for field in dataclasses.fields(cls):
        field_path = f"{path}.{field.name}" if path else field.name
        if field.name in raw:
            values[field.name] = convert(hints[field.name], raw[field.name], field_path, problems)
        elif _is_required(field):
            problems.append(Problem(field_path, "is missing", f"add {field.name} = ..."))
    if len(values) < sum(_is_required(f) for f in dataclasses.fields(cls)):
        return None
    try:
        return cls(**values)
    except TypeError:
        return None


def _is_required(field: dataclasses.Field[typing.Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _check_names(cls: type, raw: dict[str, object], path: str, problems: list[Problem]) -> None:
    known = [f.name for f in dataclasses.fields(cls)]
    for name in raw:
        if name in known:
            continue
        similar = difflib.get_close_matches(name, known, 1)
        fix = f"did you mean {similar[0]}?" if similar else f"use one of {', '.join(known)}"
        problems.append(Problem(f"{path}.{name}" if path else name, "is not a known setting", fix))


def _convert_plain(cls: type, raw: object, path: str, problems: list[Problem]) -> typing.Any:
    origin, arguments = typing.get_origin(cls), typing.get_args(cls)
    if origin is dict and _contains_dataclass(arguments[1]) and isinstance(raw, dict):
        return {k: convert(arguments[1], v, f"{path}.{k}", problems) for k, v in raw.items()}
    if origin is list and _contains_dataclass(arguments[0]) and isinstance(raw, list):
        return [convert(arguments[0], v, f"{path}[{i}]", problems) for i, v in enumerate(raw)]
    dataclass_options = [a for a in arguments if dataclasses.is_dataclass(a)]
    if dataclass_options and raw is not None:
        return convert(typing.cast(type, dataclass_options[0]), raw, path, problems)
    try:
        return msgspec.convert(raw, cls)
    except msgspec.ValidationError as error:
        problems.append(Problem(path, str(error), "give a value of the expected type and range"))
        return None


def _contains_dataclass(cls: typing.Any) -> bool:
    return dataclasses.is_dataclass(cls) or typing.get_origin(cls) in (dict, list)
