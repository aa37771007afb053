"""Discovery watches that are reset, or that an agent responds to after the limiter moved to another agent."""

from __future__ import annotations

from tests.support.fake_discovery import FakeDiscovery
from tests.support.harness import LimiterHarness, collect_response_bodies, limiter_with
from tests.support.waiting import wait_until


@limiter_with(servers=2)
async def test_a_watch_that_is_reset_is_reopened_and_misses_nothing(harness: LimiterHarness) -> None:
    """The new watch asks for all changes since the last version that was read."""
    await wait_until(
        lambda: harness.discovery.calls and "timeout_ms=1000" in harness.discovery.calls[-1].target,
        "a watch is open",
    )
    connections_before = harness.discovery.accepted_connections
    harness.discovery.version += 1  # The connection is reset before the agent responds to the watch.
    harness.discovery.entries = [harness.servers[1].make_list_entry("leaving")]
    harness.discovery.full_list = False
    harness.discovery.reset_connections()
    await wait_until(
        lambda: (
            harness.discovery.accepted_connections > connections_before
            and "since=2" in harness.discovery.calls[-1].target
        ),
        "a new watch is open",
    )
    assert await collect_response_bodies(harness, "order") == {b"from s-0"}


@limiter_with(servers=2)
async def test_an_old_agent_that_responds_after_the_move_is_ignored(harness: LimiterHarness) -> None:
    """Only lists of the agent that the configuration names are applied."""
    listed, unlisted = harness.servers
    new_discovery = FakeDiscovery()
    new_discovery.entries = [listed.make_list_entry()]
    await new_discovery.listen()
    harness.discovery.is_responding = False  # The old agent holds its response to the watch back.
    closed_before = harness.discovery.closed_connections
    harness.reload_configuration(discovery=new_discovery.address)
    await wait_until(
        lambda: new_discovery.calls and "since=1" in new_discovery.calls[-1].target,
        "the new list is read",
    )
    harness.discovery.publish(unlisted.make_list_entry(), listed.make_list_entry("left"), full_list=True)
    harness.discovery.is_responding = True  # The old agent responds now.
    await wait_until(lambda: harness.discovery.closed_connections > closed_before, "the old watch is closed")
    assert await collect_response_bodies(harness, "order") == {b"from s-0"}
