"""Process and shared settings: checks report every problem; examples and docs are in line."""

import dataclasses
import pathlib

import pytest

from sassafraslock import (
    commands,
    entry,
    errors,
    events,
    settings,
    settings_check,
    shared_settings,
    workspace_settings,
    workspaces,
)
from sassafraslock.standin import platform as standin

ROOT = pathlib.Path(__file__).parent.parent
PROCESS_FILES = sorted(ROOT.glob("examples/*/entry-*.toml"))
SHARED_FOLDERS = sorted(ROOT.glob("examples/*/shared"))


@pytest.mark.parametrize("path", PROCESS_FILES, ids=lambda p: p.stem)
def test_example_process_settings_are_valid(path):
    assert isinstance(settings.load(path.read_text()), settings.Settings)


@pytest.mark.parametrize("folder", SHARED_FOLDERS, ids=lambda p: p.parent.name)
def test_example_shared_settings_are_valid(folder):
    memory = standin.MemoryPlatform()
    assert commands.store_initial_settings(memory, folder) == []
    assert "settings/system" in memory.rows


@pytest.mark.parametrize(
    ("firm", "service", "servers", "slots", "connections"),
    [
        ("kocar-dnevniki/shared/kocar", "logbook", 24, 3, 330),
        ("kocar-dnevniki/shared/kocar", "ledger", 12, 3, 330),
        ("pryce-morgan/shared/pryce", "notice-desk", 34, 6, 390),
        ("pryce-morgan/shared/pryce", "withdrawal-desk", 12, 3, 390),
        ("ridewell/shared/ridewell", "stopfinder", 16, 3, 390),
        ("ridewell/shared/ridewell", "seatdesk", 12, 3, 390),
        ("ridewell/shared/ridewell", "busboard", 14, 3, 390),
    ],
)
def test_examples_have_as_many_servers_as_the_firms(firm, service, servers, slots, connections):
    raw = settings_check.parse_toml((ROOT / "examples" / f"{firm}.toml").read_text())
    listed = raw["services"][service]["servers"].values()
    assert len(listed) == servers
    assert {(s["slots"], s["connections"]) for s in listed} == {(slots, connections)}


def test_all_problems_are_reported_at_once(snapshot):
    text = """
entry_id = "Not Good"
region = "gorenjska"
zonee = "a"
peer_token = "short"
[caller]
host = "localhost"
port = 70000
[peer]
host = "10.0.0.1"
"""
    assert [str(p) for p in settings.load(text)] == snapshot


def test_values_are_checked_after_types():
    text = PROCESS_FILES[0].read_text().replace("10.20.1.2", "entry.example").replace("-peers", "")
    text = text.replace('peer_token = "change-me-kocar"', 'peer_token = "x"')
    shown = "\n".join(map(str, settings.load(text)))
    assert "caller.host: 'entry.example' is not an IP address; give one such as 10.0.0.7" in shown
    assert "peer_token: is too short: 1 of 8 characters; use 8 characters or more" in shown


def test_invalid_toml_is_one_problem():
    (problem,) = settings.load("entry_id = ")
    assert "not valid TOML" in problem.message


SYSTEM = shared_settings.TeamSettings(regions={"r1": shared_settings.Region(10, 4)})
SERVER = {"region": "r1", "zone": "a", "host": "10.0.0.1", "port": 80}
SHARED_FAULTS = [
    ({"servers": {"s": {**SERVER, "region": "r9"}}}, "services.x.servers.s.region"),
    ({"servers": {"s": {**SERVER, "connections": 3}}}, "services.x.servers.s.connections"),
    ({"servers": {"s": {**SERVER, "slots": 0}}}, "services.x.servers.s.slots"),
    ({"servers": {"s": {**SERVER, "state": "gone"}}}, "services.x.servers.s.state"),
    ({"servers": {}, "deadline_ms": 9, "max_deadline_ms": 3}, "services.x.deadline_ms"),
    ({"servers": {"s": SERVER}, "split": {"r1": {"r1": 0.7}}}, "services.x.split.r1"),
    ({"servers": {"s": SERVER}, "split": {"r1": {"r2": 1.0}}}, "services.x.split.r1.r2"),
    ({"servers": {"s": SERVER}, "shift_cap_ratio": 0}, "services.x.shift_cap_ratio"),
    ({}, "services.x.servers"),
]


