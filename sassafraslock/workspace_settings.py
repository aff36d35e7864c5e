"""Workspaces in the shared settings, with the digests of their keys."""

from __future__ import annotations

import collections.abc
import dataclasses
import re
import typing

import msgspec

from sassafraslock import field_types, settings, settings_check, workspaces

Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=1_000)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]

_DIGEST = re.compile(rf"[0-9a-f]{{{2 * workspaces.DIGEST_BYTES}}}")


@dataclasses.dataclass(slots=True)
class Workspace:
    """A workspace of callers, told by its keys.

    ``key_digests`` holds the digests of its keys in hexadecimal, as ``sassafraslock key`` prints
    them; the keys themselves are stored nowhere. All entries together let through ``rate_per_s``
    requests a second and ``burst`` more; 0 means no limit. Its requests run in ``regions`` only;
    empty means in any. Under overload those of ``priority`` 0 are served first.
    """

    key_digests: list[str] = dataclasses.field(default_factory=list)
    priority: Priority = 0
    rate_per_s: Rate = 0.0
    burst: Rate = 0.0
    regions: list[settings.Name] = dataclasses.field(default_factory=list)


def check(
    known: dict[str, Workspace], regions: collections.abc.Collection[str]
) -> list[settings_check.Problem]:
    """Return every problem of the workspaces; a value that may be a key is not repeated.

    :param known: the workspaces by name.
    :param regions: the names of the regions.
    """
    problems: list[settings_check.Problem] = []
    holders: dict[str, str] = {}
    for name, workspace in known.items():
        path = f"workspaces.{name}"
        problems += _check_values(path, name, workspace, regions)
        for index, digest in enumerate(workspace.key_digests):
            problem = _digest_problem(digest, holders.get(digest), name)
            if problem is not None:
                message, fix = problem
                problems.append(
                    settings_check.Problem(f"{path}.key_digests[{index}]", message, fix)
                )
            holders.setdefault(digest, name)
    return problems


def _check_values(
    path: str, name: str, workspace: Workspace, regions: collections.abc.Collection[str]
) -> list[settings_check.Problem]:
    problems = []
    if not field_types.is_valid(name, field_types.ServerId):
        problems.append(
            settings_check.Problem(
                path,
                "is not a name",
                f"use 1 to {field_types.MAX_NAME_CHARS} visible ASCII characters",
            )
        )
    for region in workspace.regions:
        if region not in regions:
            problems.append(
                settings_check.Problem(
                    f"{path}.regions", f"{region!r} is not a region", f"use {', '.join(regions)}"
                )
            )
    if workspace.burst > 0 and workspace.rate_per_s <= 0:
        problems.append(
            settings_check.Problem(
                f"{path}.burst", "has no effect without rate_per_s", "give rate_per_s as well"
            )
        )
    return problems


def _digest_problem(digest: str, holder: str | None, name: str) -> tuple[str, str] | None:
    if _DIGEST.fullmatch(digest) is None:
        message = f"is not a digest of {2 * workspaces.DIGEST_BYTES} hexadecimal digits"
        return message, "give what `sassafraslock key digest` prints for the key"
    if holder == name:
        return "stands there twice", "remove one of the two"
    if holder is not None:
        return f"is that of a key of {holder} too", "give each workspace keys of its own"
    return None


def build(known: dict[str, Workspace]) -> tuple[workspaces.Workspace, ...]:
    """Return workspaces as the routing intents hold them.

    :param known: the workspaces by name.
    :raises ValueError: if a digest is not one.
    """
    return tuple(
        workspaces.Workspace(
            name,
            tuple(bytes.fromhex(digest) for digest in workspace.key_digests),
            workspace.priority,
            workspace.rate_per_s,
            workspace.burst,
            frozenset(workspace.regions),
        )
        for name, workspace in known.items()
    )
