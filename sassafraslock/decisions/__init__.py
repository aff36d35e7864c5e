"""Decisions without I/O: state and rules that take the current time as an argument."""
