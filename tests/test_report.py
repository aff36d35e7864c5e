"""The command ``report``: a known log gives a known report, and damaged logs a clear result."""

import gzip
import importlib.util
import json

import click.testing
import msgspec
import pytest

from sassafraslock import cli, events
from sassafraslock.report import causes, log_files, summary, tables, time_windows

ANSWERED, REFUSED = int(events.Event.REQUEST_ANSWERED), int(events.Event.REQUEST_REFUSED)


def attempt(**fields):
    sent = {"server": "s1", "region": "a", "expected_ms": 100, "load": 0.0, "slots": 3}
    return sent | {"object_is": "known", "took_ms": 100, "verdict": "answered"} | fields


def request(time_s=10.0, event=ANSWERED, took_ms=100, attempts=None, **fields):
    line = {"time_s": time_s, "event": event, "message": "", "service": "shop", "route": "look-up"}
    line |= {"entry_region": "a", "target_ms": 250, "took_ms": took_ms}
    return line | {"attempts": [attempt()] if attempts is None else attempts} | fields


def refusal(time_s=10.0, expected_ms=500, **fields):
    best = {"server": "s1", "region": "a", "expected_ms": expected_ms, "load": 9.0, "slots": 3}
    return request(
        time_s, REFUSED, 1, [], kind="no-capacity", best=best | {"object_is": "home"}, **fields
    )


KNOWN_LOG = [
    {"time_s": 9.0, "event": 1001, "message": "entry started"},
    request(10.1),
    request(10.2, took_ms=400, attempts=[attempt(took_ms=398, load=4.0)]),
    request(10.6, took_ms=420, attempts=[attempt(object_is="new", region="b", took_ms=415)]),
    request(13.0, took_ms=300, attempts=[attempt(verdict="not run"), attempt(took_ms=290)]),
    refusal(13.1),
    refusal(13.2, expected_ms=750),
    request(13.3, int(events.Event.REQUEST_FAILED), attempts=[attempt(verdict="broken")]),
    request(14.9, int(events.Event.REQUEST_ABANDONED), attempts=[]),
]


def run(*arguments, text=None):
    return click.testing.CliRunner().invoke(cli.main, ["report", *arguments], input=text)


def lines_of(requests):
    return "".join(json.dumps(line) + "\n" for line in requests)


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "entries.log"
    path.write_text(lines_of(KNOWN_LOG))
    return path


def test_a_known_log_gives_a_known_report(log, snapshot):
    shown = run(str(log))
    assert shown.exit_code == 0, shown.output
    assert shown.output == snapshot


def test_the_report_is_the_same_from_files_compressed_files_and_standard_input(log, tmp_path):
    packed = tmp_path / "entries.log.gz"
    packed.write_bytes(gzip.compress(log.read_bytes()))
    reports = [run("--json", str(log)), run("--json", str(packed))]
    reports.append(run("--json", "-", text=log.read_text()))
    decoded = [msgspec.json.decode(r.output, type=summary.Report) for r in reports]
    assert decoded[0] == decoded[1] == decoded[2]
    assert decoded[0].routes[0].outcomes.requests == 8


def test_each_late_answer_and_refusal_has_its_cause(log):
    report = msgspec.json.decode(run("--json", str(log)).output, type=summary.Report)
    counted = {(row.outcome, row.cause): row for row in report.causes}
    assert counted[causes.Outcome.LATE, causes.Cause.QUEUE].count == 1
    assert counted[causes.Outcome.LATE, causes.Cause.NEW_OBJECT].count == 1
    assert counted[causes.Outcome.LATE, causes.Cause.SECOND_TRY].count == 1
    refused = counted[causes.Outcome.REFUSED, causes.Cause.EXPECTED_QUEUE]
    assert refused.count == 2
    assert refused.expected_over_target.p90 == pytest.approx(3.0, rel=0.01)


@pytest.mark.parametrize(
    ("line", "cause"),
    [
        (request(attempts=[]), causes.Cause.UNKNOWN),
        (request(attempts=[attempt(cold=True)]), causes.Cause.COLD_SERVER),
        (request(attempts=[attempt(object_is="home")]), causes.Cause.FIRST_AT_HOME),
        (request(attempts=[attempt(region="b")]), causes.Cause.OTHER_REGION),
        (request(attempts=[attempt()]), causes.Cause.SLOW_SERVER),
    ],
)
def test_causes_of_late_answers(line, cause):
    decoded = msgspec.convert(line, log_files.log_lines.LogLine)
    assert causes.of_late_answer(decoded) is cause


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({"kind": "no-server"}, causes.Cause.NO_SERVER),
        ({"kind": "server-rate-limit"}, causes.Cause.RATE_LIMIT),
        ({"kind": "server-paused", "attempts": []}, causes.Cause.PAUSED),
        ({"kind": "server-paused", "attempts": [attempt()]}, causes.Cause.PAUSED),
        ({"kind": "no-server", "attempts": [], "leaving_servers": 2}, causes.Cause.LEAVING_SERVERS),
        ({"kind": "no-capacity", "attempts": [attempt()]}, causes.Cause.REJECTED),
        ({"kind": "no-capacity", "attempts": []}, causes.Cause.NO_CAPACITY),
        ({"kind": "leaving", "attempts": []}, causes.Cause.NOT_READY),
        ({"kind": "link-full", "attempts": []}, "link-full"),
        ({"attempts": []}, causes.Cause.UNKNOWN),
    ],
)
def test_causes_of_refusals(fields, cause):
    line = request(event=REFUSED, **({"attempts": []} | fields))
    assert causes.of_refusal(msgspec.convert(line, log_files.log_lines.LogLine)) == cause


