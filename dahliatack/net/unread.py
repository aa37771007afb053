"""What the kernel holds of a connection that the loop has not come to yet."""

from __future__ import annotations

import asyncio
import select


def unread(transport: asyncio.Transport) -> bool:
    """Whether bytes, or the other side's end, wait to be read: asked where a connection is closed or used."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
