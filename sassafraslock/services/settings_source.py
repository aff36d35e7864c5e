"""The table service as a source of facts: teams' settings and entries' registrations."""

from __future__ import annotations

import dataclasses
import typing

import anyio
import msgspec

from sassafraslock import (
    clock,
    errors,
    facts,
    field_types,
    platform,
    routing_table,
    settings,
    shared_settings,
    store_version,
    workspace_settings,
    workspaces,
)
from sassafraslock.decisions import registry, revisions

ENTRIES_PREFIX = "entries/"
INTENTS_KEY = "intents"
SCAN_LIMIT = 1_000
COLD_PER_S = 1_000.0
ROUTE_PRIORITY = 0
PREFIXES = {
    facts.Topic.INTENTS: revisions.SETTINGS_PREFIX,
    facts.Topic.SERVERS: revisions.SETTINGS_PREFIX,
    facts.Topic.ENTRIES: ENTRIES_PREFIX,
}


@dataclasses.dataclass(slots=True)
class _TopicState:
    """The newest change of each key of a topic, the version reached, and the table's clock then."""

    changes: dict[str, facts.Change] = dataclasses.field(default_factory=dict)
    version: int = 0
    store_now_ms: int | None = None


class SettingsSource:
    """Polls the table and reports what differs from the previous poll.

    Each change carries the version of the row that it comes from, so that entries which poll at
    different times agree on which state is newer. A team's row that cannot be used leaves the last
    settings of the team in force.
    """

    operator_topics = frozenset({facts.Topic.INTENTS, facts.Topic.SERVERS})

    __slots__ = ("_teams", "_row_versions", "_unreadable", "_table", "_poll_ms", "_states")

    def __init__(self, table: platform.Table, poll_ms: int) -> None:
        self._teams: dict[str, shared_settings.TeamSettings] = {}
        self._row_versions: dict[str, int] = {}
        self._unreadable: dict[str, facts.Change] = {}
        self._table = table
        self._poll_ms = poll_ms
        self._states = {topic: _TopicState() for topic in facts.Topic}

    async def read_all(self, topic: facts.Topic) -> facts.BatchResult:
        """Return all rows of a topic, and the version after which its changes are to be read.

        :param topic: the part of the store to read.
        """
        refused = await self._read(topic)
        if refused is not None:
            return refused
        state = self._states[topic]
        present = tuple(c for c in state.changes.values() if not c.is_removed)
        return facts.Batch(present, state.version, state.store_now_ms)

    async def read_changes(self, topic: facts.Topic, after: int, wait_ms: int) -> facts.BatchResult:
        """Return the changes after a version; a long poll that ends at the first change.

        The batch is empty if nothing changed within ``wait_ms``.

        :param topic: the part of the store to watch.
        :param after: the version of the last batch.
        :param wait_ms: the longest time to wait for a change.
        """
        until_ms = clock.monotonic_ms() + wait_ms
        while True:
            refused = await self._read(topic)
            if refused is not None:
                return refused
            state = self._states[topic]
            newer = tuple(c for c in state.changes.values() if c.version > after)
            if newer or clock.monotonic_ms() >= until_ms:
                return facts.Batch(newer, max(after, state.version), state.store_now_ms)
            await anyio.sleep(self._poll_ms / 1000)

    async def register(self, registration: facts.Registration) -> int | errors.Refusal:
        """Write this entry's registration to the store, and return the row's version.

        :param registration: this entry's place and addresses.
        """
        key = ENTRIES_PREFIX + registration.entry_id
        put = platform.Put(key, msgspec.msgpack.encode(registration))
        result = await self._table.transact(platform.Transaction(puts=[put], reads=[key]))
        if isinstance(result, errors.Refusal):
            return result
        return store_version.join(result.era, result.version(key))

    async def _read(self, topic: facts.Topic) -> errors.Refusal | None:
        scan = platform.Scan(PREFIXES[topic], limit=SCAN_LIMIT)
        result = await self._table.transact(platform.Transaction(scan=scan))
        if isinstance(result, errors.Refusal):
            return result
        rows = [_dated(row, result.era) for row in result.rows]
        newest = max((row.version for row in rows), default=store_version.join(result.era, 0))
        state = self._states[topic]
        state.store_now_ms = result.now_ms
        if topic is facts.Topic.ENTRIES:
            self._update(state, [_entry_change(row) for row in rows], newest)
        elif newest > state.version or not state.changes:
            self._decode_teams(rows)
            self._update(state, self._derive_changes(topic, newest), newest)
        return None

    def _decode_teams(self, rows: list[platform.Row]) -> None:
        for row in rows:
            team = row.key.removeprefix(revisions.SETTINGS_PREFIX)
            key = facts.safe_key(row.key)
            known = self._unreadable.get(key)
            if row.version in (self._row_versions.get(team), known and known.version):
                continue
            try:
                self._teams[team] = decode_team(team, row)
                self._row_versions[team] = row.version
                self._unreadable.pop(key, None)
            except Exception as error:  # noqa: BLE001 - whatever a row raises costs that row alone
                reason = f"row {key}: {field_types.describe(error)}"
                change = facts.unreadable_change(facts.Topic.INTENTS, key, row.version, reason)
                self._unreadable[key] = change
        teams = {row.key.removeprefix(revisions.SETTINGS_PREFIX) for row in rows}
        for team in self._teams.keys() - teams:
            del self._teams[team], self._row_versions[team]
        present = {facts.safe_key(row.key) for row in rows}
        self._unreadable = {k: c for k, c in self._unreadable.items() if k in present}

    def _derive_changes(self, topic: facts.Topic, newest: int) -> list[facts.Change]:
        shared = shared_settings.merge_teams(self._teams)
        if topic is facts.Topic.INTENTS:
            intents = build_intents(shared, newest)
            unreadable = self._unreadable.values()
            return [facts.Change(topic, INTENTS_KEY, newest, intents=intents), *unreadable]
        return [self._server_change(report) for report in build_reports(shared)]

    def _server_change(self, report: registry.ServerReport) -> facts.Change:
        version = self._row_versions[report.service.partition("/")[0]]
        key = facts.safe_key(report.server_id)
        fault = field_types.check(report)
        if fault:
            reason = f"server {key}: {fault}"
            return facts.unreadable_change(facts.Topic.SERVERS, key, version, reason)
        return facts.Change(facts.Topic.SERVERS, key, version, report=report)

    def _update(self, state: _TopicState, changes: list[facts.Change], newest: int) -> None:
        by_key = {change.key: change for change in changes}
        for key, change in by_key.items():
            previous = state.changes.get(key)
            if (
                previous is None
                or dataclasses.replace(change, version=previous.version) != previous
            ):
                state.changes[key] = change
        for key, previous in list(state.changes.items()):
            if key not in by_key and not previous.is_removed:
                state.changes[key] = facts.Change(previous.topic, key, newest)
        state.version = max(state.version, newest)


