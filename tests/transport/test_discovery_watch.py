"""Discovery over loopback sockets: with changes, invalid lists, overload, and without responses."""

from __future__ import annotations

import time

import pytest

from limiter.transport.discovery.discovery_watch import DiscoveryWatch, DiscoveryWatchOptions
from limiter.transport.discovery.endpoint_list import NameNumbering, parse_endpoint_list
from limiter.transport.discovery.poll_pacing import PollPacing
from tests.support.client import HEALTH_CHECK, build_request
from tests.support.fake_discovery import FakeDiscovery
from tests.support.harness import (
    HarnessOptions,
    LimiterHarness,
    collect_response_bodies,
    limiter_with,
    wait_until_list_version_applied,
)
from tests.support.limiter_settings import make_configured_endpoint_list, make_raw_settings
from tests.support.waiting import wait_until

REQUEST_COUNT = 12  # Enough requests for each server that is in use to get some of them.


@limiter_with(servers=3)
async def test_draining_and_removed_servers_get_no_new_requests(harness: LimiterHarness) -> None:
    first, second, third = harness.servers
    harness.discovery.publish(first.make_list_entry("leaving"), second.make_list_entry("left"))
    await wait_until(lambda: len(harness.discovery.calls) > 2)
    await wait_until_list_version_applied(harness, 2)
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-2"}
    # A full list removes the servers that it does not name.
    harness.discovery.publish(second.make_list_entry(), full_list=True)
    await wait_until_list_version_applied(harness, 3)
    third.received_requests.clear()
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-1"}
    assert third.received_requests == []


@limiter_with(servers=2)
async def test_server_that_moves_is_found_at_its_new_address(harness: LimiterHarness) -> None:
    moving, other = harness.servers
    harness.discovery.publish(moving.make_list_entry(), full_list=True)
    await wait_until_list_version_applied(harness, 2)
    assert await collect_response_bodies(harness, "submit", 3) == {b"from s-0"}
    harness.discovery.publish(moving.make_list_entry(hostPort=other.address))
    await wait_until_list_version_applied(harness, 3)
    assert await collect_response_bodies(harness, "submit", 3) == {b"from s-1"}


async def test_calls_follow_on_one_connection_and_ask_for_changes(harness: LimiterHarness) -> None:
    for _ in range(5):
        harness.discovery.publish(harness.servers[0].make_list_entry())
        await wait_until_list_version_applied(harness, harness.discovery.version)
    assert harness.discovery.accepted_connections == 1
    assert all("since=" in target for _, target in harness.discovery.calls[1:])


def test_zones_that_the_settings_do_not_name_are_distinct_and_not_kept() -> None:
    names = NameNumbering(["a", "b"], ["m"])
    entry = {"instanceId": "s", "hostPort": "127.0.0.1:1", "lifecycle": "active"}
    instances = [{**entry, "zone": zone, "machineType": zone} for zone in ("a", "x", "y", "x", "b")]
    listed = parse_endpoint_list({"generation": 1, "reset": True, "instances": instances}, names)
    zones = [endpoint.zone for endpoint, _ in listed.entries]
    assert (zones[0], zones[4]) == (0, 1)
    assert zones[1] == zones[3] != zones[2]
    assert len(set(zones)) == 4
    assert len(names.zones) + len(names.machine_types) == 3


@pytest.mark.parametrize(
    "text",
    [
        b"what?",
        b"[" * 100_000,
        b'{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":"here","lifecycle":"active"}]}',
        b'{"generation":1,"reset":true,"instances":{}}',
        b'{"generation":9,"reset":false,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:1",'
        b'"lifecycle":"active","startedAtMs":1' + b"0" * 400 + b"}]}",
    ],
    ids=["not JSON", "nested too deeply", "no address", "instances not a list", "start time too large"],
)
async def test_after_an_invalid_list_the_last_one_stands_and_the_full_one_is_asked_for(
    harness: LimiterHarness, text: bytes
) -> None:
    connections_before = harness.discovery.accepted_connections
    harness.discovery.body_override = text
    harness.discovery.publish()
    await wait_until(
        lambda: harness.discovery.accepted_connections > connections_before, "another connection"
    )
    assert (await harness.send_request(build_request())).body == b"from s-0"
    await wait_until(lambda: harness.discovery.calls[-1].target == "/catalog/members", "the full list")
    harness.discovery.body_override = None
    harness.discovery.publish(harness.servers[0].make_list_entry(), full_list=True)
    await wait_until_list_version_applied(harness, harness.discovery.version)
    assert (await harness.send_request(build_request())).body == b"from s-0"


