"""Which servers may have started again, by what this entry saw and what peers tell it."""

from __future__ import annotations

import dataclasses
import enum
import heapq
import typing

import msgspec
import xxhash

from sassafraslock import field_types
from sassafraslock.decisions import possible_restart, registry

# Peers tell the time of an end with the delays of their messages. What contradicts it has to be
# earlier or later by as much.
CONNECTION_MARGIN_MS = 1_000
MESSAGE_DELAY_MS = 300
SHARED_FOR_MS = 4_000  # long enough for several gossip rounds, since datagrams may be lost
MAX_REPORTS = 96  # per gossip message
MAX_OBSERVATIONS = 4_096
# Between two ticks, this entry's clock advances by less unless it was paused. A shorter pause makes
# rows no older than the reads of the store do.
PAUSE_MS = 1_500
# For so long after a pause, rows of new starts may not have been written or read yet.
OUTDATED_MS = 1_000
# Messages that waited in the socket through a pause are older than they tell.
LATE_MESSAGES_MS = 200


class Finding(enum.IntEnum):
    """What an entry observed of a start of a server."""

    ENDED = 0  # the start has ended
    UP = 1  # a server accepted a connection after the end
    WARM = 2  # the server is warm, or it is known when it will be
    SUSPECTED = 3  # this entry's connections to the server ended, or none can be opened


class RestartReport(msgspec.Struct, frozen=True, array_like=True):
    """An observation of a server, as entries send it to each other.

    :param observation_id: identifies the observation, however many entries pass it on.
    :param server_hash: the hash of the server's id.
    :param born_ms: the start of the server that the observer knew.
    :param age_ms: how long ago it was observed.
    :param warm_in_ms: for :attr:`Finding.WARM`, the time until the server is warm, at its age.
    """

    observation_id: field_types.Hash32
    server_hash: field_types.Hash32
    born_ms: field_types.WallMs
    finding: Finding
    age_ms: field_types.AgeMs
    warm_in_ms: field_types.DurationMs = 0


@dataclasses.dataclass(slots=True)
class _Observation:
    """A report with the local time of what was observed, and how many messages held it."""

    report: RestartReport
    at_ms: int
    sent_count: int = 0

    @property
    def urgency(self) -> tuple[bool, int, int]:
        """The key that orders reports: ends first, then those sent least often, the latest."""
        return self.report.finding is not Finding.ENDED, self.sent_count, -self.at_ms


@dataclasses.dataclass(slots=True)
class Merged:
    """What the reports of another entry changed.

    :param suspected: servers that did not count as possibly restarted before.
    :param to_check: servers of which a peer has weak evidence, to be asked for their cold time.
    """

    suspected: list[registry.Server] = dataclasses.field(default_factory=list)
    to_check: list[registry.Server] = dataclasses.field(default_factory=list)


def server_hash(server_id: str) -> int:
    """Return the 32-bit hash of a server's id, which is the same for all of its starts.

    :param server_id: the server.
    """
    return xxhash.xxh32_intdigest(server_id.encode())


