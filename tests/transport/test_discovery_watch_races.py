"""Tests of calls to discovery that are reset, or answered after the limiter switched to another agent."""

from __future__ import annotations

from tests.support.fake_discovery import FakeDiscovery
from tests.support.harness import LimiterHarness, collect_response_bodies, limiter_with
from tests.support.waiting import wait_until


@limiter_with(servers=2)
async def test_changes_are_received_after_the_connection_to_discovery_is_reset(
    harness: LimiterHarness,
) -> None:
    """The next call requests all changes since the last version that the limiter received."""
    await wait_until(
        lambda: harness.discovery.calls and "timeout_ms=1000" in harness.discovery.calls[-1].target,
        "a long poll to discovery",
    )
    connections_before = harness.discovery.accepted_connections
    harness.discovery.version += 1  # The connection is reset before the agent responds with this version.
    harness.discovery.entries = [harness.servers[1].make_list_entry("leaving")]
    harness.discovery.full_list = False
    harness.discovery.reset_connections()
    await wait_until(
        lambda: (
            harness.discovery.accepted_connections > connections_before
            and "since=2" in harness.discovery.calls[-1].target
        ),
        "a new call to discovery",
    )
    assert await collect_response_bodies(harness, "order") == {b"from s-0"}


@limiter_with(servers=2)
async def test_response_of_the_previous_agent_after_a_reload_is_ignored(harness: LimiterHarness) -> None:
    """The old agent holds a call open while the reload changes the address of discovery.

    Only lists from the agent in the current configuration are applied.
    """
    listed, unlisted = harness.servers
    new_discovery = FakeDiscovery()
    new_discovery.entries = [listed.make_list_entry()]
    await new_discovery.listen()
    harness.discovery.is_responding = False  # The old agent does not respond to the open call yet.
    closed_before = harness.discovery.closed_connections
    harness.reload_configuration(discovery=new_discovery.address)
    await wait_until(
        lambda: new_discovery.calls and "since=1" in new_discovery.calls[-1].target,
        "the list of the new agent",
    )
    harness.discovery.publish(unlisted.make_list_entry(), listed.make_list_entry("left"), full_list=True)
    harness.discovery.is_responding = True  # The old agent now responds to the open call.
    await wait_until(
        lambda: harness.discovery.closed_connections > closed_before,
        "close of the connection to the old agent",
    )
    assert await collect_response_bodies(harness, "order") == {b"from s-0"}
