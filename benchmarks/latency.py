"""Latency through an entry beside direct calls to the same backend server, on loopback."""

from __future__ import annotations

import dataclasses
import time

import anyio
import httpcore
import msgspec
import uuid6

from sassafraslock import asgi, entry, kernel, platform, settings, shared_settings
from sassafraslock.decisions import revisions
from sassafraslock.standin import backend, platform_api
from sassafraslock.standin import platform as standin

HOST = "127.0.0.1"
PORT = 22_800
REQUESTS = 300
CALLERS = 2
WORK_MS = 20
SERVICE = "kocar/logbook"


@dataclasses.dataclass(slots=True)
class Line:
    """One way's latency and, for an entry, its ratio to direct calls and its CPU."""

    way: str
    p50_ms: float
    p99_ms: float
    p50_ratio: float
    p99_ratio: float
    cpu_above_direct_ms: float
    cpu_with_caller_ms: float


def _settings() -> settings.Settings:
    return settings.Settings(
        "entry-1", "gorenjska", "a",
        settings.Address(HOST, PORT), settings.Address(HOST, PORT + 1),
        settings.Operator(HOST, PORT + 2, "bench-token"),
        settings.Platform(HOST, PORT + 3, "gorenjska"), "bench-token",
    )  # fmt: skip


def _accept(memory: standin.MemoryPlatform) -> None:
    server = shared_settings.Server("gorenjska", "a", HOST, PORT + 4, slots=12)
    teams = {
        "system": shared_settings.TeamSettings(
            regions={"gorenjska": shared_settings.Region(12)}, claims=shared_settings.Claims()
        ),
        "kocar": shared_settings.TeamSettings(
            {"logbook": shared_settings.Service({"logbook-1": server})}
        ),
    }
    for team, subtree in teams.items():
        row = revisions.SubtreeRow(1, team, msgspec.json.encode(subtree))
        put = platform.Put(revisions.settings_key(team), msgspec.msgpack.encode(row))
        memory.apply(platform.Transaction(puts=[put]))


async def _send(url: str, filing: bool) -> tuple[list[float], float]:
    """Send all requests and return the times and the CPU used per request."""
    took_ms: list[float] = []
    cpu_s = time.process_time()

    async def one(count: int) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            for _ in range(count):
                headers = {"sassafraslock-key": str(uuid6.uuid7())} if filing else {}
                method = "POST" if filing else "GET"
                started_s = time.perf_counter()
                response = await pool.request(method, url, headers=headers, content=b"")
                if response.status != 200:
                    raise RuntimeError(f"{url} answered {response.status}")
                took_ms.append((time.perf_counter() - started_s) * 1000)

    async with anyio.create_task_group() as group:
        for _ in range(CALLERS):
            group.start_soon(one, REQUESTS // CALLERS)
    return sorted(took_ms), (time.process_time() - cpu_s) / REQUESTS


async def _measure() -> list[Line]:
    memory = standin.MemoryPlatform()
    _accept(memory)
    faulty = standin.FaultyPlatform(memory, standin.Faults(), 1)
    core = kernel.Kernel()
    core.register("platform", asgi.HttpServer(platform_api.PlatformApp(faulty), HOST, PORT + 3))
    server = backend.BackendServer("logbook-1", 12, HOST, PORT + 4, backend.Usage())
    server.behaviour.work_ms = WORK_MS
    core.register("server", server)
    one = entry.Entry(_settings())
    async with anyio.create_task_group() as group:
        group.start_soon(core.run, 1_000)
        group.start_soon(one.run)
        await anyio.sleep(3)
        ways = {
            "direct read": (f"http://{HOST}:{PORT + 4}/huts/7", False),
            "read through an entry": (f"http://{HOST}:{PORT}/{SERVICE}/huts/7", False),
            "look-up": (f"http://{HOST}:{PORT}/entries?service={SERVICE}", False),
            "direct filing": (f"http://{HOST}:{PORT + 4}/filings", True),
            "filing through an entry": (f"http://{HOST}:{PORT}/{SERVICE}/filings", True),
        }
        found = {way: await _send(*asked) for way, asked in ways.items()}
        group.cancel_scope.cancel()
    return [_line(way, found) for way in found]


def _line(way: str, found: dict[str, tuple[list[float], float]]) -> Line:
    direct = found["direct filing" if "filing" in way else "direct read"]
    took_ms, cpu_s = found[way]
    p50_ms, p99_ms = took_ms[len(took_ms) // 2], took_ms[len(took_ms) * 99 // 100]
    direct_ms, _ = direct
    return Line(
        way,
        p50_ms,
        p99_ms,
        p50_ms / direct_ms[len(direct_ms) // 2],
        p99_ms / direct_ms[len(direct_ms) * 99 // 100],
        (cpu_s - direct[1]) * 1000,
        cpu_s * 1000,
    )


def measure() -> list[Line]:
    """Return a row for each way."""
    return anyio.run(_measure)
