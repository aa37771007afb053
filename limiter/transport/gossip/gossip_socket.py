"""Datagrams between limiters: sent to all members of the fleet, received from members only."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from limiter.codecs.gossip_messages import MAX_MESSAGE_BYTES
from limiter.configuration.config import GossipConfig

log = logging.getLogger(__name__)

MAX_READS_PER_TURN = 64  # of the event loop: then requests get their turn

MessageCallback = Callable[[int, bytes], None]  # index of the sender, message


class GossipSocket:
    """A UDP socket that is read for as long as it is open."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: GossipConfig,
        own_index: int,
        on_message: MessageCallback,
    ) -> None:
        """Bind and read; raise OSError where the address cannot be bound.

        Args:
            loop: the event loop.
            config: addresses of this limiter and of all members.
            own_index: index of this limiter among the members.
            on_message: called with each message of another member.
        """
        self.loop = loop
        self.own_index = own_index
        self.on_message = on_message
        self.indices = {address: index for index, address in enumerate(config.members)}
        # One address may stand for all members; without it each of them is sent to.
        others = [address for index, address in enumerate(config.members) if index != own_index]
        self.targets = [config.everyone] if config.everyone else others
        self.has_send_failed = False  # the last send; logged once until a message leaves again
        family = socket.AF_INET6 if ":" in config.listen[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(config.listen)
        loop.add_reader(self.socket, self._read)

    def broadcast(self, body: bytes) -> None:
        """Send to all; what the kernel has no buffer for is lost, as any datagram may be."""
        for target in self.targets:
            try:
                self.socket.sendto(body, target)
            except OSError as error:
                if not self.has_send_failed:
                    log.warning("gossip_send_failed error=%r", error)
                self.has_send_failed = True
            else:
                self.has_send_failed = False

    def close(self) -> None:
        """Stop to read, and close the socket."""
        self.loop.remove_reader(self.socket)
        self.socket.close()

    def _read(self) -> None:
        for _ in range(MAX_READS_PER_TURN):
            try:
                # One byte more than allowed, so that a longer message is seen to be longer.
                body, sender = self.socket.recvfrom(MAX_MESSAGE_BYTES + 1)
            except OSError:  # nothing more to read, or the kernel reports that an earlier send met nobody
                return
            index = self.indices.get(sender[:2])
            if index is not None and index != self.own_index and len(body) <= MAX_MESSAGE_BYTES:
                self.on_message(index, body)
