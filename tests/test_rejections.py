"""Odd entries are counted, and logged once each within a bound."""

import pytest

from sassafraslock import events
from sassafraslock.services import rejections


@pytest.mark.parametrize(
    "records, counted, logged",
    [
        ([("k", 1)], 1, 1),
        ([("k", 1)] * 5, 5, 1),
        ([("k", 1), ("k", 2), ("j", 1)], 3, 3),
        ([(f"k{n}", 1) for n in range(900)], 900, rejections.MAX_LINES),
    ],
)
def test_each_entry_is_logged_once(records, counted, logged, caplog):
    found = rejections.Rejections()
    for key, version in records:
        reason = "x" * 9_000
        found.record(events.Event.ROW_UNREADABLE, "servers", reason, 5, key=key, version=version)
    assert found.counts == {"servers": counted}
    assert len(caplog.records) == logged
    assert all(len(r.getMessage()) == rejections.MAX_REASON_CHARS for r in caplog.records)


def test_lines_are_logged_again_after_the_window(caplog):
    found = rejections.Rejections()
    for now_ms in (0, rejections.LINES_WINDOW_MS):
        for number in range(rejections.MAX_LINES + 3):
            key = f"{now_ms}-{number}"
            found.record(events.Event.ROW_UNREADABLE, "servers", "odd", now_ms, key=key)
    assert len(caplog.records) == 2 * rejections.MAX_LINES
