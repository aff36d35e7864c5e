"""Registry of backend servers as the platform's store tells of them."""

from __future__ import annotations

import dataclasses
import enum

EVACUATION_COLD_MS = 5_000
RESTART_COLD_MS = 4_000


class ServerState(enum.StrEnum):
    """What a server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(slots=True, frozen=True)
class ServerReport:
    """What one server wrote of itself.

    ``born_ms`` tells one start from the next under the same id; ``cold_ms`` is how much longer
    the server stays slow, counted from the writing.
    """

    server_id: str
    service: str
    address: str
    region: str
    zone: str
    slots: int
    state: ServerState
    cold_ms: int = 0
    born_ms: int = 0


@dataclasses.dataclass(slots=True)
class Server:
    """A server with what this entry worked out about it. Times are of the steady clock."""

    report: ServerReport
    first_seen_ms: int
    cold_until_ms: int = 0
    draining: bool = False
    held_until_ms: int | None = None

    @property
    def server_id(self) -> str:
        """The server's id, new at most starts."""
        return self.report.server_id

    def is_expired(self, now_ms: int) -> bool:
        """Tell whether the server's row went and was not written again in its time.

        :param now_ms: the present time.
        """
        return self.held_until_ms is not None and now_ms >= self.held_until_ms

    @property
    def region(self) -> str:
        """The region that the server stands in."""
        return self.report.region

    def is_cold(self, now_ms: int) -> bool:
        """Tell whether the server still tolerates few requests only.

        :param now_ms: the present time.
        """
        return now_ms < self.cold_until_ms


def _place(report: ServerReport) -> tuple[str, str, str]:
    return report.service, report.address, report.zone


def start_id(server: Server) -> str:
    """Return a name for one start of a server.

    :param server: the server.
    """
    return f"{server.server_id}@{server.report.born_ms}"


class Registry:
    """Servers by id and service, evacuated zones, and entries that lapsed with the store."""

    __slots__ = ("servers", "evacuated_zones", "_by_service", "_stale", "generation")

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}
        self.evacuated_zones: set[str] = set()
        self.generation = 0
        self._stale = False
        self._by_service: dict[str, list[Server]] = {}

    def apply_report(self, report: ServerReport, now_ms: int, joined: bool, cold_ms: int) -> None:
        """Take in what a server says.

        :param report: its row.
        :param now_ms: the present time.
        :param joined: whether the row is a change, not part of the first full read.
        :param cold_ms: the service's cold time after a start.
        """
        known = self.servers.get(report.server_id)
        if known is None or known.report.born_ms != report.born_ms:
            known = self._add(report, now_ms)
            if joined:
                known.cold_until_ms = now_ms + min(cold_ms, RESTART_COLD_MS)
        elif _place(known.report) != _place(report):
            known = self._add(report, now_ms)
        cold_until_ms = now_ms + report.cold_ms if report.cold_ms > 0 else 0
        known.cold_until_ms = max(known.cold_until_ms, cold_until_ms)
        known.report = report
        known.held_until_ms = None
        was_draining, known.draining = known.draining, report.state is ServerState.DRAINING
        if was_draining != known.draining:
            self._note_change()

    def _add(self, report: ServerReport, now_ms: int) -> Server:
        server = Server(report, now_ms)
        self.servers[report.server_id] = server
        self._note_change()
        return server

    def apply_removal(self, server_id: str, now_ms: int, hold_until_ms: int) -> bool:
        """Take in that a server's row is gone.

        :param server_id: the server.
        :param now_ms: the present time.
        :param hold_until_ms: until when the row may be written again, since it may just have
            lapsed while the store was away; a time that has passed where it was not.
        :returns: whether the server is known.
        """
        server = self.servers.get(server_id)
        if server is None:
            return False
        if hold_until_ms > now_ms and not server.draining:
            server.held_until_ms = hold_until_ms
            return True
        del self.servers[server_id]
        self._note_change()
        return True

    def expire_lapsed(self, now_ms: int) -> list[str]:
        """Drop servers whose rows lapsed and did not come back, and return their ids.

        :param now_ms: the present time.
        """
        gone = [
            server_id for server_id, server in self.servers.items() if server.is_expired(now_ms)
        ]
        for server_id in gone:
            del self.servers[server_id]
        if gone:
            self._note_change()
        return gone

    def apply_evacuation(self, zone: str, evacuated: bool, now_ms: int) -> None:
        """Take in that a zone is to be emptied, or is taken back.

        Its servers may have become cold meanwhile.

        :param zone: the zone.
        :param evacuated: whether its servers are to get nothing.
        :param now_ms: the present time.
        """
        if evacuated:
            self.evacuated_zones.add(zone)
        else:
            self.evacuated_zones.discard(zone)
            for server in self.servers.values():
                if server.report.zone == zone:
                    cold_until_ms = now_ms + EVACUATION_COLD_MS
                    server.cold_until_ms = max(server.cold_until_ms, cold_until_ms)
        self._note_change()

    def usable_servers(self, service: str) -> list[Server]:
        """Return the servers of a service that may get new work.

        :param service: the service.
        """
        if self._stale:
            self._stale = False
            self._rebuild()
        return self._by_service.get(service, [])

    def _note_change(self) -> None:
        self.generation += 1
        self._stale = True

    def _rebuild(self) -> None:
        self._by_service = {}
        last_born_ms = self._last_born_ms()
        for server in self.servers.values():
            if self._may_be_used(server, last_born_ms):
                self._by_service.setdefault(server.report.service, []).append(server)

    def _last_born_ms(self) -> dict[str, int]:
        """Return the latest start at each address."""
        found: dict[str, int] = {}
        for server in self.servers.values():
            report = server.report
            found[report.address] = max(report.born_ms, found.get(report.address, 0))
        return found

    def _may_be_used(self, server: Server, last_born_ms: dict[str, int]) -> bool:
        """Tell whether a server may get new work.

        An address is given away after its server's end, so of two servers the later one lives.
        """
        report = server.report
        if server.draining or report.zone in self.evacuated_zones:
            return False
        return report.born_ms >= last_born_ms[report.address]
