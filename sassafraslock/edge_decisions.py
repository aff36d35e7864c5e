"""Builds what an entry decides with: the choice of servers, retries, and what entries carry."""

from __future__ import annotations

from sassafraslock import clock, edge_settings
from sassafraslock.decisions import (
    backpressure,
    cold_start,
    entry_capacity,
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
    return placement.Placer(settings.region, servers, entries, limiter, asked, restarts)


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


def build_capacities(
    settings: edge_settings.EdgeSettings,
    boot_ms: int,
    members: roster.Roster,
) -> entry_capacity.EntryCapacities:
    """Return what this entry and the others can carry.

    :param settings: the entry's settings.
    :param boot_ms: the Unix time of the entry's start.
    :param members: the other entries.
    """

    def links() -> dict[str, float]:
        live = members.live(clock.monotonic_ms())
        return {
            settings.entry_id: settings.link_mbps,
            **{m.record.entry_id: m.record.link_mbps for m in live},
        }

    resources = entry_capacity.Resources(
        settings.link_mbps, settings.cores, settings.descriptors, settings.memory_bytes
    )
    return entry_capacity.EntryCapacities(settings.entry_id, resources, boot_ms, links)
