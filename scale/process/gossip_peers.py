"""Emulation of the other limiters, which send and receive gossip."""

from __future__ import annotations

import asyncio
import socket
import struct
from random import Random
from typing import TypedDict

from scale.process.fleet import encode_gossip_message
from scale.process.traffic import Traffic

# Linux's control message that gives the source address of one datagram, see ip(7).
IP_PKTINFO = 8
# Bytes of a datagram that are read at most.
DATAGRAM_BYTES = 2048


class GossipConfig(TypedDict):
    """The keys of a limiter's configuration that are about gossip; addresses are `host:port`."""

    peer_listen: str
    peers: list[str]
    peers_all: str


class GossipPeers:
    """The other limiters: each has its own address in 127.64/10, and all share one socket."""

    def __init__(self, limiters: int, customers: list[int], entries: int, rng: Random) -> None:
        """Emulate all limiters but number 0; a message reports on `entries` of the customers."""
        self.traffic = Traffic()
        self.datagrams_sent = 0  # datagrams to the limiter under test
        self.received = 0  # datagrams from the limiter under test
        # Messages sent or dropped so far, by which the next sender is chosen.
        self.next_message_index = 0
        self._limiters = limiters
        self._customers = customers
        self._entries = entries
        self._rng = rng
        self._sender = _udp_socket()
        self._receiver = _udp_socket()
        # The socket's address is free again once it is closed; the limiter under test binds it.
        with _udp_socket() as reserved:
            self.limiter_address: tuple[str, int] = reserved.getsockname()
        self._port = self._sender.getsockname()[1]

    def start(self) -> None:
        """Read what the limiter under test sends."""
        asyncio.get_running_loop().add_reader(self._receiver, self._read)

    def close(self) -> None:
        """Stop reading, and close the sockets."""
        asyncio.get_running_loop().remove_reader(self._receiver)
        self.close_sockets()

    def close_sockets(self) -> None:
        """Close the sockets of peers that were not started."""
        self._sender.close()
        self._receiver.close()

    def build_config(self) -> GossipConfig:
        """The keys on gossip of the configuration of the limiter under test."""
        own = "{}:{}".format(*self.limiter_address)
        peers = [f"{peer_host(number)}:{self._port}" for number in range(1, self._limiters)]
        broadcast = "{}:{}".format(*self._receiver.getsockname())
        return {"peer_listen": own, "peers": [own, *peers], "peers_all": broadcast}

    def send_message(self) -> None:
        """Send one message of the next peer, in the order of their numbers."""
        number = 1 + self.next_message_index % (self._limiters - 1)
        self.next_message_index += 1
        customers = self._rng.sample(self._customers, min(self._entries, len(self._customers)))
        body = encode_gossip_message(self._rng, customers)
        source = struct.pack("=I4s4s", 0, socket.inet_aton(peer_host(number)), bytes(4))
        packet_info = (socket.IPPROTO_IP, IP_PKTINFO, source)
        try:
            self._sender.sendmsg([body], [packet_info], 0, self.limiter_address)
        except BlockingIOError:
            return
        self.datagrams_sent += 1
        self.traffic.sent(body)

    def _read(self) -> None:
        try:
            while body := self._receiver.recv(DATAGRAM_BYTES):
                self.received += 1
                self.traffic.received(body)
        except BlockingIOError:
            pass


def peer_host(number: int) -> str:
    """Address of the limiter with that number."""
    return f"127.{64 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


def _udp_socket() -> socket.socket:
    """Open a socket on a free port of loopback that does not block."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.bind(("127.0.0.1", 0))
    udp_socket.setblocking(False)
    return udp_socket
