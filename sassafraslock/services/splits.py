"""Where traffic that enters this region is served, and how far shifts have come."""

from __future__ import annotations

import typing

import anyio

from sassafraslock import clock, messages, settings, shared_settings
from sassafraslock.decisions import cells, shift


class SplitService:
    """Owns the cell table of each service."""

    __slots__ = ("tables", "_settings", "_peers", "_config", "_steward", "_admission")

    def __init__(
        self,
        process: settings.Settings,
        peers: typing.Any,
        settings_service: typing.Any,
        steward: typing.Any,
        admission_service: typing.Any,
    ) -> None:
        self.tables: dict[str, cells.CellTable] = {}
        self._settings = process
        self._peers = peers
        self._config = settings_service
        self._steward = steward
        self._admission = admission_service
        steward.splits_source = self.splits

    async def run(self, ready: anyio.Event) -> None:
        """Exist until cancelled; the work is done by those that ask.

        :param ready: set at once.
        """
        ready.set()
        await anyio.sleep_forever()

    @property
    def known(self) -> bool:
        """Whether this entry knows where its region's traffic is served."""
        return self._steward.followed or bool(self.neighbours())

    def splits(self) -> dict[str, shared_settings.Split]:
        """Return the split in force of each service for traffic that enters here."""
        return {name: table.shares() for name, table in self.tables.items()}

    def table(self, service: str, rules: shared_settings.Service) -> cells.CellTable:
        """Return the service's cells, made anew where cap or accepted split changed.

        :param service: the service.
        :param rules: its settings.
        """
        accepted = self._config.shared.split_for(rules, self._settings.region)
        table = self.tables.get(service)
        if table is None:
            table = cells.CellTable(
                accepted,
                self._reached(service) or self._planned(rules),
                rules.shift_cap_ratio,
                rules.shift_window_ms,
                clock.monotonic_ms(),
            )
            self.tables[service] = table
        table.relimit(rules.shift_cap_ratio, rules.shift_window_ms, accepted)
        return table

    def wanted_split(self, service: str, rules: shared_settings.Service) -> shared_settings.Split:
        """Return the split to reach: the plan's, without regions that cannot serve.

        All entries of a region follow the first of them, so that a caller who changes from one
        to another finds the same split.

        :param service: the service.
        :param rules: its settings.
        """
        leader = self._leader()
        if leader and service in leader.splits:
            return leader.splits[service]
        planned = self._planned(rules)
        usable = self.usable_regions(service)
        unusable = set(planned) - usable
        return shift.without(planned, unusable, sorted(usable)) if unusable else planned

    def shift_progress(self, wall_ms: int) -> dict[str, float]:
        """Return how far each planned shift of this region's traffic has come, from 0 to 1.

        :param wall_ms: the present time since 1970.
        """
        region = self._settings.region
        progress = {}
        for name, rules in self._config.shared.services.items():
            plan = rules.shifts.get(region)
            if plan is None:
                continue
            accepted = self._config.shared.split_for(rules, region)
            whole = shift.distance(accepted, plan.to)
            table = self.tables.get(name)
            left = shift.distance(table.shares(), plan.to) if table else whole
            progress[name] = 1.0 - left / whole if whole > shift.SLACK else 1.0
        return progress

    def _leader(self) -> messages.Heartbeat | None:
        """Return the last heartbeat of the region's first live entry, none if it is this one."""
        staying = [h for h in self.neighbours() if not h.leaving]
        first = min(staying, key=lambda h: h.sender, default=None)
        return first if first and first.sender < self._settings.entry_id else None

    def _reached(self, service: str) -> shared_settings.Split | None:
        """Return the split that the region is at, from peers or the view, if any knows it."""
        for peer in self.neighbours():
            if service in peer.splits:
                return peer.splits[service]
        splits: dict[str, shared_settings.Split] = self._steward.view.splits
        return splits.get(service)

    def _planned(self, rules: shared_settings.Service) -> shared_settings.Split:
        region = self._settings.region
        return shift.planned(
            self._config.shared.split_for(rules, region),
            rules.shifts.get(region),
            rules.shift_cap_ratio,
            rules.shift_window_ms,
            clock.wall_ms(),
        )

    def usable_regions(self, service: str) -> set[str]:
        """Return the regions where a live entry hands out slots of a service.

        :param service: the service.
        """
        live = self._peers.table.live(clock.monotonic_ms())
        usable = {h.region for h in live if service in h.services and h.ready}
        if self._admission.has_own(service):
            usable.add(self._settings.region)
        return usable

    def neighbours(self) -> list[messages.Heartbeat]:
        """Return the last heartbeats of the region's other ready entries."""
        near = self._peers.table.in_region(self._settings.region, clock.monotonic_ms())
        return [h for h in near if h.ready]

    def dump(self) -> dict[str, object]:
        """Return the splits in force and the share moved within the last window."""
        now_ms = clock.monotonic_ms()
        return {
            "splits": self.splits(),
            "moved_ratio": {name: t.used_ratio(now_ms) for name, t in self.tables.items()},
        }
