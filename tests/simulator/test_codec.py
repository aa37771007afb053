"""Tests of the decoder and the encoder with the frames given in the description of the wire format."""

from __future__ import annotations

from typing import get_args

import pytest

from limiter.model.actions import (
    Action,
    BroadcastGossip,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    LogMessage,
    PollDiscovery,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
)
from limiter.model.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientRequest,
    CounterReply,
    DiscoveryPollFailed,
    Endpoint,
    EndpointsChanged,
    EndpointState,
    Event,
    GossipReceived,
    HealthCheckEnded,
    Outcome,
    StreamStarted,
    TimerFired,
)
from limiter.simulator.action_encoder import encode_action
from limiter.simulator.event_decoder import EventDecoder
from limiter.simulator.records import EventWithRawLoadReport, InstanceClosed, Record
from tests.support.simulator_frames import SERVER_ID, encode_endpoint_page, encode_registry

CLIENT_REQUEST_FRAME = "1400035d3a91c4000140000000000091f03b7c55d20a6400404000003f80000040c0e62000000000"
TIMER_FIRED_FRAME = "1500030000004d"
CLIENT_DISCONNECTED_FRAME = "1000050e6f2b19"
COUNTER_REPLY_FRAME = "1a0003000000000089f69000c8421800004001333333333333"
STREAM_STARTED_FRAME = "1600035d3a91c4000a124a071f934022800000000000"
HEALTH_CHECK_ENDED_FRAME = "1200030a9011f21fbc00c83ff666666666666602430c000040400000"
GOSSIP_RECEIVED_FRAME = "1900030002000468692037"
INSTANCE_CLOSED_FRAME = "170003"
OTHER_SERVER = bytes.fromhex("0a9011f21fbc")
ATTEMPT_ENDED_FRAME = "1800035d3a91c400564032800000000000000a124a071f93000300c80100"


@pytest.mark.parametrize(
    ("frame", "event"),
    [
        (
            CLIENT_REQUEST_FRAME,
            ClientRequest(
                id=0x5D3A91C4,
                customer=0x91F03B7C55D20A64,
                plan=0,
                request_class=0,
                units=2.0,
                limiter_set_size=3.0,
                limiter_set_start=1.0,
                expires_at=8652.25,
            ),
        ),
        (TIMER_FIRED_FRAME, TimerFired(0x4D)),
        (COUNTER_REPLY_FRAME, CounterReply(0x89F690, Outcome.OK, total_units=38.0, latency=2.15)),
        (
            ATTEMPT_ENDED_FRAME,
            AttemptEnded(
                0x5D3A91C4,
                0,
                SERVER_ID,
                Outcome.OK,
                18.5,
                request_finished=True,
                metered_utilization=0.85,
                billed_units=3.0,
            ),
        ),
        (STREAM_STARTED_FRAME, StreamStarted(0x5D3A91C4, 0, SERVER_ID, latency=9.25)),
        (
            HEALTH_CHECK_ENDED_FRAME,
            EventWithRawLoadReport(
                HealthCheckEnded(OTHER_SERVER, Outcome.OK, latency=1.4), values=(140.0, 3.0)
            ),
        ),
        (GOSSIP_RECEIVED_FRAME, GossipReceived(sender=2, body=b"hi 7")),
        (INSTANCE_CLOSED_FRAME, InstanceClosed()),
    ],
    ids=["CALL", "WAKE", "TOTAL", "COMPLETED", "HEAD_RECEIVED", "PING_RESULT", "MAIL", "RETIRE"],
)
def test_the_documented_event_frames_decode(frame: str, event: Record) -> None:
    """The frames given in the description decode to the events that it describes."""
    assert EventDecoder().decode(bytes.fromhex(frame), 1) == [(3, event)]


@pytest.mark.parametrize(
    ("form", "event"),
    [
        (0, EndpointsChanged((Endpoint(SERVER_ID, EndpointState.READY),), is_full_list=False)),
        (1, EndpointsChanged((Endpoint(SERVER_ID, EndpointState.READY),), is_full_list=True)),
        (
            2,
            EndpointsChanged((Endpoint(SERVER_ID, EndpointState.READY),), is_full_list=True, from_cache=True),
        ),
        (3, DiscoveryPollFailed()),
    ],
    ids=["delta", "full", "cached", "failed"],
)
def test_each_form_of_the_registry_decodes(form: int, event: Event) -> None:
    """A registry record has a form, and takes its endpoints from a page that was received before."""
    assert EventDecoder().decode(encode_endpoint_page() + encode_registry(form=form), 2) == [(3, event)]


def test_an_endpoint_page_is_kept_for_later_batches() -> None:
    """Records of later batches can refer to a page."""
    decoder = EventDecoder()
    assert decoder.decode(encode_endpoint_page(), 1) == []
    [(_, event)] = decoder.decode(encode_registry(), 1)
    assert isinstance(event, EndpointsChanged)


def test_records_of_one_batch_go_to_their_instances_in_order() -> None:
    """Each record has the number of the instance that it is for."""
    body = bytes.fromhex(TIMER_FIRED_FRAME + CLIENT_DISCONNECTED_FRAME)
    assert EventDecoder().decode(body, 2) == [(3, TimerFired(0x4D)), (5, ClientDisconnected(0x0E6F2B19))]


@pytest.mark.parametrize(
    ("instance", "action", "frame"),
    [
        (3, SendAttempt(0x5D3A91C4, SERVER_ID, timeout=80.0), "5a00035d3a91c440540000000000000a124a071f93"),
        (3, SetTimer(delay=500.0, token=0x4D), "540003407f4000000000000000004d"),
        (5, LogMessage("two servers known"), "590005001174776f2073657276657273206b6e6f776e"),
        (
            3,
            IncrementCounter(0x89F690, units_to_add=4.0, time_to_live=3000.0),
            "58000340a7700000000000000000000089f69040800000",
        ),
        (3, CancelAttempt(0x5D3A91C4, attempt=0), "5000035d3a91c400"),
        (3, RejectRequest(0x0E6F2B19, retry_after=250.0), "5200030e6f2b19406f400000000000"),
        (3, FailRequest(0x0E6F2B19), "5100030e6f2b19"),
        (3, SendHealthCheck(OTHER_SERVER), "5700030a9011f21fbc"),
        (3, PollDiscovery(), "5c000301"),
        (3, BroadcastGossip(b"hi 7"), "560003ffff000468692037"),
    ],
    ids=[
        "FORWARD",
        "NOTIFY_ME",
        "NOTE_DOWN",
        "ADD_TO",
        "STOP_ATTEMPT",
        "TURN_AWAY",
        "ABORT",
        "PROBE",
        "SUBSCRIBE",
        "PUBLISH",
    ],
)
def test_actions_encode_to_the_documented_frames(instance: int, action: Action, frame: str) -> None:
    """Actions encode to the frames given in the description."""
    assert encode_action(instance, action) == bytes.fromhex(frame)


def test_every_action_has_a_code_of_its_own() -> None:
    """Each type of action has an encoder."""
    examples: list[Action] = [
        SendAttempt(1, SERVER_ID, timeout=0.0),
        RejectRequest(1),
        FailRequest(1),
        CancelAttempt(1, attempt=0),
        IncrementCounter(1, units_to_add=0.0, time_to_live=0.0),
        SetTimer(delay=0.0, token=0),
        SendHealthCheck(SERVER_ID),
        PollDiscovery(),
        BroadcastGossip(b""),
        LogMessage(""),
    ]
    assert {type(example) for example in examples} == set(get_args(Action))
    assert len({encode_action(0, example)[0] for example in examples}) == len(examples)
