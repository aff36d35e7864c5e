"""What servers report in headers: odd values are no reports."""

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock.decisions import server_health
from sassafraslock.path import attempt_recorder


@pytest.mark.parametrize("value", [b"1,2,3", b" 1 ,\t2, 3 "])
def test_a_load_is_three_numbers(value):
    assert attempt_recorder._parse_load(value) == server_health.ReportedLoad(1, 2, 3)


# Guards against a figure behind the three counts that costs them, as if no load were known.
@pytest.mark.parametrize(
    "value, percent",
    [(b"1,2,3,250", 250), (b"1,2,3, 90 ", 90), (b"1,2,3,250,7", 250), (b"1,2,3,", 0),
     (b"1,2,3,nan", 0), (b"1,2,3,-5", 0), (b"1,2,3,0", 0), (b"1,2,3," + b"9" * 20, 0),
     (b"1,2,3,1e9,100", 0), (b"1,2,3,2.5", 0)],
)  # fmt: skip
def test_a_fourth_figure_is_a_percentage_and_never_costs_the_others(value, percent):
    assert attempt_recorder._parse_load(value) == server_health.ReportedLoad(1, 2, 3, percent)


ODD_LOADS = [b"", b"1,2", b"-1,0,3", b"nan,0,3", b"1e9,0,3", b"1.5,0,3", b"+1,0,3",
             b"\xd9\xa1,0,3", b"9" * 20 + b",0,3", b"9" * 5_000 + b",0,3", b"1_0,0,3"]  # fmt: skip


# Guards against a load of 20 digits, which no gossip message can carry and which ended the gossip,
# and one of 5,000, which failed the request that it came with.
@pytest.mark.parametrize("value", ODD_LOADS, ids=lambda v: str(v)[:24])
def test_an_odd_load_is_no_report(value):
    assert attempt_recorder._parse_load(value) is None


@hypothesis.given(st.binary() | st.from_regex(rb"[0-9]*,[0-9]*,[0-9]*(,.*)?"))
@hypothesis.settings(deadline=None, derandomize=True)
def test_no_load_raises(value):
    found = attempt_recorder._parse_load(value)
    assert found is None or 0 <= found.remaining(True) < 2_000_000