@pytest.mark.parametrize(("service", "path"), SHARED_FAULTS)
def test_a_problem_of_shared_settings_has_path_and_fix(service, path):
    problems = shared_settings.load_team("t", {"services": {"x": service}}, SYSTEM)
    assert path in [p.path for p in problems]
    assert all(p.fix for p in problems)


def test_only_the_system_team_sets_regions():
    (problem,) = shared_settings.load_team("t", {"regions": {"r": {"max_in_flight": 3}}}, SYSTEM)
    assert "system team" in problem.message


def rows_of(page):
    text = (ROOT / "docs" / page).read_text()
    return [line.split("|")[1:-1] for line in text.splitlines() if line.startswith("| ")]


def test_the_settings_page_names_every_setting():
    documented = {row[0].strip() for row in rows_of("SETTINGS.md")}
    classes = [
        settings.Settings, settings.Address, settings.Operator, settings.Platform,
        settings.Logging, shared_settings.TeamSettings, shared_settings.Service,
        shared_settings.Server, shared_settings.Shift, shared_settings.Region,
        shared_settings.Link, shared_settings.Claims, settings.Keys,
        settings.Quotas, workspace_settings.Workspace,
    ]  # fmt: skip
    expected = {f"`{f.name}`" for cls in classes for f in dataclasses.fields(cls)}
    assert documented - {"name", "---"} == expected


def test_the_events_page_and_the_code_agree():
    documented = {
        (r[0].strip(), r[1].strip()) for r in rows_of("EVENTS.md") if r[0].strip().isdigit()
    }
    assert documented == {(str(int(e)), e.name) for e in events.Event}


def test_the_callers_page_has_the_table_of_kinds():
    documented = {
        r[0].strip(): (r[1].strip(), r[2].strip()) for r in rows_of("CALLERS.md") if len(r) == 3
    }
    for kind, error in errors.ERROR_PROPERTIES.items():
        assert documented[kind.value] == (str(error.status), "yes" if error.not_run else "no")


DIGEST = workspaces.digest_key(b"a key").hex()


# Guards against a key that is put where its digest belongs, and then shown by the refusal.
@pytest.mark.parametrize(
    ("changes", "path", "fix"),
    [
        ({"key_digests": ["secret-key"]}, "workspaces.w.key_digests[0]", "key digest"),
        ({"key_digests": [DIGEST, DIGEST]}, "workspaces.w.key_digests[1]", "remove one"),
        ({"regions": ["nowhere"]}, "workspaces.w.regions", "use a"),
        ({"burst": 5.0}, "workspaces.w.burst", "rate_per_s"),
        ({"priority": -1}, "workspaces.w.priority", "range"),
        ({"prioritty": 1}, "workspaces.w.prioritty", "did you mean priority"),
    ],
)
def test_a_problem_of_a_workspace_has_path_and_fix(changes, path, fix):
    document = {"regions": {"a": {"max_in_flight": 9}}, "workspaces": {"w": changes}}
    [problem] = shared_settings.load_team("system", document, shared_settings.TeamSettings())
    assert problem.path == path and fix in problem.fix
    assert "secret-key" not in str(problem)


def test_two_workspaces_hold_no_common_key():
    both = {"w": {"key_digests": [DIGEST]}, "x": {"key_digests": [DIGEST]}}
    document = {"workspaces": both}
    [problem] = shared_settings.load_team("system", document, shared_settings.TeamSettings())
    assert problem.path == "workspaces.x.key_digests[0]" and "of w too" in problem.message


def test_only_the_system_team_sets_workspaces():
    system = shared_settings.TeamSettings()
    [problem] = shared_settings.load_team("k", {"workspaces": {"w": {}}}, system)
    assert problem.path == "workspaces" and "/system" in problem.fix


def test_bounds_of_keys_and_quotas_reach_the_entry():
    text = PROCESS_FILES[0].read_text()
    loaded = settings.load(
        text + "\n[keys]\nrevoke_ms = 5000\n[quotas]\nwindow_ms = 5000\nslack = 12.0\n"
    )
    bounds = entry.convert_settings(loaded).bounds
    assert (bounds.revoke_ms, bounds.quota_window_ms) == (5_000, 5_000)
    assert (bounds.quota_overage, bounds.quota_slack) == (0.1, 12.0)
    plain = entry.convert_settings(settings.load(text)).bounds
    assert plain.revoke_ms is None and plain.quota_window_ms == 0
    [problem] = settings.load(text + "\n[keys]\nrevoke_ms = 1000\n")
    assert problem.path == "keys.revoke_ms" and "2000" in problem.fix
