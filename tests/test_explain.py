"""The command ``explain`` on the log lines of the examples in docs/OPERATIONS.md."""

import pathlib
import re

import click.testing
import pytest

from sassafraslock import cli, explain

PAGE = (pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()
EXAMPLES = {
    "refused": ("78f837ddcf512da9", ["status 503", "load 11.0", "not run after 3 ms"]),
    "paused": (
        "f6a1c3d09b7e4258",
        ["status 503", "2 asked for a pause", "for_ms=20222", "no attempt"],
    ),
    "key unknown": (
        "q136",
        ["status 401", "settings_in_force: routing intents applied revision=2"],
    ),
    "key unproven": ("q329", ["status 503", "keys_unproven", "age_ms=4954", "store_down"]),
    "timed out": ("49db1ef59c80c3f2", ["status 504", "expected 543 ms", "silent after 2000 ms"]),
    "may have run": (
        "26230febd117e37c",
        ["status 502", "broken after 107 ms", "before: 42.676 server_ejected", "Refused"],
    ),
}


def example_lines(name):
    part = PAGE.partition(f"<!-- walk: {name} -->")[2].partition("\n\n")[0]
    return re.findall(r"^    (\{.*\})$", part, re.MULTILINE)


@pytest.mark.parametrize("name", list(EXAMPLES))
def test_each_example_leads_from_the_request_id_to_the_cause(name, tmp_path):
    request_id, expected = EXAMPLES[name]
    lines = [line for other in EXAMPLES for line in example_lines(other)]
    log = tmp_path / "entries.log"
    log.write_text("rubbish\n{not json}\n" + "\n".join(f"12.5 entry-a {line}" for line in lines))
    shown = click.testing.CliRunner().invoke(cli.main, ["explain", request_id, "--log", str(log)])
    assert shown.exit_code == 0, shown.output
    for text in expected:
        assert text in shown.output
    assert shown.output.count("status") == 1


def test_an_unknown_id_is_refused_with_the_logs_to_give():
    shown = click.testing.CliRunner().invoke(cli.main, ["explain", "nobody"], input="")
    assert shown.exit_code == 3
    assert "every entry" in shown.output


def test_events_long_before_the_request_are_left_out():
    lines = explain.parse(example_lines("may have run"))
    lines[0]["time_s"] -= explain.CONTEXT_S + 1
    report = "\n".join(explain.explain(lines, "26230febd117e37c"))
    assert "server_ejected" not in report


def test_the_rate_limits_behind_a_refusal_are_shown():
    limit = {"time_s": 5.0, "event": 5008, "name": "server_limit_changed", "message": "named"}
    limits = [{**limit, "server": "i-1", "service": "s", "limit_per_s": 1.5}]
    limits.append({**limit, "server": "i-2", "service": "other", "limit_per_s": 2.5})
    refusal = {"time_s": 6.0, "event": 6002, "name": "request_refused", "message": "no room"}
    refusal |= {"request": "q", "service": "s", "kind": "server-rate-limit", "limited_servers": 1}
    report = "\n".join(explain.explain([*limits, refusal], "q"))
    assert "left out at their rate limits: 1" in report
    assert "limit_per_s=1.5" in report and "limit_per_s=2.5" not in report


@pytest.mark.parametrize(
    "field, number, told, text",
    [
        ("paused_servers", 5012, {"for_ms": 60_000}, "in pauses that they asked for: 1"),
        ("leaving_servers", 5010, {"heard_from": "peer"}, "since they leave: 1"),
    ],
)
def test_what_servers_asked_for_is_shown_however_long_ago(field, number, told, text):
    """Guards against a refusal whose cause was logged more than ten seconds before."""
    event = {"event": number, "name": "asked", "message": "asked", "server": "i-1", "service": "s"}
    lines = [{**event, **told, "time_s": 5.0}, {**event, "time_s": 6.0, "service": "other"}]
    refusal = {"time_s": 50.0, "event": 6002, "name": "request_refused", "message": "none left"}
    refusal |= {"request": "q", "service": "s", field: 1}
    report = "\n".join(explain.explain([*lines, refusal], "q"))
    assert text in report and report.count("before:") == 1
    assert all(f"{name}={value}" in report for name, value in told.items())


def test_the_start_that_an_attempt_was_placed_for_and_the_one_taken_up_are_shown():
    restarted = {"time_s": 5.0, "event": 5015, "name": "restarted", "message": "again"}
    restarted |= {"server": "i-1", "born_ms": 8}
    attempt = {"server": "i-1", "region": "a", "load": 1.0, "expected_ms": 9, "verdict": "broken"}
    attempt |= {"took_ms": 1, "born_ms": 7, "connection": "kept", "cold": True}
    failed = {"time_s": 6.0, "event": 6003, "name": "request_failed", "message": "broken"}
    failed |= {"request": "q", "service": "s", "attempts": [attempt]}
    report = "\n".join(explain.explain([restarted, failed], "q"))
    assert "cold, start 7, kept connection): broken" in report and "born_ms=8" in report