# Guards against refusals for a workspace's share that the report takes for lack of servers.
@pytest.mark.parametrize(
    ("limited_by", "cause"),
    [
        ("fair share", causes.Cause.FAIR_SHARE),
        ("workspace priority", causes.Cause.WORKSPACE_PRIORITY),
        ("route priority", causes.Cause.EXPECTED_QUEUE),
        ("time left", causes.Cause.EXPECTED_QUEUE),
    ],
)
def test_causes_of_refusals_for_a_queue(limited_by, cause):
    line = refusal(limited_by=limited_by)
    assert causes.of_refusal(msgspec.convert(line, log_files.log_lines.LogLine)) == cause


def test_bad_lines_are_counted_and_named_and_the_rest_is_read(tmp_path):
    path = tmp_path / "mixed.log"
    cut = lines_of([request()])[:60]
    wrong = '{"time_s": "noon", "event": 6001}\n'
    path.write_text(
        "from another program\n" + cut + "\n" + wrong + "12.5 node " + lines_of([request()])
    )
    report = msgspec.json.decode(run("--json", str(path)).output, type=summary.Report)
    assert (report.read.events, report.read.foreign, report.read.bad) == (1, 1, 2)
    assert report.read.examples[0].startswith(f"{path}:2: ")
    assert "time_s" in report.read.examples[1]


def test_a_compressed_file_that_breaks_off_is_read_as_far_as_it_goes(tmp_path):
    path = tmp_path / "cut.gz"
    whole = gzip.compress(lines_of([request(n) for n in range(5_000)]).encode(), compresslevel=0)
    path.write_bytes(whole[: len(whole) // 2])
    report = msgspec.json.decode(run("--json", str(path)).output, type=summary.Report)
    assert 1_000 < report.routes[0].outcomes.requests < 4_000
    assert "breaks off" in report.read.examples[-1]


def test_bytes_that_are_no_log_give_an_empty_report(tmp_path):
    path = tmp_path / "image.log"
    path.write_bytes(bytes(range(256)) * 100)
    shown = run(str(path))
    assert shown.exit_code == 0
    assert "0 events" in shown.output


def test_a_missing_file_is_named():
    shown = run("nowhere.log")
    assert shown.exit_code == 2
    assert "nowhere.log" in shown.output


def test_lines_of_former_versions_count_as_answered_without_a_target():
    former = request()
    del former["target_ms"], former["entry_region"]
    report = msgspec.json.decode(run("--json", "-", text=lines_of([former])).output)
    assert report["routes"][0]["outcomes"]["answered"] == 1


def test_windows_widen_so_that_a_long_log_fits_into_memory():
    windows = time_windows.TimeWindows(1.0)
    for at_s in range(10 * time_windows.MAX_WINDOWS):
        windows.add_outcome(1_700_000_000.0 + at_s, causes.Outcome.IN_TARGET)
    items = windows.items()
    assert len(items) <= time_windows.MAX_WINDOWS
    assert sum(w.tally.counts().in_target for _, w in items) == 10 * time_windows.MAX_WINDOWS
    assert windows.window_s == 16.0


def test_routes_beyond_the_limit_are_counted_together(monkeypatch):
    monkeypatch.setattr(summary, "MAX_KEYS", 3)
    summed = summary.Summary(2.0)
    for number in range(10):
        line = request() | {"route": f"r{number}"}
        summed.add(msgspec.convert(line, log_files.log_lines.LogLine))
    report = summed.report(log_files.ReadCounts())
    assert len(report.routes) == 4
    assert report.routes[0].route == summary.OTHER and report.routes[0].outcomes.requests == 7


def test_busy_regions_show_requests_over_the_slots_of_their_servers():
    summed = summary.Summary(2.0)
    for number in range(6):
        attempts = [attempt(took_ms=1_000, server=f"s{number % 2}")]
        line = request(11.0, took_ms=1_000, attempts=attempts)
        summed.add(msgspec.convert(line, log_files.log_lines.LogLine))
    [window] = summed.report(log_files.ReadCounts()).windows
    assert window.regions[0].busy_ratio == pytest.approx(6 * 1.0 / (2.0 * 6))


def test_attempts_in_flight_together_are_busy_at_their_own_times():
    summed = summary.Summary(2.0)
    attempts = [attempt(took_ms=1_500, server=f"s{n}", after_ms=500 * n) for n in range(2)]
    line = request(11.0, took_ms=2_000, attempts=attempts)
    summed.add(msgspec.convert(line, log_files.log_lines.LogLine))
    windows = summed.report(log_files.ReadCounts()).windows
    assert windows[0].regions[0].busy_ratio == pytest.approx(2 * 1.5 / (2.0 * 6))


def test_the_page_has_its_plots_and_tables(log, tmp_path):
    page_path = tmp_path / "report.html"
    assert run(str(log), "--html", str(page_path)).exit_code == 0
    text = page_path.read_text()
    assert text.count("<svg") == 4
    assert "an object new to the server" in text


def test_without_the_plotting_library_the_command_says_how_to_install_it(
    log, tmp_path, monkeypatch
):
    find = importlib.util.find_spec
    monkeypatch.setattr(
        importlib.util, "find_spec", lambda name: None if name == "matplotlib" else find(name)
    )
    shown = run(str(log), "--html", str(tmp_path / "report.html"))
    assert shown.exit_code == 3
    assert "sassafraslock[plots]" in shown.output


def test_an_empty_report_has_all_tables():
    lines = tables.render(summary.Summary(2.0).report(log_files.ReadCounts()))
    assert "Routes" in lines
