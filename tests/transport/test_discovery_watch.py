"""Tests of the watch on discovery: changes, invalid lists, overload, and missing responses."""

from __future__ import annotations

import time
from dataclasses import replace

import pytest

from limiter.transport.backoff import JITTER_FRACTION
from limiter.transport.discovery.discovery_watch import DiscoveryWatch, DiscoveryWatchOptions
from limiter.transport.discovery.endpoint_list import NameNumbering, parse_endpoint_list
from limiter.transport.discovery.poll_pacing import CATCH_UP_RESPONSE_GRACE_SECONDS, PollPacing
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

# Grace of a test for calls that follow a successful one, to which responses come too late.
SHORT_GRACE_SECONDS = 0.02
REQUEST_COUNT = 12  # Enough requests for each server in use to receive at least one.


@limiter_with(servers=3)
async def test_draining_and_removed_servers_receive_no_new_requests(harness: LimiterHarness) -> None:
    first, second, third = harness.servers
    harness.discovery.publish(first.make_list_entry("leaving"), second.make_list_entry("left"))
    await wait_until(lambda: len(harness.discovery.calls) > 2)
    await wait_until_list_version_applied(harness, 2)
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-2"}
    # A full list removes the servers that it does not contain.
    harness.discovery.publish(second.make_list_entry(), full_list=True)
    await wait_until_list_version_applied(harness, 3)
    third.received_requests.clear()
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-1"}
    assert third.received_requests == []


@limiter_with(servers=2)
async def test_server_with_a_changed_address_receives_requests_at_the_new_address(
    harness: LimiterHarness,
) -> None:
    moving, other = harness.servers
    harness.discovery.publish(moving.make_list_entry(), full_list=True)
    await wait_until_list_version_applied(harness, 2)
    assert await collect_response_bodies(harness, "submit", 3) == {b"from s-0"}
    harness.discovery.publish(moving.make_list_entry(hostPort=other.address))
    await wait_until_list_version_applied(harness, 3)
    assert await collect_response_bodies(harness, "submit", 3) == {b"from s-1"}


async def test_successive_calls_reuse_the_connection_and_request_only_changes(
    harness: LimiterHarness,
) -> None:
    for _ in range(5):
        harness.discovery.publish(harness.servers[0].make_list_entry())
        await wait_until_list_version_applied(harness, harness.discovery.version)
    assert harness.discovery.accepted_connections == 1
    assert all("since=" in target for _, target in harness.discovery.calls[1:])


def test_zones_missing_from_the_settings_get_distinct_numbers_and_are_not_stored() -> None:
    """If unknown zones were stored, the memory for names would grow with each new zone in a list."""
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
    ids=[
        "not JSON",
        "JSON nested too deeply",
        "invalid address",
        "instances not a list",
        "start time too large",
    ],
)
async def test_invalid_list_does_not_replace_the_current_one_and_a_full_list_is_requested(
    harness: LimiterHarness, text: bytes
) -> None:
    connections_before = harness.discovery.accepted_connections
    harness.discovery.body_override = text
    harness.discovery.publish()
    await wait_until(lambda: harness.discovery.accepted_connections > connections_before, "a new connection")
    assert (await harness.send_request(build_request())).body == b"from s-0"
    await wait_until(
        lambda: harness.discovery.calls[-1].target == "/catalog/members", "a call for the full list"
    )
    harness.discovery.body_override = None
    harness.discovery.publish(harness.servers[0].make_list_entry(), full_list=True)
    await wait_until_list_version_applied(harness, harness.discovery.version)
    assert (await harness.send_request(build_request())).body == b"from s-0"


@limiter_with(settings=make_raw_settings(discovery="on_request"))
async def test_first_call_requests_the_changes_since_the_configured_list(harness: LimiterHarness) -> None:
    assert harness.discovery.calls[0].target == "/catalog/members?since=1&timeout_ms=1"
    assert (await harness.send_request(build_request())).body == b"from s-0"


@limiter_with(servers=2)
async def test_first_call_to_a_local_agent_requests_the_full_list(harness: LimiterHarness) -> None:
    """Each agent numbers its lists independently: changes since another agent's version are incomplete."""
    listed, unlisted = harness.servers
    configured_list = make_configured_endpoint_list(listed.make_list_entry(), unlisted.make_list_entry())
    harness.discovery.version = 9
    harness.discovery.full_list = False
    harness.discovery.entries = [listed.make_list_entry()]
    harness.process.kill()
    await harness.process.wait()
    await harness.restart(known=configured_list)
    target = harness.discovery.calls[-1].target
    assert target == "/catalog/members" or "since=9" in target
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-0"}
    assert unlisted.received_requests == []


