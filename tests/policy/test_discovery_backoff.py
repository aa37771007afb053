"""Backoff of polls to an overloaded discovery, and gossip of removed endpoints: alone and in whole fleets."""

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

CHANGE_DEADLINE_MS = 6000.0  # after which a change must be known, once discovery has it and can be reached
START_POLLS_END_MS = 1300.0  # by when each limiter has made its first polls, before it backs off


def removal_report(server: bytes) -> bytes:
    """A peer's message that reports one server as draining or gone, and no poll."""
    return ENDPOINT_REPORT_PREFIX + b"\x00" + bytes((len(server),)) + server


def make_backoff(listed: Iterable[Endpoint] = ()) -> DiscoveryBackoff:
    """The backoff of one limiter without an engine around it, whose endpoint list has these servers."""
    context = EngineContext(make_settings(limiter_count=40, polls_discovery=True), seed=1)
    servers = ServerTable()
    servers.update(EndpointsChanged(tuple(listed), is_full_list=True))
    return DiscoveryBackoff(context, servers, may_gossip=True)


def polls_in_backoff(fleet: PollingFleet) -> int:
    """Polls after the first ones."""
    return len([at for at in fleet.poll_times if at > START_POLLS_END_MS])


@pytest.mark.parametrize(("limiters", "running"), [(200, 200), (200, 1), (200, 2), (200, 20), (7200, 1)])
def test_a_change_is_known_to_all_within_the_deadline_in_any_fleet(limiters: int, running: int) -> None:
    fleet = PollingFleet(limiters, running)
    fleet.run_until(OUTAGE_MS + CHANGE_DEADLINE_MS)
    assert not fleet.outdated_limiters
    assert (
        len(fleet.limiters_responded_to) < running or running <= 20
    )  # most of a large fleet know it from peers


def test_a_fleet_of_the_target_size_knows_a_change_soon_after_discovery_answers_one() -> None:
    fleet = PollingFleet(7200, 7200, outage=START_POLLS_END_MS)
    fleet.run_until(3500.0)
    assert (
        len(fleet.outdated_limiters) <= 0.001 * 7200
    )  # one message in twenty is lost, but each answer is reported
    assert 3 < polls_in_backoff(fleet) < 2 * POLL_RESPONSES_PER_SECOND * 2.2
    # What a receiver takes in beyond the usage messages:
    assert fleet.broadcast_count < 2 * POLL_RESPONSES_PER_SECOND * 3.5 + 16


@pytest.mark.parametrize("limiters", [40, 200])
def test_a_rejected_fleet_polls_no_more_than_discovery_can_answer(limiters: int) -> None:
    # Seen after 28 of 40 limiters restarted together: each polled once a second, and none was ever answered.
    fleet = PollingFleet(limiters, limiters)
    fleet.run_until(OUTAGE_MS)
    assert 2 <= polls_in_backoff(fleet) / 1.7 <= 8
    fleet.run_until(OUTAGE_MS + 1000 * limiters / 1.5)
    assert len(fleet.limiters_responded_to) > 0.9 * limiters  # each gets its slot


@pytest.fixture
def polling_driver() -> PolicyDriver:
    """A limiter that polls discovery and gossips, with an up to date list of servers 0 and 1."""
    return make_driver(server_count=2, may_gossip=True, gossip_intake_per_second=40.0, polls_discovery=True)


def test_peer_reports_stop_sends_only_while_the_own_list_is_stale(polling_driver: PolicyDriver) -> None:
    driver, engine = polling_driver, polling_driver.engine
    driver.deliver_event(GossipReceived(1, removal_report(make_endpoint_id(0))))
    assert list_ready_endpoint_ids(engine) == {
        make_endpoint_id(0),
        make_endpoint_id(1),
    }  # discovery itself will report it
    driver.deliver_event(DiscoveryPollFailed(rejected=False))
    assert list_ready_endpoint_ids(engine) == {make_endpoint_id(1)}  # also by reports since the last answer
    driver.deliver_event(EndpointsChanged((make_endpoint(3),), False))
    all_three = {make_endpoint_id(0), make_endpoint_id(1), make_endpoint_id(3)}
    assert (
        list_ready_endpoint_ids(engine) == all_three
    )  # an answer has all changes since the last: it decides
    driver.deliver_event(DiscoveryPollFailed())
    assert list_ready_endpoint_ids(engine) == all_three
    driver.deliver_event(GossipReceived(1, removal_report(make_endpoint_id(7))))
    assert list_ready_endpoint_ids(engine) == all_three  # a report starts sends to no server
    driver.deliver_event(GossipReceived(1, removal_report(make_endpoint_id(0))))
    driver.deliver_event(EndpointsChanged((make_endpoint(0), make_endpoint(1)), True))
    assert list_ready_endpoint_ids(engine) == {make_endpoint_id(0), make_endpoint_id(1)}


def test_a_change_that_all_learn_at_once_is_reported_by_few() -> None:
    fleet = PollingFleet(400, 400, loss=0.0)
    fleet.run_until(1000.0)
    # After rejections each would announce its poll too: less than a receiver takes in at once.
    for removed, most_broadcasts in ((1, 40), (2, 12)):  # the second with discovery in order
        fleet.broadcast_count = 0
        fleet.deliver_event_to_all(EndpointsChanged((make_endpoint(removed, EndpointState.DRAINING),), False))
        fleet.run_until(fleet.now + 600.0)
        assert MAX_REPORT_COPIES <= fleet.broadcast_count <= most_broadcasts


def test_messages_have_at_most_their_maximum_length_and_name_every_server_that_fits() -> None:
    servers = [bytes((length,)) * length for length in range(1, 60)]
    too_long_for_a_message = bytes((255,)) * 255
    listed = [Endpoint(key, EndpointState.READY) for key in (*servers, too_long_for_a_message)]
    sender, receiver = make_backoff(listed), make_backoff()
    sender.handle_endpoint_list(EndpointsChanged((), is_full_list=True))
    received: set[bytes] = set()
    while (body := sender.encode_next_message()) is not None:
        assert len(body) <= MAX_MESSAGE_BYTES
        assert receiver.handle_gossip_message(body)
        report = decode_endpoint_report(body)
        assert report is not None
        received |= set(report.endpoint_ids)
    assert received == set(servers) == set(receiver.peer_report_counts)


@pytest.mark.parametrize("body", [b"", b"\x00", ENDPOINT_REPORT_PREFIX[:3] + b"\x01\x01"])
def test_a_message_of_another_kind_is_left_to_others(body: bytes) -> None:
    assert not make_backoff().handle_gossip_message(body)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(ENDPOINT_REPORT_PREFIX, id="no flag"),
        pytest.param(ENDPOINT_REPORT_PREFIX + b"\x01", id="no servers"),
        pytest.param(ENDPOINT_REPORT_PREFIX + b"\x00\x05abc", id="server cut short"),
        pytest.param(ENDPOINT_REPORT_PREFIX + b"\x00\x00", id="empty server"),
    ],
)
def test_a_malformed_or_empty_message_names_no_server(body: bytes) -> None:
    receiver = make_backoff()
    assert receiver.handle_gossip_message(body)
    assert not receiver.peer_report_counts


def test_limiters_that_may_not_gossip_poll_within_the_deadline() -> None:
    driver = make_driver(polls_discovery=True, limiter_count=7200)
    driver.actions.clear()
    driver.deliver_event(DiscoveryPollFailed())
    driver.advance_to(driver.now + CHANGE_DEADLINE_MS - 1000.0)
    assert PollDiscovery() in driver.actions
