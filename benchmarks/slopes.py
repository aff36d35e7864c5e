"""What state and decisions cost by size: memory, processor time, bytes."""

from __future__ import annotations

import dataclasses
import logging
import time
import tracemalloc
import typing

import msgspec

from sassafraslock import facts, logs, routing_table
from sassafraslock.decisions import (
    candidates,
    client_blocks,
    cold_start,
    placement,
    registry,
    roster,
)
from sassafraslock.services import directory, log_writer, routing_state, store_export

SIZES = (30, 300, 3_000)
CALLS = 2_000


@dataclasses.dataclass(slots=True)
class Row:
    """One figure at one size."""

    what: str
    size: int
    value: float
    unit: str


class _Alone:
    """The view of an entry that is alone."""

    def live_ids(self, region: str = "") -> list[str]:
        """Return the one entry's id.

        :param region: no matter here.
        """
        return ["e"]

    def known_ids(self, region: str = "") -> list[str]:
        """Return the one entry's id.

        :param region: no matter here.
        """
        return ["e"]


def _micros(call: typing.Callable[[int], object], calls: int = CALLS) -> float:
    started_s = time.process_time()
    for number in range(calls):
        call(number)
    return (time.process_time() - started_s) * 1e6 / calls


def _report(number: int) -> registry.ServerReport:
    return registry.ServerReport(
        f"i-{number:08x}", "logbook", f"10.1.{number >> 8}.{number & 255}:8080", "r", "r-a", 3,
        registry.ServerState.READY,
    )  # fmt: skip


def _change(number: int, version: int) -> facts.Change:
    report = _report(number)
    return facts.Change(facts.Topic.SERVERS, report.server_id, version, report=report)


def _registry_rows(size: int) -> list[Row]:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    state = routing_state.RoutingState(registry.Registry(), roster.Roster("e"))
    for number in range(size):
        state.apply(_change(number, number + 1), True, 0)
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    again = _micros(lambda n: state.apply(_change(n % size, size + n + 1), False, 0))
    return [
        Row("memory of a server's row", size, kept / size, "bytes"),
        Row("a server's row taken in again", size, again, "us"),
    ]


def _placement_rows(size: int) -> list[Row]:
    servers = registry.Registry()
    for number in range(size):
        servers.apply_report(_report(number), 0, False, 0)
    placer = placement.Placer("r", servers, _Alone(), cold_start.ColdStartLimiter("e", 1.5, 5.0))
    to = (routing_table.Destination("logbook", 1.0),)
    route = routing_table.Route("r", "h", "/", True, 2_000, 400, 1, 2, to, sticky=True)
    service = routing_table.Service("logbook", 330, 0, 5.0)

    def place(key: str) -> object:
        return placer.place(candidates.PlacementRequest(route, service, key, 2_000, True), 0)

    return [
        Row("choice for a new object", size, _micros(lambda n: place(str(n)), 300), "us"),
        Row("choice for a known object", size, _micros(lambda n: place(str(n % 100))), "us"),
    ]


def _export_rows(size: int) -> list[Row]:
    changes = [_change(number, number + 1) for number in range(size)]
    raw = msgspec.msgpack.encode(store_export.Export({"servers": size}, changes))
    return [Row("a whole copy for a peer", size, float(len(raw)), "bytes")]


def _directory_rows(size: int) -> list[Row]:
    candidates = [
        directory.Candidate(f"e{n}", f"10.0.0.{n}:80", f"z{n % 32}", f"r{n % 16}")
        for n in range(size)
    ]
    found = _micros(lambda n: directory.choose(candidates, f"z{n % 32}", f"r{n % 16}"), 500)
    return [Row("a look-up at the directory", size, found, "us")]


def _block_rows() -> list[Row]:
    blocks = [client_blocks.Block(n << 8, (n << 8) + 255, n % 910) for n in range(1 << 16)]
    table = client_blocks.ClientBlocks()
    table.sites = [f"r/{n}" for n in range(910)]
    tracemalloc.start()
    for part, raw in client_blocks.pack(client_blocks.build(blocks)).items():
        table.install(part, raw)
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        Row("memory of a client block", len(blocks), kept / len(blocks), "bytes"),
        Row("a look-up of a block", len(blocks), _micros(lambda n: table.site_of(n << 10)), "us"),
    ]


def _log_rows() -> list[Row]:
    handler = log_writer.BufferedLogHandler()
    handler.setFormatter(logs.JsonFormatter())
    attempt = {"server": "i-7f3a91c2", "load": 1.5, "verdict": "answered"}
    fields = {"request": "9c41d07be2a35f68", "service": "logbook", "attempts": [attempt]}
    record = logging.LogRecord("x", logging.INFO, "", 0, "answered", (), None)
    record.__dict__["fields"] = fields
    took = _micros(lambda n: handler.emit(record))
    return [
        Row("a request's log line", 1, took, "us"),
        Row("a request's log line", 1, float(len(handler.format(record))), "bytes"),
    ]


def measure() -> list[Row]:
    """Return all figures."""
    rows: list[Row] = []
    for part in (_registry_rows, _placement_rows, _export_rows, _directory_rows):
        for size in SIZES:
            rows += part(size)
    return rows + _block_rows() + _log_rows()
