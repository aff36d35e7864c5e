"""Builds what an entry decides with, and applies changed bounds to it."""

from __future__ import annotations

import collections.abc

from sassafraslock import clock, edge_settings, facts
from sassafraslock.decisions import (
    backpressure,
    cold_start,
    entry_capacity,
    entry_view,
    intents_proof,
    placement,
    registry,
    retry_budget,
    roster,
    server_restarts,
)
from sassafraslock.decisions.objects import newcomers
from sassafraslock.path import pipeline, retry_gate
from sassafraslock.quotas import limits
from sassafraslock.quotas import service as quota_service
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


def build_quotas(
    settings: edge_settings.EdgeSettings,
    peers: gossip.GossipService,
    own_record: collections.abc.Callable[[int], roster.MemberRecord],
    now_ms: int,
) -> quota_service.QuotaService | None:
    """Return the service that limits workspaces, none where no window is set.

    :param settings: the entry's settings.
    :param peers: the gossip service, whose socket it shares.
    :param own_record: returns this entry's record.
    :param now_ms: the current monotonic time.
    """
    if settings.bounds.quota_window_ms <= 0:
        return None
    terms = limits.terms_of(settings.bounds)
    return quota_service.QuotaService(peers, own_record, terms, now_ms)


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


def tell_peers(
    peers: gossip.GossipService, placer: placement.Placer, settings: edge_settings.EdgeSettings
) -> None:
    """Let gossip exchange what the choice of servers learns from answers.

    :param peers: the gossip service.
    :param placer: the choice of servers.
    :param settings: the entry's settings.
    """
    peers.loads, peers.paces, peers.objects = placer.loads, placer.paces, placer.objects
    if settings.object_homes_by_demand:
        peers.newcomers = newcomers.Newcomers()


def apply_bounds(
    requests: pipeline.RequestPipeline, bounds: edge_settings.Bounds, now_ms: int
) -> None:
    """Apply changed bounds on retries and on cold servers.

    :param requests: the pipeline of requests.
    :param bounds: the bounds.
    :param now_ms: the current monotonic time.
    """
    requests.retries.budget.set_bounds(
        bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_ms, now_ms
    )
    requests.placer.cold.limiter.set_bounds(bounds.cold_overage, bounds.cold_slack)
