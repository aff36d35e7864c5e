"""Quarantine of requests under which servers crashed."""

import dataclasses
import logging
import types

import anyio
import msgspec
import pytest

from benchmarks import poison
from sassafraslock import clock, events
from sassafraslock.decisions import quarantine, registry
from sassafraslock.services import poison_watch, upstream
from tests import fact_source, loopback

HOST, PORT = loopback.HOST, 0
PORTS = iter(range(24_200, 24_290))


@pytest.fixture(autouse=True)
def all_levels(caplog):
    caplog.set_level(logging.INFO, "sassafraslock")


@pytest.fixture(autouse=True)
def port(monkeypatch):
    """A port of each test's own, since those of closed listeners may stay in use for a moment."""
    monkeypatch.setitem(globals(), "PORT", next(PORTS))


def identity(path="/p", caller="c", body=b"", host="h"):
    return quarantine.identify(host, caller, "GET", path, body)


def crash(known, request, *servers, now_ms=0):
    for server in servers:
        known.record_crash(request, server, now_ms)


def test_crashes_of_two_servers_quarantine_and_a_mass_failure_does_not():
    known = quarantine.Quarantine()
    crash(known, identity(), "s1")
    assert not known.is_quarantined(identity(), 0)
    crash(known, identity(), "s2", now_ms=5_000)
    assert known.is_quarantined(identity(), 5_000)
    assert not known.is_quarantined(identity(), 5_000 + quarantine.QUARANTINE_MS)
    mass_failure = quarantine.Quarantine()
    for number in range(3):
        crash(mass_failure, identity(f"/{number}"), f"s{number}")
    crash(mass_failure, identity(), "s8", "s9", now_ms=100)
    assert not mass_failure.is_quarantined(identity(), 100)


# Guards against evidence that is dropped since other servers crash in the same second.
def test_evidence_of_a_mass_failure_is_weighed_again_as_more_comes():
    known = quarantine.Quarantine()
    for number in range(3):
        crash(known, identity(f"/{number}"), f"s{number}")
    crash(known, identity(), "s7", "s8", "s9", now_ms=100)
    assert not known.is_quarantined(identity(), 100)
    crash(known, identity(), "s10", now_ms=9_000)
    assert known.is_quarantined(identity(), 9_000)


# Guards against a proper request that is refused for minutes after an outage, once the other
# servers that ended in it are forgotten sooner than the request's own.
@pytest.mark.parametrize("second_ms", [1_200, 30_500])
def test_a_request_of_a_mass_failure_is_not_quarantined_when_the_others_are_forgotten(second_ms):
    known = quarantine.Quarantine()
    for number in range(5):
        crash(known, identity(f"/{number}"), f"s{number}", now_ms=500)
    crash(known, identity(), "s8", now_ms=700)
    assert not known.is_quarantined(identity(), 1_000)  # the time of a sweep
    crash(known, identity(), "s9", now_ms=second_ms)
    end_ms = second_ms + 2 * quarantine.SUSPECT_MS
    assert not any(known.is_quarantined(identity(), t) for t in range(second_ms, end_ms, 100))
    assert known.size == 0


@pytest.mark.parametrize(
    "other", [identity(caller="d"), identity(body=b"b"), identity("/q"), identity(host="g")]
)
def test_other_requests_and_other_callers_are_unaffected(other):
    known = quarantine.Quarantine()
    crash(known, identity(), "s1", "s2", "s3")
    assert known.is_quarantined(identity(), 0) and not known.is_quarantined(other, 0)


def test_a_request_of_two_callers_is_refused_to_all():
    known = quarantine.Quarantine()
    crash(known, identity(caller="c"), "s1")
    crash(known, identity(caller="d"), "s2")
    assert known.is_quarantined(identity(caller="e"), 0)


def test_a_host_has_no_case():
    assert identity(host="H") == identity(host="h")


