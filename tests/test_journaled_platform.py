"""A platform stand-in that starts again has the rows that it acknowledged."""

import pytest

from sassafraslock import platform
from sassafraslock.standin import journaled_platform


def put(key, value):
    return platform.Transaction(puts=[platform.Put(key, value)], reads=[key])


# Guards against a soak that finds a request run twice, since the stand-in had lost its claim.
@pytest.mark.parametrize("cut_bytes", [0, 1, 3])
def test_rows_and_versions_outlive_the_process(tmp_path, cut_bytes):
    path = tmp_path / "rows"
    first = journaled_platform.JournaledPlatform(path)
    first.apply(put("a", b"1"))
    first.apply(put("b", b"2"))
    first.apply(platform.Transaction(deletes=["a"]))
    if cut_bytes:
        first.apply(put("c", b"3"))
        path.write_bytes(path.read_bytes()[:-cut_bytes])
    again = journaled_platform.JournaledPlatform(path)
    assert again.keys == ["b"] and again.rows["b"] == platform.Row("b", 2, b"2")
    assert again.apply(put("b", b"4")).rows[0].version == 4
    assert journaled_platform.JournaledPlatform(path).rows == again.rows
