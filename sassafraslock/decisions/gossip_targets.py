"""Selects the entries to which a gossip round is sent: mostly ones of its zone."""

from __future__ import annotations

import random

from sassafraslock.decisions import roster

ZONE_TARGETS = 3
FAR_SENDERS = 8.0  # entries of a zone, or of a region, that send outside it in a round
MIN_ZONE_ENTRIES = 4  # fewer entries would share too few load reports


def load_sharing_peers(own: roster.MemberRecord, live: list[roster.MemberRecord]) -> set[str]:
    """Return the gossip addresses of the entries with which this one shares server loads.

    These are the entries of its availability zone, since traffic between zones is expensive, or
    all entries of its region if the zone has fewer than :data:`MIN_ZONE_ENTRIES`.

    :param own: this entry's record.
    :param live: the records of the live entries without this one.
    """
    in_zone = {r.gossip_address for r in live if r.zone == own.zone}
    if 1 + len(in_zone) >= MIN_ZONE_ENTRIES:
        return in_zone
    return region_peers(own, live)


def region_peers(own: roster.MemberRecord, live: list[roster.MemberRecord]) -> set[str]:
    """Return the gossip addresses of the other entries of this entry's region.

    :param own: this entry's record.
    :param live: the records of the live entries without this one.
    """
    return {r.gossip_address for r in live if r.region == own.region}


def choose(
    own: roster.MemberRecord, live: list[roster.MemberRecord], rng: random.Random
) -> list[str]:
    """Return the gossip addresses of the entries to which this one sends in a round.

    Each round goes to :data:`ZONE_TARGETS` random entries of the own availability zone. In
    addition, on average :data:`FAR_SENDERS` entries of a zone send to another zone, and as many of
    a region to another region. This number is fixed, so that the traffic on expensive links does
    not grow with the number of entries.

    :param own: this entry's record.
    :param live: the records of the live entries without this one.
    :param rng: the source of randomness.
    """
    in_zone = [r for r in live if r.zone == own.zone]
    in_other_zones = [r for r in live if r.region == own.region and r.zone != own.zone]
    in_other_regions = [r for r in live if r.region != own.region]
    targets = rng.sample(in_zone, min(ZONE_TARGETS, len(in_zone)))
    zone_size = 1 + len(in_zone)
    if in_other_zones and rng.random() < FAR_SENDERS / zone_size:
        targets.append(rng.choice(in_other_zones))
    if in_other_regions and rng.random() < FAR_SENDERS / (zone_size + len(in_other_zones)):
        targets.append(rng.choice(in_other_regions))
    return [r.gossip_address for r in targets]
