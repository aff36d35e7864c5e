"""Reports on what became of requests, from the log lines of entries."""
