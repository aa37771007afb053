"""UDP socket for gossip: sends datagrams to all limiters of the fleet and accepts them from these only."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from limiter.codecs.gossip_messages import MAX_MESSAGE_BYTES
from limiter.configuration.addresses import Address
from limiter.configuration.config import GossipConfig

log = logging.getLogger(__name__)

# Limit on the datagrams read in one event loop iteration, so that gossip does not delay requests.
MAX_READS_PER_ITERATION = 64

MessageCallback = Callable[[int, bytes], None]  # Called with the sender's index and the message.


class GossipSocket:
    """A UDP socket that receives messages until it is closed."""

    def __init__(self, config: GossipConfig, own_index: int, on_message: MessageCallback) -> None:
        """Bind the socket and start receiving; the event loop must be running.

        Args:
            config: Listen address of this limiter and addresses of all limiters.
            own_index: Index of this limiter among all limiters.
            on_message: Called with each message from another limiter.

        Raises:
            OSError: The address cannot be bound.
        """
        self._own_index = own_index
        self._on_message = on_message
        self._limiter_indices = {
            limiter_address: index for index, limiter_address in enumerate(config.limiter_addresses)
        }
        self._broadcast_addresses = _select_broadcast_addresses(config, own_index)
        # The last send failed. Reset by a success, so that a persistent failure is logged once.
        self._has_send_failed = False
        self._socket = _bind_socket(config.listen_address)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._read_messages)

    def broadcast(self, message: bytes) -> None:
        """Send a message to all limiters; the message is lost, as any may be, if the send buffer is full."""
        for address in self._broadcast_addresses:
            try:
                self._socket.sendto(message, address)
            except OSError as error:
                if not self._has_send_failed:
                    log.warning("gossip_send_failed error=%r", error)
                self._has_send_failed = True
            else:
                self._has_send_failed = False

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _read_messages(self) -> None:
        for _ in range(MAX_READS_PER_ITERATION):
            try:
                # Reads one byte more than allowed, to distinguish a message that is too long from the longest
                # allowed one.
                message, sender = self._socket.recvfrom(MAX_MESSAGE_BYTES + 1)
            except OSError:  # Nothing left to read, or an earlier send reached a closed port.
                return
            sender_index = self._limiter_indices.get(sender[:2])
            if sender_index is None or sender_index == self._own_index:
                continue
            if len(message) <= MAX_MESSAGE_BYTES:
                self._on_message(sender_index, message)


def _select_broadcast_addresses(config: GossipConfig, own_index: int) -> list[Address]:
    """Return the address that reaches all limiters, if any, or the addresses of all other limiters."""
    if config.broadcast_address:
        return [config.broadcast_address]
    return [
        limiter_address
        for index, limiter_address in enumerate(config.limiter_addresses)
        if index != own_index
    ]


def _bind_socket(listen: Address) -> socket.socket:
    """Return a bound, non-blocking socket."""
    host, _ = listen
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound_socket = socket.socket(family, socket.SOCK_DGRAM)
    bound_socket.setblocking(False)
    bound_socket.bind(listen)
    return bound_socket