@limiter_with(settings=make_raw_settings(discovery="on_request"))
async def test_start_asks_for_the_changes_since_the_known_list(harness: LimiterHarness) -> None:
    assert harness.discovery.calls[0].target == "/catalog/members?since=1&timeout_ms=1"
    assert (await harness.send_request(build_request())).body == b"from s-0"


@limiter_with(servers=2)
async def test_start_asks_for_the_full_list_where_lists_are_pushed(harness: LimiterHarness) -> None:
    """Each agent numbers its lists on its own: changes since another agent's version would miss some."""
    listed, unlisted = harness.servers
    known = make_configured_endpoint_list(listed.make_list_entry(), unlisted.make_list_entry())
    harness.discovery.version = 9
    harness.discovery.full_list = False
    harness.discovery.entries = [listed.make_list_entry()]
    harness.process.kill()
    await harness.process.wait()
    await harness.restart(known=known)
    target = harness.discovery.calls[-1].target
    assert target == "/catalog/members" or "since=9" in target
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-0"}
    assert unlisted.received_requests == []


@limiter_with(servers=2, settings=make_raw_settings(discovery="on_request"))
async def test_overloaded_discovery_is_asked_again_for_no_more_than_the_changes(
    harness: LimiterHarness,
) -> None:
    harness.discovery.status = 503
    harness.discovery.publish(harness.servers[1].make_list_entry("leaving"))
    calls_before = len(harness.discovery.calls)
    await wait_until(lambda: len(harness.discovery.calls) > calls_before + 2, "more calls")
    harness.discovery.status = 200
    await wait_until_list_version_applied(harness, 2)
    assert all("since=" in target for _, target in harness.discovery.calls)
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-0"}


class RecordedWatch:
    """A discovery watch of one of 200 limiters that share an agent, and what it reports.

    Attributes:
        changes: for each list, the number of its entries, whether it is full, and whether it is a known one.
        failures: for each failed call, whether the agent rejected it.
    """

    def __init__(self, discovery: FakeDiscovery) -> None:
        """Make a watch of the agent; it must run in an event loop, and calls nobody before it is started."""
        self.discovery = discovery
        self.changes: list[tuple[int, bool, bool]] = []
        self.failures: list[bool] = []
        options = DiscoveryWatchOptions(
            ("127.0.0.1", discovery.port),
            NameNumbering([], []),
            250.0,
            PollPacing.for_fleet(200, uses_local_agent=False),
        )
        self.watch = DiscoveryWatch(
            options,
            lambda servers, is_full_list, from_cache: self.changes.append(
                (len(servers), is_full_list, from_cache)
            ),
            self.failures.append,
        )

    async def wait_for_failure(self, number: int) -> None:
        """Wait for the failure with this number, from 1, and check that the watch does not call by itself."""
        await wait_until(lambda: len(self.failures) == number, "a failed call")
        assert len(self.discovery.calls) == number
        assert not self.watch.poll_allowed.is_set()


async def test_watch_calls_an_overloaded_discovery_again_only_after_call() -> None:
    """When the policy lets it call again is in test_discovery_backoff.py.

    Before that, one of 200 limiters called again only after 5 to 45 s.
    """
    discovery = FakeDiscovery()
    await discovery.listen()
    discovery.status = 503
    recorded = RecordedWatch(discovery)
    recorded.watch.start()
    await recorded.wait_for_failure(1)
    recorded.watch.allow_next_poll()
    await recorded.wait_for_failure(2)
    discovery.status = 200
    recorded.watch.allow_next_poll()
    await wait_until(lambda: recorded.changes)
    recorded.watch.close()
    discovery.listening_server.close()
    assert recorded.failures[:2] == [True, True]
    assert recorded.changes[0] == (0, True, False)


