"""Tests of the emulated peers of one limiter process, which use its protocols and count the traffic."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing
from random import Random
from typing import Any

import hiredis
import pytest

from limiter.codecs.gossip_messages import decode_usage_message
from limiter.configuration.config_parser import parse_config
from limiter.model.events import Endpoint, EndpointState
from limiter.model.settings import Settings
from limiter.policy.context import EngineContext
from limiter.policy.usage_gossip import UsageGossip
from limiter.transport.discovery.endpoint_list import NameNumbering, parse_endpoint_list
from scale.process.counter import Counter
from scale.process.discovery import Discovery
from scale.process.endpoint_list import EndpointList
from scale.process.fleet import build_settings, encode_gossip_message, get_plan_index
from scale.process.gossip_peers import GossipPeers
from scale.process.servers import Servers
from tests.support.waiting import wait_until

# Time after which an exchange over a socket fails the test.
TIMEOUT_SECONDS = 10.0
EMPTY_LINE = b"\r\n\r\n"
MAX_DATAGRAM_BYTES = 256


def parse_discovery_response(document: Any) -> tuple[int, bool, list[Endpoint]]:
    """Parse a response of discovery; return its version, whether it is a full list, and its endpoints."""
    version, is_full_list, entries = parse_endpoint_list(document, NameNumbering((), ()))
    return version, is_full_list, [endpoint for endpoint, _ in entries]


def map_states_by_id(endpoints: list[Endpoint]) -> dict[bytes, EndpointState]:
    """Return the state of each server by id; the last entry of a server applies."""
    return {endpoint.id: endpoint.state for endpoint in endpoints}


def make_limiter_settings(limiters: int) -> Settings:
    """Return the settings as the limiter under test parses them."""
    document = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "counter": "127.0.0.1:3",
        "seed": "1",
        "peer_listen": "127.0.0.1:4",
        "peers": ["127.0.0.1:5"] * limiters,
        "settings": build_settings(limiters, "pushed"),
    }
    return parse_config(document).settings


@asynccontextmanager
async def open_stream_connection(
    address: str,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Open a connection to `host:port`, and close it at the end of the context."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    with closing(writer):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            yield reader, writer


async def exchange_requests(address: str, *requests: bytes) -> list[tuple[int, bytes]]:
    """Send requests one after another on one connection; return the status and body of each response."""
    responses = []
    async with open_stream_connection(address) as (reader, writer):
        for request in requests:
            writer.write(request)
            head = await reader.readuntil(EMPTY_LINE)
            length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
            responses.append((int(head.split()[1]), await reader.readexactly(length)))
    return responses


def encode_catalog_request(query: bytes = b"") -> bytes:
    """Return a call to discovery."""
    return b"GET /catalog/members%b HTTP/1.1\r\n\r\n" % query


def encode_order_request(request_id: bytes) -> bytes:
    """Return a request with a body of four bytes."""
    head = b"POST /alert-order/1 HTTP/1.1\r\nx-request-id: %b\r\nContent-Length: 4\r\n\r\n"
    return head % request_id + b"wave"


def test_the_list_with_all_changes_applied_equals_the_new_full_list() -> None:
    endpoint_list = EndpointList(5, ["127.0.0.1:1", "127.0.0.1:2"])
    version, is_full_list, endpoints = parse_discovery_response(endpoint_list.decode_full_list())
    assert (version, is_full_list, len(endpoints)) == (1, True, 5)
    states = map_states_by_id(endpoints)
    for version_before in range(1, 13):
        endpoint_list.apply_next_change(1000 + version_before)
        version, is_full_list, changed_endpoints = parse_discovery_response(
            json.loads(endpoint_list.encode_changes_since(version_before))
        )
        assert (version, is_full_list, len(changed_endpoints)) == (version_before + 1, False, 1)
        states |= map_states_by_id(changed_endpoints)
    listed = {key: state for key, state in states.items() if state is not EndpointState.GONE}
    # The changes since version 0 are not known, so the response is the full list.
    _, is_full_list, endpoints = parse_discovery_response(json.loads(endpoint_list.encode_changes_since(0)))
    assert is_full_list
    assert listed == map_states_by_id(endpoints)
    assert len(parse_discovery_response(json.loads(endpoint_list.encode_changes_since(1)))[2]) == 12
    assert parse_discovery_response(json.loads(endpoint_list.encode_changes_since(13)))[2] == []


def test_the_policy_engine_reads_an_emulated_gossip_message() -> None:
    settings = make_limiter_settings(3)
    gossip = UsageGossip(EngineContext(settings, seed=1))
    customers = [3, 4, 5, 2**33 - 1]
    gossip.receive(0.0, encode_gossip_message(Random(1), customers))
    assert set(gossip.usage_table.records) == set(customers)
    assert gossip.peer_load.message_weight == 1
    assert all(
        usage.plan is settings.plans[get_plan_index(key)] for key, usage in gossip.usage_table.records.items()
    )


def test_the_longest_gossip_message_fits_into_a_datagram() -> None:
    body = encode_gossip_message(Random(1), range(48))
    assert len(body) <= MAX_DATAGRAM_BYTES
    message = decode_usage_message(body, plan_count=3)
    assert message is not None
    assert sorted(entry.customer for entry in message.entries) == list(range(48))


def test_gossip_is_sent_from_the_configured_addresses_of_the_peers() -> None:
    peers = GossipPeers(70_000, list(range(100)), 48, Random(1))
    config = peers.build_config()
    assert len(set(config["peers"])) == 70_000
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as limiter:
        limiter.bind(peers.limiter_address)
        limiter.settimeout(5.0)
        for number in (1, 2, 255, 256, 69_999, 1):
            peers.next_message_index = number - 1
            peers.send_message()
            body, (host, port) = limiter.recvfrom(300)
            assert f"{host}:{port}" == config["peers"][number]
            assert 48 * 5 < len(body) <= MAX_DATAGRAM_BYTES
    assert peers.datagrams_sent == 6
    peers.close_sockets()


def test_the_counter_adds_units_and_replies_with_the_total() -> None:
    counter = Counter(0)
    assert counter.execute_call([b"CNT.ADD", b"a", b"2", b"1000"]) == b"$1\r\n2\r\n"
    assert counter.execute_call([b"CNT.ADD", b"a", b"-0.5", b"1000"]) == b"$3\r\n1.5\r\n"
    assert counter.execute_call([b"PING"]) == b"+PONG\r\n"
    assert (counter.accepted_calls, counter.malformed_calls, counter.totals) == (2, 0, {b"a": 1.5})


@pytest.mark.parametrize(
    "words",
    [
        [b"CNT.ADD", b"a", b"x", b"1"],
        [b"CNT.ADD", b"", b"1", b"1"],
        [b"CNT.ADD", b"a", b"nan", b"1"],
        [b"GET", b"a"],
    ],
)
def test_the_counter_replies_to_a_malformed_call_with_an_error(words: list[bytes]) -> None:
    counter = Counter(0)
    assert counter.execute_call(words).startswith(b"-ERR")
    assert (counter.accepted_calls, counter.malformed_calls, counter.totals) == (0, 1, {})


def test_the_counter_replies_that_it_is_busy_beyond_its_calls_per_second() -> None:
    counter = Counter(3)
    replies = [counter.execute_call([b"CNT.ADD", b"a", b"1", b"1"]) for _ in range(10)]
    # 7 calls are rejected if all are made in one second; a new second may begin between two of them.
    assert 4 <= replies.count(b"-BUSY\r\n") <= 7
    assert counter.totals[b"a"] == counter.accepted_calls == 10 - counter.busy_calls


async def test_the_counter_replies_to_calls_in_order() -> None:
    counter = Counter(0)
    replies = hiredis.Reader()
    received: list[Any] = []
    async with open_stream_connection(await counter.start()) as (reader, writer):
        for words in (("CNT.ADD", "a", "1", "9"), ("PING",), ("CNT.ADD", "b", "2.5", "9")):
            writer.write(hiredis.pack_command(words))  # type: ignore  # the stub accepts one word only
        while len(received) < 3:
            replies.feed(await reader.read(100))
            while (reply := replies.gets()) is not False:
                received.append(reply)
    counter.close()
    assert counter.traffic.bytes_to_limiter == len(b"$1\r\n1\r\n+PONG\r\n$3\r\n2.5\r\n")
    assert received == [b"1", b"PONG", b"2.5"]


async def test_discovery_responds_to_calls_and_watches() -> None:
    with closing(Discovery(EndpointList(3, ["127.0.0.1:1"]))) as discovery:
        full_list, no_change, malformed = await exchange_requests(
            await discovery.start(),
            encode_catalog_request(),
            encode_catalog_request(b"?since=1&timeout_ms=1"),
            encode_catalog_request(b"?since=x&timeout_ms=1"),
        )
        assert full_list[0] == 200
        assert len(json.loads(full_list[1])["instances"]) == 3
        assert no_change[0] == 200
        assert json.loads(no_change[1]) == {"generation": 1, "reset": False, "instances": []}
        assert malformed[0] == 400
        assert (discovery.full_list_calls, discovery.malformed_calls, discovery.calls) == (1, 1, 3)


async def test_a_watch_waits_for_a_change() -> None:
    with closing(Discovery(EndpointList(3, ["127.0.0.1:1"]))) as discovery:
        address = await discovery.start()
        watch = asyncio.create_task(
            exchange_requests(address, encode_catalog_request(b"?since=1&timeout_ms=60000"))
        )
        await wait_until(lambda: discovery.watches, "a watch")
        discovery.apply_next_change()
        ((status, body),) = await watch
        assert status == 200
        assert [entry["lifecycle"] for entry in json.loads(body)["instances"]] == ["active"]
        await exchange_requests(address, encode_catalog_request(b"?since=2&timeout_ms=1"))
        assert discovery.acknowledged_version == 2
        assert (discovery.full_list_calls, discovery.malformed_calls, discovery.calls) == (0, 0, 2)


async def test_a_server_responds_to_each_request_once() -> None:
    with closing(Servers(service_time_ms=1.0)) as servers:
        await servers.start(2)
        served, without_id = await exchange_requests(
            servers.addresses[1], encode_order_request(b"0a"), b"GET /ping HTTP/1.1\r\n\r\n"
        )
        assert (served[0], without_id[0]) == (200, 404)
        assert (servers.response_count, servers.requests_without_id) == (1, 1)
        assert list(servers.service_times_s) == [b"0a"]


async def test_a_server_does_not_respond_to_an_incomplete_request() -> None:
    with closing(Servers(service_time_ms=1.0)) as servers:
        await servers.start(1)
        async with open_stream_connection(servers.addresses[0]) as (_, writer):
            writer.write(encode_order_request(b"0a")[:-1])
            await writer.drain()
            await exchange_requests(servers.addresses[0], encode_order_request(b"0b"))
            assert servers.response_count == 1
            assert set(servers.service_times_s) == {b"0b"}
            assert servers.traffic.connections == 2
