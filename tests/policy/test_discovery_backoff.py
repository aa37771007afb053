"""Tests of the backoff of polls to an overloaded discovery and of gossip about removed endpoints.

Some tests use one limiter, others simulate a whole fleet.
"""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from limiter.codecs.gossip_messages import ENDPOINT_REPORT_PREFIX, MAX_MESSAGE_BYTES, decode_endpoint_report
from limiter.model.actions import PollDiscovery
from limiter.model.events import (
    DiscoveryPollFailed,
    Endpoint,
    EndpointsChanged,
    EndpointState,
    GossipReceived,
)
from limiter.policy.context import EngineContext
from limiter.policy.discovery_backoff import MAX_REPORT_COPIES, DiscoveryBackoff
from limiter.policy.server_table import ServerTable
from tests.support.policy_driver import (
    PolicyDriver,
    list_ready_endpoint_ids,
    make_driver,
    make_endpoint,
    make_endpoint_id,
    make_settings,
)
from tests.support.simulated_discovery import OUTAGE_MS, POLL_RESPONSES_PER_SECOND, PollingFleet

# Time within which all limiters must learn of a change after discovery knows it and responds to polls.
CHANGE_DEADLINE_MS = 6000.0
# Time by which each limiter has made its first polls, which come before its backoff.
START_POLLS_END_MS = 1300.0


def encode_removal_report(server: bytes) -> bytes:
    """Return a peer's message that reports one server as draining or removed, and no poll."""
    return ENDPOINT_REPORT_PREFIX + b"\x00" + bytes((len(server),)) + server


def make_backoff(listed_endpoints: Iterable[Endpoint] = ()) -> DiscoveryBackoff:
    """Return the backoff of one limiter, without an engine, with these servers in its endpoint list."""
    context = EngineContext(make_settings(limiter_count=40, polls_discovery=True), seed=1)
    servers = ServerTable()
    servers.update(EndpointsChanged(tuple(listed_endpoints), is_full_list=True))
    return DiscoveryBackoff(context, servers, may_gossip=True)


def count_polls_in_backoff(fleet: PollingFleet) -> int:
    """Return the number of polls after the first polls of each limiter."""
    return len([at for at in fleet.poll_times if at > START_POLLS_END_MS])


@pytest.mark.parametrize(("limiters", "running"), [(200, 200), (200, 1), (200, 2), (200, 20), (7200, 1)])
def test_all_limiters_learn_of_a_change_within_the_deadline_at_any_fleet_size(
    limiters: int, running: int
) -> None:
    fleet = PollingFleet(limiters, running)
    fleet.run_until(OUTAGE_MS + CHANGE_DEADLINE_MS)
    assert not fleet.outdated_limiters
    # In a large fleet, most limiters learn of the change from their peers.
    assert len(fleet.limiters_responded_to) < running or running <= 20


def test_a_fleet_of_the_target_size_learns_of_a_change_soon_after_one_poll_is_answered() -> None:
    fleet = PollingFleet(7200, 7200, outage=START_POLLS_END_MS)
    fleet.run_until(3500.0)
    # One message in twenty is lost, but each response is reported.
    assert len(fleet.outdated_limiters) <= 0.001 * 7200
    assert 3 < count_polls_in_backoff(fleet) < 2 * POLL_RESPONSES_PER_SECOND * 2.2
    # Maximum number of messages that a limiter can receive in addition to the usage messages.
    assert fleet.broadcast_count < 2 * POLL_RESPONSES_PER_SECOND * 3.5 + 16


@pytest.mark.parametrize("limiters", [40, 200])
def test_a_rejected_fleet_polls_no_more_than_discovery_can_answer(limiters: int) -> None:
    """Observed after 28 of 40 limiters restarted together: each polled every second and got no response."""
    fleet = PollingFleet(limiters, limiters)
    fleet.run_until(OUTAGE_MS)
    assert 2 <= count_polls_in_backoff(fleet) / 1.7 <= 8
    fleet.run_until(OUTAGE_MS + 1000 * limiters / 1.5)
    # Each limiter polls in some slot in which discovery can respond.
    assert len(fleet.limiters_responded_to) > 0.9 * limiters


@pytest.fixture
def polling_driver() -> PolicyDriver:
    """Return the driver of a limiter that polls discovery and gossips, with a fresh list of two servers."""
    return make_driver(server_count=2, may_gossip=True, gossip_intake_per_second=40.0, polls_discovery=True)