@limiter_with(servers=2, settings=make_raw_settings(discovery="on_request"))
async def test_only_changes_are_requested_from_an_overloaded_discovery(
    harness: LimiterHarness,
) -> None:
    """A full list costs discovery one entry per server, so an overload must not lead to its request."""
    harness.discovery.status = 503
    harness.discovery.publish(harness.servers[1].make_list_entry("leaving"))
    calls_before = len(harness.discovery.calls)
    await wait_until(lambda: len(harness.discovery.calls) > calls_before + 2, "further calls")
    harness.discovery.status = 200
    await wait_until_list_version_applied(harness, 2)
    assert all("since=" in target for _, target in harness.discovery.calls)
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-0"}


class WatchRecorder:
    """Creates the watch of one of 200 limiters that share a discovery agent, and records what it reports.

    Attributes:
        changes: for each reported list, its number of entries, whether it is full, and whether it comes from
            the configuration.
        failures: for each failed call, whether discovery was overloaded.
    """

    def __init__(self, discovery: FakeDiscovery) -> None:
        """Create a watch of `discovery` in the running event loop; it makes no calls before it is started."""
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
            lambda: None,
        )

    async def wait_for_failure(self, number: int) -> None:
        """Wait for failure `number`, counted from 1, and check that the watch makes no call by itself."""
        await wait_until(lambda: len(self.failures) == number, "failure of a call")
        assert len(self.discovery.calls) == number
        assert not self.watch.poll_allowed.is_set()


async def test_watch_calls_an_overloaded_discovery_again_only_when_allowed() -> None:
    """The policy chooses the time of the next call, which is tested in test_discovery_backoff.py.

    Before the policy did so, one of 200 limiters made its next call only after 5 to 45 s.
    """
    discovery = FakeDiscovery()
    await discovery.listen()
    discovery.status = 503
    recorder = WatchRecorder(discovery)
    recorder.watch.start()
    await recorder.wait_for_failure(1)
    recorder.watch.allow_next_poll()
    await recorder.wait_for_failure(2)
    discovery.status = 200
    recorder.watch.allow_next_poll()
    await wait_until(lambda: recorder.changes)
    recorder.watch.close()
    discovery.listening_server.close()
    assert recorder.failures[:2] == [True, True]
    assert recorder.changes[0] == (0, True, False)


@limiter_with(servers=2, settings=make_raw_settings(discovery="on_request", peersTotal=200))
async def test_limiter_of_a_large_fleet_receives_changes_within_six_seconds_after_an_overload(
    harness: LimiterHarness,
) -> None:
    """With 200 limiters whose calls were rejected for 3 s, the next call was once made only 24 s later."""
    await wait_until(lambda: harness.discovery.response_times)
    harness.discovery.status = 503
    harness.discovery.publish(harness.servers[1].make_list_entry("leaving"))
    responses_before = len(harness.discovery.response_times)
    await wait_until(lambda: len(harness.discovery.response_times) > responses_before, "rejection of a call")
    harness.discovery.status = 200
    started_at = time.monotonic()
    await wait_until_list_version_applied(harness, 2)
    assert time.monotonic() - started_at < 6.0
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-0"}


async def test_full_list_is_requested_after_the_version_decreases(harness: LimiterHarness) -> None:
    """Changes that discovery sends with a lower version do not apply to the current list."""
    harness.discovery.version = 0
    harness.discovery.full_list = False
    harness.discovery.ends_next_watch = True  # The agent responds to the open call with its current version.
    await wait_until_list_version_applied(harness, 0)
    assert any(target == "/catalog/members" for _, target in harness.discovery.calls)


def test_long_polls_to_a_shared_discovery_lengthen_with_the_number_of_limiters() -> None:
    pacings = [PollPacing.for_fleet(limiters, uses_local_agent=False) for limiters in (1, 4, 40, 400)]
    assert [pacing.long_poll_ms for pacing in pacings] == [4000, 4000, 10000, 20000]
    # A change is considered known to every limiter after 2 s.
    assert {pacing.grace_seconds for pacing in pacings} == {1.5}


