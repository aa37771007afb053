"""Ports of the loopback interface for the tests."""

from __future__ import annotations

import socket


def find_unused_port() -> int:
    """Return a port of the loopback interface on which no process listens."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return int(unused.getsockname()[1])
