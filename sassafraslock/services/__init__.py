"""Services of an entry: long-running tasks that own its sockets and state."""
