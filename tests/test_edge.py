"""A complete entry on loopback: what callers and servers see under each fault."""

import dataclasses

import anyio
import msgspec
import pytest

from sassafraslock import (
    clock,
    edge_settings,
    facts,
)
from sassafraslock.services import http_server, upstream
from tests import edge_world, fact_source


def test_a_request_is_forwarded_unchanged_with_its_id_target_and_remaining_time():
    async def scenario(world):
        response = await world.send("POST", "/w/a?b=1", b"body")
        assert (response.status, response.body) == (200, b"body")
        seen = world.servers_by_preference()[0].seen[-1]
        assert (seen.method, seen.target, seen.body) == ("POST", "/w/a?b=1", b"body")
        assert (
            seen.header(edge_world.NAMES.target_server)
            == world.servers_by_preference()[0].server_id
        )
        assert 1_000 < int(seen.header(edge_world.NAMES.deadline_ms)) <= 1_500

    edge_world.run_scenario(scenario)


# Guards against servers that are told more time than is left: the time that connecting took counted
# as left.
def test_a_server_is_told_the_time_that_is_left_once_the_connection_is_open(monkeypatch):
    connect = upstream.Upstream._connect

    async def connect_slowly(connections, address):
        await anyio.sleep(0.4)
        return await connect(connections, address)

    async def scenario(world):
        monkeypatch.setattr(upstream.Upstream, "_connect", connect_slowly)
        assert (await world.send("POST", "/w/1", b"body", limit_ms=1_500)).status == 200
        seen = world.servers_by_preference()[0].seen[-1]
        assert int(seen.header(edge_world.NAMES.deadline_ms)) <= 1_100

    edge_world.run_scenario(scenario)


UNSAFE = {
    "shed": (200, 1),
    "misdirect": (200, 1),
    "fail": (500, 1),
    "busy": (502, 1),
    "unsigned": (502, 1),
    "silent": (504, 1),
}


@pytest.mark.parametrize("mode", list(UNSAFE))
def test_a_write_runs_at_most_once_whatever_its_server_does(mode):
    status, runs = UNSAFE[mode]

    async def scenario(world):
        world.servers_by_preference()[0].mode = mode
        response = await world.send("POST", "/w/1", b"x", limit_ms=300)
        assert response.status == status
        assert world.runs == runs
        assert all(count == 1 for b in world.backends.values() for count in b.ran.values())

    edge_world.run_scenario(scenario)


@pytest.mark.parametrize("mode", ["shed", "misdirect", "fail", "busy", "unsigned"])
def test_a_failed_read_is_retried_at_another_server(mode):
    async def scenario(world):
        world.servers_by_preference()[0].mode = mode
        response = await world.send()
        assert (response.status, response.body) == (200, b"read")

    edge_world.run_scenario(scenario)


def test_a_read_at_a_silent_server_is_retried_before_its_deadline():
    async def scenario(world):
        world.servers_by_preference()[0].mode = "silent"
        response = await world.send(limit_ms=4_000)
        assert response.status == 200
        assert world.servers_by_preference()[0].cancelled == 1

    edge_world.run_scenario(scenario, routes=[fact_source.route(timeout_ms=4_000)])


@pytest.mark.parametrize("path", ["/x/1", "/w/1"])
def test_a_refusal_has_retry_after_and_nothing_was_run(path):
    async def scenario(world):
        response = await world.send("POST" if "w" in path else "GET", path)
        assert response.status == 503
        assert float(response.header(b"retry-after")) > 0
        assert world.runs == 0

    edge_world.run_scenario(scenario, modes=("shed", "shed"))


@pytest.mark.parametrize("mode", ["ok", "shed", "silent"])
def test_requests_count_as_demand_whatever_their_outcome(mode):
    """Guards against metastable overload.

    If refused and timed-out requests did not count as demand, an overloaded region would look
    idle, and the planner would send it more work.
    """

    async def scenario(world):
        for number in range(5):
            await world.send("POST", f"/w/{number}", limit_ms=100)
        assert world.edge.planner.demand(clock.monotonic_ms())["s"] > 0

    edge_world.run_scenario(scenario, modes=(mode, mode))


def test_a_request_times_out_after_the_time_limit_of_its_route():
    async def scenario(world):
        started = anyio.current_time()
        response = await world.send("POST", "/w/1", limit_ms=5_000)
        assert response.status == 504
        assert 0.25 < anyio.current_time() - started < 1.0

    route = fact_source.route("w", "/w/", idempotent=False, timeout_ms=300)
    edge_world.run_scenario(scenario, modes=("silent", "silent"), routes=[route])


