"""Tests of gossip over UDP; the limiter under test is the first of two peers."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from limiter.codecs.gossip_messages import ENDPOINT_REPORT_PREFIX
from limiter.configuration.addresses import Address
from limiter.configuration.config import ConfigError
from limiter.configuration.config_parser import parse_config
from tests.support.client import Response, build_request
from tests.support.harness import HarnessOptions, LimiterHarness, limiter_with
from tests.support.limiter_settings import make_raw_settings, make_raw_settings_with_quota
from tests.support.waiting import wait_until

MAX_MESSAGE_BYTES = 256
WEIGHT_FOR_TWO_LIMITERS = "units=1,spread=2,first=0"


class PeerSocket:
    """The socket of the second peer: sends datagrams to the limiter, and records those that it sends."""

    def __init__(self) -> None:
        """Bind the socket, and choose a free port for the limiter."""
        self.socket = _bind_socket()
        with _bind_socket() as limiter_socket:
            self.limiter: Address = limiter_socket.getsockname()
        self._messages: list[bytes] = []

    @property
    def addresses(self) -> list[str]:
        """The addresses of both peers, the limiter first."""
        return [f"{host}:{port}" for host, port in (self.limiter, self.socket.getsockname())]

    @property
    def config(self) -> dict[str, Any]:
        """The keys of the limiter's configuration that specify the peers."""
        return {"peer_listen": self.addresses[0], "peers": self.addresses}

    def send(self, message: bytes) -> None:
        """Send a datagram to the limiter from the address of the second peer."""
        self.socket.sendto(message, self.limiter)

    def send_from_unknown_address(self, message: bytes) -> None:
        """Send a datagram to the limiter from an address that belongs to no peer."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
            unknown_sender.sendto(message, self.limiter)

    def read_messages(self, prefix: bytes = b"") -> list[bytes]:
        """Read one more datagram if available; return all datagrams so far that start with `prefix`."""
        with contextlib.suppress(BlockingIOError):
            self._messages.append(self.socket.recv(1024))
        return [message for message in self._messages if message.startswith(prefix)]


def _bind_socket() -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.bind(("127.0.0.1", 0))
    return bound


@pytest.fixture
def peer() -> Iterator[PeerSocket]:
    """Bind the socket of the second peer, and close it after the test."""
    bound = PeerSocket()
    yield bound
    bound.socket.close()


def make_gossip_settings(**changes: Any) -> dict[str, Any]:
    """Return settings with gossip, in which each of two limiters has under one unit of a customer's burst."""
    made = make_raw_settings_with_quota(rate=1.0, burst=1.0)
    made["limits"] = {**made["limits"], "peers": True}
    made["extra"] = {**made["extra"], "mailPerS": 40}
    return {**made, **changes}


@pytest.fixture
def has_shared_address() -> bool:
    """Whether a shared address that reaches all peers is configured; tests override it by a parameter."""
    return False


@pytest.fixture
def harness_options(
    harness_options: HarnessOptions, peer: PeerSocket, has_shared_address: bool
) -> HarnessOptions:
    """Return the options of the test's `limiter_with` mark, with the addresses of both peers added."""
    config = peer.config
    if has_shared_address:
        config["peers_all"] = peer.addresses[1]
    return {**harness_options, "config_changes": config}


def encode_usage_message(customer: int, entry_count: int = 1) -> bytes:
    """Return a message that reports use of the customer's quota by a peer; each entry takes 5 bytes."""
    entry = (customer << 7 | 9).to_bytes(5)
    return bytes([0, 0, 0, 0, entry_count]) + entry * entry_count


async def send_for_customer(
    harness: LimiterHarness, request_id: str, customer: int, **headers: str
) -> Response:
    """Send a request of the customer, and return the response."""
    return await harness.send_request(
        build_request(request_id=request_id, customer=f"{customer:016x}", headers=headers)
    )


@pytest.mark.parametrize("has_shared_address", [True, False])
@limiter_with(settings=make_gossip_settings())
async def test_usage_is_sent_to_the_peer_and_received_usage_leads_to_rejections(
    harness: LimiterHarness, peer: PeerSocket
) -> None:
    """Messages from unknown addresses, messages that are too long and malformed messages are ignored."""
    weight = {"X-Weight": WEIGHT_FOR_TWO_LIMITERS}
    assert (await send_for_customer(harness, "a1", 0xB4D65521, **weight)).status == 200
    await wait_until(peer.read_messages, "a gossip message")
    assert 3 < len(peer.read_messages()[0]) <= MAX_MESSAGE_BYTES
    peer.send_from_unknown_address(encode_usage_message(0xFACADE))
    peer.send(encode_usage_message(0xFACADE + 1, entry_count=60))
    peer.send(b"\xff" * 40)
    for index in range(3):
        assert (await send_for_customer(harness, f"b{index}", 0xFACADE + index, **weight)).status == 200
    peer.send(encode_usage_message(0xC0FFEE))
    response = await send_for_customer(harness, "c1", 0xC0FFEE, **weight)
    assert response.status == 429
    assert float(response.headers["retry-after"]) > 0


REJECTED_CALL_REPORT_PREFIX = ENDPOINT_REPORT_PREFIX + b"\x01"


async def overload_discovery_while_a_server_drains(harness: LimiterHarness, peer: PeerSocket) -> None:
    """Make discovery reject calls, so that it does not report that s-1 is draining.

    Returns once the limiter has reported a rejected call to its peer.
    """
    await wait_until(lambda: harness.discovery.response_times)
    harness.discovery.status = 503
    harness.discovery.publish(harness.servers[1].make_list_entry("leaving"))
    await wait_until(lambda: peer.read_messages(REJECTED_CALL_REPORT_PREFIX), "a report of a rejected call")


@limiter_with(servers=2, settings=make_gossip_settings(discovery="on_request"))
async def test_server_reported_as_draining_by_a_peer_receives_no_requests_while_discovery_is_overloaded(
    harness: LimiterHarness, peer: PeerSocket
) -> None:
    """Once discovery responds again, its list replaces the peer's report.

    The limiter then reports the servers that are draining according to that list.
    """
    await overload_discovery_while_a_server_drains(harness, peer)
    peer.send(ENDPOINT_REPORT_PREFIX + b"\x00\x03s-0")
    for index in range(8):
        assert (await send_for_customer(harness, str(index), 0xFACADE + index)).body == b"from s-1"
    harness.discovery.status = 200
    await wait_until(
        lambda: any(b"s-1" in message for message in peer.read_messages(REJECTED_CALL_REPORT_PREFIX)),
        "a report of the draining server",
    )
    assert (await send_for_customer(harness, "last", 0xBEE)).body == b"from s-0"


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("peers", ["127.0.0.1:1"]),
        ("peers", ["127.0.0.1:1", "nowhere"]),
        ("peers", None),
        ("peer_listen", 5),
        ("peers_all", "x"),
    ],
)
def test_invalid_peer_address_raises_an_error_that_names_its_key(key: str, value: Any) -> None:
    document = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "counter": "127.0.0.1:3",
        "seed": "1",
        "settings": make_gossip_settings(),
        "peer_listen": "127.0.0.1:4",
        "peers": ["127.0.0.1:4", "127.0.0.1:5"],
    }
    assert parse_config(document).settings.may_gossip
    with pytest.raises(ConfigError, match=key):
        parse_config({**document, key: value})


def test_gossip_is_disabled_without_peer_addresses() -> None:
    made = make_raw_settings(limits={**make_raw_settings()["limits"], "peers": True})
    document = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "settings": made}
    assert not parse_config(document).settings.may_gossip
