"""Checks and closes a connection's socket immediately, without waiting for the event loop.

The event loop reports received data and disconnections only in its next iteration. Before a request is
written, the state of the socket in the kernel decides whether the connection can still be used.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import Iterator


def has_unread_input(transport: asyncio.WriteTransport) -> bool:
    """Return whether the kernel holds bytes or an end of stream that the event loop has not read yet."""
    poll = select.poll()
    poll.register(_get_file_descriptor(transport), select.POLLIN)
    return bool(poll.poll(0))


def has_peer_disconnected(transport: asyncio.WriteTransport) -> bool:
    """Return whether the peer has closed, reset or half-closed the connection, even if input is unread."""
    if transport.is_closing():
        return True
    descriptor = _get_file_descriptor(transport)
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    ready = poll.poll(0)
    if not ready:
        return False
    _, events = ready[0]
    if events & ~select.POLLIN:
        return True
    # Some systems do not report a hang-up event. There, a read of zero bytes shows the end of the stream.
    with _socket_for_descriptor(descriptor) as sock:
        try:
            return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


def close_socket_immediately(transport: asyncio.WriteTransport) -> None:
    """Shut the socket down in the current iteration of the event loop, and close the transport.

    `transport.abort` alone would close the socket in a later iteration. An attempt that is sent to another
    server in the meantime would overlap with the attempt on this connection.
    """
    if not transport.is_closing():
        with (
            _socket_for_descriptor(_get_file_descriptor(transport)) as sock,
            contextlib.suppress(OSError),  # The peer has already closed the connection.
        ):
            sock.shutdown(socket.SHUT_RDWR)
    transport.abort()


def _get_file_descriptor(transport: asyncio.WriteTransport) -> int:
    descriptor: int = transport.get_extra_info("socket").fileno()
    return descriptor


@contextlib.contextmanager
def _socket_for_descriptor(descriptor: int) -> Iterator[socket.socket]:
    """Yield a socket object for a file descriptor that the transport continues to own."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
    try:
        yield sock
    finally:
        sock.detach()