# Guards against a proper request that is refused for minutes, since it ran beside poison twice.
def test_a_request_beside_poison_is_not_quarantined():
    known = quarantine.Quarantine()
    beside, poison = identity("/beside"), identity()
    crash(known, beside, "s1", "s2")
    assert known.is_quarantined(beside, 0)
    crash(known, poison, "s1", "s2", "s3")
    assert known.is_quarantined(poison, 0) and not known.is_quarantined(beside, 0)


@pytest.mark.parametrize("order", ["crash, answer", "break, answer, crash", "answer, report"])
def test_an_answer_speaks_for_a_request(order):
    known, request = quarantine.Quarantine(), identity()
    if order == "break, answer, crash":
        known.record_break(request, "s1", 0)
        known.record_break(request, "s2", 0)
    elif order == "crash, answer":
        crash(known, request, "s1", "s2")
    known.record_answer(request, 10)
    if order == "break, answer, crash":
        crash(known, request, "s1", "s2", now_ms=20)
    elif order == "answer, report":
        known.merge(quarantine.SuspectReport(request.one_caller, ["s1", "s2"], age_ms=100), 50)
    assert not known.is_quarantined(request, 50)
    crash(known, request, "s3", "s4", now_ms=5_000)
    assert known.is_quarantined(request, 5_000)


def test_an_answer_to_another_caller_does_not_speak_for_one_that_crashes_servers():
    known = quarantine.Quarantine()
    for number in range(3):
        crash(known, identity(), f"s{number}")
        known.record_answer(identity(caller="d"), 0)
    assert known.is_quarantined(identity(), 0)
    assert not known.is_quarantined(identity(caller="d"), 0)


def test_an_answer_reaches_other_entries():
    known, other = quarantine.Quarantine(), quarantine.Quarantine()
    crash(known, identity(), "s1", "s2")
    for report in known.recent_reports(0):
        other.merge(report, 0)
    assert other.is_quarantined(identity(), 0)
    known.record_answer(identity(), 10)
    for report in known.recent_reports(10):
        other.merge(report, 10)
    assert not other.is_quarantined(identity(), 10)


# Guards against entries that remind each other of a request for ever.
def test_a_quarantine_ends_at_entries_that_heard_of_it_late():
    known, other = quarantine.Quarantine(), quarantine.Quarantine()
    crash(known, identity(), "s1", "s2")
    report, *_ = [r for r in known.recent_reports(0) if not r.callers]
    late_ms = quarantine.QUARANTINE_MS - 1_000
    other.merge(msgspec.structs.replace(report, age_ms=late_ms), late_ms)
    assert other.is_quarantined(identity(), late_ms)
    assert not other.is_quarantined(identity(), late_ms + 1_000)
    assert not other.merge(
        msgspec.structs.replace(report, age_ms=quarantine.QUARANTINE_MS), late_ms
    )


def hear(known, now_ms):
    other = quarantine.Quarantine()
    for report in known.recent_reports(now_ms):
        other.merge(report, now_ms)
    return other


