"""Settings of an entry that follows the platform's store."""

from __future__ import annotations

import dataclasses

from sassafraslock.decisions import message_quota

DEFAULT_MEMORY_BYTES = message_quota.DEFAULT_MEMORY_BYTES


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """What the operators promise their users; times in milliseconds."""

    drain_ms: int = 2_500
    grace_ms: int = 6_000
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_ms: int = 10_000
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    max_validity_ms: int = 5_000


@dataclasses.dataclass(slots=True, frozen=True)
class EdgeSettings:
    """Where an entry stands and listens. Addresses are ``IP:PORT``.

    ``memory_bytes`` is what this process may use. ``peer_token`` proves that gossip comes from an
    entry; without one it is taken from anybody.
    """

    entry_id: str
    zone: str
    region: str
    client_address: str
    directory_address: str
    readiness_address: str
    gossip_address: str
    operator_address: str = ""
    seeds: tuple[str, ...] = ()
    peer_token: str = ""
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
