"""Clocks of this machine. The modules in ``decisions`` take the time as an argument instead."""

from __future__ import annotations

import time


def monotonic_ms() -> int:
    """Return milliseconds since this machine booted, including time that it was suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms() -> int:
    """Return milliseconds since 1970; the clock may be set forward or back."""
    return time.time_ns() // 1_000_000
