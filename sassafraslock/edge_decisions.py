"""Builds what an entry decides with: the choice of servers, and retries."""

from __future__ import annotations

from sassafraslock import edge_settings
from sassafraslock.decisions import (
    backpressure,
    cold_start,
    entry_view,
    placement,
    registry,
    retry_budget,
    roster,
    server_restarts,
)
from sassafraslock.path import retry_gate


def build_placer(
    settings: edge_settings.EdgeSettings,
    entries: entry_view.EntryView,
    asked: backpressure.Backpressure,
    servers: registry.Registry,
    now_ms: int,
) -> placement.Placer:
    """Return the choice of servers for an entry that starts now.

    :param settings: the entry's settings.
    :param entries: the entry's view of all entries.
    :param asked: what servers ask of this entry.
    :param servers: the registered servers.
    :param now_ms: the current monotonic time.
    """
    bounds = settings.bounds
    limiter = cold_start.ColdStartLimiter(
        settings.entry_id, bounds.cold_overage, bounds.cold_slack, now_ms
    )
    restarts = server_restarts.ServerRestarts(settings.entry_id, servers)
    return placement.Placer(
        settings.region,
        servers,
        entries,
        limiter,
        asked,
        restarts,
        settings.object_homes_by_demand,
    )


def build_retry_gate(
    settings: edge_settings.EdgeSettings, members: roster.Roster, now_ms: int
) -> retry_gate.RetryGate:
    """Return the gate that grants retries within the budget that all entries share.

    :param settings: the entry's settings.
    :param members: the other entries.
    :param now_ms: the current monotonic time.
    """
    bounds = settings.bounds
    budget = retry_budget.RetryBudget(
        bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_ms, now_ms
    )
    return retry_gate.RetryGate(budget, members.sharing_count)
