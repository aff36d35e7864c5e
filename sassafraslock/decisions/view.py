"""The membership view of a region and who is steward of each resource.

A steward is the one entry that may hand out a resource: a server's slots or a link's bytes.
The view is one row of the table service for each region and changes by compare-and-set only.
A resource leaves a living steward only when that steward itself writes the change.
"""

from __future__ import annotations

import dataclasses
import math
import typing

import xxhash

from sassafraslock import shared_settings
from sassafraslock.decisions import shift

LINK_PREFIX = "link/"
LINK_PARTS = 4
SPLIT_STEP = 0.02
SERVER_PREFIX = "server/"


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """An entry as the view knows it; a restart gets a new incarnation.

    ``listed`` tells that the platform's VM list has named it since it joined.
    """

    entry_id: str
    incarnation: int
    zone: str
    caller_address: str
    peer_address: str
    leaving: bool = False
    listed: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Stewardship:
    """The right to hand out a resource.

    Where ``settled`` is false, grants of an earlier steward may still be in use, so the steward
    waits for the longest deadline before its first grant.
    """

    entry_id: str
    incarnation: int
    settled: bool


@dataclasses.dataclass(slots=True, frozen=True)
class View:
    """One region's members, stewards and reached splits under one epoch.

    ``splits`` tells where traffic that enters this region is served, by service, so that a
    restarted entry goes on from there.
    """

    epoch: int = 0
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    stewards: dict[str, Stewardship] = dataclasses.field(default_factory=dict)
    splits: dict[str, shared_settings.Split] = dataclasses.field(default_factory=dict)

    def advance(self, **changes: typing.Any) -> View:
        """Return the next epoch's view.

        :param changes: the fields that differ.
        """
        return dataclasses.replace(self, epoch=self.epoch + 1, **changes)

    def steward_of(self, resource: str) -> Member | None:
        """Return the member that hands out a resource.

        :param resource: the resource's name.
        """
        stewardship = self.stewards.get(resource)
        member = self.members.get(stewardship.entry_id) if stewardship else None
        if member is None or stewardship is None or member.incarnation != stewardship.incarnation:
            return None
        return member

    def link_stewards(self, to_region: str, but: str) -> list[str]:
        """Return the entries that hand out a link's bytes, without one of them.

        :param to_region: the receiving region.
        :param but: the entry to leave out.
        """
        members = [self.steward_of(r) for r in link_resources(to_region)]
        return sorted({m.entry_id for m in members if m and m.entry_id != but})

    def held_by(self, entry_id: str, incarnation: int) -> dict[str, Stewardship]:
        """Return the resources that one incarnation of an entry hands out.

        :param entry_id: the entry.
        :param incarnation: its incarnation.
        """
        return {
            r: s
            for r, s in self.stewards.items()
            if s.entry_id == entry_id and s.incarnation == incarnation
        }


def server_resource(service: str, server_id: str) -> str:
    """Return the name of a server's slots as a resource.

    :param service: the service as ``team/service``.
    :param server_id: the server's id.
    """
    return f"{SERVER_PREFIX}{service}/{server_id}"


def link_resources(to_region: str) -> list[str]:
    """Return the names of the parts of a link's bytes to another region as resources.

    A link is cut in parts so that the loss of one steward idles one part only.

    :param to_region: the receiving region.
    """
    return [f"{LINK_PREFIX}{to_region}/{part}" for part in range(LINK_PARTS)]


def resources_of(shared: shared_settings.SharedSettings, region: str) -> list[str]:
    """Return every resource of a region, sorted.

    :param shared: the shared settings in force.
    :param region: the region.
    """
    servers = [
        server_resource(service, server_id)
        for service, settings in shared.services.items()
        for server_id, server in settings.servers.items()
        if server.region == region
    ]
    links = [
        resource
        for other in shared.regions
        if other != region and shared.link_limit(region, other)
        for resource in link_resources(other)
    ]
    return sorted(servers + links)


def targets(resources: list[str], members: dict[str, Member]) -> dict[str, str]:
    """Spread resources over the members, leaving ones only where none stays.

    The highest hash wins, as in rendezvous hashing, among members below an even load.

    :param resources: every resource of the region.
    :param members: the view's members.
    """
    staying = sorted(m.entry_id for m in members.values() if not m.leaving) or sorted(members)
    if not staying:
        return {}
    chosen: dict[str, str] = {}
    groups: dict[str, list[str]] = {}
    for resource in resources:
        groups.setdefault(resource.rpartition("/")[0], []).append(resource)
    load = dict.fromkeys(staying, 0)
    for group in groups.values():
        room = dict.fromkeys(staying, math.ceil(len(group) / len(staying)))
        for resource in group:
            fitting = [e for e in staying if room[e]]
            least = min(load[e] for e in fitting)
            best = max((e for e in fitting if load[e] == least), key=lambda e: _score(e, resource))
            chosen[resource] = best
            room[best] -= 1
            load[best] += 1
    return chosen


