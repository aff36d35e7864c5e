"""Limits on requests that hold summed over all entries, without a central counter."""
