"""Requests with the same key run at most once, even if the store loses, delays or refuses calls."""

import collections
import dataclasses
import random

import anyio
import msgspec
import pytest
import uuid6

from sassafraslock import (
    errors,
    header_names,
    http_messages,
    platform,
    routing_table,
    workspaces,
)
from sassafraslock.decisions import claim
from sassafraslock.path import read, route
from sassafraslock.services import claims
from sassafraslock.standin import platform as standin

NAMES = header_names.HeaderNames()
Kind = errors.ErrorKind


def routed(key, body=b"x", limit_ms=1_000):
    headers = [(NAMES.idempotency_key, key.encode())] if key else []
    now_ms = claims.clock.monotonic_ms()
    request = http_messages.Request("POST", "/k/log/f", headers, body, "c", now_ms)
    to = (routing_table.Destination("k/log", 1.0),)
    matched = routing_table.Route("k/log", "", "/k/log/", False, limit_ms, 400, 0, 2, to)
    service = routing_table.Service("k/log", 1, 0, 1.0)
    return route.RoutedRequest(read.read(request, NAMES), matched, service, 1, False, "/f")


def with_claims(scenario, **faults):
    async def main():
        memory = standin.MemoryPlatform()
        faulty = standin.FaultyPlatform(memory, standin.Faults(**faults), 3)
        async with anyio.create_task_group() as group:
            services = [claims.Claims(faulty, NAMES) for _ in range(3)]
            for service in services:
                group.start_soon(service.run, anyio.Event())
            await scenario(services, faulty)
            group.cancel_scope.cancel()

    anyio.run(main)


def new_key():
    return str(uuid6.uuid7())


DONE = http_messages.Response(200, [(b"x-a", b"1")], b"done")


def test_a_repeat_gets_the_first_answer_at_any_entry():
    async def scenario(services, faulty):
        key = new_key()
        held = await services[0].acquire(routed(key))
        assert (await services[1].acquire(routed(key))).kind is Kind.IN_PROGRESS
        services[0].settle(held, DONE)
        await anyio.sleep(0.05)
        again = await services[2].acquire(routed(key))
        assert (again.status, again.headers, again.body) == (200, [(b"x-a", b"1")], b"done")
        reused = await services[1].acquire(routed(key, b"other"))
        assert reused.kind is Kind.KEY_REUSED

    with_claims(scenario)


# Guards against a workspace that gets what a server answered to another one, by its request key.
def test_a_repeat_by_another_workspace_gets_no_recorded_answer():
    async def scenario(services, faulty):
        key, by_one, by_other = new_key(), *(workspaces.Workspace(name, ()) for name in "ab")
        first = dataclasses.replace(routed(key), workspace=by_one)
        services[0].settle(await services[0].acquire(first), DONE)
        await anyio.sleep(0.05)
        assert (await services[1].acquire(first)).status == 200
        other = dataclasses.replace(routed(key), workspace=by_other)
        assert (await services[1].acquire(other)).kind is Kind.KEY_REUSED

    with_claims(scenario)


def test_a_refused_request_frees_its_key_and_one_of_unknown_outcome_does_not():
    async def scenario(services, faulty):
        refused, unknown = new_key(), new_key()
        held = await services[0].acquire(routed(refused))
        services[0].settle(held, errors.Refusal(Kind.NO_CAPACITY, "full"))
        held = await services[0].acquire(routed(unknown))
        services[0].settle(held, errors.Refusal(Kind.SERVER_FAILED, "broke"))
        await anyio.sleep(0.05)
        assert isinstance(await services[1].acquire(routed(refused)), claims.HeldClaim)
        assert (await services[1].acquire(routed(unknown))).kind is Kind.IN_PROGRESS

    with_claims(scenario)


@pytest.mark.parametrize(
    "key, kind", [("", Kind.KEY_MISSING), ("7", Kind.KEY_MALFORMED), (None, Kind.KEY_EXPIRED)]
)
def test_keys_are_checked_before_the_store_is_asked(key, kind):
    async def scenario(services, faulty):
        old = "0185d5a0-0000-7000-8000-000000000000" if key is None else key
        assert (await services[0].acquire(routed(old))).kind is kind
        assert faulty.memory.usage.write_transactions == 0

    with_claims(scenario)