def _score(entry_id: str, resource: str) -> int:
    return xxhash.xxh64_intdigest(f"{entry_id}|{resource}".encode())


def join(view: View, member: Member) -> View:
    """Add an entry, or its new incarnation, or its changed leaving state.

    Resources of an earlier incarnation of the same entry pass to the new one unsettled: the
    earlier process is gone, since the new one is bound to its address.

    :param view: the view as read.
    :param member: the entry that joins.
    """
    stewards = {}
    for resource, held in view.stewards.items():
        if held.entry_id == member.entry_id and held.incarnation != member.incarnation:
            stewards[resource] = Stewardship(member.entry_id, member.incarnation, False)
        else:
            stewards[resource] = held
    return view.advance(members={**view.members, member.entry_id: member}, stewards=stewards)


def claim_free(view: View, me: Member, goal: dict[str, str]) -> View:
    """Take the resources without a steward in the view whose target is this entry.

    One that had a steward before is taken unsettled.

    :param view: the view as read.
    :param me: the entry that takes.
    :param goal: the steward that each resource should have, as :func:`targets` gave it.
    """
    mine = {}
    for resource in goal:
        held = view.stewards.get(resource)
        if goal.get(resource) == me.entry_id and (held is None or _is_orphan(view, held)):
            mine[resource] = Stewardship(me.entry_id, me.incarnation, held is None)
    if not mine:
        return view
    return view.advance(stewards=view.stewards | mine)


def _is_orphan(view: View, held: Stewardship) -> bool:
    return held.entry_id not in view.members


def to_give_up(view: View, me: Member, goal: dict[str, str]) -> list[str]:
    """Return the resources held by this entry that belong to another or to nobody any more.

    :param view: the view in force.
    :param me: the holder.
    :param goal: the steward that each resource should have.
    """
    held = view.held_by(me.entry_id, me.incarnation)
    return [r for r in held if goal.get(r, "") != me.entry_id]


def give_up(view: View, me: Member, idle: list[str], goal: dict[str, str]) -> View:
    """Hand resources with no grant in use to their targets, and drop those out of settings.

    :param view: the view as read.
    :param me: the holder, which writes this change itself.
    :param idle: the resources that it stopped handing out and that are unused.
    :param goal: the steward that each resource should have; one that is missing is dropped.
    """
    held = view.held_by(me.entry_id, me.incarnation)
    stewards = dict(view.stewards)
    for resource in idle:
        heir = view.members.get(goal.get(resource, ""))
        if resource not in held or heir == me:
            continue
        if heir is not None:
            stewards[resource] = Stewardship(heir.entry_id, heir.incarnation, True)
        elif resource not in goal:
            del stewards[resource]
    if stewards == view.stewards:
        return view
    return view.advance(stewards=stewards)


def remove(view: View, entry_id: str) -> View:
    """Remove an entry that left or is certainly gone; its resources move unsettled.

    :param view: the view as read.
    :param entry_id: the entry to remove.
    """
    members = {e: m for e, m in view.members.items() if e != entry_id}
    orphans = [r for r, s in view.stewards.items() if s.entry_id == entry_id]
    goal = targets(sorted(view.stewards), members)
    stewards = {r: s for r, s in view.stewards.items() if s.entry_id != entry_id}
    for resource in orphans:
        heir = members.get(goal.get(resource, ""))
        if heir:
            stewards[resource] = Stewardship(heir.entry_id, heir.incarnation, False)
        else:
            stewards[resource] = Stewardship(entry_id, 0, False)
    return view.advance(members=members, stewards=stewards)


def note_splits(view: View, splits: dict[str, shared_settings.Split]) -> View:
    """Take over the splits reached, where one differs by a step worth a write.

    :param view: the view as read.
    :param splits: the splits of this entry by service.
    """
    changed = {
        service: split
        for service, split in splits.items()
        if shift.distance(split, view.splits.get(service, {})) >= SPLIT_STEP
    }
    return view.advance(splits=view.splits | changed) if changed else view
