"""Round trips to servers of other regions, also to those that this entry has not connected to."""

from __future__ import annotations

UNKNOWN_MS = 100.0  # between two regions, before the first connection


class RegionDistances:
    """The latest round trip that was measured to each region."""

    __slots__ = ("_own", "_latest_ms")

    def __init__(self, own: str) -> None:
        self._own = own
        self._latest_ms: dict[str, float] = {}

    def missing_ms(self, region: str, rtt_ms: float) -> float:
        """Return the round trip to expect at a server, 0 if its estimates hold a measured one.

        :param region: the region of the server.
        :param rtt_ms: the round trip that was measured to the server, 0 for none.
        """
        if region == self._own:
            return 0.0
        if rtt_ms > 0:
            self._latest_ms[region] = rtt_ms
            return 0.0
        return self._latest_ms.get(region, UNKNOWN_MS)
