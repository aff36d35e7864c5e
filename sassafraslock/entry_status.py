"""The summary of an entry that operators get."""

from __future__ import annotations

import typing

import sassafraslock
from sassafraslock.services import operator_api

if typing.TYPE_CHECKING:
    from sassafraslock import edge


def summarize(entry: edge.Edge, now_ms: int) -> operator_api.Status:
    """Return the summary.

    :param entry: the entry.
    :param now_ms: the current monotonic time.
    """
    table = entry.routing_state.table
    return operator_api.Status(
        entry_id=entry.settings.entry_id,
        version=sassafraslock.VERSION,
        region=entry.settings.region,
        zone=entry.settings.zone,
        ready=entry.is_ready,
        leaving=entry.leaving,
        revision=table.version if table else 0,
        facts_age_ms=now_ms - entry.replica.last_answer_ms,
        members=sorted(entry.gossip.live_ids()),
        servers=len(entry.routing_state.registry.servers),
        evacuated=sorted(entry.routing_state.registry.evacuated_zones),
        in_flight=entry.pipeline.in_flight,
        splits=entry.planner.splits(),
    )
