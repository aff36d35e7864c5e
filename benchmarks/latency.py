"""Time through an entry on loopback beside a direct call."""

from __future__ import annotations

import dataclasses
import time

import anyio
import httpcore

from sassafraslock import demo

CALLS = 400
PATH = "/entries/7"


@dataclasses.dataclass(slots=True)
class Row:
    """One way; the processor time is of all stand-ins and the caller together."""

    way: str
    p50_ms: float
    p99_ms: float
    cpu_ms: float


async def _measure() -> list[Row]:
    rows: list[Row] = []

    async def scenario(cluster: demo.Cluster) -> None:
        service, server_id = "kocar/logbook", "logbook-gorenjska-0"
        team = cluster.teams["kocar"].services["logbook"].servers[server_id]
        entry = str(cluster.entries[0].settings.caller)
        ways = {
            "direct": f"http://{team.host}:{team.port}{PATH}",
            "through an entry": f"http://{entry}/{service}{PATH}",
        }
        async with httpcore.AsyncConnectionPool() as pool:
            for way, url in ways.items():
                rows.append(await _row(pool, way, url))

    await demo.run_in_cluster(scenario)
    return rows


async def _row(pool: httpcore.AsyncConnectionPool, way: str, url: str) -> Row:
    times = []
    cpu_s = time.process_time()
    for _ in range(CALLS):
        started_s = time.perf_counter()
        response = await pool.request("GET", url)
        assert response.status == 200
        times.append((time.perf_counter() - started_s) * 1_000)
    cpu_ms = (time.process_time() - cpu_s) * 1_000 / CALLS
    times.sort()
    return Row(way, times[CALLS // 2], times[int(CALLS * 0.99)], cpu_ms)


def measure() -> list[Row]:
    """Return the direct way and the way through an entry."""
    return anyio.run(_measure)
