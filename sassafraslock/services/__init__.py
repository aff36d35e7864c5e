"""Services of an entry: tasks that own sockets and state."""
