"""The emulated peers around one limiter process: they speak the limiter's protocols and count what passes."""

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

# Time after which an exchange over a socket fails its test.
TIMEOUT_SECONDS = 10.0
EMPTY_LINE = b"\r\n\r\n"
MAX_DATAGRAM_BYTES = 256


def read_document(document: Any) -> tuple[int, bool, list[Endpoint]]:
    """Read discovery's response as the limiter does: version, whether it is the whole list, entries."""
    version, is_full_list, entries = parse_endpoint_list(document, NameNumbering((), ()))
    return version, is_full_list, [endpoint for endpoint, _ in entries]


def states_of(endpoints: list[Endpoint]) -> dict[bytes, EndpointState]:
    """State of each server; the last entry of a server counts."""
    return {endpoint.id: endpoint.state for endpoint in endpoints}


def limiter_settings(limiters: int) -> Settings:
    """Settings of the limiter under test, as it reads them."""
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
async def connected(address: str) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """A connection to `host:port`."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    with closing(writer):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            yield reader, writer


async def exchange(address: str, *requests: bytes) -> list[tuple[int, bytes]]:
    """Send requests one after another on one connection; status and body of each response."""
    responses = []
    async with connected(address) as (reader, writer):
        for request in requests:
            writer.write(request)
            head = await reader.readuntil(EMPTY_LINE)
            length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
            responses.append((int(head.split()[1]), await reader.readexactly(length)))
    return responses


def catalog_request(query: bytes = b"") -> bytes:
    """A call of discovery."""
    return b"GET /catalog/members%b HTTP/1.1\r\n\r\n" % query


def order_request(request_id: bytes) -> bytes:
    """A request with a body of four bytes."""
    head = b"POST /alert-order/1 HTTP/1.1\r\nx-request-id: %b\r\nContent-Length: 4\r\n\r\n"
    return head % request_id + b"wave"


def test_changes_apply_to_the_list_they_came_from() -> None:
    endpoint_list = EndpointList(5, ["127.0.0.1:1", "127.0.0.1:2"])
    version, is_full_list, endpoints = read_document(endpoint_list.decode_full_list())
    assert (version, is_full_list, len(endpoints)) == (1, True, 5)
    states = states_of(endpoints)
    for count in range(1, 13):
        endpoint_list.apply_next_change(1000 + count)
        version, is_full_list, changed = read_document(json.loads(endpoint_list.encode_changes_since(count)))
        assert (version, is_full_list, len(changed)) == (count + 1, False, 1)
        states |= states_of(changed)
    listed = {key: state for key, state in states.items() if state is not EndpointState.GONE}
    # Changes since version 0 are not known, so that the whole list is the response.
    _, is_full_list, endpoints = read_document(json.loads(endpoint_list.encode_changes_since(0)))
    assert is_full_list
    assert listed == states_of(endpoints)
    assert len(read_document(json.loads(endpoint_list.encode_changes_since(1)))[2]) == 12
    assert read_document(json.loads(endpoint_list.encode_changes_since(13)))[2] == []


def test_a_gossip_message_is_read_as_the_policy_engine_reads_it() -> None:
    settings = limiter_settings(3)
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


def test_gossip_comes_from_the_addresses_of_the_fleet() -> None:
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


def test_the_counter_adds() -> None:
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


def test_the_counter_is_busy_beyond_its_calls_a_second() -> None:
    counter = Counter(3)
    replies = [counter.execute_call([b"CNT.ADD", b"a", b"1", b"1"]) for _ in range(10)]
    assert 4 <= replies.count(b"-BUSY\r\n") <= 7  # 7 in one second; a second may begin between
    assert counter.totals[b"a"] == counter.accepted_calls == 10 - counter.busy_calls


async def test_the_counter_replies_to_calls_in_their_order() -> None:
    counter = Counter(0)
    replies = hiredis.Reader()
    received: list[Any] = []
    async with connected(await counter.start()) as (reader, writer):
        for words in (("CNT.ADD", "a", "1", "9"), ("PING",), ("CNT.ADD", "b", "2.5", "9")):
            writer.write(hiredis.pack_command(words))  # type: ignore  # its stub takes one word
        while len(received) < 3:
            replies.feed(await reader.read(100))
            while (reply := replies.gets()) is not False:
                received.append(reply)
    counter.close()
    assert counter.traffic.bytes_to_limiter == len(b"$1\r\n1\r\n+PONG\r\n$3\r\n2.5\r\n")
    assert received == [b"1", b"PONG", b"2.5"]


async def test_discovery_responds_to_calls_and_watches() -> None:
    with closing(Discovery(EndpointList(3, ["127.0.0.1:1"]))) as discovery:
        full_list, no_change, malformed = await exchange(
            await discovery.start(),
            catalog_request(),
            catalog_request(b"?since=1&timeout_ms=1"),
            catalog_request(b"?since=x&timeout_ms=1"),
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
        watch = asyncio.create_task(exchange(address, catalog_request(b"?since=1&timeout_ms=60000")))
        await wait_until(lambda: discovery.watches, "a watch")
        discovery.apply_next_change()
        ((status, body),) = await watch
        assert status == 200
        assert [entry["lifecycle"] for entry in json.loads(body)["instances"]] == ["active"]
        await exchange(address, catalog_request(b"?since=2&timeout_ms=1"))
        assert discovery.acknowledged_version == 2
        assert (discovery.full_list_calls, discovery.malformed_calls, discovery.calls) == (0, 0, 2)


async def test_a_server_responds_to_each_request_once() -> None:
    with closing(Servers(service_time_ms=1.0)) as servers:
        await servers.start(2)
        served, without_id = await exchange(
            servers.addresses[1], order_request(b"0a"), b"GET /ping HTTP/1.1\r\n\r\n"
        )
        assert (served[0], without_id[0]) == (200, 404)
        assert (servers.response_count, servers.requests_without_id) == (1, 1)
        assert list(servers.service_times_s) == [b"0a"]


async def test_a_server_does_not_respond_to_an_incomplete_request() -> None:
    with closing(Servers(service_time_ms=1.0)) as servers:
        await servers.start(1)
        async with connected(servers.addresses[0]) as (_, writer):
            writer.write(order_request(b"0a")[:-1])
            await writer.drain()
            await exchange(servers.addresses[0], order_request(b"0b"))
            assert servers.response_count == 1
            assert set(servers.service_times_s) == {b"0b"}
            assert servers.traffic.connections == 2
