"""Questions to a connection's socket, and its end, within the present turn of the event loop.

The event loop reports what a socket received only in its next turn. Where a request is about to be written,
what the kernel has received by now decides whether the connection can still be used.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import Iterator


def has_unread_input(transport: asyncio.WriteTransport) -> bool:
    """Whether the kernel holds bytes, or the peer's end of the stream, that the event loop has not read."""
    poll = select.poll()
    poll.register(_descriptor_of(transport), select.POLLIN)
    return bool(poll.poll(0))


def has_peer_disconnected(transport: asyncio.WriteTransport) -> bool:
    """Whether the peer has closed, reset or half-closed the connection, even behind bytes yet unread."""
    if transport.is_closing():
        return True
    descriptor = _descriptor_of(transport)
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    ready = poll.poll(0)
    if not ready:
        return False
    _, events = ready[0]
    if events & ~select.POLLIN:
        return True
    # Some systems report no hang-up; there the end of the stream shows as a read of no bytes.
    with _borrowed_socket(descriptor) as borrowed:
        try:
            return not borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


def close_at_once(transport: asyncio.WriteTransport) -> None:
    """Shut the socket down in this turn of the event loop, and close the transport.

    `transport.abort` alone closes the socket in a later turn. An attempt that is sent to another server
    before that would overlap with this one.
    """
    if not transport.is_closing():
        with (
            _borrowed_socket(_descriptor_of(transport)) as borrowed,
            contextlib.suppress(OSError),  # The peer has closed the connection already.
        ):
            borrowed.shutdown(socket.SHUT_RDWR)
    transport.abort()


def _descriptor_of(transport: asyncio.WriteTransport) -> int:
    descriptor: int = transport.get_extra_info("socket").fileno()
    return descriptor


@contextlib.contextmanager
def _borrowed_socket(descriptor: int) -> Iterator[socket.socket]:
    """Yield a socket object for a descriptor that the transport goes on to own."""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
    try:
        yield borrowed
    finally:
        borrowed.detach()
