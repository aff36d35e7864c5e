"""The rate limits that a stand-in server names by turns."""

from sassafraslock.standin import limit_schedule

PERIODS = range(0, 40 * limit_schedule.PERIOD_MS, limit_schedule.PERIOD_MS)


def limits(seed, started_ms, path):
    schedule = limit_schedule.LimitSchedule(seed, str(path), started_ms)
    return [schedule.limit_per_s(started_ms + at_ms) for at_ms in PERIODS]


def test_a_seed_names_the_same_limits_whenever_the_server_starts(tmp_path):
    named = limits(3, 0, tmp_path / "j")
    assert named == limits(3, 5_555_555, tmp_path / "j") != limits(4, 0, tmp_path / "j")
    assert set(named) == {None, *limit_schedule.LIMITS_PER_S}


def test_each_request_is_in_the_journal_with_the_limit_of_its_answer(tmp_path):
    schedule = limit_schedule.LimitSchedule(3, str(tmp_path / "j"), 0)
    named = [schedule.record(f"e-{at_ms}", at_ms) for at_ms in PERIODS]
    rows = [line.split() for line in (tmp_path / "j").read_text().splitlines()]
    assert [row[:2] for row in rows] == [[str(at_ms), f"e-{at_ms}"] for at_ms in PERIODS]
    assert [float(row[2]) for row in rows] == [-1.0 if n is None else n for n in named]
