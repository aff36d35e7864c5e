"""Brings the gauges in an entry's metrics up to date."""

from __future__ import annotations

import typing

from sassafraslock.services import metrics

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
    if entry.quotas is not None:
        collector = entry.quotas.node.collector
        shares, used_up = collector.book.share, len(collector.limited_since_ms)
        gauges.set_quotas(entry_id, shares, used_up, entry.quotas.token_counts())
    placer = entry.pipeline.placer
    placements = {result.value: count for result, count in placer.holders.counts.items()}
    gauges.set_objects(entry_id, *placer.objects.sizes(), placements)
    gauges.set_resources(entry_id, _resources(entry))


def _resources(entry: edge.Edge) -> metrics.ResourceGauges:
    watch = entry.capacity_watch
    return metrics.ResourceGauges(
        message_bytes=entry.quota.held_bytes,
        message_limit_bytes=entry.quota.limit_bytes,
        unread_response_bytes=sum(c.unread_bytes for c in entry.client_server.connections),
        server_request_bytes=entry.upstream.request_bytes,
        connections=connection_count(entry),
        descriptors=entry.settings.descriptors,
        link_use_ratio=watch.use.link_ratio,
        cpu_use_ratio=watch.use.cpu_ratio,
        named_ratio=watch.capacities.own_factor,
    )


def connection_count(entry: edge.Edge) -> int:
    """Return the number of connections of clients and to servers.

    :param entry: the entry.
    """
    return len(entry.client_server.connections) + entry.upstream.connection_count