# Guards against entries that start, or come back from a cut, and never learn what is refused.
@pytest.mark.parametrize("servers", [2, 30])
def test_an_entry_that_starts_later_learns_what_is_refused(servers):
    known = quarantine.Quarantine()
    crash(known, identity(), *(f"s{n}" for n in range(servers)))
    other = hear(known, quarantine.QUARANTINE_MS // 2)
    assert other.is_quarantined(identity(), quarantine.QUARANTINE_MS // 2)


def test_all_that_is_refused_is_sent_in_turn():
    known, other = quarantine.Quarantine(), quarantine.Quarantine()
    requests = [identity(f"/{n}") for n in range(quarantine.MAX_CULPRITS_SENT + 2)]
    for number, request in enumerate(requests):
        crash(known, request, *(f"s{number}-{n}" for n in range(4)))
    for now_ms in (60_000, 60_500):
        for report in known.recent_reports(now_ms):
            other.merge(report, now_ms)
    assert all(other.is_quarantined(request, 60_500) for request in requests)


# Guards against poison that falls off the list of what is sent, which the requests beside it fill.
def test_the_evidence_that_matters_is_sent_first_in_a_wave():
    known = quarantine.Quarantine()
    crash(known, identity("/own"), "s0")
    crash(known, identity("/several"), "s1", "s2")
    for number in range(200):
        report = quarantine.SuspectReport(f"beside-{number}", [f"t{number}"])
        known.merge(report, 1_000)
    sent = {report.fingerprint for report in known.recent_reports(1_500)}
    assert identity("/own").one_caller in sent and identity("/several").one_caller in sent


# Guards against a wave of crashes whose requests take the place of the evidence against poison.
def test_a_flood_of_suspects_does_not_displace_those_with_most_servers():
    known = quarantine.Quarantine()
    crash(known, identity(), "s1", "s2", "s3", "s4")
    for number in range(quarantine.MAX_SUSPECTS):
        crash(known, identity(f"/{number}"), f"t{number}")
        assert known.size <= quarantine.MAX_SUSPECTS
    assert known.is_quarantined(identity(), 0)


# Guards against an error as the evidence of one request makes room for its own second part.
def test_a_crash_is_recorded_when_all_suspects_have_more_evidence():
    known = quarantine.Quarantine()
    for number in range(quarantine.MAX_SUSPECTS - 1):
        report = quarantine.SuspectReport(f"r{number}", ["s1", "s2"])
        known.merge(report, 5_000)
    crash(known, identity(), "s1", now_ms=4_000)
    assert known.is_suspected(identity()) and known.size <= quarantine.MAX_SUSPECTS


POISON = [name for name in poison.SCENARIOS if name.partition(" ")[0].isdigit()]
WAVES = [name for name in poison.SCENARIOS if name not in POISON]


# Guards against poison that is sent on: several requests at once, and other crashes beside them.
@pytest.mark.parametrize("name", POISON)
def test_poison_is_refused_within_its_bound(name):
    scenario = dataclasses.replace(poison.SCENARIOS[name], seconds=20)
    scenario = dataclasses.replace(scenario, entries=min(9, scenario.entries))
    row = poison.play(name, scenario, seeds=1)
    assert row.crashes_most >= 2 and row.late_most <= 3


def test_a_wave_of_crashes_quarantines_no_innocent_request():
    name = "no poison, a third of the servers crashes"
    assert poison.play(name, poison.SCENARIOS[name], seeds=4).quarantined == 0


def run_watch(scenario, listening):
    async def serve(stream):
        await stream.aclose()

    async def main():
        watch = poison_watch.PoisonWatch(upstream.Upstream(b"x-id"), registry.Registry())
        async with anyio.create_task_group() as group:
            group.start_soon(watch.run, anyio.Event())
            if listening:
                listener = await anyio.create_tcp_listener(local_host=HOST, local_port=PORT)
                group.start_soon(listener.serve, serve)
            await scenario(watch)
            group.cancel_scope.cancel()
        if listening:
            await listener.aclose()

    anyio.run(main)


def broken_connection(path, server, **more):
    address, start = f"{HOST}:{PORT}", f"{server}@1"
    return poison_watch.BrokenConnection(identity(path), server, address, start, path=path, **more)


def register(watch, server, **more):
    report = fact_source.report(server, f"{HOST}:{PORT}", **{"born_ms": 1, **more})
    watch._registry.apply_report(report, clock.monotonic_ms(), False, 0)


def test_a_broken_connection_counts_if_the_server_is_down_afterwards():
    async def scenario(watch):
        watch.record_broken_connection(broken_connection("m", "s1"))
        watch.record_broken_connection(broken_connection("m", "s2"))
        await anyio.sleep(0.2)
        now_ms = clock.monotonic_ms()
        assert watch.quarantine.is_quarantined(identity("m"), now_ms)
        names = {identity("m").all_callers, identity("m").one_caller}
        assert {s.fingerprint for s in watch.recent_reports(now_ms)} == names

    run_watch(scenario, listening=False)


def test_a_broken_connection_does_not_count_if_the_server_is_reachable():
    async def scenario(watch):
        watch.record_broken_connection(broken_connection("m", "s1"))
        watch.record_broken_connection(broken_connection("m", "s2"))
        await anyio.sleep(0.2)
        assert not watch.quarantine.is_suspected(identity("m"))

    run_watch(scenario, listening=True)


def findings(caplog):
    lines = [r.fields for r in caplog.records if r.event is events.Event.CRASH_SUSPECTED]
    return [(line["path"], line["server"], line["finding"]) for line in lines]


def test_each_broken_connection_is_logged_with_what_it_was_found_to_be(caplog):
    async def scenario(watch):
        for number in range(3):
            watch.record_broken_connection(broken_connection(f"m{number}", f"s{number}"))
            await anyio.sleep(0.1)

    run_watch(scenario, listening=False)
    crash = poison_watch.Finding.CRASH
    assert findings(caplog) == [(f"m{n}", f"s{n}", crash) for n in range(3)]


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr(poison_watch, "CHECK_DELAYS_S", (0.02, 0.1))
    monkeypatch.setattr(poison_watch, "REPLACED_CHECK_S", 0.1)


def leave_as_it_is(watch):
    pass


def restart(watch):
    register(watch, "s", born_ms=2)


def give_address_away(watch):
    register(watch, "other")


def begin_to_drain(watch):
    register(watch, "s", state="draining")


FINDING = poison_watch.Finding
CHECKS = {
    "reachable": (True, False, leave_as_it_is, FINDING.REACHABLE),
    "gone": (False, False, leave_as_it_is, FINDING.CRASH),
    "back at once": (True, False, restart, FINDING.REPLACED),
    "its address is another server's": (True, False, give_address_away, FINDING.REPLACED),
    "drains": (False, False, begin_to_drain, FINDING.LEAVING),
    "silent and gone": (False, True, leave_as_it_is, FINDING.CRASH),
    "silent and reachable": (True, True, leave_as_it_is, FINDING.REACHABLE),
}


# Guards against servers that ended under a request and don't count: those that are back at once,
# whose address another one has, or that broke no connection.
@pytest.mark.parametrize("name", list(CHECKS))
def test_a_broken_connection_is_checked(quick, caplog, name):
    listening, is_silent, change, expected = CHECKS[name]

    async def scenario(watch):
        register(watch, "s")
        await anyio.sleep(0.005)
        watch.record_broken_connection(broken_connection("m", "s", is_silent=is_silent))
        change(watch)
        await anyio.sleep(0.4)
        is_crash = expected in (FINDING.CRASH, FINDING.REPLACED)
        assert watch.quarantine.is_suspected(identity("m")) == is_crash

    run_watch(scenario, listening)
    assert findings(caplog) == [("m", "s", expected)]


def test_a_server_that_ends_a_moment_after_it_broke_the_connection_counts(quick):
    async def scenario(watch):
        register(watch, "s")
        listener = await anyio.create_tcp_listener(local_host=HOST, local_port=PORT)
        watch.record_broken_connection(broken_connection("m", "s"))
        await anyio.sleep(0.06)
        await listener.aclose()
        await anyio.sleep(0.2)
        assert watch.quarantine.is_suspected(identity("m"))

    run_watch(scenario, listening=False)


# Guards against evidence that a full queue drops, just when many servers end.
def test_the_breaks_of_one_server_share_a_check_and_each_counts(quick):
    async def scenario(watch):
        probes = []

        async def probe(address):
            probes.append(address)
            return upstream.Reachability.REFUSES

        watch._upstream = types.SimpleNamespace(probe=probe)
        paths = [f"/{n}" for n in range(poison_watch.MAX_BREAKS_PER_SERVER)]
        for server in range(poison_watch.MAX_CHECKED_SERVERS):
            for path in paths[: 2 if server else None]:
                watch.record_broken_connection(broken_connection(path, f"s{server}"))
        with anyio.fail_after(5):
            while len(probes) < poison_watch.MAX_CHECKED_SERVERS or watch._unchecked:
                await anyio.sleep(0.01)
        assert all(watch.quarantine.is_suspected(identity(path)) for path in paths)
        assert len(probes) == poison_watch.MAX_CHECKED_SERVERS
        assert not watch._unchecked

    run_watch(scenario, listening=False)
