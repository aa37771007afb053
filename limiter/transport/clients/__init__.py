"""Connections of clients: accepting, parsing requests, writing responses, graceful shutdown."""
