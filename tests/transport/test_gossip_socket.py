"""Datagrams between limiters, on loopback: the limiter under test is the first of two members."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from limiter.codecs.gossip_messages import REPORT_PREFIX
from limiter.configuration.config import Address, ConfigError, parse
from tests.support.client import http_request
from tests.support.harness import LimiterHarness, running_limiter
from tests.support.limiter_settings import settings, settings_with_quota
from tests.support.waiting import wait_until

SCENARIO_SECONDS = 60.0
MAX_MESSAGE_BYTES = 256
SPREAD_OVER_TWO = "units=1,spread=2,first=0"


class PeerSocket:
    """The second member: it sends datagrams to the limiter, and keeps what the limiter sends."""

    def __init__(self) -> None:
        """Bind, and choose a free port for the limiter."""
        self.socket = _bound_socket()
        with _bound_socket() as limiter_socket:
            self.limiter: Address = limiter_socket.getsockname()
        self._messages: list[bytes] = []

    @property
    def addresses(self) -> list[str]:
        """Addresses of both members, the limiter's first."""
        return [f"{host}:{port}" for host, port in (self.limiter, self.socket.getsockname())]

    @property
    def config(self) -> dict[str, Any]:
        """The limiter's configuration of its peers."""
        return {"peer_listen": self.addresses[0], "peers": self.addresses}

    def send(self, message: bytes) -> None:
        """Send to the limiter as a member."""
        self.socket.sendto(message, self.limiter)

    def send_as_stranger(self, message: bytes) -> None:
        """Send to the limiter from an address that is no member's."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(message, self.limiter)

    def received(self, prefix: bytes = b"") -> list[bytes]:
        """Read one datagram more, if there is one, and return all so far that begin so."""
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
    """Play the second member."""
    made = PeerSocket()
    yield made
    made.socket.close()


def gossip_settings(**changes: Any) -> dict[str, Any]:
    """Settings with gossip, in which each of two limiters has less than a unit of a customer's burst."""
    made = settings_with_quota(rate=1.0, burst=1.0)
    made["limits"] = {**made["limits"], "peers": True}
    made["extra"] = {**made["extra"], "mailPerS": 40}
    return {**made, **changes}


def usage_message(customer: int, entry_count: int = 1) -> bytes:
    """Make the message by which a member tells that it spent this customer's quota, 5 bytes an entry."""
    entry = (customer << 7 | 9).to_bytes(5)
    return bytes([0, 0, 0, 0, entry_count]) + entry * entry_count


@pytest.mark.parametrize("to_all", [True, False])
def test_usage_is_sent_and_received_usage_rejects(to_all: bool, peer: PeerSocket) -> None:
    async def send(harness: LimiterHarness, request_id: str, customer: int) -> tuple[int, dict[str, str]]:
        response = await harness.send_request(
            http_request(
                request_id=request_id, customer=f"{customer:016x}", headers={"X-Weight": SPREAD_OVER_TWO}
            )
        )
        return response.status, response.headers

    async def main() -> None:
        config = peer.config
        if to_all:
            config["peers_all"] = peer.addresses[1]
        async with (
            running_limiter(settings=gossip_settings(), config_changes=config) as harness,
            asyncio.timeout(SCENARIO_SECONDS),
        ):
            assert (await send(harness, "a1", 0xB4D65521))[0] == 200
            await wait_until(peer.received, "a message")
            assert 3 < len(peer.received()[0]) <= MAX_MESSAGE_BYTES
            # What a stranger sends, what is too long and what is not of the form is ignored.
            peer.send_as_stranger(usage_message(0xFACADE))
            peer.send(usage_message(0xFACADE + 1, entry_count=60))
            peer.send(b"\xff" * 40)
            for index in range(3):
                assert (await send(harness, f"b{index}", 0xFACADE + index))[0] == 200
            peer.send(usage_message(0xC0FFEE))
            status, headers = await send(harness, "c1", 0xC0FFEE)
            assert status == 429
            assert float(headers["retry-after"]) > 0

    asyncio.run(main())


def test_server_that_a_peer_reports_as_draining_is_avoided_while_discovery_is_overloaded(
    peer: PeerSocket,
) -> None:
    rejected_prefix = REPORT_PREFIX + b"\x01"

    async def body_of_request(harness: LimiterHarness, request_id: str, customer: int) -> bytes:
        response = await harness.send_request(
            http_request(request_id=request_id, customer=f"{customer:016x}")
        )
        return response.body

    async def main() -> None:
        async with (
            running_limiter(
                servers=2, settings=gossip_settings(discovery="on_request"), config_changes=peer.config
            ) as harness,
            asyncio.timeout(SCENARIO_SECONDS),
        ):
            await wait_until(lambda: harness.discovery.answered)
            harness.discovery.status = 503
            harness.discovery.publish(harness.servers[1].list_entry("leaving"))
            await wait_until(lambda: peer.received(rejected_prefix), "the report of a rejected call")
            peer.send(REPORT_PREFIX + b"\x00\x03s-0")
            for index in range(8):
                assert await body_of_request(harness, str(index), 0xFACADE + index) == b"from s-1"
            harness.discovery.status = 200
            await wait_until(
                lambda: any(b"s-1" in message for message in peer.received(rejected_prefix)),
                "the report of what is draining",
            )
            assert await body_of_request(harness, "last", 0xBEE) == b"from s-0"  # the own list decides again

    asyncio.run(main())


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
    assert parse(document).settings.may_gossip
    with pytest.raises(ConfigError, match=key):
        parse({**document, key: value})


def test_without_addresses_of_peers_there_is_no_gossip() -> None:
    made = settings(limits={**settings()["limits"], "peers": True})
    document = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "settings": made}
    assert not parse(document).settings.may_gossip
