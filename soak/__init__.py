"""Randomized soak of real processes under faults from outside; callers and servers judge."""
