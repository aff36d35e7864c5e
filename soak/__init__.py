"""Randomized soak of real processes under injected faults, checked at callers and servers."""
