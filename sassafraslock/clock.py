"""Sources of the present time. Deciders take the time as an argument instead."""

from __future__ import annotations

import time


def monotonic_ms() -> int:
    """Return this machine's monotonic time in milliseconds, suspended time included."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms() -> int:
    """Return the time since 1970 in milliseconds; it may jump."""
    return time.time_ns() // 1_000_000
