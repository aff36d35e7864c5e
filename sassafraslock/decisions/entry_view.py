"""The entries, as the decisions that involve several of them see them."""

from __future__ import annotations

import typing


class EntryView(typing.Protocol):
    """This entry's view of all entries, which may be outdated."""

    def live_ids(self, region: str = "") -> list[str]:
        """Return the ids of the live entries, including this one.

        :param region: if not empty, only entries of this region are returned.
        """

    def known_ids(self, region: str = "") -> list[str]:
        """Return the ids of all entries that are not leaving, including this and silent ones.

        :param region: if not empty, only entries of this region are returned.
        """
