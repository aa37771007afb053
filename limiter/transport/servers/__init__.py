"""Connections to servers: the pool, dials, and the attempts written on them."""
