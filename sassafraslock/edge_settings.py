"""Settings of one entry, independent of the file format that they are read from."""

from __future__ import annotations

import dataclasses

from sassafraslock.decisions import message_quota

DEFAULT_MEMORY_BYTES = message_quota.DEFAULT_MEMORY_BYTES


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """The limits that operators guarantee to their users.

    A draining server may get requests for ``drain_ms`` more. A process that is told to stop ends
    within ``grace_ms``. Within ``retry_window_ms``, all entries together send at most
    ``retry_ratio`` retries per request and ``retry_slack`` more. A cold server gets at most
    ``cold_overage`` times the rate that its service allows and ``cold_slack`` requests a second
    more. Callers may keep addresses of entries for ``max_validity_ms``. Where ``revoke_ms`` is set,
    no request runs that was sent with a key later than this after the key was taken away. Within
    any ``quota_window_ms``, a workspace gets no more requests than its rate and burst allow,
    times 1 and ``quota_overage``, and ``quota_slack`` more; 0 means that no quota is
    enforced.
    """

    drain_ms: int = 2_500
    grace_ms: int = 6_000
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_ms: int = 10_000
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    max_validity_ms: int = 5_000
    revoke_ms: int | None = None
    quota_window_ms: int = 0
    quota_overage: float = 0.1
    quota_slack: float = 20.0


@dataclasses.dataclass(slots=True, frozen=True)
class EdgeSettings:
    """The place and the addresses of one entry. Addresses are ``IP:PORT``.

    With an empty ``directory_address``, ``readiness_address`` or ``operator_address`` the entry
    does not listen for these requests. ``seeds`` are the gossip addresses that an entry contacts
    first. ``metrics_address`` serves metrics only; without it they are at the operator address.
    ``peer_token`` authenticates gossip between entries; if it is empty, gossip from any
    sender is accepted. ``memory_bytes`` is the memory that this process may use, and ``link_mbps``
    the bandwidth of its machine's link. ``cores`` are the processors that it may use, and
    ``descriptors`` the files and sockets that it may open. These are 0 if they are not known.
    Without ``object_homes_by_demand``, objects of sticky routes are served by the plans of regions
    and by rendezvous order alone.
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
    metrics_address: str = ""
    peer_token: str = ""
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    link_mbps: float = 0.0
    cores: float = 0.0
    descriptors: int = 0
    object_homes_by_demand: bool = True
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
