"""One seed of the soak, from start to verdict."""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import random
import tempfile

import anyio

from sassafraslock.standin import caller
from soak import faults, proxy, stage

CALLERS = 8
PAUSE_S = (0.02, 0.15)
RECOVERY_S = 12.0
READY_S = 30.0
FILING_RATIO = 0.4
MAX_GROWTH_MIB = 60.0  # of an entry's memory, whatever is sent to it


@dataclasses.dataclass(slots=True)
class Verdict:
    """What a seed showed; ``broken`` names the promises that did not hold."""

    seed: int
    requests: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    growth_mib: float = 0.0
    broken: list[str] = dataclasses.field(default_factory=list)


async def play(seed: int, seconds: float, folder: pathlib.Path) -> Verdict:
    """Play one seed in a folder and judge it.

    :param seed: the seed.
    :param seconds: how long faults last.
    :param folder: an empty folder, which keeps logs and schedules.
    """
    one = stage.Stage(folder, seed)
    journal = caller.Journal()
    injector = faults.Injector(one)
    targets = [name for name in one.processes if name != "platform"] + ["platform"]
    schedule = faults.draw(seed, seconds, targets, list(one.proxies))
    (folder / "schedule.txt").write_text("".join(f"{fault}\n" for fault in schedule))
    recovered = False
    try:
        async with anyio.create_task_group() as group:
            for each in one.proxies.values():
                ready = anyio.Event()
                group.start_soon(each.run, ready)
                await ready.wait()
            for process in one.processes.values():
                process.start()
            await _until_ready(one)
            idle_mib = max(one.entry_memory_mib("VmRSS").values())
            async with anyio.create_task_group() as calling:
                for number in range(CALLERS):
                    calling.start_soon(_call, one, journal, seed * 1_000 + number)
                await injector.run(schedule)
                recovered = await _recovers(one, journal)
                peaks_mib = one.entry_memory_mib("VmHWM")
                calling.cancel_scope.cancel()
            group.cancel_scope.cancel()
    finally:
        one.end()
    verdict = judge(seed, one, journal, injector, recovered)
    verdict.growth_mib = max(peaks_mib.values()) - idle_mib
    if verdict.growth_mib > MAX_GROWTH_MIB:
        verdict.broken.append(f"an entry's memory grew by {verdict.growth_mib:.0f} MiB")
    return verdict


async def _until_ready(one: stage.Stage) -> None:
    with anyio.fail_after(READY_S):
        for number in range(stage.ENTRIES):
            while not await anyio.to_thread.run_sync(one.is_ready, number):
                await anyio.sleep(0.1)


async def _call(one: stage.Stage, journal: caller.Journal, seed: int) -> None:
    source = random.Random(seed)
    addresses = [f"{proxy.HOST}:{port}" for port in one.caller_ports]
    source.shuffle(addresses)
    client = caller.Caller(f"caller-{seed}", addresses, journal, seed)
    try:
        while True:
            if source.random() < FILING_RATIO:
                await client.file(stage.SERVICE, "/filings", str(source.random()).encode())
            else:
                await client.read(stage.SERVICE, "/entries/7")
            await anyio.sleep(source.uniform(*PAUSE_S))
    finally:
        with anyio.CancelScope(shield=True):
            await client.close()


async def _recovers(one: stage.Stage, journal: caller.Journal) -> bool:
    """Tell whether all entries serve again, and callers get answers, after the last fault."""
    with anyio.move_on_after(RECOVERY_S):
        await _until_ready(one)
        before = journal.answered
        while journal.answered < before + 5 * CALLERS:
            await anyio.sleep(0.1)
        return True
    return False


def judge(
    seed: int,
    one: stage.Stage,
    journal: caller.Journal,
    injector: faults.Injector,
    recovered: bool,
) -> Verdict:
    """Compare what callers saw with what servers ran.

    :param seed: the seed.
    :param one: the stage, its processes ended.
    :param journal: what the callers saw.
    :param injector: what was done.
    :param recovered: whether callers were served again after the last fault.
    """
    lines = {name: _lines(one.journal(name)) for name in one.processes}
    runs = collections.Counter(key for each in lines.values() for _, key in each)
    verdict = Verdict(
        seed, journal.requests, journal.answered, journal.refused_not_run, journal.unknown
    )
    twice = [key for key, count in runs.items() if count > 1]
    false = [key for key in journal.refused_keys if runs[key]]
    drained = [(d.target, at) for d in injector.drains for at in _late(d, lines, injector.hits)]
    checks = {
        f"work at servers that drain: {drained[:3]}": bool(drained),
        f"requests that ran twice: {twice[:3]}": bool(twice),
        f"requests refused as not run that had run: {false[:3]}": bool(false),
        f"answers that were another request's: {journal.mixed_up}": journal.mixed_up > 0,
        f"requests cut off without harm to an entry: {journal.cut_off}": journal.cut_off > 0
        and not any(name.startswith("entry") for name in injector.harmed),
        "no recovery after the last fault": not recovered,
        "nothing was answered": journal.answered == 0,
    }
    verdict.broken = [text for text, broken in checks.items() if broken]
    return verdict


def _lines(path: pathlib.Path) -> list[tuple[int, str]]:
    """Return the times and keys of a server's runs; a line cut short by a kill is left out."""
    text = path.read_text() if path.exists() else ""
    found = (line.split() for line in text.splitlines())
    return [(int(words[0]), words[1]) for words in found if len(words) == 2]


def _late(
    drain: faults.Span, lines: dict[str, list[tuple[int, str]]], hits: list[faults.Span]
) -> list[int]:
    """Return when a draining server began work that it should not have got any more.

    What comes while the platform or an entry does not run, or just after, tells nothing: the
    change may not be known yet, or the work was sent before.
    """
    bound_ms = int(1_000 * faults.DRAIN_BOUND_S)
    blind = [h for h in hits if not h.target.startswith("server")]
    times = [at for at, _ in lines[drain.target] if drain.from_ms + bound_ms < at < drain.until_ms]
    return [at for at in times if not any(h.from_ms <= at < h.until_ms + bound_ms for h in blind)]


def play_seed(seed: int, seconds: float, keep: pathlib.Path | None = None) -> Verdict:
    """Play one seed in a folder of its own, kept where a promise broke and a place is given.

    :param seed: the seed.
    :param seconds: how long faults last.
    :param keep: where folders of broken seeds are kept.
    """
    if keep is not None:
        folder = keep / f"seed-{seed}"
        folder.mkdir(parents=True)
        return anyio.run(play, seed, seconds, folder)
    with tempfile.TemporaryDirectory() as name:
        return anyio.run(play, seed, seconds, pathlib.Path(name))
