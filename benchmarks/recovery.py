"""Times of drain, stop, configuration and recovery, by whole entries on virtual time."""

from __future__ import annotations

import dataclasses
import typing

import anyio
import pytest

from sassafraslock import platform
from tests import load
from tests import world as virtual

DRAIN_AT_S = 2.15  # early in the interval of reports, so that the next one is far off
RULES = {"deadline_ms": 2_000, "max_deadline_ms": 3_000}


@dataclasses.dataclass(slots=True)
class Line:
    """One event and the time until it was over."""

    firm: str
    what: str
    took_ms: int


@dataclasses.dataclass(slots=True)
class Firm:
    """The delays of a firm as the brief gives them."""

    name: str
    zone_ms: float
    region_ms: float


FIRMS = [Firm("kocar", 1.5, 55.0), Firm("pryce", 1.0, 20.0)]


async def _until(done: typing.Callable[[], typing.Awaitable[bool]], limit_s: float = 120) -> int:
    started_ms = virtual.virtual_ms()
    with anyio.fail_after(limit_s):
        while not await done():
            await anyio.sleep(0.02)
    return virtual.virtual_ms() - started_ms


async def _answers(world: virtual.World, entry_id: str, method: str) -> bool:
    more = {"key": virtual.new_key(virtual.virtual_wall_ms())} if method == "POST" else {}
    return (
        virtual.kind_of(await world.request(entry_id, virtual.SERVICE, method, **more))
        == "answered"
    )


async def _drain(world: virtual.World, source: str) -> int:
    victim = world.servers["logbook-r1-0"]
    callers = load.Load(world, virtual.SERVICE, "r1", rate_per_s=60)
    started_ms = 0

    async def drain() -> None:
        nonlocal started_ms
        await anyio.sleep(DRAIN_AT_S)
        started_ms = virtual.virtual_ms()
        if source == "own signal":
            victim.draining = True
        elif source == "VM list":
            world.memory.vms[victim.server_id] = platform.Vm(victim.server_id, leaving=True)
        else:
            config = world.part("r2-0", "settings")
            document = config.document("kocar")
            document["services"]["logbook"]["servers"][victim.server_id]["state"] = "draining"
            revision = config.revisions.in_force["kocar"]
            await config.put("kocar", document, revision, "bench", 0)

    async with anyio.create_task_group() as group:
        group.start_soon(drain)
        await callers.run(7)
    return max(0, victim.last_start_ms - started_ms)


async def _stop(world: virtual.World) -> int:
    leaving = world.entries["r1-1"]
    leaving.kernel.request_stop()

    async def gone() -> bool:
        return bool(leaving.kernel.find("steward").gone)

    return await _until(gone)


async def _in_force(world: virtual.World) -> int:
    config = world.part("r2-0", "settings")
    document = config.document("kocar")
    document["services"]["logbook"]["deadline_ms"] = 1999
    accepted = await config.put("kocar", document, 1, "bench", 0)

    async def everywhere() -> bool:
        return all(
            world.part(e, "settings").revisions.in_force["kocar"] >= accepted.revision
            for e in world.entries
        )

    return await _until(everywhere)


async def _store_back(world: virtual.World) -> int:
    world.faulty.faults.down = True
    await anyio.sleep(30)
    world.faulty.faults.down = False
    return await _until(lambda: _answers(world, "r3-0", "POST"))


async def _owner_killed(world: virtual.World) -> int:
    for entry_id in [e for e in world.entries if world.part(e, "claims").logs]:
        world.kill(entry_id)
    return await _until(lambda: _answers(world, "r3-0", "POST"))


async def _all_restart(world: virtual.World) -> int:
    world.faulty.faults.down = True
    for entry_id in list(world.entries):
        world.kill(entry_id)
        world.start(entry_id)
    await anyio.sleep(20)
    world.faulty.faults.down = False

    async def all_answer() -> bool:
        return all([await _answers(world, e, "POST") for e in world.entries])

    return await _until(all_answer)


async def _replaced(world: virtual.World) -> int:
    for entry_id in [e for e in world.entries if e.startswith("r2")]:
        world.kill(entry_id, vm_gone=True)
    for number in range(3):
        world._add_process("r2", f"r2-new-{number}")
        world.start(f"r2-new-{number}")

    async def all_answer() -> bool:
        return all([await _answers(world, f"r2-new-{n}", "GET") for n in range(3)])

    return await _until(all_answer)


async def _region_back(world: virtual.World) -> int:
    away = [e for e in world.entries if e.startswith("r3")]
    world.network.cut = {frozenset((a, b)) for a in away for b in world.entries if b not in away}
    world.no_store.update(away)
    await anyio.sleep(60)
    world.network.cut = set()
    world.no_store.clear()
    return await _until(lambda: _answers(world, "r3-0", "POST"))


EVENTS: dict[str, typing.Callable[[virtual.World], typing.Awaitable[int]]] = {
    "drain by intent: last new work": lambda w: _drain(w, "intent"),
    "drain by VM list: last new work": lambda w: _drain(w, "VM list"),
    "drain by own signal: last new work": lambda w: _drain(w, "own signal"),
    "graceful stop of an entry": _stop,
    "configuration in force at 9 entries": _in_force,
    "store back after 30 s: filings again": _store_back,
    "claim owners killed: filings again": _owner_killed,
    "all restart in an outage: all serve": _all_restart,
    "region's entries replaced: all serve": _replaced,
    "region back after 60 s: filings again": _region_back,
}


def measure() -> list[Line]:
    """Return a row for each firm and event."""
    lines: list[Line] = []
    for firm in FIRMS:
        for what, event in EVENTS.items():

            async def scenario(
                world: virtual.World,
                firm: Firm = firm,
                what: str = what,
                event: typing.Callable[[virtual.World], typing.Awaitable[int]] = event,
            ) -> None:
                world.network.zone_ms, world.network.region_ms = firm.zone_ms, firm.region_ms
                await virtual.build(world, **RULES)
                lines.append(Line(firm.name, what, await event(world)))

            with pytest.MonkeyPatch.context() as patch:
                virtual.run(scenario, patch)
    return lines
