"""Stand-ins for the platform, backend servers and callers, with fault switches."""
