"""What is asked of a connection's socket, or done to it, in this very turn of the loop."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket


def unread(transport: asyncio.WriteTransport) -> bool:
    """Whether bytes, or the other side's end, wait to be read: asked where a connection is closed or used."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def cut(transport: asyncio.WriteTransport) -> None:
    """End a connection now: an abort closes it in a later turn, and an attempt sent before would overlap."""
    if not transport.is_closing():
        borrowed = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, 0, fileno=transport.get_extra_info("socket").fileno()
        )
        with contextlib.suppress(OSError):  # the other side was first
            borrowed.shutdown(socket.SHUT_RDWR)
        borrowed.detach()  # the transport goes on to own it
    transport.abort()
