"""Workspaces, whose requests are told apart by their keys, and the index of their keys."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import hashlib

from sassafraslock import field_types

DIGEST_BYTES = 16


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is known, so that the key itself is stored nowhere.

    :param key: the key as the client sends it.
    """
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """The requests of one customer, and what they may use.

    A request with one of the keys belongs to the workspace. Requests of ``priority`` 0 are served
    first; the priority goes before the route's. All entries together let through ``rate_per_s``
    requests a second and ``burst`` more; a rate of 0 means no limit. The requests may run in
    ``regions`` only; empty means in any.
    """

    name: field_types.ServerId
    key_digests: tuple[field_types.Digest, ...]
    priority: field_types.Number = 0
    rate_per_s: field_types.Rate = 0.0
    burst: field_types.Rate = 0.0
    regions: frozenset[field_types.Name] = frozenset()


class WorkspaceIndex:
    """The workspaces of one version of the intents by their keys.

    A key that two workspaces hold finds neither of them. ``shared_by`` holds the names of the
    workspaces that share one with another.
    """

    __slots__ = ("workspaces", "shared_by", "_by_digest", "_by_key")

    def __init__(self, workspaces: collections.abc.Sequence[Workspace]) -> None:
        self.workspaces = tuple(workspaces)
        holders: dict[bytes, dict[str, Workspace]] = collections.defaultdict(dict)
        for workspace in workspaces:
            for digest in workspace.key_digests:
                holders[digest][workspace.name] = workspace
        self._by_digest = {d: next(iter(w.values())) for d, w in holders.items() if len(w) == 1}
        shared = [names for names in holders.values() if len(names) > 1]
        self.shared_by = sorted({name for names in shared for name in names})
        # Keys that were found, so that each is digested once. Unknown ones are not kept, so the
        # index does not grow with what clients send.
        self._by_key: dict[bytes, Workspace] = {}

    def find(self, key: bytes) -> Workspace | None:
        """Return the workspace that holds a key, none if it is unknown.

        :param key: the key as the client sent it.
        """
        found = self._by_key.get(key)
        if found is None and key:
            found = self._by_digest.get(digest_key(key))
            if found is not None:
                self._by_key[key] = found
        return found


def allowed_regions(
    route_regions: frozenset[str], workspace: Workspace | None
) -> frozenset[str] | None:
    """Return the regions in which a request may run, empty for any, none if there is no such one.

    :param route_regions: the regions that the request's route allows, empty for any.
    :param workspace: the request's workspace, none if it has none.
    """
    if workspace is None or not workspace.regions:
        return route_regions
    if not route_regions:
        return workspace.regions
    return (route_regions & workspace.regions) or None
