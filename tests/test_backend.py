"""The stand-in of a backend server: what its answers ask for."""

import anyio
import pytest

from sassafraslock import clock
from sassafraslock.standin import backend


def answer(headers=(), **behaviour):
    """Return status and headers of one answer."""
    server = backend.BackendServer("i-1", 3, "h", 1, backend.InFlightGauge())
    server.behaviour = backend.Behaviour(work_ms=0, **behaviour)
    sent = []

    async def receive():
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message):
        sent.append(message)

    scope = {"type": "http", "method": "GET", "path": "/x", "raw_path": b"/x", "query_string": b""}
    anyio.run(server.handle, {**scope, "headers": list(headers), "client": ("h", 1)}, receive, send)
    return sent[0]["status"], dict(sent[0]["headers"])


@pytest.mark.parametrize("refuse_all, status", [(False, 200), (True, 503)])
@pytest.mark.parametrize("in_ms, leaves", [(-1, True), (60_000, False)])
def test_all_answers_say_from_a_time_on_that_the_server_leaves(refuse_all, status, in_ms, leaves):
    at_ms = clock.monotonic_ms() + in_ms
    answered, headers = answer(refuse_all=refuse_all, leaves_at_ms=at_ms)
    assert answered == status and (headers.get(backend.NAMES.leaving) == b"1") == leaves


@pytest.mark.parametrize("refuse_all", [False, True])
def test_rejections_alone_ask_for_a_pause(refuse_all):
    _, headers = answer(refuse_all=refuse_all, retry_after_s=0.3)
    assert headers.get(b"retry-after") == (b"0.3" if refuse_all else None)


# Guards against checks of the demo and the soak that would not see a key at a server.
def test_an_answer_tells_the_workspace_and_the_key_that_the_server_saw():
    key, name = (backend.NAMES.credential, b"k"), (backend.NAMES.workspace, b"office")
    _, headers = answer([key, name])
    assert (headers[b"x-seen-key"], headers[b"x-seen-workspace"]) == (b"1", b"office")
    assert not {b"x-seen-key", b"x-seen-workspace"} & answer()[1].keys()
    seen = backend.SeenWorkspaces()
    for headers in ([key, name], [name], [name, (b"x-expected-workspace", b"office")]):
        seen.record(backend.asgi.Request("GET", "/", "", headers), 5)
    assert (seen.keys, seen.wrong_names, seen.starts_ms) == (1, 2, {"office": [5, 5, 5]})
