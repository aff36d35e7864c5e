"""Which servers have which objects in memory, and which should."""
