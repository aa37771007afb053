"""Connections to servers: the connection pool, connection setup, and the attempts sent on them."""
