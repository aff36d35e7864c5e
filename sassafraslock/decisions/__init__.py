"""Pure deciders: no I/O, the present time is an argument."""