def test_a_disconnect_cancels_the_request_at_the_server():
    async def scenario(world):
        with anyio.move_on_after(0.1):
            await world.send(limit_ms=5_000)
        await anyio.sleep(0.2)
        assert sum(b.cancelled for b in world.backends.values()) == 1

    edge_world.run_scenario(scenario, modes=("silent", "silent"))


def test_a_disconnect_during_a_probe_does_not_keep_the_server_ejected():
    async def scenario(world):
        for backend in world.backends.values():
            backend.mode = "silent"
            server = world.edge.routing_state.registry.servers[backend.server_id]
            world.edge.pipeline.placer.health_of(server).record_connect_failure(0)
        with anyio.move_on_after(0.1):
            await world.send(limit_ms=5_000)
        with anyio.move_on_after(0.1):
            await world.send(limit_ms=5_000)
        for backend in world.backends.values():
            backend.mode = "ok"
        assert (await world.send()).status == 200

    edge_world.run_scenario(scenario)


def test_no_route_gives_404_and_no_intents_give_503():
    async def scenario(world):
        assert (await world.send(path="/none/")).status == 404
        world.edge.routing_state.table = None
        response = await world.send()
        assert response.status == 503 and response.header(b"retry-after")

    edge_world.run_scenario(scenario)


def test_a_draining_server_gets_no_new_request():
    async def scenario(world):
        draining = world.servers_by_preference()[0]
        world.source.put_server(
            draining.server_id, f"{edge_world.HOST}:{draining.port}", state="draining"
        )
        await anyio.sleep(0.8)
        before = len(draining.seen)
        for _ in range(5):
            assert (await world.send()).status == 200
        assert len(draining.seen) == before

    edge_world.run_scenario(scenario)


def test_an_evacuated_zone_gets_no_request_until_the_evacuation_ends():
    async def scenario(world):
        evacuated = world.servers_by_preference()[0]
        world.source.put_server(
            evacuated.server_id, f"{edge_world.HOST}:{evacuated.port}", zone="a-2"
        )
        world.source.put(facts.Topic.INTENTS, "a-2", evacuation=facts.Evacuation("a-2"))
        await anyio.sleep(0.8)
        before = len(evacuated.seen)
        for _ in range(5):
            assert (await world.send()).status == 200
        assert len(evacuated.seen) == before
        world.source.put(facts.Topic.INTENTS, "a-2")
        await anyio.sleep(0.2)
        assert not world.edge.routing_state.registry.evacuated_zones

    edge_world.run_scenario(scenario)


def test_without_retry_budget_a_silent_server_is_the_only_attempt():
    async def scenario(world):
        world.edge.pipeline.retries.budget.set_bounds(0.0, 0.0, 10_000, 0)
        world.servers_by_preference()[0].mode = "silent"
        assert (await world.send(limit_ms=4_000)).status == 504
        assert world.runs == 1

    edge_world.run_scenario(scenario, routes=[fact_source.route(timeout_ms=1_500)])


def test_a_server_whose_address_belongs_to_another_one_runs_nothing():
    async def scenario(world):
        first, second = world.servers_by_preference()
        world.source.put_server(first.server_id, f"{edge_world.HOST}:{second.port}")
        await anyio.sleep(0.8)
        for number in range(3):
            assert (await world.send("POST", f"/w/{number}")).status == 200
        assert not first.ran

    edge_world.run_scenario(scenario)


def test_newer_intents_are_in_force_within_a_second():
    async def scenario(world):
        world.source.put_intents(2, [fact_source.route("new", "/new/")])
        await anyio.sleep(0.3)
        assert (await world.send(path="/new/1")).status == 200
        assert (await world.send()).status == 404

    edge_world.run_scenario(scenario)


def test_a_stop_is_announced_and_interrupts_no_request():
    async def scenario(world):
        readiness = world.settings.readiness_address
        assert (await world.send(address=readiness)).status == 200
        statuses = []

        async def send_later(delay_s):
            await anyio.sleep(delay_s)
            statuses.append((await world.send("POST", "/w/1")).status)

        world.edge.kernel.request_stop()
        await anyio.sleep(0.05)
        assert (await world.send(address=readiness)).status == 503
        entries = (
            await world.send(path="/?zone=a-1", address=world.settings.directory_address)
        ).body
        assert world.settings.client_address.encode() not in entries
        async with anyio.create_task_group() as group:
            for number in range(8):
                group.start_soon(send_later, number * 0.08)
        assert statuses == [200] * 8

    edge_world.run_scenario(scenario)


