"""The first seconds of a large system whose entries and servers start at once, on virtual time."""

from benchmarks import start


# Guards against first requests that leave their planned region to probe servers which have joined:
# at the start all servers have, so that a quarter of a region's requests changed region after 2 s.
def test_the_first_seconds_shift_no_more_traffic_than_later_ones():
    assert start.play(1, start.CALM, 1.0) <= start.MAX_SHIFT
