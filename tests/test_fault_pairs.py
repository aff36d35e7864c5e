"""Every pair of faults at a complete entry: the guarantees that hold under any of them."""

import itertools

import anyio
import pytest

from sassafraslock import facts
from tests import edge_world, fact_source

SETTLE_S = 0.08
LIMIT_MS = 250
STATUSES = {200, 500, 502, 503, 504}


def server_with_mode(mode):
    def set_mode(world):
        healthy = next(backend for backend in world.servers_by_preference() if backend.mode == "ok")
        healthy.mode = mode

    return set_mode


def store_unavailable(world):
    world.source.is_unavailable = True
    world.source.changed.set()


def store_loses_history(world):
    world.source.put_server("passing", "127.0.0.1:9")
    world.source.remove_server("passing")
    world.source.drop_history()


def store_hangs(world):
    world.source.unanswered.update(facts.Topic)


def home_drains(world):
    home = world.servers_by_preference()[0]
    address = f"{edge_world.HOST}:{home.port}"
    world.source.put_server(home.server_id, address, state="draining")


def zone_is_evacuated(world):
    world.source.put(facts.Topic.INTENTS, "a-1", evacuation=facts.Evacuation("a-1"))


def intents_change(world):
    unsafe = fact_source.route("w", "/w/", idempotent=False)
    world.source.put_intents(9, [fact_source.route(), unsafe])


def entry_leaves(world):
    world.begin_leaving()


FAULTS = {
    "a server sheds": server_with_mode("shed"),
    "a server is another one": server_with_mode("misdirect"),
    "a server fails": server_with_mode("fail"),
    "a server does not sign": server_with_mode("unsigned"),
    "a server is silent": server_with_mode("silent"),
    "store unavailable": store_unavailable,
    "store loses history": store_loses_history,
    "store hangs": store_hangs,
    "home drains": home_drains,
    "zone is evacuated": zone_is_evacuated,
    "intents change": intents_change,
    "entry leaves": entry_leaves,
}


@pytest.mark.parametrize("pair", list(itertools.combinations(FAULTS, 2)), ids=" and ".join)
def test_two_faults_together_violate_no_guarantee(pair):
    """Writes run at most once, refused requests did not run, responses are complete and matched."""

    async def scenario(world):
        answers = {}

        async def ask(method, path, body):
            answers[path] = await world.send(method, path, body, limit_ms=LIMIT_MS)

        for fault in pair:
            FAULTS[fault](world)
        for wave in ("early", "late"):
            async with anyio.create_task_group() as group:
                for number in range(2):
                    name = f"{wave}{number}"
                    group.start_soon(ask, "POST", f"/w/{name}", name.encode())
                    group.start_soon(ask, "GET", f"/x/{name}", b"")
            await anyio.sleep(SETTLE_S)
        assert len(answers) == 8
        for path, answer in answers.items():
            check(world, path, answer)

    edge_world.run_scenario(scenario)


def check(world, path, answer):
    runs = [
        request_id
        for backend in world.backends.values()
        for request_id, count in backend.ran.items()
        for _ in range(count)
        if request_id.endswith(path.encode())
    ]
    assert answer.status in STATUSES
    if path.startswith("/w/"):
        assert len(runs) <= 1
    if answer.status == 503:
        assert runs == []
    if answer.status == 200:
        assert answer.body == (path[3:].encode() if path.startswith("/w/") else b"read")
