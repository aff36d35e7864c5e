"""Commands against one running entry, its platform stand-in and a backend server."""

import json
import pathlib
import threading

import anyio
import click.testing
import msgspec
import pytest

from sassafraslock import asgi, cli, commands, entry, kernel, output, settings
from sassafraslock.services import log_writer, platform_client
from sassafraslock.standin import backend, platform_api
from sassafraslock.standin import platform as standin

ROOT = pathlib.Path(__file__).parent.parent
HOST, PORT, TOKEN = "127.0.0.1", 25_100, "cli-test-token"
OPERATORS = ["--entry", f"{HOST}:{PORT + 2}", "--token", TOKEN]


async def serve(ready, stop):
    memory = standin.MemoryPlatform()
    commands.store_initial_settings(memory, ROOT / "examples" / "walk" / "shared")
    faulty = standin.FaultyPlatform(memory, standin.Faults(), 1)
    core = kernel.Kernel()
    core.register("platform", asgi.HttpServer(platform_api.PlatformApp(faulty), HOST, PORT + 3))
    core.register(
        "server", backend.BackendServer("logbook-1", 3, HOST, 7401, backend.InFlightGauge())
    )
    process = settings.Settings(
        "entry-a", "gorenjska", "a", settings.Address(HOST, PORT), settings.Address(HOST, PORT + 1),
        settings.Operator(HOST, PORT + 2, TOKEN), settings.Platform(HOST, PORT + 3, "gorenjska"),
        TOKEN, poll_ms=50, stop_bound_ms=1_000,
    )  # fmt: skip
    table = platform_client.PlatformClient(process.platform)
    tested_entry = entry.Entry(process, table, log_writer.BufferedLogHandler())
    async with anyio.create_task_group() as group:
        group.start_soon(core.run, 1000)
        group.start_soon(tested_entry.edge.kernel.run, 1000)
        while not tested_entry.edge.is_ready:
            await anyio.sleep(0.02)
        await anyio.sleep(0.3)
        ready.set()
        await anyio.to_thread.run_sync(stop.wait)
        group.cancel_scope.cancel()


@pytest.fixture(scope="module")
def _entry():
    ready, stop = threading.Event(), threading.Event()
    thread = threading.Thread(target=anyio.run, args=(serve, ready, stop), daemon=True)
    thread.start()
    assert ready.wait(20)
    yield
    stop.set()
    thread.join(10)


def invoke(*arguments, code=0):
    result = click.testing.CliRunner().invoke(cli.main, list(arguments))
    assert result.exit_code == code, result.output
    return result.output


