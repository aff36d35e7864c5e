"""The table of client blocks: lookups, damaged parts and invalid input lines."""

import ipaddress

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from sassafraslock.decisions import client_blocks

RANGES = st.lists(st.integers(0, (1 << 32) - 1), min_size=2, max_size=60, unique=True)


@hypothesis.given(RANGES, st.lists(st.integers(0, (1 << 32) - 1), max_size=30))
@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
def test_lookups_agree_with_a_linear_search(ends, random_addresses):
    ends = sorted(ends)
    blocks = [
        client_blocks.Block(first, min(last - 1, first + (3 << 16)), number % 5)
        for number, (first, last) in enumerate(zip(ends[::2], ends[1::2], strict=False))
    ]
    table = client_blocks.ClientBlocks()
    table.sites = [f"r/{n}" for n in range(5)]
    for part, raw in client_blocks.pack(client_blocks.build(blocks)).items():
        table.install(part, raw)
    for address in [*random_addresses, *ends, *(b.last for b in blocks)]:
        covering = [b for b in blocks if b.first <= address <= b.last]
        expected = f"r/{covering[0].site}" if covering else ""
        assert table.site_of(address) == expected


def test_a_damaged_part_leaves_the_table_unchanged():
    table = client_blocks.ClientBlocks()
    table.sites = ["r/a"]
    first = int(ipaddress.IPv4Address("10.0.0.0"))
    (raw,) = client_blocks.pack(
        client_blocks.build([client_blocks.Block(first, first + 255, 0)])
    ).values()
    table.install(10, raw)
    for damaged in (raw[:-3], b"", b"\xff" * 9):
        with pytest.raises(msgspec.DecodeError):
            table.install(10, damaged)
    assert table.site_of(first) == "r/a"


def test_errors_in_blocks_name_the_invalid_line():
    sites, blocks = client_blocks.parse_table(["10.0.1.0/24,r/b", "", "10.0.0.0/24,r/a"])
    assert sites == ["r/b", "r/a"]
    assert [b.site for b in blocks] == [1, 0]
    with pytest.raises(ValueError, match="line 1: .*write 10.0.3.0/24"):
        client_blocks.parse_table(["10.0.0/8,x"])
    with pytest.raises(ValueError, match="overlaps"):
        client_blocks.build(client_blocks.parse_table(["10.0.0.0/8,a", "10.1.0.0/16,b"])[1])