@limiter_with(servers=2, settings=make_raw_settings(discovery="on_request", peersTotal=200))
async def test_one_of_many_limiters_reads_the_changes_within_six_seconds_after_an_overload(
    harness: LimiterHarness,
) -> None:
    """In a trial with 200 limiters whose calls were rejected for 3 s, the next call came 24 s later."""
    await wait_until(lambda: harness.discovery.response_times)
    harness.discovery.status = 503
    harness.discovery.publish(harness.servers[1].make_list_entry("leaving"))
    responses_before = len(harness.discovery.response_times)
    await wait_until(lambda: len(harness.discovery.response_times) > responses_before, "a rejected call")
    harness.discovery.status = 200
    began = time.monotonic()
    await wait_until_list_version_applied(harness, 2)
    assert time.monotonic() - began < 6.0
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-0"}


async def test_lower_version_leads_to_the_full_list(harness: LimiterHarness) -> None:
    harness.discovery.version = 0
    harness.discovery.full_list = False
    harness.discovery.ends_next_watch = True  # The agent responds to the open watch with its present version.
    await wait_until_list_version_applied(harness, 0)
    assert any(target == "/catalog/members" for _, target in harness.discovery.calls)


def test_calls_to_a_shared_discovery_wait_longer_the_more_limiters_there_are() -> None:
    pacings = [PollPacing.for_fleet(limiters, uses_local_agent=False) for limiters in (1, 4, 40, 400)]
    assert [pacing.long_poll_ms for pacing in pacings] == [4000, 4000, 10000, 20000]
    # A limiter is expected to know a change after 2 s.
    assert {pacing.grace_seconds for pacing in pacings} == {1.5}


@pytest.mark.parametrize("limiters", [1, 200])
def test_agent_that_stops_responding_is_noticed_before_requests_have_to_stop(limiters: int) -> None:
    pacing = PollPacing.for_fleet(limiters, uses_local_agent=True)
    assert pacing.grace_seconds + 1.2 * pacing.max_backoff_seconds < 0.25
    # This is for an agent that stops to respond during a call.
    assert pacing.long_poll_ms / 1000 + pacing.grace_seconds < 6.0


@pytest.mark.parametrize(
    "harness_options",
    [
        pytest.param(HarnessOptions(servers=2, settings=make_raw_settings(discovery="pushed")), id="pushed"),
        pytest.param(
            HarnessOptions(servers=2, settings=make_raw_settings(discovery="on_request")), id="on_request"
        ),
    ],
)
async def test_discovery_that_does_not_respond_is_asked_in_short_calls(
    harness: LimiterHarness,
) -> None:
    """With one long call, a change was missed for as long as that call waited."""
    await wait_until(lambda: harness.discovery.response_times)
    harness.discovery.is_responding = False
    harness.discovery.publish(harness.servers[1].make_list_entry("leaving"))
    connections_before = harness.discovery.accepted_connections
    await wait_until(lambda: harness.discovery.accepted_connections > connections_before + 2, "more calls")
    for _, target in harness.discovery.calls[-2:]:
        assert target.endswith("timeout_ms=1")
    harness.discovery.is_responding = True
    await wait_until_list_version_applied(harness, 2)
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-0"}


@limiter_with(servers=2)
async def test_discovery_that_does_not_respond_is_connected_to_again_and_its_changes_are_applied(
    harness: LimiterHarness,
) -> None:
    harness.discovery.is_responding = False
    connections_before = harness.discovery.accepted_connections
    await wait_until(lambda: harness.discovery.accepted_connections > connections_before, "a new connection")
    harness.discovery.is_responding = True
    harness.discovery.publish(harness.servers[1].make_list_entry("leaving"))
    await wait_until_list_version_applied(harness, 2)
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-0"}


REMOVED_SERVER = {"instanceId": "s-9", "hostPort": "127.0.0.1:9", "lifecycle": "left"}


@limiter_with(wait_ready=False, entries=[REMOVED_SERVER])
async def test_limiter_is_ready_only_once_a_server_is_known(harness: LimiterHarness) -> None:
    assert (await harness.send_request(HEALTH_CHECK)).status == 503
    harness.discovery.publish(harness.servers[0].make_list_entry())
    await harness.wait_until_healthy()
    assert (await harness.send_request(build_request())).status == 200


@limiter_with(wait_ready=False, discovery_responds=False)
async def test_known_list_is_used_while_discovery_does_not_respond(harness: LimiterHarness) -> None:
    await harness.wait_until_healthy()
    assert (await harness.send_request(build_request())).body == b"from s-0"
    assert harness.discovery.response_times == []