def test_peer_reports_exclude_servers_only_while_the_own_endpoint_list_is_stale(
    polling_driver: PolicyDriver,
) -> None:
    driver, engine = polling_driver, polling_driver.engine
    driver.deliver_event(GossipReceived(1, encode_removal_report(make_endpoint_id(0))))
    # The list is not stale: discovery itself will report the removal.
    assert list_ready_endpoint_ids(engine) == {make_endpoint_id(0), make_endpoint_id(1)}
    driver.deliver_event(DiscoveryPollFailed(rejected=False))
    # Reports that were received before the failure, since the last response, apply too.
    assert list_ready_endpoint_ids(engine) == {make_endpoint_id(1)}
    driver.deliver_event(EndpointsChanged((make_endpoint(3),), False))
    all_three_ids = {make_endpoint_id(0), make_endpoint_id(1), make_endpoint_id(3)}
    # A response has all changes since the last one, so it overrides the reports.
    assert list_ready_endpoint_ids(engine) == all_three_ids
    driver.deliver_event(DiscoveryPollFailed())
    assert list_ready_endpoint_ids(engine) == all_three_ids
    driver.deliver_event(GossipReceived(1, encode_removal_report(make_endpoint_id(7))))
    # A report never makes a limiter send attempts to a server.
    assert list_ready_endpoint_ids(engine) == all_three_ids
    driver.deliver_event(GossipReceived(1, encode_removal_report(make_endpoint_id(0))))
    driver.deliver_event(EndpointsChanged((make_endpoint(0), make_endpoint(1)), True))
    assert list_ready_endpoint_ids(engine) == {make_endpoint_id(0), make_endpoint_id(1)}


def test_only_a_few_limiters_report_a_change_that_all_learn_at_once() -> None:
    fleet = PollingFleet(400, 400, loss=0.0)
    fleet.run_until(1000.0)
    # The first change follows rejected polls, so limiters announce their polls too; the total stays below the
    # burst that a limiter can receive. At the second change, discovery responds to polls.
    for removed_index, max_broadcasts in ((1, 40), (2, 12)):
        fleet.broadcast_count = 0
        fleet.deliver_event_to_all(
            EndpointsChanged((make_endpoint(removed_index, EndpointState.DRAINING),), False)
        )
        fleet.run_until(fleet.now + 600.0)
        assert MAX_REPORT_COPIES <= fleet.broadcast_count <= max_broadcasts


def test_messages_respect_the_maximum_length_and_report_every_server_that_fits() -> None:
    server_ids = [bytes((length,)) * length for length in range(1, 60)]
    oversized_id = bytes((255,)) * 255
    listed = [Endpoint(key, EndpointState.READY) for key in (*server_ids, oversized_id)]
    sender, receiver = make_backoff(listed), make_backoff()
    sender.handle_endpoint_list(EndpointsChanged((), is_full_list=True))
    received_ids: set[bytes] = set()
    while (body := sender.encode_next_message()) is not None:
        assert len(body) <= MAX_MESSAGE_BYTES
        assert receiver.handle_gossip_message(body)
        report = decode_endpoint_report(body)
        assert report is not None
        received_ids |= set(report.endpoint_ids)
    assert received_ids == set(server_ids) == set(receiver.peer_report_counts)


@pytest.mark.parametrize("body", [b"", b"\x00", ENDPOINT_REPORT_PREFIX[:3] + b"\x01\x01"])
def test_a_message_of_another_kind_is_not_handled(body: bytes) -> None:
    assert not make_backoff().handle_gossip_message(body)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(ENDPOINT_REPORT_PREFIX, id="message without a flag"),
        pytest.param(ENDPOINT_REPORT_PREFIX + b"\x01", id="message without servers"),
        pytest.param(ENDPOINT_REPORT_PREFIX + b"\x00\x05abc", id="truncated server id"),
        pytest.param(ENDPOINT_REPORT_PREFIX + b"\x00\x00", id="empty server id"),
    ],
)
def test_a_malformed_or_empty_message_reports_no_server(body: bytes) -> None:
    receiver = make_backoff()
    assert receiver.handle_gossip_message(body)
    assert not receiver.peer_report_counts


def test_a_limiter_without_gossip_polls_again_within_the_deadline() -> None:
    driver = make_driver(polls_discovery=True, limiter_count=7200)
    driver.actions.clear()
    driver.deliver_event(DiscoveryPollFailed())
    driver.advance_to(driver.now + CHANGE_DEADLINE_MS - 1000.0)
    assert PollDiscovery() in driver.actions