def test_without_the_store_nothing_runs():
    async def scenario(services, faulty):
        refused = await services[0].acquire(routed(new_key()))
        assert refused.kind is Kind.STORE_UNAVAILABLE and refused.properties.not_run

    with_claims(scenario, down=True)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "faults",
    [{"lost_answer_ratio": 0.3}, {"lost_request_ratio": 0.3}, {"late_effect_ratio": 0.3}, {}],
    ids=lambda faults: next(iter(faults), "none"),
)
def test_no_key_runs_twice(seed, faults):
    """Oracle: counts runs by key while three entries get the same keys at the same time."""
    source = random.Random(seed)
    runs, answers = collections.Counter(), collections.defaultdict(set)

    async def send(service, key):
        await anyio.sleep(source.random() / 50)
        held = await service.acquire(routed(key, limit_ms=500))
        if isinstance(held, http_messages.Response):
            answers[key].add(held.body)
        if not isinstance(held, claims.HeldClaim):
            return
        if source.random() < 0.2:
            service.settle(held, errors.Refusal(Kind.NO_SERVER, "none"))
            return
        runs[key] += 1
        await anyio.sleep(source.random() / 50)
        if source.random() < 0.8:
            body = f"{key}-{runs[key]}".encode()
            answers[key].add(body)
            service.settle(held, http_messages.Response(200, [], body))

    async def scenario(services, faulty):
        keys = [new_key() for _ in range(40)]
        for _ in range(6):
            async with anyio.create_task_group() as group:
                for key in keys:
                    group.start_soon(send, source.choice(services), key)

    with_claims(scenario, **faults)
    assert runs and max(runs.values()) == 1
    assert all(len(bodies) == 1 for bodies in answers.values())


NESTED = b"\x91" * 5_000 + b"\x01"
ODD_CLAIMS = [b"", b"\xff", b"\x90", NESTED, msgspec.msgpack.encode(["n", "f", -1, 2**64 - 1]),
              msgspec.msgpack.encode(["n", "f", 1, 1, [99_999, [], b""]]),
              msgspec.msgpack.encode(["n", "f", 1, 1, None, msgspec.Raw(NESTED)])]  # fmt: skip


# Guards against a claim that nobody can read: the request ended with an error that names no cause.
@pytest.mark.parametrize("value", ODD_CLAIMS, ids=lambda v: str(v)[:24])
def test_a_claim_that_cannot_be_read_may_have_run(value):
    async def scenario(services, faulty):
        key = new_key()
        row_key = claim.row_key("k/log", key)
        await faulty.transact(platform.Transaction(puts=[platform.Put(row_key, value)]))
        assert (await services[0].acquire(routed(key))).kind is Kind.MAY_HAVE_RUN
        assert isinstance(await services[0].acquire(routed(new_key())), claims.HeldClaim)

    with_claims(scenario)


# Guards against rows that ended the service which deletes old claims, or stood in its way for ever.
def test_rows_with_odd_keys_are_purged():
    odd = ["", "zzz", "|", "\0", "x" * 9_999, "0185d5a0-0000-7000-8000-00000000000g|s"]

    async def scenario(services, faulty):
        puts = [platform.Put(claim.PREFIX + key, b"") for key in odd]
        await faulty.transact(platform.Transaction(puts=puts))
        held = await services[0].acquire(routed(new_key()))
        assert await services[0].purge(claims.clock.wall_ms()) == len(odd)
        assert list(faulty.memory.rows) == [held.key]

    with_claims(scenario)


def test_old_rows_are_purged_the_oldest_first():
    async def scenario(services, faulty):
        for _ in range(3):
            await services[0].acquire(routed(new_key()))
        wall_ms = claims.clock.wall_ms()
        assert await services[0].purge(wall_ms) == 0
        assert await services[0].purge(wall_ms + services[0].retention_ms + 10) == 3
        assert not [k for k in faulty.memory.rows if k.startswith(claim.PREFIX)]

    with_claims(scenario)
