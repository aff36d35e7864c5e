"""Registry of backend servers, built from the server rows of the platform's store."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import enum

import xxhash

from sassafraslock import field_types
from sassafraslock.decisions import possible_restart

EVACUATION_COLD_MS = 5_000  # how long servers of a zone count as cold after its evacuation ends
JOINED_COLD_MS = 4_000  # bounds the cold time assumed of a server whose start is unknown


class ServerState(enum.StrEnum):
    """The state that a server reports in its row."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(slots=True, frozen=True)
class ServerReport:
    """The content of one server's row.

    :param slots: the server's concurrency limit.
    :param cold_ms: how much longer the server stays cold, counted from the time it wrote the row.
    :param born_ms: the time of its start, which distinguishes starts under the same id.
    :param tells_cold_time: whether the server stated ``cold_ms``, even if it is 0.
    """

    server_id: field_types.ServerId
    service: field_types.Name
    address: field_types.Address
    region: field_types.Name
    zone: field_types.Name
    slots: field_types.Slots
    state: ServerState
    cold_ms: field_types.RemainingMs = 0
    born_ms: field_types.WallMs = 0
    tells_cold_time: bool = False


@dataclasses.dataclass(slots=True)
class Server:
    """A registered server. Times are of this entry's monotonic clock.

    :param report: the latest row.
    :param first_seen_ms: when the registry got the first row with this start, service, address and
        zone.
    :param cold_until_ms: when the server stops being cold.
    :param draining: whether the server reported that it drains.
    :param held_until_ms: the time until which the server is kept although its row is gone; None
        while the row exists.
    :param restart: the evidence that this start has ended, ``None`` if there is none.
    """

    report: ServerReport
    first_seen_ms: int
    cold_until_ms: int = 0
    draining: bool = False
    held_until_ms: int | None = None
    restart: possible_restart.PossibleRestart | None = None

    @property
    def server_id(self) -> str:
        """The server's id; most starts of a server get a new one."""
        return self.report.server_id

    def is_expired(self, now_ms: int) -> bool:
        """Return whether the server's row is gone and was not written again within the hold time.

        :param now_ms: the current monotonic time.
        """
        return self.held_until_ms is not None and now_ms >= self.held_until_ms

    @property
    def region(self) -> str:
        """The region in which the server runs."""
        return self.report.region

    @property
    def is_down(self) -> bool:
        """Whether the server ended, as far as is known, and was not seen up again."""
        return self.restart is not None and self.restart.up_ms is None

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the server takes few requests only, after a start or an evacuation.

        A server that may have started again counts as cold.

        :param now_ms: the current monotonic time.
        """
        if now_ms < self.cold_until_ms:
            return True
        return self.restart is not None and self.restart.is_cold(now_ms)


def _start(report: ServerReport) -> tuple[int, str, str, str]:
    """Return what differs between two starts of a server, as a start keeps its place."""
    return report.born_ms, report.service, report.address, report.zone


def start_id(server: Server) -> str:
    """Return an id that is unique to one start of a server.

    :param server: the server.
    """
    return f"{server.server_id}@{server.report.born_ms}"


def server_id_of(start: str) -> str:
    """Return the id of the server that a start belongs to.

    :param start: the result of :func:`start_id`.
    """
    return start.rpartition("@")[0]


def start_hash(server: Server) -> int:
    """Return the 32-bit hash of :func:`start_id`, which identifies the start in gossip.

    :param server: the server.
    """
    return xxhash.xxh32_intdigest(start_id(server).encode())


class Registry:
    """Servers by id and by service, and the evacuated zones.

    ``generation`` changes whenever the set of usable servers may have changed.
    """

    __slots__ = (
        "servers",
        "evacuated_zones",
        "_by_service",
        "_usable_by_start_hash",
        "_is_stale",
        "generation",
        "_by_start_hash",
        "_by_address",
        "_indexed_generation",
        "_departing",
        "_departing_counts",
    )

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}
        self.evacuated_zones: set[str] = set()
        self.generation = 0
        self._is_stale = False
        self._by_service: dict[str, list[Server]] = {}
        self._usable_by_start_hash: dict[int, Server] = {}
        self._by_start_hash: dict[int, Server] = {}
        self._by_address: dict[str, list[Server]] = {}
        self._indexed_generation = -1
        self._departing: collections.abc.Container[int] = frozenset()
        self._departing_counts: collections.Counter[str] = collections.Counter()

    def apply_report(self, report: ServerReport, now_ms: int, joined: bool, cold_ms: int) -> None:
        """Add a server or update it.

        :param report: the server's row.
        :param now_ms: the current monotonic time.
        :param joined: whether the row is a change, rather than part of the first full read. An
            unknown server is cold only then, for at most :data:`JOINED_COLD_MS`.
        :param cold_ms: how long servers of the service are cold after a start. A new start of a
            known server that tells its own time is cold for that time.
        """
        server = self.servers.get(report.server_id)
        if server is None:
            server = self._add(report, now_ms)
            if joined:
                server.cold_until_ms = now_ms + min(cold_ms, JOINED_COLD_MS)
        elif _start(server.report) != _start(report):
            known, server = server, self._add(report, now_ms)
            # What showed the end of the former start may be newer than this row.
            server.restart = known.restart
            server.cold_until_ms = now_ms if report.tells_cold_time else now_ms + cold_ms
            if report.born_ms < known.report.born_ms:
                server.cold_until_ms = max(server.cold_until_ms, known.cold_until_ms)
        cold_until_ms = now_ms + report.cold_ms if report.cold_ms > 0 else 0
        server.cold_until_ms = max(server.cold_until_ms, cold_until_ms)
        server.report = report
        server.held_until_ms = None
        was_draining, server.draining = server.draining, report.state is ServerState.DRAINING
        if was_draining != server.draining:
            self.mark_changed()

    def _add(self, report: ServerReport, now_ms: int) -> Server:
        server = Server(report, now_ms)
        self.servers[report.server_id] = server
        self.mark_changed()
        return server

    def apply_removal(self, server_id: str, now_ms: int, hold_until_ms: int) -> bool:
        """Remove a server whose row is gone, or hold it for a while.

        :param server_id: the server.
        :param now_ms: the current monotonic time.
        :param hold_until_ms: the time until which the server is kept, because its row may have
            expired only while the store was unavailable and may be written again. A time in the
            past removes the server at once. Servers that drain or leave are never held.
        :returns: whether the server was registered.
        """
        server = self.servers.get(server_id)
        if server is None:
            return False
        is_leaving = server.draining or self._is_departing(server)
        if hold_until_ms > now_ms and not is_leaving:
            server.held_until_ms = hold_until_ms
            return True
        del self.servers[server_id]
        self.mark_changed()
        return True

    def remove_expired(self, now_ms: int) -> list[str]:
        """Remove held servers whose rows were not written again in time, and return their ids.

        :param now_ms: the current monotonic time.
        """
        expired = [
            server_id for server_id, server in self.servers.items() if server.is_expired(now_ms)
        ]
        for server_id in expired:
            del self.servers[server_id]
        if expired:
            self.mark_changed()
        return expired

    def apply_evacuation(self, zone: str, evacuated: bool, now_ms: int) -> None:
        """Start or end the evacuation of a zone.

        When it ends, the zone's servers count as cold for :data:`EVACUATION_COLD_MS`, because they
        may have become cold in the meantime.

        :param zone: the zone.
        :param evacuated: whether the servers of the zone must get no new requests.
        :param now_ms: the current monotonic time.
        """
        if evacuated:
            self.evacuated_zones.add(zone)
        else:
            self.evacuated_zones.discard(zone)
            for server in self.servers.values():
                if server.report.zone == zone:
                    cold_until_ms = now_ms + EVACUATION_COLD_MS
                    server.cold_until_ms = max(server.cold_until_ms, cold_until_ms)
        self.mark_changed()

    def usable_servers(self, service: str) -> list[Server]:
        """Return the servers of a service that may get new requests.

        These neither drain nor leave nor are in an evacuated zone. Health is not considered.

        :param service: the service; an unknown one has no servers.
        """
        self._refresh()
        return self._by_service.get(service, [])

    def usable_by_start_hash(self) -> dict[int, Server]:
        """Return the servers that may get new requests by the hashes of the ids of their starts."""
        self._refresh()
        return self._usable_by_start_hash

    def by_start_hash(self) -> dict[int, Server]:
        """Return all servers by the hashes of the ids of their starts."""
        self._index()
        return self._by_start_hash

    def servers_at(self, address: str) -> list[Server]:
        """Return the servers whose rows name an address, of which the latest start is alive.

        :param address: the IP address and port.
        """
        self._index()
        return self._by_address.get(address, [])

    def _index(self) -> None:
        if self._indexed_generation == self.generation:
            return
        self._indexed_generation = self.generation
        self._by_start_hash = {start_hash(s): s for s in self.servers.values()}
        self._by_address = {}
        for server in self.servers.values():
            self._by_address.setdefault(server.report.address, []).append(server)

    def exclude(self, departing: collections.abc.Container[int]) -> None:
        """Leave out starts of servers that leave, whatever their rows say.

        :param departing: the hashes of the ids of these starts; :meth:`mark_changed` is called
            whenever it has changed.
        """
        self._departing = departing

    def departing_count(self, service: str) -> int:
        """Return how many servers of a service are left out since they leave.

        :param service: the service.
        """
        self._refresh()
        return self._departing_counts[service]

    def _refresh(self) -> None:
        if self._is_stale:
            self._is_stale = False
            self._rebuild()

    def mark_changed(self) -> None:
        """Take up a change of which servers are usable."""
        self.generation += 1
        self._is_stale = True

    def _rebuild(self) -> None:
        self._by_service = {}
        self._usable_by_start_hash = {}
        self._departing_counts.clear()
        latest_start_ms = self._latest_start_ms()
        for server in self.servers.values():
            if not self._is_usable(server, latest_start_ms):
                continue
            if self._is_departing(server):
                self._departing_counts[server.report.service] += 1
            else:
                self._by_service.setdefault(server.report.service, []).append(server)
                self._usable_by_start_hash[start_hash(server)] = server

    def _is_departing(self, server: Server) -> bool:
        """Return whether a server said that it leaves, whether or not its row does."""
        return start_hash(server) in self._departing

    def _latest_start_ms(self) -> dict[str, int]:
        """Return the time of the latest start at each address."""
        latest_ms: dict[str, int] = {}
        for server in self.servers.values():
            report = server.report
            latest_ms[report.address] = max(report.born_ms, latest_ms.get(report.address, 0))
        return latest_ms

    def _is_usable(self, server: Server, latest_start_ms: dict[str, int]) -> bool:
        """Return whether a server may get new requests.

        An address is reused only after its server ended, so of two servers at one address only
        the one that started later is alive.
        """
        report = server.report
        if server.draining or report.zone in self.evacuated_zones:
            return False
        return report.born_ms >= latest_start_ms[report.address]
