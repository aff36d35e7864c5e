"""Brings the gauges in an entry's metrics up to date."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from sassafraslock import edge


def update(entry: edge.Edge, now_ms: int) -> None:
    """Set all gauges to the present state of an entry.

    :param entry: the entry.
    :param now_ms: the current monotonic time.
    """
    gauges, entry_id, members = entry.metrics, entry.settings.entry_id, entry.gossip.roster
    status = entry.status(now_ms)
    gauges.set_status(entry_id, status.ready, status.facts_age_ms, status.servers, status.in_flight)
    gauges.set_entries(entry_id, members.entry_count(), 1 + len(members.live(now_ms)))
    gauges.set_retries(entry_id, entry.pipeline.retries, now_ms)
    cold, restarts = entry.pipeline.placer.cold.limiter, entry.routing_state.restarts
    gauges.set_cold_starts(entry_id, cold.granted, cold.held_back, restarts)
    rejected = entry.routing_state.rejections.counts + entry.gossip.rejections.counts
    gauges.set_rejected(entry_id, rejected)
    gauges.set_rejected_settings(entry_id, entry.settings_watch.rejected)
    clients = entry.client_server
    gauges.set_connections(entry_id, clients.cuts.counts, clients.accept_failures)
    gauges.set_backpressure(entry_id, entry.watch.gauges(now_ms))
    proofs = entry.key_proof
    if proofs.revoke_ms is not None:
        gauges.set_proof(entry_id, proofs.may_accept(now_ms), proofs.age_ms(now_ms))
    if entry.allowances is not None:
        collector = entry.allowances.node.collector
        shares, used_up = collector.book.share, len(collector.limited_since_ms)
        gauges.set_allowances(entry_id, shares, used_up, entry.allowances.token_counts())
    placer = entry.pipeline.placer
    placements = {result.value: count for result, count in placer.holders.counts.items()}
    gauges.set_objects(entry_id, *placer.objects.sizes(), placements)
