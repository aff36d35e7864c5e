"""The slot pools and link budgets of the resources that an entry is steward of."""

from __future__ import annotations

from sassafraslock import messages, shared_settings
from sassafraslock.decisions import links, slots, view

LINK_RESERVE_RATIO = 0.2
LINK_DATA_RATIO = 0.95


class Holdings:
    """Follows view and settings, and stops handing out what is given up."""

    __slots__ = ("pools", "budgets", "giving_up", "_region", "_goal", "_goal_basis")

    def __init__(self, region: str) -> None:
        self.pools: dict[str, slots.SlotPool] = {}
        self.budgets: dict[str, links.LinkBudget] = {}
        self.giving_up: set[str] = set()
        self._region = region
        self._goal: dict[str, str] = {}
        self._goal_basis: object = None

    def sync(
        self,
        held: dict[str, view.Stewardship],
        shared: shared_settings.SharedSettings,
        now_ms: int,
    ) -> None:
        """Bring pools and budgets in line with the view and the settings.

        :param held: the resources that this entry is steward of.
        :param shared: the settings in force.
        :param now_ms: the present time.
        """
        limits = slots.effective_limits(shared, self._region)
        for (service, server_id), limit in limits.items():
            stewardship = held.get(view.server_resource(service, server_id))
            rules = shared.services[service]
            self._sync_server(service, server_id, limit, rules, stewardship, now_ms)
        for service, pool in self.pools.items():
            for server_id in list(pool.servers):
                if (service, server_id) not in limits:
                    pool.withdraw(server_id)
        self._sync_links(held, shared, now_ms)

    def _sync_server(
        self,
        service: str,
        server_id: str,
        limit: int,
        rules: shared_settings.Service,
        stewardship: view.Stewardship | None,
        now_ms: int,
    ) -> None:
        pool = self.pools.setdefault(service, slots.SlotPool(rules.filing_reserve_ratio))
        pool.reserve_ratio = rules.filing_reserve_ratio
        resource = view.server_resource(service, server_id)
        if stewardship is None or resource in self.giving_up:
            pool.withdraw(server_id)
            if stewardship is None and pool.in_use(server_id) == 0:
                pool.forget(server_id)
            return
        wait_ms = 0 if stewardship.settled else rules.max_deadline_ms + slots.GRANT_MARGIN_MS
        pool.hold(server_id, limit, now_ms + wait_ms, True)

    def _sync_links(
        self,
        held: dict[str, view.Stewardship],
        shared: shared_settings.SharedSettings,
        now_ms: int,
    ) -> None:
        parts = {r: s for r, s in held.items() if r.startswith(view.LINK_PREFIX)}
        for resource, stewardship in parts.items():
            limit = shared.link_limit(self._region, to_region_of(resource))
            part_limit = int(limit * LINK_DATA_RATIO / view.LINK_PARTS)
            if resource not in self.budgets:
                start_ms = now_ms if stewardship.settled else now_ms + links.QUOTA_LIFE_MS
                self.budgets[resource] = links.LinkBudget(part_limit, LINK_RESERVE_RATIO, start_ms)
            self.budgets[resource].bytes_per_s = part_limit
        for resource in list(self.budgets):
            if resource not in parts or resource in self.giving_up:
                del self.budgets[resource]

    def is_idle(self, resource: str, now_ms: int) -> bool:
        """Tell whether no grant of a resource is in use.

        :param resource: the resource.
        :param now_ms: the present time.
        """
        if resource.startswith(view.LINK_PREFIX):
            return True
        service, _, server_id = resource.removeprefix(view.SERVER_PREFIX).rpartition("/")
        pool = self.pools.get(service)
        if pool is None:
            return True
        pool.expire(now_ms)
        return pool.in_use(server_id) == 0

    def goal_of(self, wanted: view.View, shared: shared_settings.SharedSettings) -> dict[str, str]:
        """Return the steward that each resource should have; worked out once for each change.

        :param wanted: the view with the members.
        :param shared: the settings in force.
        """
        staying = tuple(sorted((m.entry_id, m.leaving) for m in wanted.members.values()))
        basis = (staying, id(shared))
        if basis != self._goal_basis:
            resources = view.resources_of(shared, self._region)
            self._goal, self._goal_basis = view.targets(resources, wanted.members), basis
        return self._goal

    def take_bytes(self, to_region: str, size_bytes: int, filing: bool, now_ms: int) -> int:
        """Take bytes of the parts of a link held here, 0 where none are left.

        :param to_region: the receiving region.
        :param size_bytes: the bytes wanted.
        :param filing: whether the reserve may be used.
        :param now_ms: the present time.
        """
        granted_bytes = 0
        for resource, budget in self.budgets.items():
            if to_region_of(resource) == to_region:
                granted_bytes += budget.take(size_bytes - granted_bytes, filing, now_ms)
        return granted_bytes

    def loads(self, now_ms: int) -> dict[str, messages.ServiceLoad]:
        """Return the free slots of each service held here.

        :param now_ms: the present time.
        """
        return {
            service: messages.ServiceLoad(pool.free(now_ms), pool.total, pool.waiting)
            for service, pool in self.pools.items()
            if pool.total
        }

    def dump(self) -> dict[str, object]:
        """Return the pools and the budgets as plain data."""
        pools = {
            name: {
                s.server_id: {"limit": s.limit, "in_use": len(s.grants), "held": s.held}
                for s in pool.servers.values()
            }
            for name, pool in self.pools.items()
        }
        return {
            "pools": pools,
            "link_bytes_per_s": {r: b.bytes_per_s for r, b in self.budgets.items()},
        }


def to_region_of(resource: str) -> str:
    """Return the receiving region of a link's part.

    :param resource: the resource's name.
    """
    return resource.removeprefix(view.LINK_PREFIX).rpartition("/")[0]
