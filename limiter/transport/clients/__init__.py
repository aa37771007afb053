"""Client connections: accepts them, parses requests, writes responses and shuts down gracefully."""