@pytest.mark.usefixtures("_entry")
class TestWithEntry:
    """Commands that need an entry."""

    def test_entries_names_the_entry(self):
        shown = invoke(
            "entries", "kocar/logbook", "--address", f"{HOST}:{PORT}", "--format", "json"
        )
        assert json.loads(shown)["entries"][0]["entry_id"] == "entry-a"

    def test_settings_are_read_compared_and_put(self, tmp_path):
        path = "/kocar/services/logbook"
        text = invoke("settings", "get", path, *OPERATORS, "--format", "toml")
        changed = tmp_path / "changed.toml"
        changed.write_text(text.replace("deadline_ms = 5000", "deadline_ms = 4000"))
        shown = invoke("settings", "diff", path, str(changed), *OPERATORS)
        assert "+ /deadline_ms 4000" in shown
        invoke("settings", "put", path, str(changed), *OPERATORS)
        assert "no difference" in invoke("settings", "diff", path, str(changed), *OPERATORS)
        history = invoke("settings", "history", "/kocar", *OPERATORS, "--format", "json")
        assert len(json.loads(history)) >= 2
        invoke("settings", "put", "/kocar", str(changed), "--revision", "1", *OPERATORS, code=2)
        whole = tmp_path / "whole.toml"
        whole.write_text(invoke("settings", "get", "/kocar", *OPERATORS, "--format", "toml"))
        stale = invoke(
            "settings", "put", "/kocar", str(whole), "--revision", "1", *OPERATORS, code=10
        )
        assert "conflict: /kocar is at revision" in stale

    # Guards against a key that the settings or a command show again after its creation.
    def test_a_key_is_created_once_and_taken_away(self, tmp_path):
        system = tmp_path / "system.toml"
        text = (ROOT / "examples/walk/shared/system.toml").read_text()
        system.write_text(text + "\n[workspaces.office]\nrate_per_s = 5.0\n")
        invoke("settings", "put", "/system", str(system), *OPERATORS)
        shown = json.loads(invoke("key", "create", "office", *OPERATORS, "--format", "json"))
        kept = invoke("settings", "get", "/system/workspaces", *OPERATORS, "--format", "json")
        assert shown["digest"] in kept and shown["key"] not in kept
        runner = click.testing.CliRunner()
        digest = runner.invoke(cli.main, ["key", "digest"], input=shown["key"] + "\n").output
        assert digest.strip() == shown["digest"]
        removed = invoke("key", "remove", "office", *OPERATORS, "--format", "json")
        assert json.loads(removed)["removed"] == [shown["digest"]]
        invoke("key", "create", "nobody", *OPERATORS, code=3)
        invoke("settings", "put", "/system", str(ROOT / "examples/walk/shared/system.toml"),
               *OPERATORS)  # fmt: skip

    def test_a_server_is_drained_and_put_back(self):
        assert "draining" in invoke("drain", "/kocar/logbook/logbook-1", *OPERATORS)
        assert "active" in invoke("undrain", "/kocar/logbook/logbook-1", *OPERATORS)
        invoke("drain", "/kocar/logbook", *OPERATORS, code=2)

    def test_a_shift_prints_its_cap_and_a_faulty_one_the_fix(self):
        command = ["shift", "/kocar/logbook", "--from", "gorenjska", "--to"]
        shown = invoke(*command, "gorenjska=0.9,stajerska=0.1", *OPERATORS)
        assert "cap_ratio" in shown
        assert "write gorenjska=0.5" in invoke(*command, "half", *OPERATORS, code=2)
        assert "has no server" in invoke(*command, "nowhere=1.0", *OPERATORS, code=2)

    def test_status_and_dump_need_the_token(self):
        assert "entry-a" in invoke("status", *OPERATORS)
        dumped = json.loads(invoke("dump", *OPERATORS, "--format", "json"))
        assert {"gossip", "replica", "beliefs", "claims", "planner", "platform"} <= set(dumped)
        assert all(part["failures"] == 0 for part in dumped.values())
        invoke("status", *OPERATORS[:2], "--token", "wrong", code=9)
        invoke("status", *OPERATORS[:2], "--token", "é", code=9)

    def test_blocks_are_published(self, tmp_path):
        table = tmp_path / "blocks.csv"
        table.write_text("10.1.0.0/16,stajerska/a\n")
        process = (ROOT / "examples/walk/entry-a.toml").read_text().replace("7300", str(PORT + 3))
        path = tmp_path / "entry.toml"
        path.write_text(process)
        assert "blocks" in invoke("blocks", "publish", str(table), "--settings", str(path))
        table.write_text("nonsense\n")
        assert "line 1" in invoke("blocks", "publish", str(table), "--settings", str(path), code=2)


def test_check_shows_every_problem(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('entry_id = "UPPER"\nsurprise = 1\n')
    shown = invoke("check", str(path), code=2)
    assert "entry_id" in shown
    assert "surprise" in shown
    good = ROOT / "examples" / "walk"
    assert "ok" in invoke("check", str(good / "entry-a.toml"))
    system = str(good / "shared" / "system.toml")
    kocar = str(good / "shared" / "kocar.toml")
    assert "ok" in invoke("check", kocar, "--team", "kocar", "--system", system)
    assert "is not a region" in invoke("check", kocar, "--team", "kocar", code=2)


@pytest.mark.parametrize("command", sorted(cli.main.commands))
def test_every_command_has_help(command):
    assert "Usage" in invoke(command, "--help")


def test_an_unreachable_entry_is_reported():
    shown = invoke("status", "--entry", "127.0.0.1:1", code=7)
    assert "is the entry running there?" in shown


def test_a_difference_lists_old_and_new_values():
    assert output.difference({"a": 1, "b": {"c": 2}}, {"a": 1, "b": {"c": 3}}) == [
        "- /b/c 2",
        "+ /b/c 3",
    ]
    assert msgspec.json.encode(None) == b"null"