def test_list_is_known_in_time_after_an_outage_of_a_shared_discovery() -> None:
    """A change is considered known 6 s after discovery has it and can be reached.

    A call may have been lost just before the end of the outage. The next one is made after the longest
    backoff, lengthened by its jitter, and its response may take as long as that of a usual call.
    """
    pacing = PollPacing.for_fleet(200, uses_local_agent=False)
    backoff_seconds = pacing.max_backoff_seconds * (1 + JITTER_FRACTION)
    assert pacing.catch_up_grace_seconds + backoff_seconds + pacing.grace_seconds < 6.0


@pytest.mark.parametrize(
    "catch_up_grace_seconds",
    [CATCH_UP_RESPONSE_GRACE_SECONDS, SHORT_GRACE_SECONDS],
    ids=["in time for a call after a failure", "too late for each call"],
)
async def test_change_is_received_from_a_discovery_that_responds_late(catch_up_grace_seconds: float) -> None:
    """Each call was given up before its response came, so a draining server got requests for as long."""
    discovery = FakeDiscovery()
    await discovery.listen()
    pacing = PollPacing.for_fleet(4, uses_local_agent=False)
    discovery.response_delay_seconds = 10 * SHORT_GRACE_SECONDS
    short_pacing = replace(
        pacing,
        long_poll_ms=20,
        grace_seconds=SHORT_GRACE_SECONDS,
        catch_up_grace_seconds=catch_up_grace_seconds,
    )
    versions: list[int] = []
    watch = DiscoveryWatch(
        DiscoveryWatchOptions(("127.0.0.1", discovery.port), NameNumbering([], []), 250.0, short_pacing),
        lambda *_args, **_kwargs: versions.append(discovery.version),
        lambda _is_rejected: None,
        lambda: None,
    )
    watch.start()
    await wait_until(lambda: versions, "the first list")
    discovery.publish()
    await wait_until(lambda: 2 in versions, "the change")
    watch.close()
    discovery.listening_server.close()


@pytest.mark.parametrize("limiters", [1, 200])
def test_unresponsive_local_agent_is_detected_before_sending_to_a_server_must_stop(limiters: int) -> None:
    """The shortest time within which sending to a server has to stop is 250 ms."""
    pacing = PollPacing.for_fleet(limiters, uses_local_agent=True)
    assert pacing.grace_seconds + 1.2 * pacing.max_backoff_seconds < 0.25
    # This bound applies to an agent that stops responding during a long poll.
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
async def test_unresponsive_discovery_is_called_with_short_polls(
    harness: LimiterHarness,
) -> None:
    """If discovery does not respond, a long poll delays the detection of a change until its timeout."""
    await wait_until(lambda: harness.discovery.response_times)
    harness.discovery.is_responding = False
    harness.discovery.publish(harness.servers[1].make_list_entry("leaving"))
    connections_before = harness.discovery.accepted_connections
    await wait_until(lambda: harness.discovery.accepted_connections > connections_before + 2, "further calls")
    for _, target in harness.discovery.calls[-2:]:
        assert target.endswith("timeout_ms=1")
    harness.discovery.is_responding = True
    await wait_until_list_version_applied(harness, 2)
    assert await collect_response_bodies(harness, "submit", REQUEST_COUNT) == {b"from s-0"}


@limiter_with(servers=2)
async def test_limiter_reconnects_to_an_unresponsive_discovery_and_applies_its_changes(
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
async def test_limiter_is_not_ready_before_a_server_is_listed(harness: LimiterHarness) -> None:
    assert (await harness.send_request(HEALTH_CHECK)).status == 503
    harness.discovery.publish(harness.servers[0].make_list_entry())
    await harness.wait_until_healthy()
    assert (await harness.send_request(build_request())).status == 200


@limiter_with(wait_ready=False, discovery_responds=False, settings=make_raw_settings(discovery="on_request"))
async def test_configured_list_is_used_while_a_shared_discovery_does_not_respond(
    harness: LimiterHarness,
) -> None:
    await harness.wait_until_healthy()
    assert (await harness.send_request(build_request())).body == b"from s-0"
    assert harness.discovery.response_times == []


@limiter_with(wait_ready=False, discovery_responds=False, settings=make_raw_settings(discovery="pushed"))
async def test_configured_list_is_not_used_while_an_agent_does_not_respond(harness: LimiterHarness) -> None:
    """What the agent holds binds a limiter from its start; a restarted one sent to a draining server."""
    await harness.wait_until_healthy()
    assert (await harness.send_request(build_request())).status == 429
    assert harness.received_requests == []
    assert harness.discovery.response_times == []