def test_a_leaving_entry_does_not_abandon_a_request_at_a_slow_server():
    """A leaving entry once abandoned a slow server, and no other server took the request.

    A simulated day of traffic had shown this.
    """

    async def scenario(world):
        world.servers_by_preference()[0].mode = "silent"
        world.begin_leaving()
        assert (await world.send(limit_ms=4_000)).status == 504
        assert world.runs == 1

    edge_world.run_scenario(scenario, routes=[fact_source.route(timeout_ms=1_500)])


def test_requests_late_in_the_grace_period_are_refused():
    """A request that arrived late in the grace period was once interrupted by the stop.

    A simulated day of traffic had shown this.
    """

    async def scenario(world):
        for backend in world.backends.values():
            backend.mode = "silent"
        async with anyio.create_task_group() as group:
            group.start_soon(world.send, "POST", "/w/early")
            await anyio.sleep(0.05)
            world.edge.kernel.request_stop()
            await anyio.sleep(1.0)
            response = await world.send("POST", "/w/late")
            assert response.status == 503 and response.header(b"retry-after")
            group.cancel_scope.cancel()
        assert world.runs == 1

    edge_world.run_scenario(scenario)


def test_reloaded_settings_are_in_force():
    async def scenario(world):
        bounds = edge_settings.Bounds(retry_ratio=0.0, retry_slack=0.0, cold_overage=0.0)
        world.edge.apply_settings(dataclasses.replace(world.settings, bounds=bounds))
        world.servers_by_preference()[0].mode = "shed"
        assert (await world.send()).status == 503

    edge_world.run_scenario(scenario)


def test_a_reloaded_grace_period_bounds_the_next_stop():
    """A stop was cut short by the grace period of the start, though a reload had made it longer."""

    async def scenario(world):
        bounds = edge_settings.Bounds(grace_ms=60_000)
        world.edge.apply_settings(dataclasses.replace(world.settings, bounds=bounds))
        assert world.edge.kernel.stop_bound_ms == 54_000

    edge_world.run_scenario(scenario)


def test_an_entry_is_not_ready_before_clients_can_connect(monkeypatch):
    """An entry that is ready too early appears in the directory while its port is still closed."""
    worlds, run = [], http_server.HttpServer.run

    async def start_late(server, ready):
        if server is worlds[0].edge.client_server:
            await anyio.sleep(0.3)
        await run(server, ready)

    monkeypatch.setattr(http_server.HttpServer, "run", start_late)
    monkeypatch.setattr(edge_world.World, "__init__", recording(edge_world.World.__init__, worlds))

    async def scenario(world):
        assert (await world.send()).status == 200

    edge_world.run_scenario(scenario)


def recording(create, created):
    def init(world, *arguments):
        created.append(world)
        create(world, *arguments)

    return init


def test_metrics_and_dump_are_served():
    async def scenario(world):
        await world.send()
        operators = world.settings.operator_address
        metrics = await world.send(path="/metrics", address=operators)
        assert b"sassafraslock_requests_total" in metrics.body
        alone = world.settings.metrics_address
        metrics = await world.send(path="/metrics", address=alone)
        assert metrics.header(b"content-type").startswith(b"text/plain")
        assert b"sassafraslock_request_seconds_bucket" in metrics.body
        assert b"sassafraslock_facts_age_seconds" in metrics.body
        assert b'sassafraslock_connections_cut{cause="stop",entry="e-1"} 0' in metrics.body
        assert b'sassafraslock_accept_failures{entry="e-1"} 0' in metrics.body
        assert (await world.send(path="/dump", address=alone)).status == 404
        dump = msgspec.json.decode((await world.send(path="/dump", address=operators)).body)
        assert dump["replica"]["state"]["positions"]["servers"] > 0

    edge_world.run_scenario(scenario)


# Guards against requests that ended with 500, since the row of their server named no address.
def test_odd_servers_beside_good_ones_fail_no_request_and_are_counted():
    async def scenario(world):
        for port in ("99999", "-1", "9" * 5_000, ""):
            world.source.put_server(f"i-odd{port[:5]}", f"10.0.0.9:{port}")
        unreadable = facts.UnreadableRow("cut short")
        world.source.put(facts.Topic.SERVERS, "i-cut", unreadable=unreadable)
        await anyio.sleep(1.0)
        statuses = {(await world.send(path=f"/x/{n}")).status for n in range(40)}
        assert statuses == {200}
        metrics = await world.send(path="/metrics", address=world.settings.metrics_address)
        line = b'sassafraslock_rejected_entries{entry="e-1",source="servers"} 1'
        assert line in metrics.body

    edge_world.run_scenario(scenario)
