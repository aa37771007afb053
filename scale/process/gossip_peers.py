"""Emulation of the other limiters, which send and receive gossip."""

from __future__ import annotations

import asyncio
import socket
import struct
from random import Random
from typing import TypedDict

from scale.process.fleet import encode_gossip_message
from scale.process.traffic import Traffic

# Type of the Linux control message that sets the source address of a datagram; see ip(7).
IP_PKTINFO = 8
# Number of bytes of a datagram that are read; the rest is discarded.
MAX_READ_BYTES = 2048


class GossipConfig(TypedDict):
    """Keys for gossip in the configuration of a limiter. Addresses have the form `host:port`."""

    peer_listen: str
    peers: list[str]
    peers_all: str


class GossipPeers:
    """The other limiters. Each has its own address in 127.64/10, and all share one socket for sending."""

    def __init__(
        self, limiter_count: int, customers: list[int], customers_per_message: int, rng: Random
    ) -> None:
        """Open the sockets of the other limiters.

        Args:
            limiter_count: number of limiters in the fleet. Number 0 is the limiter under test.
            customers: ids of the customers that the messages report on.
            customers_per_message: number of customers that one message reports on.
            rng: source of all random values.
        """
        self.traffic = Traffic()
        self.datagrams_sent = 0  # sent to the limiter under test
        self.datagrams_received = 0  # received from the limiter under test
        # Number of messages sent or dropped so far. It determines the sender of the next one.
        self.next_message_index = 0
        self._limiter_count = limiter_count
        self._customers = customers
        self._customers_per_message = customers_per_message
        self._rng = rng
        self._send_socket = _open_udp_socket()
        self._receive_socket = _open_udp_socket()
        # Reserves a free address for the limiter under test, which binds it after this socket is closed.
        with _open_udp_socket() as reserved:
            self.limiter_address: tuple[str, int] = reserved.getsockname()
        self._port = self._send_socket.getsockname()[1]

    def start(self) -> None:
        """Start reading the datagrams of the limiter under test."""
        asyncio.get_running_loop().add_reader(self._receive_socket, self._read_datagrams)

    def close(self) -> None:
        """Stop reading and close the sockets."""
        asyncio.get_running_loop().remove_reader(self._receive_socket)
        self.close_sockets()

    def close_sockets(self) -> None:
        """Close the sockets. Use this instead of `close` if `start` was not called."""
        self._send_socket.close()
        self._receive_socket.close()

    def build_config(self) -> GossipConfig:
        """Return the keys for gossip in the configuration of the limiter under test."""
        limiter_host_port = "{}:{}".format(*self.limiter_address)
        peers = [
            f"{get_peer_host(limiter_number)}:{self._port}"
            for limiter_number in range(1, self._limiter_count)
        ]
        broadcast_host_port = "{}:{}".format(*self._receive_socket.getsockname())
        return {
            "peer_listen": limiter_host_port,
            "peers": [limiter_host_port, *peers],
            "peers_all": broadcast_host_port,
        }

    def send_message(self) -> None:
        """Send a message from the next peer, in rotation. Drop it if the socket's buffer is full."""
        limiter_number = 1 + self.next_message_index % (self._limiter_count - 1)
        self.next_message_index += 1
        customers = self._rng.sample(self._customers, min(self._customers_per_message, len(self._customers)))
        body = encode_gossip_message(self._rng, customers)
        source = struct.pack("=I4s4s", 0, socket.inet_aton(get_peer_host(limiter_number)), bytes(4))
        packet_info = (socket.IPPROTO_IP, IP_PKTINFO, source)
        try:
            self._send_socket.sendmsg([body], [packet_info], 0, self.limiter_address)
        except BlockingIOError:
            return
        self.datagrams_sent += 1
        self.traffic.count_bytes_to_limiter(body)

    def _read_datagrams(self) -> None:
        try:
            while body := self._receive_socket.recv(MAX_READ_BYTES):
                self.datagrams_received += 1
                self.traffic.count_bytes_from_limiter(body)
        except BlockingIOError:
            pass


def get_peer_host(limiter_number: int) -> str:
    """Return the address of the limiter with a given number."""
    return f"127.{64 + (limiter_number >> 16)}.{limiter_number >> 8 & 255}.{limiter_number & 255}"


def _open_udp_socket() -> socket.socket:
    """Open a non-blocking socket on a free port of the loopback address."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.bind(("127.0.0.1", 0))
    udp_socket.setblocking(False)
    return udp_socket
