"""The two workspaces of the demonstration, and what servers and callers saw of them.

One asks for more than its quota. The other one's key is taken away while its callers go on.
"""

from __future__ import annotations

import bisect
import dataclasses
import typing

from sassafraslock import settings, workspace_settings, workspaces
from sassafraslock.path import quota_gate
from sassafraslock.standin import backend, caller

GREEDY, REVOKED = "greedy-office", "closed-office"
KEYS = {GREEDY: "demo-key-of-the-greedy-office", REVOKED: "demo-key-of-the-closed-office"}
RATE_PER_S, BURST = 20.0, 10.0  # of the greedy workspace, whose callers ask for about three times
REVOKE_MS = 5_000
QUOTAS = settings.Quotas(window_ms=5_000)


@dataclasses.dataclass(slots=True)
class WorkspaceFindings:
    """What servers and callers saw of workspaces.

    :param key_refusals: answers with status 401.
    :param quota_refusals: answers with status 429.
    :param quotas_enforced: whether entries enforce quotas at all.
    :param keys_at_servers: requests that reached a server with a key of a workspace.
    :param wrong_workspaces: requests that reached a server under another workspace's name.
    :param ran_after_revocation: answered requests that were sent later than the bound after the
        key was taken away.
    :param highest_quota_use_ratio: the highest use of the quota in any window.
    """

    key_refusals: int = 0
    quota_refusals: int = 0
    quotas_enforced: bool = False
    keys_at_servers: int = 0
    wrong_workspaces: int = 0
    ran_after_revocation: int = 0
    highest_quota_use_ratio: float = 0.0


def settings_of_workspaces() -> dict[str, workspace_settings.Workspace]:
    """Return the workspaces as the settings of the system team hold them."""
    digests = {name: workspaces.digest_key(key.encode()).hex() for name, key in KEYS.items()}
    return {
        GREEDY: workspace_settings.Workspace([digests[GREEDY]], 0, RATE_PER_S, BURST),
        REVOKED: workspace_settings.Workspace([digests[REVOKED]]),
    }


def credentials(number: int) -> caller.Credentials:
    """Return the workspace of a caller and its key.

    :param number: the caller's number.
    """
    name = GREEDY if number % 4 < 2 else REVOKED
    return caller.Credentials(name, KEYS[name])


def take_key_away(document: typing.Any) -> None:
    """Remove all keys of a workspace from the settings of the system team.

    :param document: the settings as plain data.
    """
    document["workspaces"][REVOKED]["key_digests"] = []


def findings(
    stats: caller.CallerStats,
    servers: typing.Iterable[backend.BackendServer],
    gates: typing.Iterable[quota_gate.QuotaGate],
    revoked_at_ms: int,
) -> WorkspaceFindings:
    """Return what was seen of the workspaces in a run.

    :param stats: what the callers saw.
    :param servers: the servers.
    :param gates: what entries enforce quotas with.
    :param revoked_at_ms: when the store had confirmed that the key is gone, 0 if it was not.
    """
    seen = [server.stats.workspaces for server in servers]
    is_enforced = not any(isinstance(g, quota_gate.NoQuotas) for g in gates)
    starts_ms = sorted(at_ms for w in seen for at_ms in w.starts_ms.get(GREEDY, []))
    bound_ms = revoked_at_ms + REVOKE_MS
    late = [at_ms for at_ms in stats.answered_starts_ms.get(REVOKED, []) if at_ms > bound_ms]
    return WorkspaceFindings(
        stats.error_kinds["key-unknown"],
        stats.error_kinds["quota-used-up"],
        is_enforced,
        sum(w.keys for w in seen),
        sum(w.wrong_names for w in seen),
        len(late) if revoked_at_ms else 0,
        _highest_use(starts_ms) if is_enforced else 0.0,
    )


def _highest_use(starts_ms: list[int]) -> float:
    """Return the highest number of starts in a window, over what may run in it."""
    window_ms = QUOTAS.window_ms
    allowed = (RATE_PER_S * window_ms / 1_000 + BURST) * (1 + QUOTAS.overage) + QUOTAS.slack
    ends = (bisect.bisect_left(starts_ms, at_ms + window_ms) for at_ms in starts_ms)
    return max((end - first for first, end in enumerate(ends)), default=0) / allowed
