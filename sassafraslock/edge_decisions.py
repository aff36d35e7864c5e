"""Builds what an entry decides with: its copy of the store, the choice of servers, and retries."""

from __future__ import annotations

import collections.abc

from sassafraslock import edge_settings, facts
from sassafraslock.allowances import limits
from sassafraslock.allowances import service as allowance_service
from sassafraslock.decisions import (
    backpressure,
    cold_start,
    entry_view,
    intents_proof,
    placement,
    registry,
    retry_budget,
    roster,
    server_restarts,
)
from sassafraslock.path import retry_gate
from sassafraslock.services import gossip, intents_recorder, replica, routing_state


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


def build_allowances(
    settings: edge_settings.EdgeSettings,
    peers: gossip.GossipService,
    own_record: collections.abc.Callable[[int], roster.MemberRecord],
    now_ms: int,
) -> allowance_service.AllowanceService | None:
    """Return the service that limits workspaces, none where no window is set.

    :param settings: the entry's settings.
    :param peers: the gossip service, whose socket it shares.
    :param own_record: returns this entry's record.
    :param now_ms: the current monotonic time.
    """
    if settings.bounds.allowance_window_ms <= 0:
        return None
    terms = limits.terms_of(settings.bounds)
    return allowance_service.AllowanceService(peers, own_record, terms, now_ms)


def build_replica(
    source: facts.FactSource,
    state: routing_state.RoutingState,
    proofs: intents_proof.IntentsProofs,
) -> replica.Replica:
    """Return the entry's copy of the store, which tells the proofs how recent it is.

    :param source: the store.
    :param state: what the rows are applied to.
    :param proofs: the proofs that keys need.
    """
    recorder = intents_recorder.IntentsRecorder(proofs, lambda: state.table)
    return replica.Replica(source, state, recorder)