class ServerRestarts:
    """Records which servers may have started again, and shares what this entry observed.

    A start that may have ended counts as ended until something newer shows otherwise. The record
    is kept in :attr:`registry.Server.restart`.

    ``cold_start_ms`` returns how long servers of a service are cold after a start.
    ``connected_before`` returns whether this entry has a connection to an address that was open
    at a given time already. ``on_observed`` is called if this entry has something new to tell.
    """

    __slots__ = (
        "cold_start_ms",
        "connected_before",
        "on_observed",
        "_own_id",
        "_registry",
        "_observed_count",
        "_observations",
        "_ticked_ms",
        "_resumed_ms",
        "_by_hash",
        "_indexed_generation",
    )

    def __init__(self, own_id: str, servers: registry.Registry) -> None:
        self.cold_start_ms: typing.Callable[[str], int] = lambda service: 0
        self.connected_before: typing.Callable[[str, int], bool] = lambda address, at_ms: True
        self.on_observed: typing.Callable[[], None] = lambda: None
        self._own_id = own_id
        self._registry = servers
        self._observed_count = 0
        self._observations: dict[int, _Observation] = {}
        self._ticked_ms: int | None = None
        self._resumed_ms: int | None = None
        self._by_hash: dict[int, registry.Server] = {}
        self._indexed_generation = -1

    def is_cold(self, server: registry.Server, now_ms: int) -> bool:
        """Return whether a server is cold, or may be as far as this entry knows.

        :param server: the server.
        :param now_ms: the current monotonic time.
        """
        return server.is_cold(now_ms) or self._may_be_outdated(server, now_ms)

    def current(self, server: registry.Server) -> registry.Server | None:
        """Return the present start of a server, ``None`` if its row is gone.

        :param server: any start of the server.
        """
        return self._registry.servers.get(server.server_id)

    def _may_be_outdated(self, server: registry.Server, now_ms: int) -> bool:
        """Return whether the server may have started again in a pause of this entry.

        A connection from before the pause shows that it did not.
        """
        resumed_ms = self._resumed_ms
        if self._ticked_ms is not None and now_ms - self._ticked_ms >= PAUSE_MS:
            resumed_ms = now_ms
        if resumed_ms is None or now_ms - resumed_ms >= OUTDATED_MS:
            return False
        return not self.connected_before(server.report.address, resumed_ms)

    def tick(self, now_ms: int) -> bool:
        """Note the time, from which a pause of this entry is seen; call it regularly.

        :param now_ms: the current monotonic time.
        :returns: whether this entry was paused since the last call.
        """
        was_paused = self._ticked_ms is not None and now_ms - self._ticked_ms >= PAUSE_MS
        self._ticked_ms = now_ms
        if was_paused:
            self._resumed_ms = now_ms
        return was_paused

    def record_end(
        self,
        server: registry.Server,
        evidence: possible_restart.Evidence,
        now_ms: int,
        idle_ms: int = 0,
    ) -> bool:
        """Record that this entry saw evidence that a server's start has ended.

        Peers are told of a refused connection as an end. Other evidence may come from the network,
        so that they are only told to ask the server.

        :param server: the server.
        :param evidence: what it saw.
        :param now_ms: the current monotonic time.
        :param idle_ms: how long the last connection was idle, if it ended.
        :returns: whether the server did not count as possibly restarted before.
        """
        is_new = self._suspect(server, evidence, now_ms)
        if server.restart is not None and is_new:
            server.restart.idle_ms = idle_ms
        if evidence is possible_restart.Evidence.REFUSED:
            self._tell_of_end(server, now_ms)
        elif is_new:
            self._observe(server, Finding.SUSPECTED, now_ms, 0)
        return is_new

    def _tell_of_end(self, server: registry.Server, now_ms: int) -> None:
        """Tell peers that a server has ended, again now and then while it is not up."""
        restart = server.restart
        if restart is not None and now_ms - restart.told_ms >= SHARED_FOR_MS // 2:
            restart.told_ms = now_ms
            self._observe(server, Finding.ENDED, now_ms, 0)

    def record_up(self, server: registry.Server, now_ms: int) -> bool:
        """Record that a server accepted a connection, so that it started before now.

        :param server: the server.
        :param now_ms: the current monotonic time.
        :returns: whether it counted as ended.
        """
        if not _mark_up(server, now_ms):
            return False
        self._observe(server, Finding.UP, now_ms, 0)
        return True

    def record_start(self, server: registry.Server, now_ms: int) -> None:
        """Record that a server's row tells of a new start, which peers may not have read yet.

        :param server: the server with its new row.
        :param now_ms: the current monotonic time.
        """
        self._observe(server, Finding.WARM, now_ms, max(0, server.cold_until_ms - now_ms))

    def record_warm_in(self, server: registry.Server, warm_in_ms: int, now_ms: int) -> None:
        """Record a server's own word of how long it stays cold.

        :param server: the server.
        :param warm_in_ms: the remaining time, 0 if it is warm.
        :param now_ms: when it was asked.
        """
        _mark_warm(server, now_ms, now_ms + warm_in_ms)
        self._observe(server, Finding.WARM, now_ms, warm_in_ms)

    def record_answer(self, server: registry.Server, opened_ms: int) -> bool:
        """Record an answer on an old connection, whose server has not ended since it was opened.

        :param server: the server.
        :param opened_ms: when the connection was opened.
        :returns: whether the server counted as possibly restarted.
        """
        restart = server.restart
        if restart is None or restart.ended_ms - opened_ms < CONNECTION_MARGIN_MS:
            return False
        server.restart = None
        return True

    def _suspect(
        self, server: registry.Server, evidence: possible_restart.Evidence, ended_ms: int
    ) -> bool:
        known = server.restart
        if known is not None and known.up_ms is None:
            known.ended_ms = max(known.ended_ms, ended_ms)
            return False
        if known is not None and known.up_ms is not None and ended_ms <= known.up_ms:
            return False  # what was seen up is later than this end
        cold_ms = self.cold_start_ms(server.report.service)
        server.restart = possible_restart.PossibleRestart(ended_ms, evidence, cold_ms)
        return True

    def _observe(
        self, server: registry.Server, finding: Finding, now_ms: int, warm_in_ms: int
    ) -> None:
        self._observed_count += 1
        name = f"{self._own_id}|{now_ms}|{self._observed_count}"
        report = RestartReport(
            xxhash.xxh32_intdigest(name.encode()),
            server_hash(server.server_id),
            server.report.born_ms,
            finding,
            0,
            min(warm_in_ms, field_types.MAX_DURATION_S * 1_000),
        )
        self._remember(report, now_ms)
        self.on_observed()

    def _remember(self, report: RestartReport, at_ms: int) -> bool:
        """Keep a report to pass it on, unless there are too many."""
        if len(self._observations) >= MAX_OBSERVATIONS:
            return False
        self._observations[report.observation_id] = _Observation(report, at_ms)
        return True

    def recent_reports(self, now_ms: int) -> list[RestartReport]:
        """Return the latest observation of each kind and server to send, in turn, ends first.

        :param now_ms: the current monotonic time.
        """
        oldest_ms = now_ms - SHARED_FOR_MS
        recent = [o for o in self._observations.values() if o.at_ms > oldest_ms]
        recent.sort(key=lambda observation: observation.at_ms)
        latest = {(o.report.server_hash, o.report.finding): o for o in recent}
        chosen = heapq.nsmallest(MAX_REPORTS, latest.values(), key=lambda o: o.urgency)
        for observation in chosen:
            observation.sent_count += 1
        return [
            msgspec.structs.replace(o.report, age_ms=field_types.age_ms(o.at_ms, now_ms))
            for o in chosen
        ]

    def merge_reports(self, reports: list[RestartReport], now_ms: int) -> Merged:
        """Merge what other entries observed; each observation counts once.

        Those of unregistered servers are ignored, as are, right after a pause of this entry, those
        that say that a server is up or warm.

        :param reports: the observations.
        :param now_ms: the current monotonic time.
        """
        merged = Merged()
        self._discard_old(now_ms)
        is_late = self._resumed_ms is not None and now_ms - self._resumed_ms < LATE_MESSAGES_MS
        for report in sorted(reports, key=lambda r: (r.age_ms, r.finding), reverse=True):
            server = self._servers_by_hash().get(report.server_hash)
            is_known = report.observation_id in self._observations
            if server is None or is_known or report.age_ms >= SHARED_FOR_MS:
                continue
            if is_late and report.finding in (Finding.UP, Finding.WARM):
                continue
            at_ms = now_ms - report.age_ms
            if self._remember(report, at_ms) and _may_concern(server, report, at_ms):
                self._apply(server, report, at_ms, merged)
        return merged

    def _apply(
        self, server: registry.Server, report: RestartReport, at_ms: int, merged: Merged
    ) -> None:
        if report.finding is Finding.SUSPECTED:
            merged.to_check.append(server)
            return
        is_unknown_start = report.born_ms > server.report.born_ms
        shows_end = report.finding is Finding.ENDED or is_unknown_start
        if shows_end and self._suspect(server, possible_restart.Evidence.PEER, at_ms):
            merged.suspected.append(server)
        delay_ms = 0 if is_unknown_start else MESSAGE_DELAY_MS
        if report.finding is Finding.UP:
            _mark_up(server, at_ms, delay_ms)
        elif report.finding is Finding.WARM:
            _mark_warm(server, at_ms, at_ms + report.warm_in_ms, delay_ms)

    def _discard_old(self, now_ms: int) -> None:
        oldest_ms = now_ms - 2 * SHARED_FOR_MS
        if any(o.at_ms <= oldest_ms for o in self._observations.values()):
            self._observations = {
                i: o for i, o in self._observations.items() if o.at_ms > oldest_ms
            }

    def _servers_by_hash(self) -> dict[int, registry.Server]:
        if self._indexed_generation != self._registry.generation:
            self._indexed_generation = self._registry.generation
            servers = self._registry.servers
            self._by_hash = {server_hash(i): server for i, server in servers.items()}
        return self._by_hash


def _may_concern(server: registry.Server, report: RestartReport, at_ms: int) -> bool:
    """Return whether a report is of the known start of a server, or of a later one.

    An observer that does not know the present start may have seen its end all the same.
    """
    if report.born_ms >= server.report.born_ms:
        return True
    is_later = at_ms > server.first_seen_ms + CONNECTION_MARGIN_MS
    return is_later and report.finding in (Finding.ENDED, Finding.SUSPECTED)


def _mark_up(server: registry.Server, at_ms: int, delay_ms: int = 0) -> bool:
    restart = server.restart
    if restart is None or restart.up_ms is not None or at_ms < restart.ended_ms + delay_ms:
        return False
    restart.up_ms = at_ms
    return True


def _mark_warm(server: registry.Server, said_ms: int, warm_at_ms: int, delay_ms: int = 0) -> None:
    restart = server.restart
    if restart is None:
        server.cold_until_ms = max(server.cold_until_ms, warm_at_ms)
    elif said_ms >= restart.ended_ms + delay_ms:
        restart.up_ms = said_ms if restart.up_ms is None else restart.up_ms
        restart.warm_at_ms = warm_at_ms
