"""The interface of reports that entries send to each other by gossip."""

from __future__ import annotations

import typing

ReportT = typing.TypeVar("ReportT")


class ReportExchange(typing.Protocol[ReportT]):
    """Reports that entries nearby send to each other, by answers to this entry or to others."""

    def recent_reports(self, now_ms: int) -> list[ReportT]:
        """Return the recent reports to send, each with its age.

        :param now_ms: the current monotonic time.
        """

    def merge_reports(self, reports: list[ReportT], now_ms: int) -> None:
        """Merge the reports that another entry sent.

        :param reports: the reports, each with its age.
        :param now_ms: the current monotonic time.
        """
