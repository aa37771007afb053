"""Datagrams between limiters: sent to all members of the fleet, received from members only."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from limiter.codecs.gossip_messages import MAX_MESSAGE_BYTES
from limiter.configuration.addresses import Address
from limiter.configuration.config import GossipConfig

log = logging.getLogger(__name__)

# Datagrams that are read in one turn of the event loop. Others wait, so that requests get their turn.
MAX_READS_PER_TURN = 64

MessageCallback = Callable[[int, bytes], None]  # Called with the sender's index and the message.


class GossipSocket:
    """A UDP socket that is read for as long as it is open."""

    def __init__(self, config: GossipConfig, own_index: int, on_message: MessageCallback) -> None:
        """Bind and read; the event loop must be running.

        Args:
            config: addresses of this limiter and of all members.
            own_index: index of this limiter among the members.
            on_message: called with each message of another member.

        Raises:
            OSError: the address cannot be bound.
        """
        self._own_index = own_index
        self._on_message = on_message
        self._member_indices = {member: index for index, member in enumerate(config.members)}
        self._targets = _targets(config, own_index)
        self._has_send_failed = (
            False  # The last send failed; that is logged once until a message leaves again.
        )
        self._socket = _bind(config.listen)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._read)

    def broadcast(self, message: bytes) -> None:
        """Send to all members; what the kernel has no buffer for is lost, as any datagram may be."""
        for target in self._targets:
            try:
                self._socket.sendto(message, target)
            except OSError as error:
                if not self._has_send_failed:
                    log.warning("gossip_send_failed error=%r", error)
                self._has_send_failed = True
            else:
                self._has_send_failed = False

    def close(self) -> None:
        """Stop reading, and close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        for _ in range(MAX_READS_PER_TURN):
            try:
                # One byte more than allowed is read, so that a longer message can be told from the longest.
                message, sender = self._socket.recvfrom(MAX_MESSAGE_BYTES + 1)
            except OSError:  # There is nothing more to read, or an earlier send met a closed port.
                return
            sender_index = self._member_indices.get(sender[:2])
            if sender_index is None or sender_index == self._own_index:
                continue
            if len(message) <= MAX_MESSAGE_BYTES:
                self._on_message(sender_index, message)


def _targets(config: GossipConfig, own_index: int) -> list[Address]:
    """Return where a broadcast goes: to one address that stands for all members, or to each other member."""
    if config.everyone:
        return [config.everyone]
    return [member for index, member in enumerate(config.members) if index != own_index]


def _bind(listen: Address) -> socket.socket:
    """Return a bound socket that does not block."""
    host, _ = listen
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.bind(listen)
    return bound
