"""Gossip over datagrams on loopback; the limiter under test is the first of two members."""

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
SPREAD_OVER_TWO = "units=1,spread=2,first=0"


class PeerSocket:
    """The second member: it sends datagrams to the limiter, and keeps those that the limiter sends."""

    def __init__(self) -> None:
        """Bind a socket, and choose a free port for the limiter."""
        self.socket = _bound_socket()
        with _bound_socket() as limiter_socket:
            self.limiter: Address = limiter_socket.getsockname()
        self._messages: list[bytes] = []

    @property
    def addresses(self) -> list[str]:
        """The addresses of both members, the limiter first."""
        return [f"{host}:{port}" for host, port in (self.limiter, self.socket.getsockname())]

    @property
    def config(self) -> dict[str, Any]:
        """The limiter's configuration of its peers."""
        return {"peer_listen": self.addresses[0], "peers": self.addresses}

    def send(self, message: bytes) -> None:
        """Send a datagram to the limiter as a member."""
        self.socket.sendto(message, self.limiter)

    def send_as_stranger(self, message: bytes) -> None:
        """Send a datagram to the limiter from the address of no member."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(message, self.limiter)

    def received(self, prefix: bytes = b"") -> list[bytes]:
        """Read one more datagram if there is one; return all datagrams so far that begin with the prefix."""
        with contextlib.suppress(BlockingIOError):
            self._messages.append(self.socket.recv(1024))
        return [message for message in self._messages if message.startswith(prefix)]


def _bound_socket() -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.bind(("127.0.0.1", 0))
    return bound


@pytest.fixture
def peer() -> Iterator[PeerSocket]:
    """Bind the socket of the second member."""
    bound = PeerSocket()
    yield bound
    bound.socket.close()


def gossip_settings(**changes: Any) -> dict[str, Any]:
    """Return settings with gossip in which each of two limiters has under a unit of a customer's burst."""
    made = make_raw_settings_with_quota(rate=1.0, burst=1.0)
    made["limits"] = {**made["limits"], "peers": True}
    made["extra"] = {**made["extra"], "mailPerS": 40}
    return {**made, **changes}


@pytest.fixture
def has_address_of_all() -> bool:
    """Whether the limiter knows an address that reaches all members; a test's parameter replaces it."""
    return False


@pytest.fixture
def harness_options(
    harness_options: HarnessOptions, peer: PeerSocket, has_address_of_all: bool
) -> HarnessOptions:
    """Return the options of the test's mark, with the addresses of both members."""
    config = peer.config
    if has_address_of_all:
        config["peers_all"] = peer.addresses[1]
    return {**harness_options, "config_changes": config}


def usage_message(customer: int, entry_count: int = 1) -> bytes:
    """Return a message which says that a member spent this customer's quota, with 5 bytes an entry."""
    entry = (customer << 7 | 9).to_bytes(5)
    return bytes([0, 0, 0, 0, entry_count]) + entry * entry_count


async def send_for_customer(
    harness: LimiterHarness, request_id: str, customer: int, **headers: str
) -> Response:
    """Send a request of the customer and return its response."""
    return await harness.send_request(
        build_request(request_id=request_id, customer=f"{customer:016x}", headers=headers)
    )


@pytest.mark.parametrize("has_address_of_all", [True, False])
@limiter_with(settings=gossip_settings())
async def test_usage_is_sent_and_received_usage_rejects(harness: LimiterHarness, peer: PeerSocket) -> None:
    """Messages of strangers, messages that are too long and messages of another form are ignored."""
    weight = {"X-Weight": SPREAD_OVER_TWO}
    assert (await send_for_customer(harness, "a1", 0xB4D65521, **weight)).status == 200
    await wait_until(peer.received, "a message")
    assert 3 < len(peer.received()[0]) <= MAX_MESSAGE_BYTES
    peer.send_as_stranger(usage_message(0xFACADE))
    peer.send(usage_message(0xFACADE + 1, entry_count=60))
    peer.send(b"\xff" * 40)
    for index in range(3):
        assert (await send_for_customer(harness, f"b{index}", 0xFACADE + index, **weight)).status == 200
    peer.send(usage_message(0xC0FFEE))
    response = await send_for_customer(harness, "c1", 0xC0FFEE, **weight)
    assert response.status == 429
    assert float(response.headers["retry-after"]) > 0


REJECTED_CALL_PREFIX = ENDPOINT_REPORT_PREFIX + b"\x01"


async def overload_discovery_while_a_server_drains(harness: LimiterHarness, peer: PeerSocket) -> None:
    """Let discovery reject calls, so that it does not say that s-1 drains; wait for the limiter's report."""
    await wait_until(lambda: harness.discovery.response_times)
    harness.discovery.status = 503
    harness.discovery.publish(harness.servers[1].make_list_entry("leaving"))
    await wait_until(lambda: peer.received(REJECTED_CALL_PREFIX), "the report of a rejected call")


@limiter_with(servers=2, settings=gossip_settings(discovery="on_request"))
async def test_server_that_a_peer_reports_as_draining_is_avoided_while_discovery_is_overloaded(
    harness: LimiterHarness, peer: PeerSocket
) -> None:
    """Once discovery responds again, its own list decides, and the limiter reports what drains by it."""
    await overload_discovery_while_a_server_drains(harness, peer)
    peer.send(ENDPOINT_REPORT_PREFIX + b"\x00\x03s-0")
    for index in range(8):
        assert (await send_for_customer(harness, str(index), 0xFACADE + index)).body == b"from s-1"
    harness.discovery.status = 200
    await wait_until(
        lambda: any(b"s-1" in message for message in peer.received(REJECTED_CALL_PREFIX)),
        "the report of what is draining",
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
def test_invalid_address_of_a_peer_is_an_error_that_names_its_key(key: str, value: Any) -> None:
    document = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "counter": "127.0.0.1:3",
        "seed": "1",
        "settings": gossip_settings(),
        "peer_listen": "127.0.0.1:4",
        "peers": ["127.0.0.1:4", "127.0.0.1:5"],
    }
    assert parse_config(document).settings.may_gossip
    with pytest.raises(ConfigError, match=key):
        parse_config({**document, key: value})


def test_without_addresses_of_peers_there_is_no_gossip() -> None:
    made = make_raw_settings(limits={**make_raw_settings()["limits"], "peers": True})
    document = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "settings": made}
    assert not parse_config(document).settings.may_gossip
