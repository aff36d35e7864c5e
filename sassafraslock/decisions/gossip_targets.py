"""Which entries a round of gossip goes to: near ones each time, far ones by turns."""

from __future__ import annotations

import random

from sassafraslock.decisions import roster

ZONE_TARGETS = 3
FAR_SENDERS = 8.0  # entries of a zone, or of a region, that send beyond it in one round
MIN_ZONE_ENTRIES = 4  # fewer hear too little among themselves


def load_sharing_peers(own: roster.MemberRecord, live: list[roster.MemberRecord]) -> set[str]:
    """Return the gossip addresses of the entries that this one shares servers' loads with.

    They are those of its availability zone, since bytes between zones are dear, or those of its
    region where the zone has few.

    :param own: this entry's record.
    :param live: the live entries, this one left out.
    """
    in_zone = {r.gossip_address for r in live if r.zone == own.zone}
    if 1 + len(in_zone) >= MIN_ZONE_ENTRIES:
        return in_zone
    return {r.gossip_address for r in live if r.region == own.region}


def choose(
    own: roster.MemberRecord, live: list[roster.MemberRecord], chance: random.Random
) -> list[str]:
    """Return the gossip addresses for one round.

    A few entries of the own availability zone get each round. Beyond the zone, and beyond the
    region, a few entries of each send in a round however many there are, so that what crosses
    dear links does not grow with the number of entries.

    :param own: this entry's record.
    :param live: the live entries, this one left out.
    :param chance: the source of chance.
    """
    in_zone = [r for r in live if r.zone == own.zone]
    in_region = [r for r in live if r.region == own.region and r.zone != own.zone]
    beyond = [r for r in live if r.region != own.region]
    chosen = chance.sample(in_zone, min(ZONE_TARGETS, len(in_zone)))
    zone_size = 1 + len(in_zone)
    if in_region and chance.random() < FAR_SENDERS / zone_size:
        chosen.append(chance.choice(in_region))
    if beyond and chance.random() < FAR_SENDERS / (zone_size + len(in_region)):
        chosen.append(chance.choice(beyond))
    return [r.gossip_address for r in chosen]