def _dated(row: platform.Row, era: int) -> platform.Row:
    return dataclasses.replace(row, version=store_version.join(era, row.version))


def decode_team(team: str, row: platform.Row) -> shared_settings.TeamSettings:
    """Return the settings of a team's row, which can be merged with those of other teams.

    :param team: the team.
    :param row: the row.
    :raises Exception: if the row cannot be decoded, or its settings are out of bounds.
    """
    msgspec.convert(team, settings.Name)
    subtree = msgspec.msgpack.decode(row.value, type=revisions.SubtreeRow)
    decoded = msgspec.json.decode(subtree.document, type=shared_settings.TeamSettings)
    shared = shared_settings.merge_teams({team: decoded})
    build_reports(shared)
    fault = field_types.check(build_intents(shared, row.version))
    if fault:
        raise ValueError(fault)
    return decoded


def build_intents(shared: shared_settings.SharedSettings, version: int) -> routing_table.Intents:
    """Return the routing intents for the teams' settings, with one route to each service.

    :param shared: all teams' settings.
    :param version: the version of the newest row, which becomes that of the intents.
    """
    routes = tuple(_route(name, rules) for name, rules in shared.services.items())
    services = tuple(_service(name, rules) for name, rules in shared.services.items())
    largest = max((rules.max_body_bytes for rules in shared.services.values()), default=0)
    limits = routing_table.Limits(max_body_bytes=largest or routing_table.DEFAULT_BODY_BYTES)
    links = tuple(routing_table.Link(_pair(link), link.bytes_per_s) for link in shared.links)
    known: tuple[workspaces.Workspace, ...] | msgspec.UnsetType = msgspec.UNSET
    if shared.workspaces:
        known = workspace_settings.build(shared.workspaces)
    return routing_table.Intents(version, routes, services, limits, links, known)


