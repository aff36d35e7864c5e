"""Requests that another server gets too, since the first one has not answered in time."""

import anyio
import pytest

from tests import edge_world, fact_source

SLOW_WORK_S = 1.6  # beyond the soft timeout
LIMIT_MS = 3_000
ROUTE = fact_source.route(timeout_ms=LIMIT_MS)


def scenario_of(play):
    edge_world.run_scenario(play, routes=[ROUTE])


def answering_server(response):
    return response.header(edge_world.NAMES.signature).decode()


def assert_nothing_in_flight(world):
    placer = world.edge.pipeline.placer
    servers = placer.registry.servers.values()
    assert [placer.health_of(server).in_flight for server in servers] == [0, 0]
    assert world.edge.in_flight == 0


# Guards against LOST: a server's work was given up for another server that did not answer.
@pytest.mark.parametrize("mode", ["shed", "throttle", "misdirect", "unsigned", "fail", "end"])
def test_work_is_not_given_up_for_a_server_that_does_not_answer(mode):
    async def play(world):
        first, second = world.servers_by_preference()
        first.work_s = SLOW_WORK_S
        second.mode = mode
        if mode == "end":
            second.poison = ("/x/1",)
        response = await world.send(limit_ms=LIMIT_MS)
        assert response.status == 200
        assert answering_server(response) == first.server_id
        assert len(first.seen) == len(second.seen) == 1
        assert_nothing_in_flight(world)

    scenario_of(play)


def test_the_answer_of_the_other_server_ends_the_work_of_the_first():
    async def play(world):
        first, second = world.servers_by_preference()
        first.mode = "silent"
        response = await world.send(limit_ms=LIMIT_MS)
        assert answering_server(response) == second.server_id
        await anyio.sleep(0.1)
        assert first.cancelled == 1
        assert_nothing_in_flight(world)

    scenario_of(play)


def test_the_first_server_may_still_answer_before_the_other_one():
    async def play(world):
        first, second = world.servers_by_preference()
        first.work_s, second.mode = SLOW_WORK_S, "silent"
        response = await world.send(limit_ms=LIMIT_MS)
        assert answering_server(response) == first.server_id
        await anyio.sleep(0.1)
        assert second.cancelled == 1
        assert_nothing_in_flight(world)

    scenario_of(play)


def test_both_servers_are_told_when_the_client_leaves():
    async def play(world):
        for backend in world.backends.values():
            backend.mode = "silent"
        with anyio.move_on_after(SLOW_WORK_S):
            await world.send(limit_ms=LIMIT_MS)
        await anyio.sleep(0.1)
        assert [backend.cancelled for backend in world.backends.values()] == [1, 1]
        assert_nothing_in_flight(world)

    scenario_of(play)


def test_both_servers_have_until_the_deadline():
    async def play(world):
        for backend in world.backends.values():
            backend.mode = "silent"
        assert (await world.send(limit_ms=2_000)).status == 504
        await anyio.sleep(0.1)
        assert [backend.cancelled for backend in world.backends.values()] == [1, 1]
        assert_nothing_in_flight(world)

    scenario_of(play)


def test_a_server_failure_is_passed_on_if_no_other_server_answers():
    async def play(world):
        first, second = world.servers_by_preference()
        first.work_s, first.mode = SLOW_WORK_S, "fail"
        second.mode = "shed"
        assert (await world.send(limit_ms=LIMIT_MS)).status == 500
        assert_nothing_in_flight(world)

    scenario_of(play)
