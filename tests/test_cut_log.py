"""The counts and log lines of cut connections."""

import logging

from sassafraslock.services import cut_log


def unfinished(unanswered=0, unsent_bytes=0, is_receiving=False):
    return cut_log.Unfinished("10.0.0.1", unanswered, unsent_bytes, is_receiving)


def test_only_connections_that_lose_something_are_counted(caplog):
    caplog.set_level(logging.INFO)
    cuts = cut_log.CutLog()
    cuts.record(cut_log.CutCause.STOP, [unfinished()], 0)
    assert not caplog.records
    cut = [unfinished(), unfinished(2), unfinished(0, 5), unfinished(0, 0, True)]
    cuts.record(cut_log.CutCause.STOP, cut, 0)
    assert cuts.counts[cut_log.CutCause.STOP] == 3
    fields = caplog.records[0].fields
    assert (fields["unanswered"], fields["unsent_bytes"], fields["receiving"]) == (2, 5, 1)


# Guards against a log that a crowd of cut connections fills.
def test_lines_are_limited_for_each_cause(caplog):
    caplog.set_level(logging.INFO)
    cuts = cut_log.CutLog()
    for now_ms in range(0, 2_000, 10):
        for cause in (cut_log.CutCause.BLOCKED, cut_log.CutCause.MEMORY):
            cuts.record(cause, [unfinished(1)], now_ms)
    assert len(caplog.records) == 4
    assert cuts.counts[cut_log.CutCause.BLOCKED] == 200