def _pair(link: shared_settings.Link) -> tuple[str, str]:
    first, second = link.regions
    return first, second


def build_reports(shared: shared_settings.SharedSettings) -> list[registry.ServerReport]:
    """Return a report for each server in the teams' settings.

    If a region's servers have more slots than its ``max_in_flight``, the slots of each are scaled
    down in proportion, to no less than one.

    :param shared: all teams' settings.
    """
    slots: dict[str, int] = dict.fromkeys(shared.regions, 0)
    for rules in shared.services.values():
        for server in rules.servers.values():
            slots[server.region] = slots.get(server.region, 0) + server.slots
    reports: list[registry.ServerReport] = []
    for name, rules in shared.services.items():
        for server_id, server in rules.servers.items():
            limit = shared.regions.get(server.region)
            scale = min(1.0, limit.max_in_flight / slots[server.region]) if limit else 1.0
            reports.append(_report(name, server_id, server, scale))
    return reports


def _report(
    service: str, server_id: str, server: shared_settings.Server, scale: float
) -> registry.ServerReport:
    draining = server.state == "draining"
    state = registry.ServerState.DRAINING if draining else registry.ServerState.READY
    return registry.ServerReport(
        server_id=f"{service}/{server_id}",
        service=service,
        address=f"{server.host}:{server.port}",
        region=server.region,
        zone=f"{server.region}/{server.zone}",
        slots=max(1, int(server.slots * scale)),
        state=state,
    )


def _route(name: str, rules: shared_settings.Service) -> routing_table.Route:
    by_method = [f"{method} *" for method in rules.idempotent_methods]
    return routing_table.Route(
        name=name,
        host="",
        prefix=f"/{name}/",
        idempotent=False,
        timeout_ms=rules.max_deadline_ms,
        target_latency_ms=rules.target_latency_ms,
        priority=ROUTE_PRIORITY,
        max_attempts=rules.max_attempts,
        destinations=(routing_table.Destination(name, 1.0),),
        idempotent_requests=(*by_method, *rules.idempotent_paths),
        strip_prefix=True,
        default_timeout_ms=rules.deadline_ms,
        public=True if rules.public else msgspec.UNSET,
    )


def _service(name: str, rules: shared_settings.Service) -> routing_table.Service:
    connections = min((s.connections for s in rules.servers.values()), default=1)
    splits = {**rules.split, **{region: shift.to for region, shift in rules.shifts.items()}}
    return routing_table.Service(
        name=name,
        max_connections=connections,
        cold_start_ms=0,
        cold_per_s=COLD_PER_S,
        splits=splits,
        shift_cap_ratio=rules.shift_cap_ratio,
        shift_window_ms=rules.shift_window_ms,
        max_body_bytes=rules.max_body_bytes,
    )


def _entry_change(row: platform.Row) -> facts.Change:
    entry_id = row.key.removeprefix(ENTRIES_PREFIX)
    key = facts.safe_key(entry_id)
    try:
        registration: typing.Any = msgspec.msgpack.decode(row.value, type=facts.Registration)
        if registration.entry_id != key:
            raise ValueError("the row is not that of the entry which it names")
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        reason = f"row {key}: {field_types.describe(error)}"
        return facts.unreadable_change(facts.Topic.ENTRIES, key, row.version, reason)
    return facts.Change(facts.Topic.ENTRIES, key, row.version, registration=registration)
